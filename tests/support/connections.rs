//! Listeners and the connections that the node opens to them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::support::*;

/// A listener whose queue is full: connections to it come up only once it has accepted those in the queue.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        queued.push(stream);
    }
    (listener, queued)
}

/// A connection that the node has opened, with the request that came on it.
pub fn taken(listener: &TcpListener) -> (Client, Message) {
    let mut line = Client::on(accepted(listener));
    let request = line.answer();
    (line, request)
}

/// Waits until the node has so many descriptors, and so has taken a client in.
pub fn came(node: &Node, descriptors: usize) {
    let began = Instant::now();
    while node.descriptors() < descriptors {
        assert!(began.elapsed() < WITHIN, "the client was not taken in");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until the node holds no more descriptors than this; far longer than it may take, and far shorter than
/// any request's time.
pub fn let_go_of(node: &Node, descriptors: usize, what: &str) {
    let began = Instant::now();
    while node.descriptors() > descriptors {
        assert!(began.elapsed() < Duration::from_secs(3), "{what}: the client's leaving was not seen");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next connection to any of these, with the request on it read.
pub fn next(listeners: &[TcpListener]) -> (Client, Message) {
    listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
    let began = Instant::now();
    loop {
        if let Some(stream) = listeners.iter().find_map(|listener| Some(listener.accept().ok()?.0)) {
            stream.set_nonblocking(false).unwrap();
            let mut line = Client::on(stream);
            let request = line.answer();
            return (line, request);
        }
        assert!(began.elapsed() < WITHIN, "nobody connects");
    }
}

/// The next connection to a listener.
pub fn accepted(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let began = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        assert!(began.elapsed() < WITHIN, "nobody connects");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An address that refuses connections.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
