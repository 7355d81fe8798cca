//! Inspection of a socket's receive queue in the kernel, without reading from it.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// State of what the kernel has received on a socket and the process has not read.
#[derive(Clone, Copy, PartialEq)]
pub enum ReceiveQueue {
    /// The queue is empty.
    Empty,
    /// The queue has bytes to read.
    Data,
    /// The peer has closed its side, and all that it sent was read.
    EndOfStream,
    /// The connection has failed.
    Failed,
}

/// Returns whether the stream's receive queue has at least this many bytes.
pub fn has_unread_bytes(stream: &TcpStream, bytes: usize) -> bool {
    let mut space = vec![MaybeUninit::uninit(); bytes];
    SockRef::from(stream).peek(&mut space).is_ok_and(|length| length >= bytes)
}

/// Peeks at the next byte of the stream's receive queue. Returns 0 at the end of the stream, and an error if
/// the queue is empty or the connection has failed.
pub fn peek_byte(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

impl ReceiveQueue {
    /// Returns the current state of the stream's receive queue.
    pub fn of(stream: &TcpStream) -> ReceiveQueue {
        match peek_byte(stream) {
            Ok(0) => ReceiveQueue::EndOfStream,
            Ok(_) => ReceiveQueue::Data,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReceiveQueue::Empty,
            Err(_) => ReceiveQueue::Failed,
        }
    }
}
