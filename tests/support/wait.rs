//! Waiting for conditions.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// Waits until a condition holds, and fails with its description if it does not.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// No event takes this long: only a failing test waits for it.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether a request of each class gets this body.
pub fn serves_every_class(node: &Node, body: &str) -> bool {
    [view_request(), submit_request(), order_request()]
        .iter()
        .all(|r| node.client().exchange(r).body == body.as_bytes())
}
