//! Servers that drain, start anew or are taken out while a request waits for a connection to them.

use std::net::TcpListener;

use serde_json::Value;

use super::leaving::full_listener;
use super::peers::*;

fn entry(uid: &str, listener: &TcpListener, state: &str) -> Value {
    target(uid, listener.local_addr().unwrap(), 1, state)
}

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
