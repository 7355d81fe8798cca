//! The socket of a client's connection, with an observer of what hyper reads from it and writes to it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, Sleep, sleep};

use super::framing::MessageFramer;
use super::receive_queue::{ReceiveQueue, has_unread_bytes};

/// Maximum time that a client that is still sending has to read the response that rejects its request, before
/// the connection is closed. Closing a socket with unread bytes resets the connection, and the reset may
/// discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read from the client and discarded during that time.
const MAX_LINGER_BYTES: usize = 32 << 20;
/// Size of the buffer for these reads, in bytes.
const LINGER_BUFFER_BYTES: usize = 16 << 10;
/// Divisor of the kernel's receive buffer. Behind more unread bytes than the quotient, a client's close may
/// not be received: the kernel keeps half of the buffer for its bookkeeping, and more if the bytes came in
/// small pieces.
const UNREAD_INPUT_DIVISOR: usize = 4;
/// Interval of the checks for so many unread bytes. No attempt may begin 100 ms after a client's close.
const EXCESS_INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Size of the kernel's send buffer that the node requests for a client's socket, in bytes. The kernel
/// doubles it for its own bookkeeping.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Observations of a client's socket, shared with the code that responds on it.
pub struct SocketObserver {
    stream: OwnedWriteHalf,
    framer: RefCell<MessageFramer>,
    /// Whether the socket lingers after the last response.
    should_linger: Cell<bool>,
    /// Whether bytes of the client were discarded, so that no further request can be read.
    has_discarded_input: Cell<bool>,
    write_blocked_since: Cell<Option<Instant>>,
}

impl SocketObserver {
    /// Returns whether a part of the current request was read.
    pub fn has_request_started(&self) -> bool {
        self.framer.borrow().has_started()
    }

    /// Returns the time at which the head of the current request began to arrive, if the head is incomplete.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.framer.borrow().head_started_at()
    }

    /// Returns the time since which the kernel has accepted none of the bytes that wait to be written, if any
    /// do.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Returns once the client has closed its side or reset the connection, even if bytes that it sent before
    /// are unread. hyper does not notice that: it reads nothing more while it has bytes that nobody has
    /// polled for.
    pub async fn closed(&self) {
        // Priority data is not used, so readiness for this interest means the end of the data that can be
        // read.
        while self.stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {}
    }

    /// Reads and discards what the client sends behind the current request, once it is so much that the
    /// client's close might not be received behind it. Completes only if nothing more can be read.
    ///
    /// Until then, [`SocketObserver::closed`] would not notice the close: the kernel receives it after all
    /// bytes before it, and does not receive more than its buffer takes.
    pub async fn discard_excess_input(&self) {
        let stream = self.stream.as_ref();
        let limit = SockRef::from(stream).recv_buffer_size().unwrap_or(0) / UNREAD_INPUT_DIVISOR;
        loop {
            // Nothing is unread behind most requests, so that this waits for as long as they do.
            if stream.readable().await.is_err() {
                return;
            }
            // Requests that are answered sooner are served with all that follows them.
            sleep(EXCESS_INPUT_CHECK_INTERVAL).await;
            if self.has_unread_data() && has_unread_bytes(stream, limit.max(1)) {
                break;
            }
        }
        self.has_discarded_input.set(true);
        self.linger();
        let mut remaining_bytes = MAX_LINGER_BYTES;
        while remaining_bytes > 0 && stream.readable().await.is_ok() {
            match self.discard_available_input() {
                Ok(0) => return,
                Ok(bytes) => remaining_bytes = remaining_bytes.saturating_sub(bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Reads and discards bytes that the kernel has received, and returns their number. The buffer is on the
    /// stack, so that a waiting request does not hold it.
    fn discard_available_input(&self) -> io::Result<usize> {
        self.stream.as_ref().try_read(&mut [0; LINGER_BUFFER_BYTES])
    }

    /// Returns whether bytes of the client were discarded, so that no further request can be read.
    pub fn has_discarded_input(&self) -> bool {
        self.has_discarded_input.get()
    }

    /// Returns whether the client has closed or reset the connection, as far as the kernel knows now, and
    /// nothing that it sent before is still to be read.
    pub fn is_peer_closed(&self) -> bool {
        matches!(self.receive_queue(), ReceiveQueue::EndOfStream | ReceiveQueue::Failed)
    }

    /// Returns whether the kernel has received bytes of a request that are still to be read.
    pub fn has_unread_data(&self) -> bool {
        self.receive_queue() == ReceiveQueue::Data
    }

    fn receive_queue(&self) -> ReceiveQueue {
        ReceiveQueue::of(self.stream.as_ref())
    }

    /// Returns whether the head of the current request may contain a `Content-Length`, which hyper hides if
    /// the request also has a `Transfer-Encoding`.
    pub fn may_have_content_length(&self) -> bool {
        self.framer.borrow().may_have_content_length()
    }

    /// Records that the current request was read to its end, with a body of `length` bytes if that is known.
    pub fn request_completed(&self, length: Option<u64>) {
        self.framer.borrow_mut().complete(length);
    }

    /// Makes the socket linger after the last response: it reads and discards what the client still sends,
    /// for at most [`LINGER_TIMEOUT`].
    pub fn linger(&self) {
        self.should_linger.set(true);
    }

    /// Writes as much as the kernel accepts, and records since when it accepts nothing.
    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = self.poll_write_unobserved(cx, write);
        let blocked_since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(result.is_pending().then_some(blocked_since));
        result
    }

    /// Writes as much as the kernel accepts, once it accepts anything.
    fn poll_write_unobserved(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream.as_ref();
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match write(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Closes the write side, which sends the client the end of the stream.
    fn shut_down_write(&self) -> io::Result<()> {
        match SockRef::from(self.stream.as_ref()).shutdown(Shutdown::Write) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Err(error),
            _ => Ok(()),
        }
    }
}

/// Reads and discards what a client still sends after the last response to it.
struct Lingering {
    timer: Pin<Box<Sleep>>,
    remaining_bytes: usize,
}

impl Lingering {
    fn new() -> Lingering {
        Lingering { timer: Box::pin(sleep(LINGER_TIMEOUT)), remaining_bytes: MAX_LINGER_BYTES }
    }

    /// Reads and discards data until the client has closed its side or [`LINGER_TIMEOUT`] has passed. After
    /// [`MAX_LINGER_BYTES`] it reads nothing more and only waits for the timeout.
    fn poll(&mut self, cx: &mut Context<'_>, reader: &mut OwnedReadHalf) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_pending() {
            if self.remaining_bytes == 0 {
                return Poll::Pending;
            }
            let mut space = [0; LINGER_BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut space);
            let read = ready!(Pin::new(&mut *reader).poll_read(cx, &mut buf));
            let bytes = buf.filled().len();
            if read.is_err() || bytes == 0 {
                break;
            }
            self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes);
        }
        Poll::Ready(())
    }
}

/// A client's socket, through which hyper reads and writes.
pub struct DownstreamSocket {
    reader: OwnedReadHalf,
    observer: Rc<SocketObserver>,
    /// Set once the write side is closed, if the socket lingers.
    lingering: Option<Lingering>,
}

impl DownstreamSocket {
    /// Wraps an accepted stream, and returns the socket and its observer.
    pub fn new(stream: TcpStream) -> (DownstreamSocket, Rc<SocketObserver>) {
        // The progress of a slow client is visible only when the kernel's send buffer drains. Without this
        // limit that buffer would grow to megabytes.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let (reader, stream) = stream.into_split();
        let observer = Rc::new(SocketObserver {
            stream,
            framer: RefCell::new(MessageFramer::new()),
            should_linger: Cell::new(false),
            has_discarded_input: Cell::new(false),
            write_blocked_since: Cell::new(None),
        });
        (DownstreamSocket { reader, observer: observer.clone(), lingering: None }, observer)
    }
}

impl AsyncRead for DownstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.reader).poll_read(cx, buf);
        self.observer.framer.borrow_mut().push(&buf.filled()[filled_before..]);
        result
    }
}

impl AsyncWrite for DownstreamSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.observer.poll_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.observer.poll_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.observer.stream.as_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no buffer outside of the kernel.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let DownstreamSocket { reader, observer, lingering } = self.get_mut();
        if lingering.is_none() {
            observer.shut_down_write()?;
            if !observer.should_linger.get() {
                return Poll::Ready(Ok(()));
            }
        }
        let lingering = lingering.get_or_insert_with(Lingering::new);
        lingering.poll(cx, reader).map(Ok)
    }
}
