//! Endpoint lists: large, indented, truncated and stale ones, and the effect of their changes.

use std::collections::HashSet;

use serde_json::Value;

use crate::support::*;

/// Maximum number of endpoints of a deployment; in these lists all have one address.
const ENDPOINT_COUNT: usize = 1024;

fn endpoint_entries(prefix: &str, upstream: &ScriptedEndpoint, state: &str) -> Vec<Value> {
    (0..ENDPOINT_COUNT)
        .map(|n| endpoint_entry(&format!("{prefix}-{n}"), upstream.address, (n / 8) as u16, state))
        .collect()
}

#[test]
fn applies_lists_of_1024_endpoints_in_every_form_in_bounded_memory() {
    let [known, pushed, late] =
        ["known", "pushed", "late"].map(|body| ScriptedEndpoint::new(move |_, _| ok(body)));
    let node = Node::start(&endpoint_entries("k", &known, "ready"));
    assert!(serves_every_class(&node, "known"));
    let mut watch = Watch::accept(&node.discovery);
    watch.send_line(&list_message(42, true, &endpoint_entries("p", &pushed, "ready")).to_string());
    wait_until("the pushed list applies", || serves_every_class(&node, "pushed"));
    let indented =
        serde_json::to_string_pretty(&list_message(43, true, &endpoint_entries("l", &late, "ready")))
            .unwrap();
    assert!(indented.lines().count() > 8 * ENDPOINT_COUNT);
    watch.send_line(&indented);
    wait_until("the indented list applies", || serves_every_class(&node, "late"));
    // This delta names all endpoints: the current ones drain, and the previous ones are ready again.
    let changes =
        [endpoint_entries("l", &late, "draining"), endpoint_entries("p", &pushed, "ready")].concat();
    watch.send_line(&serde_json::to_string_pretty(&list_message(44, false, &changes)).unwrap());
    wait_until("the delta applies", || serves_every_class(&node, "pushed"));
    let memory = node.peak_memory();
    assert!(memory < 24 << 20, "{memory} bytes for lists of {ENDPOINT_COUNT} endpoints");
}

#[test]
fn an_invalid_or_stale_list_changes_nothing_and_reopens_the_watch() {
    let (known, other) =
        (ScriptedEndpoint::new(|_, _| ok("known")), ScriptedEndpoint::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let snapshot = list_message(60, true, &[ready_endpoint("b", &other)]);
    let indented = serde_json::to_string_pretty(&snapshot).unwrap();
    let truncated = &indented[..indented.len() / 2];
    let truncated_in_string = &indented[..indented.find("\"uid\": \"").unwrap() + 8];
    let stale = list_message(40, true, &[ready_endpoint("b", &other)]).to_string();
    let unknown_state = snapshot.to_string().replace("\"ready\"", "\"asleep\"");
    for invalid in
        [&format!("{truncated}\n"), truncated_in_string, &stale, &unknown_state, "}", "[[[[", "\"", "\u{0}"]
    {
        let mut watch = Watch::accept(&node.discovery);
        assert_eq!(
            watch.request.start_line, "GET /catalog/members?watch=1&from=41 HTTP/1.1",
            "before {invalid}"
        );
        watch.send_line(invalid);
        // A truncated list is detected at the next empty line, which is sent only between lists.
        watch.send_line("");
        assert!(serves_every_class(&node, "known"), "after {invalid}");
    }
    let mut watch = Watch::accept(&node.discovery);
    // A snapshot may be sent twice.
    watch.send_line(&format!("{indented}\n{snapshot}"));
    wait_until("the snapshot applies", || serves_every_class(&node, "other"));
}

#[test]
fn a_draining_endpoint_gets_no_new_requests_and_its_idle_connections_close() {
    let (one, two) = (ScriptedEndpoint::new(|_, _| ok("one")), ScriptedEndpoint::new(|_, _| ok("two")));
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
    // An endpoint that is missing from a snapshot is gone.
    watch.send_line(&list_message(50, true, &[ready_endpoint("a", &one)]).to_string());
    for _ in connections {
        two.next_closed_connection();
    }
    assert_eq!(node.client().exchange(&view_request()).body, b"one");
}

#[test]
fn an_endpoint_is_reached_at_its_new_address() {
    let (old, new) = (ScriptedEndpoint::new(|_, _| ok("old")), ScriptedEndpoint::new(|_, _| ok("new")));
    let node = Node::start(&[ready_endpoint("a", &old)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().exchange(&view_request()).body, b"old");
    watch.send_delta(42, &[ready_endpoint("a", &new)]);
    assert_eq!(old.next_closed_connection(), 0);
    assert_eq!(node.client().exchange(&view_request()).body, b"new");
}

#[test]
fn a_restarted_endpoint_gets_new_connections() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
    let mut restarted = ready_endpoint("a", &upstream);
    restarted["boot_ms"] = 1.into();
    watch.send_delta(42, &[restarted]);
    assert_eq!(upstream.next_closed_connection(), 0);
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
}
