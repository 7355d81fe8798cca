//! Standby, and the draining of connections in standby.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn standby_drains_the_node_without_losing_a_request() {
    let upstream = ScriptedEndpoint::new(|count, _| match count {
        0 => Reply::SendDelayed(Vec::new(), Duration::from_millis(1200), response(200, "", "done")),
        _ => ok("done"),
    });
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    let (mut busy, mut kept, mut idle) = (node.client(), node.client(), node.client());
    busy.send(&order_request());
    upstream.next_request();
    assert_eq!(
        (kept.exchange(&view_request()).status(), idle.exchange(&view_request()).status()),
        (200, 200)
    );
    assert_eq!(node.admin_request("POST", "/active", "").status(), 200, "the node is already active");
    assert_eq!(node.admin_request("POST", "/standby", "").status(), 200);
    let draining_since = Instant::now();
    assert_eq!(node.health(), 503);
    assert_eq!(
        (node.admin_request("GET", "/status", "").status(), node.admin_status()["phase"].as_str()),
        (200, Some("standby"))
    );
    // Requests on open and on new connections are served, with `Connection: close`.
    let mut late = node.client();
    for client in [&mut kept, &mut late] {
        let response = client.exchange(&view_request());
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    }
    assert!(idle.closes_without_data() && kept.closes_without_data() && late.closes_without_data());
    // An idle connection closes after 2.5 s even without standby; the load balancer in front of the nodes
    // waits for 4 s.
    assert!(draining_since.elapsed() < Duration::from_millis(1800), "{:?}", draining_since.elapsed());
    assert_eq!(busy.receive().body, b"done");
    assert!(busy.closes_without_data());
    assert_eq!(node.admin_request("POST", "/active", "").status(), 200);
    assert_eq!(node.health(), 200);
    assert_eq!(node.client().exchange(&view_request()).header("connection"), None);
    // Connections stay open if standby ends before the node is drained.
    let mut reused = node.client();
    assert_eq!(reused.exchange(&view_request()).status(), 200);
    assert_eq!(node.admin_request("POST", "/standby", "").status(), 200);
    assert_eq!(node.admin_request("POST", "/active", "").status(), 200);
    assert_eq!((node.health(), reused.exchange(&view_request()).status()), (200, 200));
}

/// Guards against a connection that stays open in standby because its peer sent an empty line.
#[test]
fn a_connection_on_which_only_an_empty_line_was_sent_closes_in_standby() {
    let node = Node::with_admin(&[], 1024, &state_dir());
    let mut peer = node.client();
    peer.send(b"\r\n");
    assert_eq!(node.admin_request("POST", "/standby", "").status(), 200);
    let draining_since = Instant::now();
    assert!(peer.closes_without_data());
    // Without standby it would be closed 2.5 s after the peer connected.
    assert!(draining_since.elapsed() < Duration::from_millis(1800), "{:?}", draining_since.elapsed());
}

#[test]
fn a_partial_request_is_served_in_standby() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    let mut slow = node.client();
    assert_eq!(slow.exchange(&view_request()).status(), 200);
    let text = view_request();
    slow.send(&text[..20]);
    assert_eq!(node.admin_request("POST", "/standby", "").status(), 200);
    thread::sleep(Duration::from_millis(1200));
    slow.send(&text[20..]);
    assert_eq!(slow.receive().body, b"done");
}
