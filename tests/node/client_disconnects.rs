//! Clients that disconnect while their requests wait: nothing of those is sent any more.

use std::io::Write;
use std::net::TcpListener;
use std::slice;
use std::time::Duration;

use socket2::SockRef;

use crate::support::*;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

const ALL_DISCONNECTS: [Disconnect; 2] = [Disconnect::Close, Disconnect::Reset];

fn disconnect(client: Connection, how: Disconnect) {
    if matches!(how, Disconnect::Reset) {
        SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(client);
}

/// How many requests an endpoint gets at a node that has learned nothing yet; further ones are queued.
const INITIAL_CONCURRENCY_LIMIT: usize = 2;

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// What clients send after a request before they disconnect.
fn trailing_bytes() -> [(&'static str, Vec<u8>); 4] {
    [
        ("nothing", Vec::new()),
        ("a byte", b"G".to_vec()),
        ("a request", view_request()),
        ("much", vec![b'x'; UNREAD_BODY_BYTES]),
    ]
}

/// How much of a body clients send before they disconnect. The kernel's receive buffer has to hold what the node does
/// not read: behind bytes that do not fit, the client's FIN is not sent, and nothing could notice the disconnect.
const UNREAD_BODY_BYTES: usize = 48 << 10;

/// The head and a part of a body that is too large to buffer: the rest is not read until an endpoint gets it.
fn partial_upload(id: &str) -> Vec<u8> {
    let head = format!(
        "POST /submit/7f3a HTTP/1.1\r\nHost: n\r\nReq-Id: {id}\r\nReq-Deadline: 14.0\r\n\
         Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4000000\r\n\r\n"
    );
    [head.into_bytes(), vec![b'u'; UNREAD_BODY_BYTES]].concat()
}

/// A request with a complete body that is too large to buffer.
fn complete_upload(chunked: bool) -> Vec<u8> {
    let body = "u".repeat(300_000);
    let (framing, body) = match chunked {
        false => (format!("Content-Length: {}", body.len()), body),
        true => ("Transfer-Encoding: chunked".into(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())),
    };
    let head = format!(
        "POST /order/7f3a HTTP/1.1\r\nHost: n\r\nReq-Id: 9b1f03bb0000000{}\r\nReq-Owner: acme\r\n\
         Req-Deadline: 14.0\r\n{framing}\r\n\r\n",
        u8::from(chunked)
    );
    [head, body].concat().into_bytes()
}

#[test]
fn a_queued_request_is_dropped_when_its_client_disconnects() {
    let a = listener();
    let node = Node::start(&[listening_endpoint("a", &a, "ready")]);
    Watch::accept(&node.discovery).keep_alive();
    let mut pending = start_pending_requests(&node, slice::from_ref(&a), INITIAL_CONCURRENCY_LIMIT);
    let before = node.open_descriptors();
    for how in ALL_DISCONNECTS {
        for (what, bytes) in trailing_bytes() {
            let mut client = node.client();
            client.send(&view_request());
            client.send(&bytes);
            wait_for_descriptors(&node, before + 1);
            disconnect(client, how);
            wait_until_descriptors_closed(&node, before, &format!("{what}, {how:?}"));
        }
        let mut client = node.client();
        client.send(&partial_upload("9b1f03bb00000001"));
        wait_for_descriptors(&node, before + 1);
        disconnect(client, how);
        wait_until_descriptors_closed(&node, before, &format!("half a body, {how:?}"));
    }
    // With capacity again, the next request is the next one sent, and on these connections.
    pending.iter_mut().for_each(|exchange| exchange.complete("", "slip"));
    pause_before_reuse();
    let mut last = node.client();
    last.send(&request_with_id("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
    let connection = &mut pending[1].upstream;
    assert_eq!(connection.receive().header("req-id"), Some("9b1f03bb000000ff"));
    connection.send(&response(200, "", "last"));
    assert_eq!(last.receive().body, b"last");
    a.set_nonblocking(true).unwrap();
    assert!(a.accept().is_err(), "a connection was opened for a request without a client");
}

/// The close of a connection comes after its bytes, and those of a body too large to buffer stay unread until an
/// endpoint gets it.
#[test]
fn a_buffered_body_of_a_disconnected_client_is_not_completed() {
    for chunked in [false, true] {
        let a = listener();
        let node = Node::start(&[listening_endpoint("a", &a, "ready")]);
        Watch::accept(&node.discovery).keep_alive();
        let mut pending = start_pending_requests(&node, slice::from_ref(&a), INITIAL_CONCURRENCY_LIMIT);
        let before = node.open_descriptors();
        let mut client = node.client();
        client.send(&complete_upload(chunked));
        wait_for_descriptors(&node, before + 1);
        disconnect(client, Disconnect::Close);
        pause_before_reuse();
        let mut last = node.client();
        let id = format!("9b1f03bb000000f{}", u8::from(chunked));
        // Of the same class, so that it is queued behind the other.
        last.send(&request_with_id(&id, "POST", "/order/1", "14.0", "", "yen"));
        pending.iter_mut().for_each(|exchange| exchange.complete("Connection: close\r\n", "slip"));
        // A truncated request is none.
        let (mut connection, request) = loop {
            let mut connection = Connection::from_stream(accept_connection(&a));
            if let Some(request) = connection.try_receive() {
                break (connection, request);
            }
        };
        assert_eq!(request.header("req-id"), Some(&id[..]));
        connection.send(&response(200, "Connection: close\r\n", "last"));
        assert_eq!(last.receive().body, b"last");
        drop((pending, last));
        wait_until_descriptors_closed(&node, before - 4, "the client of the body");
    }
}

/// A request that its endpoint has not got completely was not executed: its attempt ends with its client even where
/// attempts may not be cancelled. A chunked body has no length to fall short of: only its last chunk ends it.
#[test]
fn a_partially_sent_attempt_ends_with_its_client() {
    for cancelling in [true, false] {
        let a = listener();
        let node = Node::with_config(&[listening_endpoint("a", &a, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
        });
        Watch::accept(&node.discovery).keep_alive();
        let before = node.open_descriptors();
        let mut client = node.client();
        let head = String::from_utf8(request("POST", "/order/1", "14.0", "", "")).unwrap();
        client.send(head.replace("Content-Length: 0", "Transfer-Encoding: chunked").as_bytes());
        // The endpoint reads nothing yet, so the node reads no more of the body than fits its buffers.
        let chunk = [&b"10000\r\n"[..], &[b'u'; 0x10000], b"\r\n"].concat();
        client.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        while client.stream.write_all(&chunk).is_ok() {}
        let mut connection = Connection::from_stream(accept_connection(&a));
        disconnect(client, Disconnect::Reset);
        wait_until_descriptors_closed(&node, before, "the client that disconnected");
        assert!(connection.try_receive().is_none(), "cancelling {cancelling}: it arrived completely");
    }
}

#[test]
fn a_request_waiting_for_a_connection_is_dropped_when_its_client_disconnects() {
    // Also where attempts may not be cancelled: nothing of it was written.
    for cancelling in [true, false] {
        let (a, backlog) = listener_with_full_backlog();
        let node = Node::with_config(&[listening_endpoint("a", &a, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
            config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        });
        Watch::accept(&node.discovery).keep_alive();
        let before = node.open_descriptors();
        for how in ALL_DISCONNECTS {
            for (what, bytes) in trailing_bytes() {
                let mut client = node.client();
                client.send(&order_request());
                client.send(&bytes);
                // The client's connection and the one that is not established.
                wait_for_descriptors(&node, before + 2);
                disconnect(client, how);
                wait_until_descriptors_closed(
                    &node,
                    before,
                    &format!("{what}, {how:?}, cancelling {cancelling}"),
                );
            }
        }
        for _ in &backlog {
            drop(accept_connection(&a));
        }
        let mut last = node.client();
        last.send(&request_with_id("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
        let (mut connection, request) = accept_request(&a);
        assert_eq!(request.header("req-id"), Some("9b1f03bb000000ff"));
        connection.send(&response(200, "", "last"));
        assert_eq!(last.receive().body, b"last");
        a.set_nonblocking(true).unwrap();
        assert!(a.accept().is_err(), "a connection was opened for a request without a client");
    }
}

#[test]
fn a_request_waiting_for_a_descriptor_is_dropped_when_its_client_disconnects() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| listener()).collect();
    let endpoints: Vec<_> =
        (0..).zip(&listeners).map(|(n, l)| listening_endpoint(&format!("s{n}"), l, "ready")).collect();
    // Two of 36 descriptors are for upstream connections; or the process has no more.
    for (sockets, exhausted) in [(36, false), (1024, true)] {
        for how in ALL_DISCONNECTS {
            for (what, bytes) in trailing_bytes() {
                let node = Node::with_config(&endpoints, |config| {
                    config["limits"]["sockets"] = sockets.into();
                    config["settings"]["allowed"]["cancelling"] = false.into();
                    config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
                });
                Watch::accept(&node.discovery).keep_alive();
                let mut pending = start_pending_requests(&node, &listeners, 2);
                let before = node.open_descriptors();
                let mut client = node.client();
                if exhausted {
                    assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
                    node.exhaust_descriptors();
                }
                client.send(&order_request());
                client.send(&bytes);
                wait_for_descriptors(&node, before + 1);
                // By now it has been read, and waits.
                pause_before_reuse();
                disconnect(client, how);
                wait_until_descriptors_closed(
                    &node,
                    before,
                    &format!("{what}, {how:?}, exhausted {exhausted}"),
                );
                let mut first = pending.remove(0);
                first.complete("Connection: close\r\n", "slip");
                drop(first);
                let mut last = node.client();
                last.send(&request_with_id("9b1f03bb000000ff", "POST", "/order/1", "14.0", "", "yen"));
                assert_eq!(accept_request_from_any(&listeners).1.header("req-id"), Some("9b1f03bb000000ff"));
            }
        }
    }
}

#[test]
fn a_request_waiting_for_a_retry_is_dropped_when_its_client_disconnects() {
    for how in ALL_DISCONNECTS {
        for (what, bytes) in trailing_bytes() {
            let (a, b) = (listener(), listener());
            let node =
                Node::start(&[listening_endpoint("a", &a, "ready"), listening_endpoint("b", &b, "ready")]);
            let mut watch = Watch::accept(&node.discovery);
            // Two at each endpoint use up the capacity of both.
            let mut clients: Vec<(String, Connection)> = (0..4)
                .map(|n| {
                    let id = format!("9b1f03cc{n:08x}");
                    let mut client = node.client();
                    client.send(&request_with_id(&id, "POST", "/order/1", "14.0", "", "yen"));
                    (id, client)
                })
                .collect();
            let ((mut at_a, rejected), (_kept, _)) = (accept_request(&a), accept_request(&a));
            let (mut at_b, answered) = accept_request(&b);
            let (_other, _) = accept_request(&b);
            let before = node.open_descriptors();
            // The endpoint drains and rejects its request, which waits for the other endpoint.
            watch.send_delta(42, &[listening_endpoint("a", &a, "draining")]);
            watch.keep_alive();
            at_a.send(&response(503, "Srv-Declined: 1\r\nConnection: close\r\n", ""));
            assert!(at_a.reaches_close());
            drop(at_a);
            wait_until_descriptors_closed(&node, before - 1, "a connection that was closed");
            let at = clients.iter().position(|(id, _)| rejected.header("req-id") == Some(id)).unwrap();
            let (_, mut client) = clients.remove(at);
            client.send(&bytes);
            disconnect(client, how);
            wait_until_descriptors_closed(&node, before - 2, &format!("{what}, {how:?}"));
            at_b.send(&response(200, "", "slip"));
            let at = clients.iter().position(|(id, _)| answered.header("req-id") == Some(id)).unwrap();
            assert_eq!(clients[at].1.receive().body, b"slip");
            pause_before_reuse();
            let mut last = node.client();
            last.send(&request_with_id("9b1f03cc000000ff", "GET", "/view/1", "14.0", "", ""));
            assert_eq!(at_b.receive().header("req-id"), Some("9b1f03cc000000ff"));
        }
    }
}

#[test]
fn surplus_bytes_do_not_hide_a_disconnect() {
    let a = listener();
    let node = Node::start(&[listening_endpoint("a", &a, "ready")]);
    for how in ALL_DISCONNECTS {
        for (_, bytes) in trailing_bytes() {
            let mut client = node.client();
            client.send(&order_request());
            let (mut connection, _) = accept_request(&a);
            client.send(&bytes);
            disconnect(client, how);
            assert!(connection.reaches_close());
        }
    }
}

/// No descriptor is left, and all connections wait for an endpoint that does not respond.
#[test]
fn disconnects_release_descriptors_when_none_are_left() {
    let a = listener();
    let node = Node::with_descriptor_limit(&[listening_endpoint("a", &a, "ready")], 48);
    for how in ALL_DISCONNECTS {
        let mut crowd: Vec<Connection> = (0..100).map(|_| node.client()).collect();
        crowd.iter_mut().for_each(|client| client.send(&view_request()));
        wait_for_descriptors(&node, 47);
        crowd.into_iter().for_each(|client| disconnect(client, how));
        wait_until_descriptors_closed(&node, 24, &format!("{how:?}"));
        assert_eq!(node.health(), 200);
    }
}

#[test]
fn a_disconnect_cancels_the_attempt() {
    let upstream = UpstreamServer::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    client.send(&view_request());
    let (connection, _) = upstream.next_request();
    drop(client);
    assert_eq!(upstream.next_closed_connection(), connection);
}
