//! Thin wrappers round sockets, for what hyper does not show of the bytes that pass.

pub mod inherited_listener;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

/// For how long a client that still sends may read why it was turned down, before the connection is closed:
/// to close on unread bytes resets the connection, and the answer may be lost with it.
const LINGER: Duration = Duration::from_secs(1);
/// How much of what it sends meanwhile is read.
const LINGER_MOST: usize = 32 << 20;
/// What the kernel may hold of an answer; it doubles this for its own book-keeping.
const SEND_BUFFER: usize = 128 << 10;

/// The header that must not stand beside `Transfer-Encoding`.
const LENGTH: &[u8] = b"content-length:";

/// What has passed of the message that a client sends.
struct MessageFramer {
    in_head: bool,
    /// How much of the current line has come, line ends aside, and whether it begins as [`LENGTH`] does.
    line: usize,
    alike: bool,
    /// When its first line has begun: empty lines before it are skipped.
    begun: Option<Instant>,
    /// Lines that state a length.
    lengths: usize,
    /// Bytes behind the head.
    behind: u64,
    /// Whether bytes of one message may have passed for another's.
    blurred: bool,
}

impl MessageFramer {
    fn new(blurred: bool) -> MessageFramer {
        MessageFramer { in_head: true, line: 0, alike: true, begun: None, lengths: 0, behind: 0, blurred }
    }

    fn take(&mut self, bytes: &[u8]) {
        for (at, byte) in bytes.iter().enumerate() {
            if !self.in_head {
                self.behind += (bytes.len() - at) as u64;
                return;
            }
            match byte {
                b'\r' => {}
                b'\n' => {
                    self.in_head = self.line > 0 || self.begun.is_none();
                    (self.line, self.alike) = (0, true);
                }
                _ => {
                    self.begun.get_or_insert_with(Instant::now);
                    self.alike &= LENGTH.get(self.line).is_none_or(|b| b.eq_ignore_ascii_case(byte));
                    self.line += 1;
                    self.lengths += usize::from(self.alike && self.line == LENGTH.len());
                }
            }
        }
    }
}

/// A client's socket and what was seen on it, shared with who answers it.
pub struct SocketObserver {
    stream: OwnedWriteHalf,
    passing: RefCell<MessageFramer>,
    lingers: Cell<bool>,
    write_blocked_since: Cell<Option<Instant>>,
}

impl SocketObserver {
    /// Whether some of a request has come.
    pub fn has_request_started(&self) -> bool {
        self.passing.borrow().begun.is_some()
    }

    /// Since when a head has been coming.
    pub fn head_since(&self) -> Option<Instant> {
        let passing = self.passing.borrow();
        passing.begun.filter(|_| passing.in_head)
    }

    /// Since when the client has taken nothing of what waits for it.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Ends once the client has closed its side or reset the connection, whatever it sent before: hyper looks no
    /// further while it holds bytes that nobody has asked for, and would not know.
    pub async fn closed(&self) {
        // Nothing is ever urgent here: what is left of this interest is the end of what can be read.
        while self.stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {}
    }

    /// Whether it has, as far as the kernel knows by now, and has sent nothing more that is still to be read.
    pub fn is_peer_closed(&self) -> bool {
        match peek(self.stream.as_ref()) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes what the kernel takes, once it takes some.
    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream.as_ref();
        loop {
            let polled = match stream.poll_write_ready(cx) {
                Poll::Ready(Ok(())) => match write(stream) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                    written => Poll::Ready(written),
                },
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Pending => Poll::Pending,
            };
            return self.wrote(polled);
        }
    }

    fn wrote(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(polled.is_pending().then_some(since));
        polled
    }

    /// Whether the kernel holds nothing of a request that is still to be read.
    pub fn is_quiet(&self) -> bool {
        !matches!(peek(self.stream.as_ref()), Ok(1..))
    }

    /// Whether the head of the request at hand may state a length, which hyper drops if the request has a
    /// `Transfer-Encoding` too.
    pub fn may_have_content_length(&self) -> bool {
        let passing = self.passing.borrow();
        passing.lengths > 0 || passing.in_head || passing.blurred
    }

    /// The request at hand has been read whole, with a body of this length if that is known.
    pub fn request_completed(&self, length: Option<u64>) {
        let mut passing = self.passing.borrow_mut();
        let blurred = passing.blurred || passing.in_head || length != Some(passing.behind);
        *passing = MessageFramer::new(blurred);
    }

    /// The client may still be sending when it is answered, and the connection then ends.
    pub fn linger(&self) {
        self.lingers.set(true);
    }
}

/// A client's socket.
pub struct DownstreamSocket {
    reading: OwnedReadHalf,
    seen: Rc<SocketObserver>,
    lingering: Option<(Pin<Box<Sleep>>, usize)>,
}

impl DownstreamSocket {
    pub fn new(stream: TcpStream) -> (DownstreamSocket, Rc<SocketObserver>) {
        // A slow reader is seen to read only as the kernel's buffer empties, and that grows to megabytes.
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        let ((reading, stream), passing) = (stream.into_split(), RefCell::new(MessageFramer::new(false)));
        let seen = Rc::new(SocketObserver {
            stream,
            passing,
            lingers: Cell::new(false),
            write_blocked_since: Cell::new(None),
        });
        (DownstreamSocket { reading, seen: seen.clone(), lingering: None }, seen)
    }
}

impl AsyncRead for DownstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.reading).poll_read(cx, buf);
        self.seen.passing.borrow_mut().take(&buf.filled()[before..]);
        polled
    }
}

impl AsyncWrite for DownstreamSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.seen.poll_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.seen.poll_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.seen.stream.as_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // TCP holds nothing back.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.lingering.is_none() {
            match SockRef::from(this.seen.stream.as_ref()).shutdown(Shutdown::Write) {
                Err(error) if error.kind() != io::ErrorKind::NotConnected => return Poll::Ready(Err(error)),
                _ => {}
            }
            if !this.seen.lingers.get() {
                return Poll::Ready(Ok(()));
            }
        }
        let (timer, left) = this.lingering.get_or_insert_with(|| (Box::pin(sleep(LINGER)), LINGER_MOST));
        while timer.as_mut().poll(cx).is_pending() {
            if *left == 0 {
                return Poll::Pending;
            }
            let mut space = [0; 16 * 1024];
            let mut buf = ReadBuf::new(&mut space);
            match ready!(Pin::new(&mut this.reading).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => *left = left.saturating_sub(buf.filled().len()),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// How much of the next byte the kernel holds; none at the end of what the peer sends.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// The connections to servers that there are.
#[derive(Default)]
pub struct ConnectionPermits {
    taken: Cell<usize>,
    /// Told when one is free again.
    freed: Notify,
}

impl ConnectionPermits {
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Ends when a place has become free.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    pub fn take(self: &Rc<ConnectionPermits>) -> ConnectionPermit {
        self.taken.set(self.taken.get() + 1);
        ConnectionPermit(self.clone())
    }
}

/// A place in the budget for connections to servers.
pub struct ConnectionPermit(Rc<ConnectionPermits>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.freed.notify_one();
    }
}

/// A connection to a server, shared between hyper and who uses it.
pub struct UpstreamSocket {
    stream: RefCell<TcpStream>,
    written: Cell<u64>,
    came: Cell<bool>,
    notify: Notify,
    _place: ConnectionPermit,
}

impl UpstreamSocket {
    pub fn new(stream: TcpStream, place: ConnectionPermit) -> UpstreamSocket {
        let stream = RefCell::new(stream);
        UpstreamSocket {
            stream,
            written: Cell::new(0),
            came: Cell::new(false),
            notify: Notify::new(),
            _place: place,
        }
    }

    /// How many bytes have been written to it.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Waits until some part of an answer has come.
    pub async fn data_received(&self) {
        while !self.came.get() {
            self.notify.notified().await;
        }
        self.came.set(false);
    }

    /// What has come was another answer's.
    pub fn clear_received(&self) {
        self.came.set(false);
    }

    /// Whether the kernel holds nothing of it that is still to be read, nor its end.
    pub fn is_quiet(&self) -> bool {
        matches!(peek(&self.stream.borrow()), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.written.set(self.written.get() + *bytes as u64);
        }
        polled
    }
}

/// hyper's side of a [`UpstreamSocket`].
pub struct UpstreamIo(pub Rc<UpstreamSocket>);

impl AsyncRead for UpstreamIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.0.came.set(true);
            self.0.notify.notify_one();
        }
        polled
    }
}

impl AsyncWrite for UpstreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.count(polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
