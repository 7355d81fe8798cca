//! One side of an HTTP/1.1 connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::support::*;

/// One side of an HTTP/1.1 connection with the node: a client's or an endpoint's.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to the node at this address.
    pub fn open(address: SocketAddr) -> Connection {
        Connection::from_stream(TcpStream::connect(address).unwrap())
    }

    /// Wraps a stream that is already connected.
    pub fn from_stream(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Connection { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Writes bytes and ignores failures, which the next read reveals.
    pub fn send(&mut self, bytes: &[u8]) {
        // The node may respond and close the connection before all bytes are written.
        let _ = self.stream.write_all(bytes);
    }

    /// Returns the next message, or `None` if the connection closes or the read times out before its end.
    pub fn try_receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Returns the next message, and panics if no complete one arrives.
    pub fn receive(&mut self) -> Message {
        self.try_receive().expect("no complete message has arrived")
    }

    /// Waits for the next byte, and returns whether the node has closed the connection instead of sending
    /// one. A reset does not count as a close.
    pub fn closes_without_data(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Returns whether bytes have arrived that have not been read.
    pub fn has_unread_data(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let arrived = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        arrived
    }

    /// Discards all bytes up to the end of the stream, and returns whether the node closed or reset the
    /// connection before the read timeout.
    pub fn closes_after_any_data(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Sends a request and returns its response.
    pub fn exchange(&mut self, bytes: &[u8]) -> Message {
        self.send(bytes);
        self.receive()
    }
}
