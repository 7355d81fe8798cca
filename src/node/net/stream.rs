//! Reads and writes of TCP streams that make no assumption about how much one system call transfers.
//!
//! tokio takes a read or write that transfers less than it could for a sign that the socket is drained or
//! full, and waits for the next event. The kernel may transfer less for other reasons, and then no event may
//! follow. Here a socket counts as drained or full only when a system call would block.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads some bytes once there are any.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes as much as the kernel accepts, once it accepts anything.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Closes the write side, which sends the peer the end of the stream.
pub fn shut_down_write(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).shutdown(Shutdown::Write) {
        Err(error) if error.kind() != io::ErrorKind::NotConnected => Err(error),
        _ => Ok(()),
    }
}

/// A TCP stream.
pub struct Stream(pub TcpStream);

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no buffer outside of the kernel.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shut_down_write(&self.0))
    }
}
