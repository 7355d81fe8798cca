//! Lists as discovery pushes them: long, indented, broken off, old.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::operating::until;
use crate::peers::*;

/// As many as a deployment may have, all at one address.
const MANY: usize = 1024;

fn targets(of: &str, server: &Server, state: &str) -> Vec<Value> {
    (0..MANY).map(|n| target(&format!("{of}-{n}"), server.address, (n / 8) as u16, state)).collect()
}

fn list(rev: u64, all: bool, targets: &[Value]) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}

fn serves(node: &Node, body: &str) -> bool {
    [view(), submit(), order()].iter().all(|r| node.client().ask(r).body == body.as_bytes())
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

/// What the first one misses counts as told 6 s after it fell silent.
#[test]
fn a_second_watch_may_be_silent_too_and_news_are_still_known_in_time() {
    let (held, other) = (Server::new(|_, _| ok("held")), Server::new(|_, _| ok("other")));
    let node = Node::new(&[ready("a", &held)]);
    let mut first = Watch::accept(&node.discovery);
    first.line("");
    let silent = Instant::now();
    let _second = Watch::accept(&node.discovery);
    let mut third = Watch::accept(&node.discovery);
    third.line(&list(60, true, &[ready("b", &other)]).to_string());
    until("the list holds", || serves(&node, "other"));
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// While discovery is down its address is silent, and what it has at its return counts as told at once: a server may
/// be sent something new for 2 s from then on. It may return right after a try has begun.
#[test]
fn however_long_discovery_was_down_it_is_heard_within_two_seconds_of_its_return() {
    let server = Server::new(|_, _| ok("held"));
    let node = Node::new(&[ready("a", &server)]);
    let mut tries = vec![(accepted(&node.discovery), Instant::now())];
    for _ in 0..8 {
        tries.push((accepted(&node.discovery), Instant::now()));
    }
    let longest = tries.windows(2).map(|two| two[1].1 - two[0].1).max().unwrap();
    assert!(longest < Duration::from_millis(1900), "{longest:?}");
}

#[test]
fn a_list_that_comes_to_no_end_is_silence() {
    let server = Server::new(|_, _| ok("held"));
    let node = Node::new(&[ready("a", &server)]);
    Watch::accept(&node.discovery).repeats(" ");
    Watch::accept(&node.discovery).goes_on();
    assert!(serves(&node, "held"));
}

/// Where lists are asked for, the wait until they are asked for again grows; a move does not wait for it.
#[test]
fn where_lists_are_asked_for_a_move_is_followed_at_once_too() {
    let server = Server::new(|_, _| ok("held"));
    let node = Node::configured(&[ready("a", &server)], |config| {
        config["settings"]["discovery"] = "subscribe".into();
        config["settings"]["obligations"]["ask_every_us"] = 20_000_000.into();
    });
    for _ in 0..4 {
        drop(Watch::accept(&node.discovery));
    }
    let moved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&moved));
    let told = Instant::now();
    Watch::accept(&moved).goes_on();
    assert!(told.elapsed() < Duration::from_millis(3500), "{:?}", told.elapsed());
    assert!(serves(&node, "held"));
}

#[test]
fn a_list_half_read_at_sighup_is_dropped_whatever_the_old_address_still_says() {
    let (held, other) = (Server::new(|_, _| ok("held")), Server::new(|_, _| ok("other")));
    let node = Node::new(&[ready("a", &held)]);
    let mut old = Watch::accept(&node.discovery);
    let indented = serde_json::to_string_pretty(&list(70, true, &[ready("b", &other)])).unwrap();
    let (first, rest) = indented.split_at(indented.len() / 2);
    old.line(first);
    let moved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&moved));
    let mut new = Watch::accept(&moved);
    assert_eq!(new.request.first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    // The old one may have been closed by now.
    old.tries(rest);
    assert!(serves(&node, "held"));
    new.changes(60, &[target("a", held.address, 1, "draining"), ready("c", &other)]);
    until("the change holds", || serves(&node, "other"));
}
