//! Clients that disconnect while their requests wait: these requests are no longer sent to an endpoint.

use std::io::Write;
use std::net::TcpListener;
use std::slice;
use std::time::Duration;

use socket2::SockRef;

use crate::support::*;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
}

const ALL_DISCONNECTS: [Disconnect; 2] = [Disconnect::Close, Disconnect::Reset];

fn disconnect(client: Connection, kind: Disconnect) {
    if matches!(kind, Disconnect::Reset) {
        SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(client);
}

fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Returns what clients send after a request and before they disconnect, each with its description.
fn trailing_bytes() -> [(&'static str, Vec<u8>); 4] {
    [
        ("nothing", Vec::new()),
        ("a byte", b"G".to_vec()),
        ("a request", view_request()),
        ("many bytes", vec![b'x'; UNREAD_BODY_BYTES]),
    ]
}

/// Number of bytes of a body that clients send before they disconnect. The kernel's receive buffer has to
/// hold what the node does not read: after bytes that do not fit, the client's FIN is not sent, and the node
/// could not notice the disconnect.
const UNREAD_BODY_BYTES: usize = 48 << 10;

/// Guards against requests that are sent on although their client has left: it sent more behind them than the
/// kernel's receive buffer holds, so that its FIN could not be received.
#[test]
fn a_client_that_disconnects_behind_much_unread_data_is_noticed() {
    let (node, listener) = start_node_with_listener();
    Watch::accept(&node.discovery).keep_alive();
    let open_requests = start_open_requests(&node, slice::from_ref(&listener), INITIAL_CONCURRENCY_LIMIT);
    let before = node.open_descriptors();
    let pipelined: Vec<u8> = (0..4000).flat_map(|_| order_request()).collect();
    for (request, trailing) in [
        (view_request(), pipelined.clone()),
        (order_request(), pipelined),
        (order_request(), vec![b'x'; 400_000]),
    ] {
        let mut client = node.client();
        client.send(&request);
        client.send(&trailing);
        wait_until_descriptors_open(&node, before + 1);
        disconnect(client, Disconnect::Close);
        wait_until_descriptors_closed(&node, before, "much unread data");
    }
    drop(open_requests);
}

/// Returns a head and the first bytes of a body that is too large to buffer. Until an endpoint gets the
/// request, the node reads only as much of the body as hyper reads together with the head.
fn partial_upload(id: &str) -> Vec<u8> {
    let head = format!(
        "POST /submit/7f3a HTTP/1.1\r\nHost: n\r\nReq-Id: {id}\r\nReq-Deadline: 14.0\r\n\
         Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4000000\r\n\r\n"
    );
    [head.into_bytes(), vec![b'u'; UNREAD_BODY_BYTES]].concat()
}

/// Returns a request with a complete body that is too large to buffer.
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
    let (node, listener) = start_node_with_listener();
    Watch::accept(&node.discovery).keep_alive();
    let mut open_requests = start_open_requests(&node, slice::from_ref(&listener), INITIAL_CONCURRENCY_LIMIT);
    let before = node.open_descriptors();
    for kind in ALL_DISCONNECTS {
        for (trailing, bytes) in trailing_bytes() {
            let mut client = node.client();
            client.send(&view_request());
            client.send(&bytes);
            wait_until_descriptors_open(&node, before + 1);
            disconnect(client, kind);
            wait_until_descriptors_closed(&node, before, &format!("{trailing}, {kind:?}"));
        }
        let mut client = node.client();
        client.send(&partial_upload("9b1f03bb00000001"));
        wait_until_descriptors_open(&node, before + 1);
        disconnect(client, kind);
        wait_until_descriptors_closed(&node, before, &format!("part of a body, {kind:?}"));
    }
    // Once there is capacity again, the next request that is sent is that of the new client. It is sent on
    // the connection that became idle last, which is the second one.
    open_requests.iter_mut().for_each(|request| request.complete("", "done"));
    pause_200_ms();
    let mut last_client = node.client();
    last_client.send(&request_with_id("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
    let connection = &mut open_requests[1].upstream;
    assert_eq!(connection.receive().header("req-id"), Some("9b1f03bb000000ff"));
    connection.send(&response(200, "", "last"));
    assert_eq!(last_client.receive().body, b"last");
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "a connection was opened for a request without a client");
}

/// The close of a connection follows its bytes, and the bytes of a body that is too large to buffer stay in
/// the kernel's receive buffer until an endpoint gets the body. The node may notice the close only after it
/// has read them, and must still not send the whole request.
#[test]
fn an_unread_body_of_a_disconnected_client_is_not_sent_completely() {
    for chunked in [false, true] {
        let (node, listener) = start_node_with_listener();
        Watch::accept(&node.discovery).keep_alive();
        let mut open_requests =
            start_open_requests(&node, slice::from_ref(&listener), INITIAL_CONCURRENCY_LIMIT);
        let before = node.open_descriptors();
        let mut client = node.client();
        client.send(&complete_upload(chunked));
        wait_until_descriptors_open(&node, before + 1);
        disconnect(client, Disconnect::Close);
        pause_200_ms();
        let mut last_client = node.client();
        let id = format!("9b1f03bb000000f{}", u8::from(chunked));
        // The request has the same class as the upload, so that it is queued after it.
        last_client.send(&request_with_id(&id, "POST", "/order/1", "14.0", "", "xyz"));
        open_requests.iter_mut().for_each(|request| request.complete("Connection: close\r\n", "done"));
        // Connections that end before a request is complete are skipped.
        let (mut connection, request) = loop {
            let mut connection = Connection::from_stream(accept_connection(&listener));
            if let Some(request) = connection.try_receive() {
                break (connection, request);
            }
        };
        assert_eq!(request.header("req-id"), Some(&id[..]));
        connection.send(&response(200, "Connection: close\r\n", "last"));
        assert_eq!(last_client.receive().body, b"last");
        drop((open_requests, last_client));
        // `before` counts four connections that are closed now: those of the two clients with open requests,
        // and the upstream connections that carried these requests.
        wait_until_descriptors_closed(&node, before - 4, "the client of the body");
    }
}

/// An endpoint does not execute a request that it has not received completely, so the attempt ends when the
/// client disconnects, even if attempts may not be cancelled. The body is chunked: it states no length that
/// would show that it is truncated, and only its last chunk ends it.
#[test]
fn a_partially_sent_attempt_ends_when_its_client_disconnects() {
    for cancelling in [true, false] {
        let listener = bind_listener();
        let node = Node::with_config(&[listening_endpoint("a", &listener, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
        });
        Watch::accept(&node.discovery).keep_alive();
        let before = node.open_descriptors();
        let mut client = node.client();
        let head = String::from_utf8(request("POST", "/order/1", "14.0", "", "")).unwrap();
        client.send(head.replace("Content-Length: 0", "Transfer-Encoding: chunked").as_bytes());
        // The endpoint reads nothing yet, so the node reads only as much of the body as fits its buffers.
        let chunk = [&b"10000\r\n"[..], &[b'u'; 0x10000], b"\r\n"].concat();
        client.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        while client.stream.write_all(&chunk).is_ok() {}
        let mut connection = Connection::from_stream(accept_connection(&listener));
        disconnect(client, Disconnect::Reset);
        wait_until_descriptors_closed(&node, before, "the client that disconnected");
        assert!(connection.try_receive().is_none(), "cancelling {cancelling}: it arrived completely");
    }
}

#[test]
fn a_request_waiting_for_a_connection_is_dropped_when_its_client_disconnects() {
    // This also applies if attempts may not be cancelled, because no byte of the request was written.
    for cancelling in [true, false] {
        let (listener, backlog) = listener_with_full_backlog();
        let node = Node::with_config(&[listening_endpoint("a", &listener, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
            config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        });
        Watch::accept(&node.discovery).keep_alive();
        let before = node.open_descriptors();
        for kind in ALL_DISCONNECTS {
            for (trailing, bytes) in trailing_bytes() {
                let mut client = node.client();
                client.send(&order_request());
                client.send(&bytes);
                // The client's connection, and the upstream connection that is not established yet.
                wait_until_descriptors_open(&node, before + 2);
                disconnect(client, kind);
                wait_until_descriptors_closed(
                    &node,
                    before,
                    &format!("{trailing}, {kind:?}, cancelling {cancelling}"),
                );
            }
        }
        for _ in &backlog {
            drop(accept_connection(&listener));
        }
        let mut last_client = node.client();
        last_client.send(&request_with_id("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
        let (mut connection, request) = accept_request(&listener);
        assert_eq!(request.header("req-id"), Some("9b1f03bb000000ff"));
        connection.send(&response(200, "", "last"));
        assert_eq!(last_client.receive().body, b"last");
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err(), "a connection was opened for a request without a client");
    }
}

#[test]
fn a_request_waiting_for_a_descriptor_is_dropped_when_its_client_disconnects() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| bind_listener()).collect();
    let endpoints: Vec<_> = (0..)
        .zip(&listeners)
        .map(|(n, listener)| listening_endpoint(&format!("s{n}"), listener, "ready"))
        .collect();
    // In the first case only 2 of the 36 descriptors are for upstream connections. In the second case the
    // process has no descriptor left.
    for (sockets, exhausted) in [(36, false), (1024, true)] {
        for kind in ALL_DISCONNECTS {
            for (trailing, bytes) in trailing_bytes() {
                let node = Node::with_config(&endpoints, |config| {
                    config["limits"]["sockets"] = sockets.into();
                    config["settings"]["allowed"]["cancelling"] = false.into();
                    config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
                });
                Watch::accept(&node.discovery).keep_alive();
                let mut open_requests = start_open_requests(&node, &listeners, 2);
                let before = node.open_descriptors();
                let mut client = node.client();
                if exhausted {
                    assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
                    node.exhaust_descriptors();
                }
                client.send(&order_request());
                client.send(&bytes);
                wait_until_descriptors_open(&node, before + 1);
                // After this pause the node has read the request, which now waits.
                pause_200_ms();
                disconnect(client, kind);
                wait_until_descriptors_closed(
                    &node,
                    before,
                    &format!("{trailing}, {kind:?}, exhausted {exhausted}"),
                );
                let mut first = open_requests.remove(0);
                first.complete("Connection: close\r\n", "done");
                drop(first);
                let mut last_client = node.client();
                last_client.send(&request_with_id("9b1f03bb000000ff", "POST", "/order/1", "14.0", "", "xyz"));
                assert_eq!(accept_request_from_any(&listeners).1.header("req-id"), Some("9b1f03bb000000ff"));
            }
        }
    }
}

#[test]
fn a_request_waiting_for_a_retry_is_dropped_when_its_client_disconnects() {
    for kind in ALL_DISCONNECTS {
        for (trailing, bytes) in trailing_bytes() {
            let (first_listener, second_listener) = (bind_listener(), bind_listener());
            let node = Node::start(&[
                listening_endpoint("a", &first_listener, "ready"),
                listening_endpoint("b", &second_listener, "ready"),
            ]);
            let mut watch = Watch::accept(&node.discovery);
            // Two requests at each endpoint use up the concurrency limits of both.
            let mut clients: Vec<(String, Connection)> = (0..4)
                .map(|n| {
                    let id = format!("9b1f03cc{n:08x}");
                    let mut client = node.client();
                    client.send(&request_with_id(&id, "POST", "/order/1", "14.0", "", "xyz"));
                    (id, client)
                })
                .collect();
            let ((mut first_upstream, rejected), (_first_pending, _)) =
                (accept_request(&first_listener), accept_request(&first_listener));
            let (mut second_upstream, answered) = accept_request(&second_listener);
            let (_second_pending, _) = accept_request(&second_listener);
            let before = node.open_descriptors();
            // The first endpoint drains and rejects its request, which then waits for the second endpoint.
            watch.send_delta(42, &[listening_endpoint("a", &first_listener, "draining")]);
            watch.keep_alive();
            first_upstream.send(&response(503, "Srv-Declined: 1\r\nConnection: close\r\n", ""));
            assert!(first_upstream.closes_after_any_data());
            drop(first_upstream);
            wait_until_descriptors_closed(&node, before - 1, "a connection that was closed");
            let index = clients.iter().position(|(id, _)| rejected.header("req-id") == Some(id)).unwrap();
            let (_, mut client) = clients.remove(index);
            client.send(&bytes);
            disconnect(client, kind);
            wait_until_descriptors_closed(&node, before - 2, &format!("{trailing}, {kind:?}"));
            second_upstream.send(&response(200, "", "done"));
            let index = clients.iter().position(|(id, _)| answered.header("req-id") == Some(id)).unwrap();
            assert_eq!(clients[index].1.receive().body, b"done");
            pause_200_ms();
            let mut last_client = node.client();
            last_client.send(&request_with_id("9b1f03cc000000ff", "GET", "/view/1", "14.0", "", ""));
            assert_eq!(second_upstream.receive().header("req-id"), Some("9b1f03cc000000ff"));
        }
    }
}

#[test]
fn trailing_bytes_do_not_hide_a_disconnect() {
    let (node, listener) = start_node_with_listener();
    for kind in ALL_DISCONNECTS {
        for (_, bytes) in trailing_bytes() {
            let mut client = node.client();
            client.send(&order_request());
            let (mut connection, _) = accept_request(&listener);
            client.send(&bytes);
            disconnect(client, kind);
            assert!(connection.closes_after_any_data());
        }
    }
}

/// No descriptor is left, and the requests of all connections wait for an endpoint that does not respond.
#[test]
fn disconnects_release_descriptors_when_none_are_left() {
    let listener = bind_listener();
    let node = Node::with_descriptor_limit(&[listening_endpoint("a", &listener, "ready")], 48);
    for kind in ALL_DISCONNECTS {
        let mut clients: Vec<Connection> = (0..100).map(|_| node.client()).collect();
        clients.iter_mut().for_each(|client| client.send(&view_request()));
        // The clients use up nearly all of the 48 descriptors. After they have disconnected, at most half of
        // the descriptors may be open, which is more than the node needs without clients.
        wait_until_descriptors_open(&node, 47);
        clients.into_iter().for_each(|client| disconnect(client, kind));
        wait_until_descriptors_closed(&node, 24, &format!("{kind:?}"));
        assert_eq!(node.health(), 200);
    }
}

#[test]
fn a_disconnect_cancels_the_attempt() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    client.send(&view_request());
    let (connection, _) = upstream.next_request();
    drop(client);
    assert_eq!(upstream.next_closed_connection(), connection);
}
