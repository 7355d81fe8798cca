//! Requests that wait for an upstream connection while their endpoint drains or enters maintenance, while their
//! idempotency window ends, or while there is no descriptor.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::support::*;

/// Accepts all connections to the listener and asserts that no request arrives on one before the node has responded
/// once more.
fn assert_no_request_arrives(a: &TcpListener, backlog: usize, node: &Node) {
    for _ in 0..backlog {
        drop(accept_connection(a));
    }
    assert_eq!(node.client().exchange(&view_request()).body, b"other");
    a.set_nonblocking(true).unwrap();
    // A connection that was established after all is closed without a byte.
    while let Ok((stream, _)) = a.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(Connection::from_stream(stream).try_receive().is_none(), "a request was written to it");
    }
}

#[test]
fn a_request_waiting_for_a_connection_moves_when_the_endpoint_drains() {
    let (a, backlog) = listener_with_full_backlog();
    let other = UpstreamServer::new(|_, _| ok("other"));
    let node = Node::with_config(&[listening_endpoint("a", &a, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 5_000_000.into();
    });
    let mut watch = Watch::accept(&node.discovery);
    let before = node.open_descriptors();
    let mut clients = [node.client(), node.client()];
    for client in &mut clients {
        client.send(&order_request());
    }
    // Both wait for a connection now.
    while node.open_descriptors() < before + 4 {}
    watch.send_delta(42, &[listening_endpoint("a", &a, "draining"), ready_endpoint("b", &other)]);
    watch.keep_alive();
    while node.client().exchange(&view_request()).body != b"other" {}
    assert_no_request_arrives(&a, backlog.len(), &node);
    for client in &mut clients {
        assert_eq!(client.receive().body, b"other");
    }
}

#[test]
fn a_request_waiting_for_a_connection_moves_when_the_endpoint_enters_maintenance() {
    let (a, backlog) = listener_with_full_backlog();
    let other = UpstreamServer::new(|_, _| ok("other"));
    let state_dir = state_dir();
    let node = Node::with_admin_config(&[listening_endpoint("a", &a, "ready")], &state_dir, |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 5_000_000.into();
    });
    let mut watch = Watch::accept(&node.discovery);
    let before = node.open_descriptors();
    let mut client = node.client();
    client.send(&order_request());
    while node.open_descriptors() < before + 2 {}
    assert_eq!(node.set_maintenance("enter", "a"), 200);
    watch.send_delta(42, &[ready_endpoint("b", &other)]);
    watch.keep_alive();
    while node.client().exchange(&view_request()).body != b"other" {}
    // After maintenance the endpoint counts as restarted: connections begun before are not used.
    assert_eq!(node.set_maintenance("exit", "a"), 200);
    assert_eq!(node.set_maintenance("enter", "a"), 200);
    assert_no_request_arrives(&a, backlog.len(), &node);
    assert_eq!(client.receive().body, b"other");
}

/// A retry may be decided within the window and its connection be established after it: it could execute again.
#[test]
fn a_retry_whose_connection_is_established_after_the_window_is_not_sent() {
    const WINDOW: Duration = Duration::from_millis(1500);
    let a = TcpListener::bind("127.0.0.1:0").unwrap();
    let (b, backlog) = listener_with_full_backlog();
    let node = Node::with_config(&[listening_endpoint("a", &a, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        config["settings"]["services"][1]["window_us"] = (WINDOW.as_micros() as u64).into();
    });
    let mut watch = Watch::accept(&node.discovery);
    // Two connections: the request goes on one, and the close of the other shows that the drain is known.
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&view_request()));
    let [(mut idle, _), (mut used, _)] = [accept_request(&a), accept_request(&a)];
    for connection in [&mut idle, &mut used] {
        connection.send(&response(200, "", "slip"));
        pause_before_reuse();
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
    let mut client = node.client();
    client.send(&submit_request());
    assert!(used.receive().start_line.starts_with("POST"));
    let sent_at = Instant::now();
    watch.send_delta(42, &[listening_endpoint("a", &a, "draining"), listening_endpoint("b", &b, "ready")]);
    assert!(idle.reaches_close());
    let before = node.open_descriptors();
    drop(used);
    // The retry waits for a connection in place of the one that closed.
    while node.open_descriptors() < before && sent_at.elapsed() < WINDOW {}
    thread::sleep((sent_at + WINDOW).saturating_duration_since(Instant::now()));
    for _ in backlog {
        drop(accept_connection(&b));
    }
    // It may have executed, and may not execute again.
    assert!([502, 504].contains(&client.receive().status()));
    b.set_nonblocking(true).unwrap();
    while let Ok((stream, _)) = b.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(Connection::from_stream(stream).try_receive().is_none(), "it was sent again");
    }
}

/// No idle connection is left: all that there are carry requests that wait.
#[test]
fn a_request_without_a_descriptor_for_its_connection_waits_for_one() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let endpoints: Vec<Value> =
        (0..).zip(&listeners).map(|(n, l)| listening_endpoint(&format!("s{n}"), l, "ready")).collect();
    // Two of 36 sockets are for upstream connections; or the process runs out of descriptors without knowing its limit.
    for (sockets, exhausted) in [(1024, true), (36, false)] {
        let node = Node::with_sockets(&endpoints, sockets);
        Watch::accept(&node.discovery).keep_alive();
        let mut pending = start_pending_requests(&node, &listeners, 2);
        let mut waiting = node.client();
        if exhausted {
            assert_eq!(waiting.exchange(HEALTH_REQUEST).status(), 200);
            node.exhaust_descriptors();
        }
        waiting.send(&order_request());
        pause_before_reuse();
        assert!(!waiting.has_unread_data(), "{}", waiting.receive().start_line);
        let mut first = pending.remove(0);
        first.complete("Connection: close\r\n", "first");
        drop(first);
        accept_request_from_any(&listeners).0.send(&response(200, "", "second"));
        assert_eq!(waiting.receive().body, b"second");
    }
}
