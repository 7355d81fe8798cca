//! Waiting for conditions.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// Waits until something holds; only a failing test waits for long.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WITHIN, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// No event takes this long; only a failing test waits for it.
pub const WITHIN: Duration = Duration::from_secs(20);

pub fn serves(node: &Node, body: &str) -> bool {
    [view(), submit(), order()].iter().all(|r| node.client().ask(r).body == body.as_bytes())
}
