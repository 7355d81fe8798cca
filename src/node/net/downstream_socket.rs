//! The socket of a client's connection, with an observer of what hyper reads from it and writes to it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep};

use super::framing::MessageFramer;
use super::lingering::{InputDiscard, Lingering};
use super::receive_queue::{ReceiveQueue, has_unread_bytes, peek_byte};
use super::stream;

/// Size of the buffer for these reads, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;
/// Divisor of the kernel's receive buffer. Behind more unread bytes than the quotient, a client's close may
/// not be received: the kernel keeps half of the buffer for its bookkeeping, and more if the bytes came in
/// small pieces.
const UNREAD_INPUT_DIVISOR: usize = 4;
/// Number of bytes that can be unread behind a request without being discarded, with the kernel's usual
/// buffer. What is read after so many bytes arrived later.
const MAX_UNREAD_BYTES: usize = 32 << 10;
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
    /// Number of bytes written to the socket.
    bytes_written: Cell<usize>,
    /// When the kernel had received the bytes that were read last, or an earlier time.
    last_arrival: Cell<Instant>,
    /// Since when the kernel has had bytes that nobody reads, if that is known.
    unread_since: Cell<Option<Instant>>,
    /// Number of bytes read since then.
    read_since: Cell<usize>,
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
        loop {
            // Nothing is unread behind most requests, so that this waits for as long as they do.
            if self.unread_data().await.is_err() {
                return;
            }
            if self.unread_since.get().is_none() {
                self.unread_since.set(Some(Instant::now()));
                self.read_since.set(0);
            }
            // Requests that are answered sooner are served with all that follows them.
            sleep(EXCESS_INPUT_CHECK_INTERVAL).await;
            if self.has_excess_input() {
                break;
            }
        }
        self.has_discarded_input.set(true);
        let mut discard = InputDiscard::new();
        poll_fn(|cx| discard.poll(cx, |cx| self.poll_discard(cx))).await;
    }

    /// Waits until the kernel has bytes to read, the end of the stream or an error.
    async fn unread_data(&self) -> io::Result<()> {
        let stream = self.stream.as_ref();
        loop {
            stream.readable().await?;
            // Readiness may be left over from a read that has drained the socket. It is cleared by an
            // operation that would block.
            match stream.try_io(Interest::READABLE, || peek_byte(stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                peeked => return peeked.map(drop),
            }
        }
    }

    /// Returns the time by which the machine had received the bytes that were read last. If they were left in
    /// the kernel for a while, it is when the first of what was left there was noticed.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// Records the result of a read.
    fn record_read(&self, bytes: usize, is_drained: bool) {
        if bytes > 0 {
            self.last_arrival.set(self.unread_since.get().unwrap_or_else(Instant::now));
        }
        self.read_since.set(self.read_since.get() + bytes);
        if is_drained || self.read_since.get() >= MAX_UNREAD_BYTES {
            self.unread_since.set(None);
        }
    }

    /// Returns whether so much is unread that the client's close may not be received behind it.
    fn has_excess_input(&self) -> bool {
        let stream = self.stream.as_ref();
        let limit = SockRef::from(stream).recv_buffer_size().unwrap_or(0) / UNREAD_INPUT_DIVISOR;
        has_unread_bytes(stream, limit.max(1))
    }

    /// Reads and discards some of what the client has sent, and returns the number of bytes. The buffer is on
    /// the stack, so that nobody who waits holds it.
    fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut space = [MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
        let mut discarded = ReadBuf::uninit(&mut space);
        ready!(stream::poll_read(self.stream.as_ref(), cx, &mut discarded))?;
        Poll::Ready(Ok(discarded.filled().len()))
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

    /// Returns the number of bytes written to the socket.
    pub fn bytes_written(&self) -> usize {
        self.bytes_written.get()
    }

    /// Returns the maximum number of written bytes that the kernel may still hold.
    fn max_unsent_bytes(&self) -> usize {
        self.bytes_written.get().min(2 * SEND_BUFFER_BYTES)
    }

    /// Makes the socket linger after the last response: it reads and discards what the client still sends,
    /// for a limited time.
    pub fn linger(&self) {
        self.should_linger.set(true);
    }

    /// Writes as much as the kernel accepts, and records since when it accepts nothing.
    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = stream::poll_write(self.stream.as_ref(), cx, write);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.bytes_written.set(self.bytes_written.get().saturating_add(*bytes));
        }
        let blocked_since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(result.is_pending().then_some(blocked_since));
        result
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
            bytes_written: Cell::new(0),
            last_arrival: Cell::new(Instant::now()),
            unread_since: Cell::new(None),
            read_since: Cell::new(0),
        });
        (DownstreamSocket { reader, observer: observer.clone(), lingering: None }, observer)
    }
}

impl AsyncRead for DownstreamSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = stream::poll_read(self.reader.as_ref(), cx, buf);
        self.observer.record_read(buf.filled().len() - filled_before, result.is_pending());
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
        let DownstreamSocket { observer, lingering, .. } = self.get_mut();
        if lingering.is_none() {
            stream::shut_down_write(observer.stream.as_ref())?;
            if !observer.should_linger.get() && !observer.has_unread_data() {
                return Poll::Ready(Ok(()));
            }
        }
        let lingering = lingering.get_or_insert_with(|| Lingering::new(observer.max_unsent_bytes()));
        lingering.poll(cx, |cx| observer.poll_discard(cx)).map(Ok)
    }
}
