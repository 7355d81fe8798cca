//! A client's connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::support::*;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(address: SocketAddr) -> Client {
        Client::on(TcpStream::connect(address).unwrap())
    }

    /// One end of a connection, whoever opened it.
    pub fn on(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(WITHIN)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        // The node may have answered and closed before all is written.
        let _ = self.stream.write_all(bytes);
    }

    /// The rest of an answer as far as it comes, and whether it was whole.
    pub fn whole_answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.reader).expect("an answer")
    }

    /// Whether the node has closed the connection.
    pub fn ended(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Whether something has come and not been read.
    pub fn has_something(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let came = self.stream.peek(&mut [0]).is_ok();
        self.stream.set_nonblocking(false).unwrap();
        came
    }

    /// Whether the node has closed the connection, with whatever it said before.
    pub fn reader_ends(&mut self) -> bool {
        match self.reader.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    pub fn ask(&mut self, bytes: &[u8]) -> Message {
        self.send(bytes);
        self.answer()
    }
}
