//! Requests that wait for a connection: to servers that drain, start anew, are taken out or have forgotten them
//! meanwhile, or for a descriptor.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::support::*;

/// Whether anything is written to the listener, which now accepts all that want to connect, before the node has
/// answered once more.
fn hears_nothing(a: &TcpListener, queued: usize, node: &Node) {
    for _ in 0..queued {
        drop(accepted(a));
    }
    assert_eq!(node.client().ask(&view()).body, b"other");
    a.set_nonblocking(true).unwrap();
    // A connection that came up after all is closed without a byte.
    while let Ok((stream, _)) = a.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(Client::on(stream).whole_answer().is_none(), "a request was written to it");
    }
}

#[test]
fn a_request_that_waits_for_a_server_which_then_drains_is_sent_elsewhere() {
    let (a, queued) = full_listener();
    let other = Server::new(|_, _| ok("other"));
    let node = Node::configured(&[entry("a", &a, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 5_000_000.into();
    });
    let mut watch = Watch::accept(&node.discovery);
    let before = node.descriptors();
    let mut clients = [node.client(), node.client()];
    for client in &mut clients {
        client.send(&order());
    }
    // Both wait for a connection now.
    while node.descriptors() < before + 4 {}
    watch.changes(42, &[entry("a", &a, "draining"), ready("b", &other)]);
    watch.goes_on();
    while node.client().ask(&view()).body != b"other" {}
    hears_nothing(&a, queued.len(), &node);
    for client in &mut clients {
        assert_eq!(client.answer().body, b"other");
    }
}

#[test]
fn a_request_that_waits_for_a_server_which_is_then_taken_out_is_sent_elsewhere() {
    let (a, queued) = full_listener();
    let other = Server::new(|_, _| ok("other"));
    let folder = folder();
    let node = Node::operated_with(&[entry("a", &a, "ready")], &folder, |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 5_000_000.into();
    });
    let mut watch = Watch::accept(&node.discovery);
    let before = node.descriptors();
    let mut client = node.client();
    client.send(&order());
    while node.descriptors() < before + 2 {}
    assert_eq!(node.maintain("enter", "a"), 200);
    watch.changes(42, &[ready("b", &other)]);
    watch.goes_on();
    while node.client().ask(&view()).body != b"other" {}
    // Put back, it is another run of the server: what began to connect before is of no use.
    assert_eq!(node.maintain("exit", "a"), 200);
    assert_eq!(node.maintain("enter", "a"), 200);
    hears_nothing(&a, queued.len(), &node);
    assert_eq!(client.answer().body, b"other");
}

/// A repeat may be decided within the window and its connection come up behind it: it would run again.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() {
    const WINDOW: Duration = Duration::from_millis(1500);
    let a = TcpListener::bind("127.0.0.1:0").unwrap();
    let (b, queued) = full_listener();
    let node = Node::configured(&[entry("a", &a, "ready")], |config| {
        config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        config["settings"]["services"][1]["window_us"] = (WINDOW.as_micros() as u64).into();
    });
    let mut watch = Watch::accept(&node.discovery);
    // Two connections: the request goes on one, and the end of the other shows that the drain is known.
    let mut clients = [node.client(), node.client()];
    clients.iter_mut().for_each(|client| client.send(&view()));
    let [(mut idle, _), (mut used, _)] = [taken(&a), taken(&a)];
    for line in [&mut idle, &mut used] {
        line.send(&answer(200, "", "slip"));
        rested();
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.answer().status(), 200));
    let mut client = node.client();
    client.send(&submit());
    assert!(used.answer().first.starts_with("POST"));
    let ran = Instant::now();
    watch.changes(42, &[entry("a", &a, "draining"), entry("b", &b, "ready")]);
    assert!(idle.reader_ends());
    let before = node.descriptors();
    drop(used);
    // The repeat waits for a connection in place of the one that broke.
    while node.descriptors() < before && ran.elapsed() < WINDOW {}
    thread::sleep((ran + WINDOW).saturating_duration_since(Instant::now()));
    for _ in queued {
        drop(accepted(&b));
    }
    // Nothing can be promised: it may have run, and may not run again.
    assert!([502, 504].contains(&client.answer().status()));
    b.set_nonblocking(true).unwrap();
    while let Ok((stream, _)) = b.accept() {
        stream.set_nonblocking(false).unwrap();
        assert!(Client::on(stream).whole_answer().is_none(), "it was sent again");
    }
}

/// No connection is left, and all that there are have requests on them that wait.
#[test]
fn a_request_that_finds_no_descriptor_for_a_connection_waits_for_one() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let targets: Vec<Value> =
        (0..).zip(&listeners).map(|(n, l)| entry(&format!("s{n}"), l, "ready")).collect();
    // Two of 36 are for connections to servers; where its machine has no more, the node is not told before.
    for (sockets, starved) in [(1024, true), (36, false)] {
        let node = Node::with(&targets, sockets);
        Watch::accept(&node.discovery).goes_on();
        let mut busy: Vec<(Client, Client)> = Vec::new();
        for _ in 0..2 {
            let mut client = node.client();
            client.send(&order());
            busy.push((client, next(&listeners).0));
        }
        let mut waiting = node.client();
        if starved {
            assert_eq!(waiting.ask(HEALTH).status(), 200);
            node.starve();
        }
        waiting.send(&order());
        rested();
        assert!(!waiting.has_something(), "{}", waiting.answer().first);
        let (mut client, mut line) = busy.remove(0);
        line.send(&answer(200, "Connection: close\r\n", "first"));
        assert_eq!(client.answer().body, b"first");
        drop((client, line));
        next(&listeners).0.send(&answer(200, "", "second"));
        assert_eq!(waiting.answer().body, b"second");
    }
}
