//! Storage that fails for a while.

use std::fs;
use std::path::Path;

use crate::support::*;

/// Starts a node with two endpoints whose storage fails while `failure` exists.
fn start_node(upstreams: &[ScriptedEndpoint; 2], state_dir: &Path, failure: &Path) -> Node {
    let entries = [ready_endpoint("a", &upstreams[0]), ready_endpoint("b", &upstreams[1])];
    let faults = [("FAULT_STORAGE_FILE", failure.to_str().unwrap())];
    let node = Node::with_fault_config(&entries, state_dir, &faults, |_| {});
    wait_until("the node is ready", || node.health() == 200);
    node
}

/// Returns the endpoints that are in maintenance according to the node.
fn in_maintenance(node: &Node) -> serde_json::Value {
    node.admin_status()["maintenance"].clone()
}

/// Guards against orders that are acknowledged and forgotten, and against orders that are followed although
/// they were refused.
#[test]
fn orders_are_refused_while_storage_fails_and_those_before_are_kept() {
    let upstreams = [(); 2].map(|()| ScriptedEndpoint::new(|_, _| ok("done")));
    let (state_dir, failure) = (state_dir(), state_dir().join("failure"));
    let mut node = start_node(&upstreams, &state_dir, &failure);
    assert_eq!(node.set_maintenance("enter", "a"), 200);
    fs::write(&failure, "").unwrap();
    assert_eq!(node.set_maintenance("enter", "b"), 500);
    assert_eq!(node.set_maintenance("exit", "a"), 500);
    assert_eq!(in_maintenance(&node), serde_json::json!(["a"]));
    let before = upstreams[0].request_count();
    for _ in 0..20 {
        assert_eq!(node.client().exchange(&view_request()).status(), 200);
    }
    assert_eq!(upstreams[0].request_count(), before, "the endpoint in maintenance gets requests");
    node.kill();
    node.wait_for_exit();
    // The next process cannot write either, and follows what was acknowledged.
    let node = start_node(&upstreams, &state_dir, &failure);
    assert_eq!(in_maintenance(&node), serde_json::json!(["a"]));
    fs::remove_file(&failure).unwrap();
    assert_eq!(node.set_maintenance("exit", "a"), 200);
    assert_eq!(node.set_maintenance("enter", "b"), 200);
    assert_eq!(in_maintenance(&node), serde_json::json!(["b"]));
}
