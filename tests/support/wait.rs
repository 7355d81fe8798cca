//! Waiting for conditions with a timeout.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// Waits until a condition holds, and panics if it does not within [`EVENT_TIMEOUT`]. `what` is the condition
/// in words, as a clause.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Timeout for expected events. It is long enough that only a failing test reaches it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends one request of each class, and returns whether each response has this body.
pub fn serves_every_class(node: &Node, body: &str) -> bool {
    [view_request(), submit_request(), order_request()]
        .iter()
        .all(|r| node.client().exchange(r).body == body.as_bytes())
}
