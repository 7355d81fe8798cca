//! The kernel's receive queue of a socket, inspected without reading from it.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What the kernel has received and the process has not read.
#[derive(Clone, Copy, PartialEq)]
pub enum ReceiveQueue {
    /// Nothing.
    Empty,
    /// Some bytes.
    Data,
    /// The end of what the peer sends, with nothing before it.
    EndOfStream,
    /// The connection has failed.
    Failed,
}

impl ReceiveQueue {
    /// Asks the kernel.
    pub fn of(stream: &TcpStream) -> ReceiveQueue {
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => ReceiveQueue::EndOfStream,
            Ok(_) => ReceiveQueue::Data,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReceiveQueue::Empty,
            Err(_) => ReceiveQueue::Failed,
        }
    }
}
