//! The socket of a connection to an endpoint, which observes what hyper reads from it and writes to it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::permits::ConnectionPermit;
use super::receive_queue::ReceiveQueue;
use super::stream;

/// A connection to an endpoint, shared between hyper, which uses it through [`UpstreamIo`], and the
/// connection's owner.
pub struct UpstreamSocket {
    stream: TcpStream,
    /// Number of bytes written.
    bytes_written: Cell<u64>,
    /// Whether bytes were read since this was last cleared.
    has_received_data: Cell<bool>,
    /// Notified when bytes were read.
    data_notify: Notify,
    /// Whether no bytes are expected, as no request is open.
    is_idle: Cell<bool>,
    /// Whether bytes were read that were not expected.
    has_surplus: Cell<bool>,
    _permit: ConnectionPermit,
}

impl UpstreamSocket {
    /// Wraps a connected stream. The permit is released when the socket is dropped, which closes it.
    pub fn new(stream: TcpStream, permit: ConnectionPermit) -> UpstreamSocket {
        UpstreamSocket {
            stream,
            bytes_written: Cell::new(0),
            has_received_data: Cell::new(false),
            data_notify: Notify::new(),
            is_idle: Cell::new(false),
            has_surplus: Cell::new(false),
            _permit: permit,
        }
    }

    /// Returns the number of bytes written to the socket.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Waits until bytes were read since this last returned or [`UpstreamSocket::begin_exchange`] was called.
    pub async fn data_received(&self) {
        while !self.has_received_data.get() {
            self.data_notify.notified().await;
        }
        self.has_received_data.set(false);
    }

    /// Records that a request is about to be written. Bytes that were read before belong to an earlier
    /// response, and those that are read from now on are expected.
    pub fn begin_exchange(&self) {
        self.has_received_data.set(false);
        self.is_idle.set(false);
    }

    /// Records that the response is complete: further bytes are surplus, until
    /// [`UpstreamSocket::begin_exchange`] is called for the next request.
    pub fn end_exchange(&self) {
        self.is_idle.set(true);
    }

    /// Returns whether the endpoint has sent surplus bytes. hyper reads them as soon as they arrive.
    pub fn has_surplus(&self) -> bool {
        self.has_surplus.get()
    }

    /// Returns whether the connection is open and the kernel has received nothing that is still to be read.
    pub fn is_receive_queue_empty(&self) -> bool {
        ReceiveQueue::of(&self.stream) == ReceiveQueue::Empty
    }

    /// Writes as much as the kernel accepts, and counts it.
    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = stream::poll_write(&self.stream, cx, write);
        if let Poll::Ready(Ok(bytes)) = &result {
            self.bytes_written.set(self.bytes_written.get() + *bytes as u64);
        }
        result
    }
}

/// Handle through which hyper reads from and writes to an [`UpstreamSocket`].
pub struct UpstreamIo(pub Rc<UpstreamSocket>);

impl AsyncRead for UpstreamIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = stream::poll_read(&self.0.stream, cx, buf);
        if buf.filled().len() > filled_before {
            self.0.has_received_data.set(true);
            self.0.has_surplus.set(self.0.has_surplus.get() || self.0.is_idle.get());
            self.0.data_notify.notify_one();
        }
        result
    }
}

impl AsyncWrite for UpstreamIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no buffer outside of the kernel.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(stream::shut_down_write(&self.0.stream))
    }
}
