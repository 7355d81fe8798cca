//! Listeners and the connections that the node opens to them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::support::*;

/// A listener whose backlog is full: further connections are established only once it has accepted those in it.
pub fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let mut backlog = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        backlog.push(stream);
    }
    (listener, backlog)
}

/// The next connection that the node opens to this listener, and the request on it.
pub fn accept_request(listener: &TcpListener) -> (Connection, Message) {
    let mut connection = Connection::from_stream(accept_connection(listener));
    let request = connection.receive();
    (connection, request)
}

/// Waits until the node has so many descriptors open, which shows that it has accepted a client.
pub fn wait_for_descriptors(node: &Node, descriptors: usize) {
    let started = Instant::now();
    while node.open_descriptors() < descriptors {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the node has not accepted the client");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until the node has no more descriptors open than this: far longer than that may take, and far shorter than
/// any deadline.
pub fn wait_until_descriptors_closed(node: &Node, descriptors: usize, what: &str) {
    let started = Instant::now();
    while node.open_descriptors() > descriptors {
        assert!(started.elapsed() < Duration::from_secs(3), "{what}: the disconnect was not noticed");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next connection to any of these listeners, and the request on it.
pub fn accept_request_from_any(listeners: &[TcpListener]) -> (Connection, Message) {
    listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
    let started = Instant::now();
    loop {
        if let Some(stream) = listeners.iter().find_map(|listener| Some(listener.accept().ok()?.0)) {
            stream.set_nonblocking(false).unwrap();
            let mut connection = Connection::from_stream(stream);
            let request = connection.receive();
            return (connection, request);
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "no connection arrives");
    }
}

/// A request that an endpoint has and has not answered.
pub struct PendingExchange {
    pub client: Connection,
    pub upstream: Connection,
}

impl PendingExchange {
    /// Has the endpoint answer with 200, these headers and this body, which the client receives.
    pub fn complete(&mut self, headers: &str, body: &str) {
        self.upstream.send(&response(200, headers, body));
        assert_eq!(self.client.receive().body, body.as_bytes());
    }
}

/// Has so many endpoints' slots taken by non-idempotent requests, each from a client of its own.
pub fn start_pending_requests(node: &Node, listeners: &[TcpListener], slots: usize) -> Vec<PendingExchange> {
    (0..slots)
        .map(|_| {
            let mut client = node.client();
            client.send(&order_request());
            PendingExchange { client, upstream: accept_request_from_any(listeners).0 }
        })
        .collect()
}

/// The next connection to this listener.
pub fn accept_connection(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let started = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "no connection arrives");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An address that refuses connections.
pub fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
