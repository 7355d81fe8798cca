//! Requests that wait for an upstream connection while their endpoint starts draining or enters maintenance,
//! while their idempotency window ends, or while there is no descriptor.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::support::*;

/// Accepts all connections to the listener, and asserts that no request arrives on any of them. The first
/// `backlog` connections are not from the node. After these are accepted, the node responds to another
/// request, so it has had time to write a request to its own connections.
fn assert_no_request_arrives(listener: &TcpListener, backlog: usize, node: &Node) {
    for _ in 0..backlog {
        drop(accept_connection(listener));
    }
    assert_eq!(node.client().exchange(&view_request()).body, b"other");
    listener.set_nonblocking(true).unwrap();
    // Connections of the node are established only once the backlog is accepted. The node closes them without
    // writing to them.
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(
            Connection::from_stream(stream).try_receive().is_none(),
            "a request was written to the connection"
        );
    }
}

#[test]
fn a_waiting_request_moves_to_another_endpoint_when_its_endpoint_drains() {
    let (full_listener, backlog) = listener_with_full_backlog();
    let other = ScriptedEndpoint::new(|_, _| ok("other"));
    let node = Node::with_config(&[listening_endpoint("a", &full_listener, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 5_000_000.into();
    });
    let mut watch = Watch::accept(&node.discovery);
    let before = node.open_descriptors();
    let mut clients = [node.client(), node.client()];
    for client in &mut clients {
        client.send(&order_request());
    }
    // Four more descriptors: both clients and the two connections that their requests wait for.
    while node.open_descriptors() < before + 4 {}
    watch.send_delta(42, &[listening_endpoint("a", &full_listener, "draining"), ready_endpoint("b", &other)]);
    watch.keep_alive();
    while node.client().exchange(&view_request()).body != b"other" {}
    assert_no_request_arrives(&full_listener, backlog.len(), &node);
    for client in &mut clients {
        assert_eq!(client.receive().body, b"other");
    }
}

#[test]
fn a_waiting_request_moves_to_another_endpoint_when_its_endpoint_enters_maintenance() {
    let (full_listener, backlog) = listener_with_full_backlog();
    let other = ScriptedEndpoint::new(|_, _| ok("other"));
    let state_dir = state_dir();
    let node =
        Node::with_admin_config(&[listening_endpoint("a", &full_listener, "ready")], &state_dir, |config| {
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
    // After maintenance the endpoint counts as restarted: connections that were begun before are not used.
    assert_eq!(node.set_maintenance("exit", "a"), 200);
    assert_eq!(node.set_maintenance("enter", "a"), 200);
    assert_no_request_arrives(&full_listener, backlog.len(), &node);
    assert_eq!(client.receive().body, b"other");
}

/// A retry may be decided within the idempotency window while its connection is established only after the
/// window. If it were sent then, the request could be executed twice.
#[test]
fn a_retry_whose_connection_is_established_after_the_idempotency_window_is_not_sent() {
    const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(1500);
    let first_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (retry_listener, backlog) = listener_with_full_backlog();
    let node = Node::with_config(&[listening_endpoint("a", &first_listener, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        config["settings"]["services"][1]["window_us"] = (IDEMPOTENCY_WINDOW.as_micros() as u64).into();
    });
    let mut watch = Watch::accept(&node.discovery);
    // There are two connections: one carries the request, and the close of the other shows that the node
    // knows that the endpoint is draining.
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&view_request()));
    let [(mut idle, _), (mut used, _)] = [accept_request(&first_listener), accept_request(&first_listener)];
    for connection in [&mut idle, &mut used] {
        connection.send(&response(200, "", "done"));
        pause_200_ms();
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.receive().status(), 200));
    let mut client = node.client();
    client.send(&submit_request());
    assert!(used.receive().start_line.starts_with("POST"));
    let sent_at = Instant::now();
    watch.send_delta(
        42,
        &[
            listening_endpoint("a", &first_listener, "draining"),
            listening_endpoint("b", &retry_listener, "ready"),
        ],
    );
    assert!(idle.closes_after_any_data());
    let before = node.open_descriptors();
    drop(used);
    // The connection that the retry waits for replaces the one that was closed.
    while node.open_descriptors() < before && sent_at.elapsed() < IDEMPOTENCY_WINDOW {}
    thread::sleep((sent_at + IDEMPOTENCY_WINDOW).saturating_duration_since(Instant::now()));
    for _ in backlog {
        drop(accept_connection(&retry_listener));
    }
    // The request may have been executed, and must not be executed again.
    assert!([502, 504].contains(&client.receive().status()));
    retry_listener.set_nonblocking(true).unwrap();
    while let Ok((stream, _)) = retry_listener.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(Connection::from_stream(stream).try_receive().is_none(), "the request was sent again");
    }
}

/// All connections carry open requests, so the node cannot close an idle connection to get a descriptor.
#[test]
fn a_request_without_a_descriptor_for_its_connection_waits_for_one() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let endpoints: Vec<Value> = (0..)
        .zip(&listeners)
        .map(|(n, listener)| listening_endpoint(&format!("s{n}"), listener, "ready"))
        .collect();
    // Either the process runs out of descriptors below its configured limit of 1024, or both of the upstream
    // connections that a limit of 36 sockets allows are in use.
    for (sockets, exhausted) in [(1024, true), (36, false)] {
        let node = Node::with_sockets(&endpoints, sockets);
        Watch::accept(&node.discovery).keep_alive();
        let mut open_requests = start_open_requests(&node, &listeners, 2);
        let mut waiting = node.client();
        if exhausted {
            assert_eq!(waiting.exchange(HEALTH_REQUEST).status(), 200);
            node.exhaust_descriptors();
        }
        waiting.send(&order_request());
        pause_200_ms();
        assert!(!waiting.has_unread_data(), "{}", waiting.receive().start_line);
        let mut first = open_requests.remove(0);
        first.complete("Connection: close\r\n", "first");
        drop(first);
        accept_request_from_any(&listeners).0.send(&response(200, "", "second"));
        assert_eq!(waiting.receive().body, b"second");
    }
}
