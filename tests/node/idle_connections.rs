//! Reuse and closing of idle upstream connections.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn an_idle_connection_closed_by_the_endpoint_is_not_reused() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::SendAndClose(response(200, "", "paid")));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    for number in 0..3 {
        assert_eq!(node.client().exchange(&order_request()).status(), 200);
        assert_eq!(upstream.next_request().0, number);
        assert_eq!(upstream.next_closed_connection(), number);
    }
}

/// The idle connections of all nodes together can use up the connections that an endpoint accepts, so that it
/// rejects nodes that need a new one.
#[test]
fn idle_connections_close_early_when_an_endpoint_rejects_new_ones() {
    let pending_response = Arc::new(Barrier::new(2));
    let (barrier, reject_headers) = (pending_response.clone(), "Srv-Declined: 1\r\nConnection: close\r\n");
    let upstream = ScriptedEndpoint::by_connection(move |connection, request| {
        if connection > 0 {
            return Reply::SendAndClose(response(503, reject_headers, ""));
        }
        if request.start_line.starts_with("POST") {
            barrier.wait();
        }
        ok("done")
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut busy = node.client();
    busy.send(&order_request());
    wait_until("the request is at the endpoint", || upstream.request_count() == 1);
    (0..4).for_each(|_| assert_ne!(node.client().exchange(&view_request()).status(), 200));
    pending_response.wait();
    assert_eq!(busy.receive().status(), 200);
    // The node closes the connection long before the keep-alive time of the settings, 60 s, is over.
    while upstream.next_closed_connection() != 0 {}
}

#[test]
fn idle_connections_to_an_unresponsive_endpoint_are_not_reused() {
    // Two concurrent requests leave two idle connections. Afterwards the endpoint does not respond on either.
    let both_requests = Arc::new(Barrier::new(2));
    let upstream = ScriptedEndpoint::new(move |count, _| match count {
        0 | 1 => {
            both_requests.wait();
            ok("done")
        }
        _ => Reply::Never,
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let (mut first, mut second) = (node.client(), node.client());
    first.send(&order_request());
    second.send(&order_request());
    assert_eq!((first.receive().status(), second.receive().status()), (200, 200));
    pause_200_ms();
    assert_eq!(first.exchange(&request("POST", "/order/1", "3", "", "xyz")).status(), 504);
    first.send(&order_request());
    let connections: Vec<usize> = (0..4).map(|_| upstream.next_request().0).collect();
    assert_eq!(connections[3], 2, "the last request uses a new connection: {connections:?}");
}

#[test]
fn non_idempotent_requests_avoid_reused_connections_after_some_broke() {
    // Each connection serves its first request and breaks during its second one.
    let used = Mutex::new(HashSet::new());
    let upstream =
        ScriptedEndpoint::by_connection(move |connection, _| match used.lock().unwrap().insert(connection) {
            true => ok("paid"),
            false => Reply::SendAndClose(Vec::new()),
        });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    let mut failed = 0;
    for _ in 0..8 {
        failed += usize::from(client.exchange(&order_request()).status() != 200);
        pause_200_ms();
    }
    assert_eq!(failed, 2, "one break may be chance; after two breaks connections are not reused");
}

/// The endpoint behaves like one behind a middlebox that drops the state of idle connections and resets them
/// at their next request.
#[test]
fn connections_are_reused_up_to_the_idle_time_at_which_they_break() {
    let idle_limit = Duration::from_millis(500);
    let last_used = Mutex::new(HashMap::new());
    let upstream = ScriptedEndpoint::by_connection(move |connection, _| {
        let before: Option<Instant> = last_used.lock().unwrap().insert(connection, Instant::now());
        match before.is_some_and(|at| at.elapsed() > idle_limit) {
            true => Reply::SendAndClose(Vec::new()),
            false => ok("paid"),
        }
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    // A single break may be chance, so two are needed.
    for connection in [0, 1] {
        assert_eq!(client.exchange(&order_request()).status(), 200);
        thread::sleep(2 * idle_limit);
        assert_eq!(client.exchange(&order_request()).status(), 502, "the request may have been executed");
        assert_eq!((upstream.next_request().0, upstream.next_request().0), (connection, connection));
    }
    // Connections that are reused early show that short idle times are safe, for non-idempotent requests too.
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
    assert_eq!(
        client.exchange(&order_request()).status(),
        200,
        "connections are not reused after a long idle time"
    );
}
