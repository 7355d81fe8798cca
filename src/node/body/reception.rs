//! Estimation of when the last byte of a streamed request body was received by the node's machine.
//!
//! A client's time counts from the last byte of its request. The node reads a streamed body only as fast as
//! an endpoint takes it, so the last byte may have waited in the kernel for long when the node reads it.

use std::cell::Cell;

use tokio::time::Instant;

/// Number of successive checks that have to find the client owing data before it counts as owing it. After
/// the node has fallen behind, the client's kernel sends what it holds back in bursts, and a single check may
/// fall between two of them.
const MIN_OWING_CHECKS: u32 = 2;

/// Tracks since when all of a body may have been received.
///
/// The clock can't tell whether unread bytes are the last ones. As long as there are any, it assumes that
/// they are: a client never waits longer than it stated, but one that sends slowly may be failed too early if
/// the endpoint reads more slowly still.
pub struct ReceptionClock {
    /// Since when all of the body may have been received; `None` while the client owes some of it.
    whole_since: Cell<Option<Instant>>,
    /// When the clock was last checked.
    checked_at: Cell<Instant>,
    /// Number of successive checks up to the last one that found the client owing data.
    owing_checks: Cell<u32>,
}

impl ReceptionClock {
    /// Creates the clock of a body of which the node reads nothing more from `now` on.
    pub fn new(now: Instant) -> ReceptionClock {
        ReceptionClock {
            whole_since: Cell::new(Some(now)),
            checked_at: Cell::new(now),
            owing_checks: Cell::new(0),
        }
    }

    /// Records whether the client owes data at `now`: the node has read all that was received, and waits for
    /// more.
    pub fn check(&self, client_owes_data: bool, now: Instant) {
        let last_checked_at = self.checked_at.replace(now);
        if !client_owes_data {
            self.owing_checks.set(0);
            self.whole_since.set(self.whole_since.get().or(Some(last_checked_at)));
            return;
        }
        self.owing_checks.set(self.owing_checks.get() + 1);
        if self.owing_checks.get() >= MIN_OWING_CHECKS {
            self.whole_since.set(None);
        }
    }

    /// Returns since when all of the body may have been received, or `None` if the client owes some of it.
    pub fn whole_since(&self) -> Option<Instant> {
        self.whole_since.get()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/reception.rs"]
mod tests;
