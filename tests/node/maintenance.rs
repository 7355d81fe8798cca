//! Maintenance of endpoints.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::*;

#[test]
fn an_endpoint_in_maintenance_gets_no_requests_whatever_discovery_reports() {
    let request_number = AtomicUsize::new(0);
    let one = ScriptedEndpoint::new(move |_, _| match request_number.fetch_add(1, Ordering::SeqCst) {
        1 => Reply::SendDelayed(Vec::new(), Duration::from_millis(1500), response(200, "", "late")),
        _ => ok("one"),
    });
    let two = ScriptedEndpoint::new(|_, _| ok("two"));
    let node = Node::with_admin(
        &[ready_endpoint("a", &one), endpoint_entry("b", two.address, 1, "draining")],
        1024,
        &state_dir(),
    );
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.client().exchange(&view_request()).body, b"one");
    let mut waiting = node.client();
    waiting.send(&order_request());
    wait_until("both requests have arrived", || one.request_count() == 2);
    assert_eq!((node.set_maintenance("enter", "a"), node.set_maintenance("enter", "a")), (200, 200));
    assert_eq!(node.admin_status()["maintenance"], json!(["a"]));
    assert_eq!(node.client().exchange(&view_request()).status(), 503, "no other endpoint is ready");
    assert_eq!(waiting.receive().body, b"late", "an endpoint in maintenance completes its open requests");
    let mut restarted = ready_endpoint("a", &one);
    restarted["boot_ms"] = 1.into();
    let mut rev = 50;
    for entry in [
        endpoint_entry("a", one.address, 1, "draining"),
        endpoint_entry("a", one.address, 1, "gone"),
        restarted,
    ] {
        rev += 1;
        watch.send_delta(rev, &[entry, ready_endpoint("b", &two)]);
        wait_until("the endpoint list is applied", || node.client().exchange(&view_request()).body == b"two");
        (0..20).for_each(|_| assert_eq!(node.client().exchange(&view_request()).body, b"two"));
    }
    rev += 1;
    watch.send_line(&json!({"rev": rev, "all": true, "targets": [ready_endpoint("a", &one)]}).to_string());
    wait_until("the endpoint list is applied", || node.client().exchange(&view_request()).status() == 503);
    assert_eq!(one.request_count(), 2);
    assert_eq!((node.set_maintenance("exit", "a"), node.set_maintenance("exit", "a")), (200, 200));
    assert_eq!(node.client().exchange(&view_request()).body, b"one");
    let connections: Vec<usize> = (0..3).map(|_| one.next_request().0).collect();
    assert!(
        !connections[..2].contains(&connections[2]),
        "requests after maintenance use a new connection: {connections:?}"
    );
    // Discovery no longer lists `b`, but the admin API still knows it.
    assert_eq!((node.set_maintenance("enter", "b"), node.set_maintenance("exit", "b")), (200, 200));
}

#[test]
fn an_idle_node_uses_an_endpoint_again_after_maintenance() {
    let upstreams: Vec<ScriptedEndpoint> = (0..4).map(|_| ScriptedEndpoint::new(|_, _| ok("done"))).collect();
    let names = ["a", "b", "c", "d"];
    let list: Vec<Value> =
        names.iter().zip(&upstreams).map(|(uid, endpoint)| ready_endpoint(uid, endpoint)).collect();
    let node = Node::with_admin(&list, 1024, &state_dir());
    wait_until("all endpoints are in use", || {
        node.client().exchange(&view_request());
        upstreams.iter().all(|upstream| upstream.request_count() > 0)
    });
    assert_eq!(node.set_maintenance("enter", "c"), 200);
    assert_eq!(node.set_maintenance("exit", "c"), 200);
    let before = upstreams[2].request_count();
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
    assert_eq!(upstreams[2].request_count(), before + 1);
}

#[test]
fn connections_from_before_maintenance_are_not_reused() {
    let upstream = ScriptedEndpoint::new(|count, _| match count {
        0 => Reply::SendDelayed(Vec::new(), Duration::from_millis(1000), response(200, "", "done")),
        _ => ok("done"),
    });
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    let mut busy = node.client();
    busy.send(&order_request());
    assert_eq!(upstream.next_request().0, 0);
    assert_eq!((node.set_maintenance("enter", "a"), node.set_maintenance("exit", "a")), (200, 200));
    assert_eq!(busy.receive().body, b"done", "the open request completes after maintenance");
    assert_eq!(upstream.next_closed_connection(), 0);
    wait_until("the endpoint is used again", || node.client().exchange(&view_request()).status() == 200);
    assert_eq!(upstream.next_request().0, 1);
}
