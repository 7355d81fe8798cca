//! Reuse of idle upstream connections.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn an_idle_connection_closed_by_the_endpoint_is_not_reused() {
    let upstream = UpstreamServer::new(|_, _| Reply::SendAndClose(response(200, "", "paid")));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    for number in 0..3 {
        assert_eq!(node.client().exchange(&order_request()).status(), 200);
        assert_eq!(upstream.next_request().0, number);
        assert_eq!(upstream.next_closed_connection(), number);
    }
}

/// Idle connections of all nodes together fill an endpoint's connection table and keep out those that need one.
#[test]
fn idle_connections_close_early_when_an_endpoint_rejects_new_ones() {
    let full = Arc::new(Barrier::new(2));
    let (barrier, rejected) = (full.clone(), "Srv-Declined: 1\r\nConnection: close\r\n");
    let upstream = UpstreamServer::by_connection(move |connection, request| {
        if connection > 0 {
            return Reply::SendAndClose(response(503, rejected, ""));
        }
        if request.start_line.starts_with("POST") {
            barrier.wait();
        }
        ok("slip")
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut busy = node.client();
    busy.send(&order_request());
    wait_until("the request is at the endpoint", || upstream.request_count() == 1);
    (0..4).for_each(|_| assert_ne!(node.client().exchange(&view_request()).status(), 200));
    full.wait();
    assert_eq!(busy.receive().status(), 200);
    // Long before the endpoint would have closed it.
    while upstream.next_closed_connection() != 0 {}
}

#[test]
fn idle_connections_to_an_unresponsive_endpoint_are_not_reused() {
    // Two concurrent requests leave two idle connections; then the endpoint does not respond on either.
    let both = Arc::new(Barrier::new(2));
    let upstream = UpstreamServer::new(move |count, _| match count {
        0 | 1 => {
            both.wait();
            ok("slip")
        }
        _ => Reply::Never,
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let (mut one, mut two) = (node.client(), node.client());
    one.send(&order_request());
    two.send(&order_request());
    assert_eq!((one.receive().status(), two.receive().status()), (200, 200));
    pause_before_reuse();
    assert_eq!(one.exchange(&request("POST", "/order/1", "3", "", "yen")).status(), 504);
    one.send(&order_request());
    let connections: Vec<usize> = (0..4).map(|_| upstream.next_request().0).collect();
    assert_eq!(connections[3], 2, "the last request has a new connection: {connections:?}");
}

#[test]
fn non_idempotent_requests_avoid_reused_connections_after_some_broke() {
    // A reused connection breaks under its second request; a new one works.
    let used = Mutex::new(HashSet::new());
    let upstream =
        UpstreamServer::by_connection(move |connection, _| match used.lock().unwrap().insert(connection) {
            true => ok("paid"),
            false => Reply::SendAndClose(Vec::new()),
        });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    let mut lost = 0;
    for _ in 0..8 {
        lost += usize::from(client.exchange(&order_request()).status() != 200);
        pause_before_reuse();
    }
    assert_eq!(lost, 2, "one may be chance; after two of two, connections are not reused");
}

/// As behind a middlebox that forgets idle connections and resets them at their next request.
#[test]
fn connections_are_reused_up_to_the_idle_time_at_which_they_break() {
    let idle_limit = Duration::from_millis(500);
    let last = Mutex::new(HashMap::new());
    let upstream = UpstreamServer::by_connection(move |connection, _| {
        let before: Option<Instant> = last.lock().unwrap().insert(connection, Instant::now());
        match before.is_some_and(|at| at.elapsed() > idle_limit) {
            true => Reply::SendAndClose(Vec::new()),
            false => ok("paid"),
        }
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    // One may be chance.
    for connection in [0, 1] {
        assert_eq!(client.exchange(&order_request()).status(), 200);
        thread::sleep(2 * idle_limit);
        assert_eq!(client.exchange(&order_request()).status(), 502, "it may have executed");
        assert_eq!((upstream.next_request().0, upstream.next_request().0), (connection, connection));
    }
    // Those reused soon show that a short idle time is safe, for non-idempotent requests too.
    let mut connection_of = |bytes: Vec<u8>| {
        client.exchange(&bytes);
        thread::sleep(Duration::from_millis(20));
        upstream.next_request().0
    };
    assert!(
        (0..40).any(|_| connection_of(view_request()) == connection_of(order_request())),
        "non-idempotent requests reuse connections again"
    );
    thread::sleep(4 * idle_limit);
    assert_eq!(client.exchange(&order_request()).status(), 200, "but not after a long idle time");
}
