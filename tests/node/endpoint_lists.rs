//! Lists as discovery pushes them: long, indented, broken off, old.

use std::collections::HashSet;

use serde_json::{Value, json};

use crate::support::*;

/// As many as a deployment may have, all at one address.
const MANY: usize = 1024;

fn targets(of: &str, server: &Server, state: &str) -> Vec<Value> {
    (0..MANY).map(|n| target(&format!("{of}-{n}"), server.address, (n / 8) as u16, state)).collect()
}

#[test]
fn a_thousand_servers_are_taken_from_all_kinds_of_lists_in_little_memory() {
    let [known, pushed, late] = ["known", "pushed", "late"].map(|body| Server::new(move |_, _| ok(body)));
    let node = Node::new(&targets("k", &known, "ready"));
    assert!(serves(&node, "known"));
    let mut watch = Watch::accept(&node.discovery);
    watch.line(&list(42, true, &targets("p", &pushed, "ready")).to_string());
    until("the pushed list holds", || serves(&node, "pushed"));
    let indented = serde_json::to_string_pretty(&list(43, true, &targets("l", &late, "ready"))).unwrap();
    assert!(indented.lines().count() > 8 * MANY);
    watch.line(&indented);
    until("the indented list holds", || serves(&node, "late"));
    // Changes to all of them at once: they drain, and the others are back.
    let changes = [targets("l", &late, "draining"), targets("p", &pushed, "ready")].concat();
    watch.line(&serde_json::to_string_pretty(&list(44, false, &changes)).unwrap());
    until("the changes hold", || serves(&node, "pushed"));
    let memory = node.memory();
    assert!(memory < 24 << 20, "{memory} bytes for lists of {MANY}");
}

#[test]
fn a_list_that_is_broken_off_or_old_changes_nothing_and_is_asked_for_anew() {
    let (held, other) = (Server::new(|_, _| ok("held")), Server::new(|_, _| ok("other")));
    let node = Node::new(&[ready("a", &held)]);
    let whole = list(60, true, &[ready("b", &other)]);
    let indented = serde_json::to_string_pretty(&whole).unwrap();
    let half = &indented[..indented.len() / 2];
    let in_a_string = &indented[..indented.find("\"uid\": \"").unwrap() + 8];
    let old = list(40, true, &[ready("b", &other)]).to_string();
    let unlike = whole.to_string().replace("\"ready\"", "\"asleep\"");
    for bad in [&format!("{half}\n"), in_a_string, &old, &unlike, "}", "[[[[", "\"", "\u{0}"] {
        let mut watch = Watch::accept(&node.discovery);
        assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=41 HTTP/1.1", "before {bad}");
        watch.line(bad);
        // What broke off shows as soon as the next empty line says that nothing changes.
        watch.line("");
        assert!(serves(&node, "held"), "after {bad}");
    }
    let mut watch = Watch::accept(&node.discovery);
    // A list twice is a list once.
    watch.line(&format!("{indented}\n{whole}"));
    until("the whole list holds", || serves(&node, "other"));
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_and_idle_connections_to_it_end() {
    let (one, two) = (Server::new(|_, _| ok("one")), Server::new(|_, _| ok("two")));
    let node = Node::new(&[ready("a", &one), target("b", two.address, 1, "draining")]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    assert_eq!(node.client().ask(&view()).body, b"one");
    watch.changes(42, &[target("a", one.address, 1, "draining"), ready("b", &two)]);
    assert_eq!(one.ended(), 0);
    let before = one.count();
    let mut connections = HashSet::new();
    for _ in 0..10 {
        assert_eq!(node.client().ask(&view()).body, b"two");
        connections.insert(two.request().0);
    }
    assert_eq!(one.count(), before);
    // A whole list that leaves a server out means that it is gone.
    watch.line(&json!({"rev": 50, "all": true, "targets": [ready("a", &one)]}).to_string());
    for _ in connections {
        two.ended();
    }
    assert_eq!(node.client().ask(&view()).body, b"one");
}

#[test]
fn a_server_that_moves_is_met_at_its_new_address() {
    let (old, new) = (Server::new(|_, _| ok("old")), Server::new(|_, _| ok("new")));
    let node = Node::new(&[ready("a", &old)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).body, b"old");
    watch.changes(42, &[ready("a", &new)]);
    assert_eq!(old.ended(), 0);
    assert_eq!(node.client().ask(&view()).body, b"new");
}

#[test]
fn a_server_that_started_anew_has_forgotten_its_connections() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().ask(&view()).status(), 200);
    let mut again = ready("a", &server);
    again["boot_ms"] = 1.into();
    watch.changes(42, &[again]);
    assert_eq!(server.ended(), 0);
    assert_eq!(node.client().ask(&view()).status(), 200);
}
