//! Listeners and the connections that the node opens to them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::support::*;

/// Returns a listener with a full backlog and the connections in it. Further connections are established
/// only after the listener has accepted those.
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

/// Accepts the next connection to this listener and reads one request from it.
pub fn accept_request(listener: &TcpListener) -> (Connection, Message) {
    let mut connection = Connection::from_stream(accept_connection(listener));
    let request = connection.receive();
    (connection, request)
}

/// Waits until the node has at least this many descriptors open, for example because it has accepted a
/// client.
pub fn wait_until_descriptors_open(node: &Node, descriptors: usize) {
    let started = Instant::now();
    while node.open_descriptors() < descriptors {
        assert!(started.elapsed() < EVENT_TIMEOUT, "fewer than {descriptors} descriptors are open");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until the node has at most this many descriptors open. The limit of 3 seconds is far longer than
/// the node needs to notice a disconnect, and far shorter than any deadline of the tests.
pub fn wait_until_descriptors_closed(node: &Node, descriptors: usize, what: &str) {
    let started = Instant::now();
    while node.open_descriptors() > descriptors {
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{what}: more than {descriptors} descriptors are still open"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Accepts the next connection to any of these listeners and reads one request from it.
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
        assert!(started.elapsed() < EVENT_TIMEOUT, "no connection has arrived");
    }
}

/// Returns a node and the listener of its only endpoint.
pub fn start_node_with_listener() -> (Node, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&[listening_endpoint("a", &listener, "ready")]);
    (node, listener)
}

/// Concurrency limit of an endpoint at a node that has just started. Further requests are queued.
pub const INITIAL_CONCURRENCY_LIMIT: usize = 2;

/// An open request: an endpoint has received it and has not answered it yet.
pub struct OpenRequest {
    pub client: Connection,
    pub upstream: Connection,
}

impl OpenRequest {
    /// Sends a 200 response with these headers and this body from the endpoint, and checks that the client
    /// receives it.
    pub fn complete(&mut self, headers: &str, body: &str) {
        self.upstream.send(&response(200, headers, body));
        assert_eq!(self.client.receive().body, body.as_bytes());
    }
}

/// Sends `count` non-idempotent requests, each from a new client, and waits until an endpoint has received
/// each. They use up this many slots of the endpoints' concurrency limits.
pub fn start_open_requests(node: &Node, listeners: &[TcpListener], count: usize) -> Vec<OpenRequest> {
    (0..count)
        .map(|_| {
            let mut client = node.client();
            client.send(&order_request());
            OpenRequest { client, upstream: accept_request_from_any(listeners).0 }
        })
        .collect()
}

/// Accepts the next connection to this listener.
pub fn accept_connection(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let started = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return stream;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "no connection has arrived");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns an address that refuses connections.
pub fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
