//! One end of an HTTP/1.1 connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::support::*;

/// One end of a connection: a client's to the node, or an upstream server's from it.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to the node.
    pub fn open(address: SocketAddr) -> Connection {
        Connection::from_stream(TcpStream::connect(address).unwrap())
    }

    /// An end that was connected or accepted elsewhere.
    pub fn from_stream(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        Connection { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Writes bytes; a failure is left for what is read next to show.
    pub fn send(&mut self, bytes: &[u8]) {
        // The node may have responded and closed before all is written.
        let _ = self.stream.write_all(bytes);
    }

    /// The next message; `None` if the connection closes before its end.
    pub fn try_receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// The next message.
    pub fn receive(&mut self) -> Message {
        self.try_receive().expect("a complete message")
    }

    /// Waits for the next byte; whether there is none because the node has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Whether bytes have arrived that were not read.
    pub fn has_unread_data(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let arrived = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        arrived
    }

    /// Reads all that still arrives; whether the node then closes or resets the connection.
    pub fn reaches_close(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Sends a request and receives its response.
    pub fn exchange(&mut self, bytes: &[u8]) -> Message {
        self.send(bytes);
        self.receive()
    }
}
