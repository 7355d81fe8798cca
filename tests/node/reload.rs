//! Reload of the configuration on SIGHUP.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn sighup_moves_the_watch_and_keeps_requests_and_endpoints() {
    let (one, two) = (ScriptedEndpoint::new(|_, _| Reply::Never), ScriptedEndpoint::new(|_, _| ok("two")));
    let node = Node::start(&[ready_endpoint("a", &one)]);
    let mut watch = Watch::accept(&node.discovery);
    watch.send_delta(57, &[]);
    let mut waiting = node.client();
    waiting.send(&request("POST", "/order/1", "9", "", "xyz"));
    one.next_request();
    // This file is invalid: the node keeps its configuration.
    node.reload_config("{\"name\": 3}");
    watch.send_delta(58, &[endpoint_entry("a", one.address, 1, "draining"), ready_endpoint("b", &two)]);
    while node.client().exchange(&view_request()).status() != 200 {}
    // The first request is still active at its endpoint, which is draining.
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload_config(&node.config_with_discovery(&new_discovery));
    let mut moved = Watch::accept(&new_discovery);
    assert_eq!(moved.request.start_line, "GET /catalog/members?watch=1&from=58 HTTP/1.1");
    assert_eq!(node.client().exchange(&view_request()).body, b"two", "the endpoint list is kept");
    moved.send_delta(59, &[endpoint_entry("b", two.address, 1, "gone")]);
    two.next_closed_connection();
    assert_eq!(waiting.receive().status(), 504);
}

/// Guards against a panic on a failed write to the log.
#[test]
fn a_closed_log_pipe_does_not_stop_the_node() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::with_closed_log(&[ready_endpoint("a", &upstream)]);
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload_config("{\"name\": 3}");
    node.reload_config(&node.config_with_discovery(&new_discovery));
    drop(Watch::accept(&new_discovery));
    Watch::accept(&new_discovery).keep_alive();
    assert_eq!(node.client().exchange(&view_request()).body, b"done");
}

/// When endpoint lists are polled, failed polls increase the backoff. A new address is polled at once,
/// without waiting for the backoff to end.
#[test]
fn polling_switches_to_a_new_discovery_address_at_once() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("known"));
    let node = Node::with_config(&[ready_endpoint("a", &upstream)], |config| {
        config["settings"]["discovery"] = "subscribe".into();
        config["settings"]["obligations"]["ask_every_us"] = 20_000_000.into();
    });
    for _ in 0..4 {
        drop(Watch::accept(&node.discovery));
    }
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload_config(&node.config_with_discovery(&moved));
    let signalled_at = Instant::now();
    Watch::accept(&moved).keep_alive();
    assert!(signalled_at.elapsed() < Duration::from_millis(3500), "{:?}", signalled_at.elapsed());
    assert!(serves_every_class(&node, "known"));
}

#[test]
fn sighup_drops_a_partially_read_endpoint_list() {
    let (known, other) =
        (ScriptedEndpoint::new(|_, _| ok("known")), ScriptedEndpoint::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let mut old = Watch::accept(&node.discovery);
    let indented =
        serde_json::to_string_pretty(&list_message(70, true, &[ready_endpoint("b", &other)])).unwrap();
    let (first, rest) = indented.split_at(indented.len() / 2);
    old.send_line(first);
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload_config(&node.config_with_discovery(&moved));
    let mut new = Watch::accept(&moved);
    assert_eq!(new.request.start_line, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    // The node may have closed the old watch already.
    old.try_send_line(rest);
    assert!(serves_every_class(&node, "known"));
    new.send_delta(60, &[endpoint_entry("a", known.address, 1, "draining"), ready_endpoint("c", &other)]);
    wait_until("the change is applied", || serves_every_class(&node, "other"));
}
