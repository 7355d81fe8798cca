//! Estimation of when the last byte of a streamed request body was received by the node's machine.
//!
//! A client's time counts from the last byte of its request. The node reads a streamed body only as fast as
//! an endpoint takes it, so the last byte may have waited in the kernel for long when the node reads it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use tokio::time::Instant;

/// Number of successive checks that have to find the client owing data before it counts as owing it. After
/// the node has fallen behind, the client's kernel sends what it holds back in bursts, and a single check may
/// fall between two of them.
const MIN_OWING_CHECKS: u32 = 2;

/// Maximum number of bytes that a client has sent and the node has not read: the kernel's buffers on both
/// machines hold 10 MiB by default on Linux, their bookkeeping included.
pub const MAX_IN_FLIGHT_BYTES: u64 = 8 << 20;

/// Number of bytes that are read between two marks of the progress.
const MARK_INTERVAL_BYTES: u64 = MAX_IN_FLIGHT_BYTES / 8;

/// How many bytes the node had read at a time.
#[derive(Clone, Copy)]
struct Mark {
    at: Instant,
    received: u64,
}

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
    /// Progress at earlier times, the earliest first, [`MARK_INTERVAL_BYTES`] apart. Once
    /// [`MAX_IN_FLIGHT_BYTES`] more have been read, bytes that are still unread had not been sent at that
    /// time.
    marks: RefCell<VecDeque<Mark>>,
    /// Number of successive checks up to the last one that found the client owing data.
    owing_checks: Cell<u32>,
}

impl ReceptionClock {
    /// Creates the clock of a body of which `received` bytes were read, and nothing more is from `now` on.
    pub fn new(received: u64, now: Instant) -> ReceptionClock {
        ReceptionClock {
            whole_since: Cell::new(Some(now)),
            checked_at: Cell::new(now),
            marks: RefCell::new(VecDeque::from([Mark { at: now, received }])),
            owing_checks: Cell::new(0),
        }
    }

    /// Records that `received` bytes were read at `now`, and whether the client owes data: the node has read
    /// all that was received, and waits for more.
    pub fn check(&self, client_owes_data: bool, received: u64, now: Instant) {
        let last_checked_at = self.checked_at.replace(now);
        if client_owes_data {
            self.owing_checks.set(self.owing_checks.get() + 1);
            if self.owing_checks.get() >= MIN_OWING_CHECKS {
                self.whole_since.set(None);
            }
            return;
        }
        self.owing_checks.set(0);
        if self.whole_since.get().is_none() {
            self.whole_since.set(Some(last_checked_at));
            self.marks.borrow_mut().clear();
        }
        self.update_marks(received, now);
    }

    /// Adds a mark for `now` if it is due, and takes those into account from which on the unread bytes can
    /// have been sent at the earliest.
    fn update_marks(&self, received: u64, now: Instant) {
        let mut marks = self.marks.borrow_mut();
        let progress_since = |mark: &Mark| received.saturating_sub(mark.received);
        if marks.back().is_none_or(|mark| progress_since(mark) >= MARK_INTERVAL_BYTES) {
            marks.push_back(Mark { at: now, received });
        }
        while marks.front().is_some_and(|mark| progress_since(mark) >= MAX_IN_FLIGHT_BYTES) {
            self.whole_since.set(marks.pop_front().map(|mark| mark.at));
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
