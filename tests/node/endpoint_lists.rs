//! Endpoint lists: large, indented, truncated, stale; and what their changes do.

use std::collections::HashSet;

use serde_json::Value;

use crate::support::*;

/// As many endpoints as a deployment may have, all at one address.
const ENDPOINTS: usize = 1024;

fn endpoints(prefix: &str, upstream: &UpstreamServer, state: &str) -> Vec<Value> {
    (0..ENDPOINTS)
        .map(|n| endpoint_entry(&format!("{prefix}-{n}"), upstream.address, (n / 8) as u16, state))
        .collect()
}

#[test]
fn a_thousand_endpoints_are_read_from_every_form_of_list_in_bounded_memory() {
    let [known, pushed, late] =
        ["known", "pushed", "late"].map(|body| UpstreamServer::new(move |_, _| ok(body)));
    let node = Node::start(&endpoints("k", &known, "ready"));
    assert!(serves_every_class(&node, "known"));
    let mut watch = Watch::accept(&node.discovery);
    watch.send_line(&list_message(42, true, &endpoints("p", &pushed, "ready")).to_string());
    wait_until("the pushed list applies", || serves_every_class(&node, "pushed"));
    let indented =
        serde_json::to_string_pretty(&list_message(43, true, &endpoints("l", &late, "ready"))).unwrap();
    assert!(indented.lines().count() > 8 * ENDPOINTS);
    watch.send_line(&indented);
    wait_until("the indented list applies", || serves_every_class(&node, "late"));
    // A delta of all of them: they drain, and the others are back.
    let changes = [endpoints("l", &late, "draining"), endpoints("p", &pushed, "ready")].concat();
    watch.send_line(&serde_json::to_string_pretty(&list_message(44, false, &changes)).unwrap());
    wait_until("the delta applies", || serves_every_class(&node, "pushed"));
    let memory = node.peak_memory();
    assert!(memory < 24 << 20, "{memory} bytes for lists of {ENDPOINTS}");
}

#[test]
fn an_invalid_or_stale_list_changes_nothing_and_reopens_the_watch() {
    let (known, other) = (UpstreamServer::new(|_, _| ok("known")), UpstreamServer::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let snapshot = list_message(60, true, &[ready_endpoint("b", &other)]);
    let indented = serde_json::to_string_pretty(&snapshot).unwrap();
    let half = &indented[..indented.len() / 2];
    let in_a_string = &indented[..indented.find("\"uid\": \"").unwrap() + 8];
    let old = list_message(40, true, &[ready_endpoint("b", &other)]).to_string();
    let unknown_state = snapshot.to_string().replace("\"ready\"", "\"asleep\"");
    for bad in [&format!("{half}\n"), in_a_string, &old, &unknown_state, "}", "[[[[", "\"", "\u{0}"] {
        let mut watch = Watch::accept(&node.discovery);
        assert_eq!(watch.request.start_line, "GET /catalog/members?watch=1&from=41 HTTP/1.1", "before {bad}");
        watch.send_line(bad);
        // The truncation shows with the next empty line, which says that nothing changed.
        watch.send_line("");
        assert!(serves_every_class(&node, "known"), "after {bad}");
    }
    let mut watch = Watch::accept(&node.discovery);
    // A snapshot may be sent twice.
    watch.send_line(&format!("{indented}\n{snapshot}"));
    wait_until("the snapshot applies", || serves_every_class(&node, "other"));
}

#[test]
fn a_draining_endpoint_gets_no_new_requests_and_its_idle_connections_close() {
    let (one, two) = (UpstreamServer::new(|_, _| ok("one")), UpstreamServer::new(|_, _| ok("two")));
    let node = Node::start(&[ready_endpoint("a", &one), endpoint_entry("b", two.address, 1, "draining")]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.start_line, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    assert_eq!(node.client().exchange(&view_request()).body, b"one");
    watch.send_delta(42, &[endpoint_entry("a", one.address, 1, "draining"), ready_endpoint("b", &two)]);
    assert_eq!(one.next_closed_connection(), 0);
    let before = one.request_count();
    let mut connections = HashSet::new();
    for _ in 0..10 {
        assert_eq!(node.client().exchange(&view_request()).body, b"two");
        connections.insert(two.next_request().0);
    }
    assert_eq!(one.request_count(), before);
    // A snapshot without an endpoint means that it is gone.
    watch.send_line(&list_message(50, true, &[ready_endpoint("a", &one)]).to_string());
    for _ in connections {
        two.next_closed_connection();
    }
    assert_eq!(node.client().exchange(&view_request()).body, b"one");
}

#[test]
fn an_endpoint_is_reached_at_its_new_address() {
    let (old, new) = (UpstreamServer::new(|_, _| ok("old")), UpstreamServer::new(|_, _| ok("new")));
    let node = Node::start(&[ready_endpoint("a", &old)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().exchange(&view_request()).body, b"old");
    watch.send_delta(42, &[ready_endpoint("a", &new)]);
    assert_eq!(old.next_closed_connection(), 0);
    assert_eq!(node.client().exchange(&view_request()).body, b"new");
}

#[test]
fn a_restarted_endpoint_gets_new_connections() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
    let mut restarted = ready_endpoint("a", &upstream);
    restarted["boot_ms"] = 1.into();
    watch.send_delta(42, &[restarted]);
    assert_eq!(upstream.next_closed_connection(), 0);
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
}
