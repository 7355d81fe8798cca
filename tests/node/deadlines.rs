//! Deadlines of requests.

use crate::support::*;

#[test]
fn an_expired_request_is_rejected_without_an_attempt() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    for deadline in ["0", "-1.5", "0.001"] {
        assert_eq!(node.client().exchange(&request("GET", "/view/1", deadline, "", "")).status(), 503);
    }
    assert_eq!(upstream.request_count(), 0);
}

#[test]
fn the_deadline_bounds_the_wait_for_an_unresponsive_endpoint() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    // The client may retry an idempotent request (503); a non-idempotent one may have been executed (504).
    assert_eq!(node.client().exchange(&request("GET", "/view/1", "2", "", "")).status(), 503);
    assert_eq!(node.client().exchange(&request("POST", "/order/1", "2", "", "xyz")).status(), 504);
}
