//! SIGHUP and the log.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn after_sighup_the_watch_goes_on_at_the_new_address_and_all_is_served() {
    let (one, two) = (Server::new(|_, _| Act::Wait), Server::new(|_, _| ok("two")));
    let node = Node::new(&[ready("a", &one)]);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(57, &[]);
    let mut waiting = node.client();
    waiting.send(&request("POST", "/order/1", "9", "", "yen"));
    one.request();
    // Nothing can be made of this file: the node goes on as before.
    node.reconfigure("{\"name\": 3}");
    watch.changes(58, &[target("a", one.address, 1, "draining"), ready("b", &two)]);
    while node.client().ask(&view()).status() != 200 {}
    // The first request is still open: it has lost neither its server nor its client.
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&elsewhere));
    let mut moved = Watch::accept(&elsewhere);
    assert_eq!(moved.request.first, "GET /catalog/members?watch=1&from=58 HTTP/1.1");
    assert_eq!(node.client().ask(&view()).body, b"two", "the list stays");
    moved.changes(59, &[target("b", two.address, 1, "gone")]);
    two.ended();
    assert_eq!(waiting.answer().status(), 504);
}

/// To write to it fails then.
#[test]
fn a_node_lives_on_when_nobody_reads_its_log_any_more() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::unheard(&[ready("a", &server)]);
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure("{\"name\": 3}");
    node.reconfigure(&node.config_with(&elsewhere));
    drop(Watch::accept(&elsewhere));
    Watch::accept(&elsewhere).goes_on();
    assert_eq!(node.client().ask(&view()).body, b"slip");
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
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
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
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&moved));
    let mut new = Watch::accept(&moved);
    assert_eq!(new.request.first, "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    // The old one may have been closed by now.
    old.tries(rest);
    assert!(serves(&node, "held"));
    new.changes(60, &[target("a", held.address, 1, "draining"), ready("c", &other)]);
    until("the change holds", || serves(&node, "other"));
}
