//! How long the responses of a class are, as evidence of how long one of unknown length is.

use std::cell::Cell;
use std::rc::Rc;

use crate::body::budget::MAX_BUFFERED_BODY_BYTES;

/// Number of responses over which the longest short one is remembered, once or twice.
const WINDOW_RESPONSES: u32 = 64;
/// Number of short responses in succession after which the next one is not expected to be long.
const MIN_SHORT_IN_SUCCESSION: u32 = 30;
/// Factor by which a response has to be longer than the longest short one to be taken for a long one.
const SHORT_LENGTH_FACTOR: u64 = 2;
/// Least number of received bytes that show a response to be long.
const MIN_LONG_BYTES: u64 = MAX_BUFFERED_BODY_BYTES as u64 / 2;

/// Lengths of the complete responses of a class. A response is short if the node can buffer it.
#[derive(Default)]
pub struct ResponseLengths {
    /// Length of the longest short response of the current window, in bytes.
    longest_short: Cell<u64>,
    /// The same of the window before.
    longest_short_before: Cell<u64>,
    /// Number of short responses in the current window.
    recorded: Cell<u32>,
    /// Number of short responses since the last long one.
    short_in_succession: Cell<u32>,
    /// Whether the length of a response that was given up is being observed.
    is_observing: Cell<bool>,
}

impl ResponseLengths {
    /// Records a response that is complete, or that is known to be long, with the known part of its length.
    pub fn record(&self, bytes: u64) {
        if bytes > MAX_BUFFERED_BODY_BYTES as u64 {
            self.short_in_succession.set(0);
            return;
        }
        self.short_in_succession.set(self.short_in_succession.get().saturating_add(1));
        self.longest_short.set(self.longest_short.get().max(bytes));
        self.recorded.set(self.recorded.get() + 1);
        if self.recorded.get() == WINDOW_RESPONSES {
            self.longest_short_before.set(self.longest_short.replace(0));
            self.recorded.set(0);
        }
    }

    /// Begins to observe the length of a response that was given up, unless another one is being observed.
    pub fn begin_observation(self: &Rc<Self>) -> Option<LengthObservation> {
        let is_first = !self.is_observing.replace(true);
        is_first.then(|| LengthObservation(self.clone()))
    }

    /// Returns the number of received bytes that show a response to be long.
    pub fn min_long_bytes(&self) -> u64 {
        let longest_short = self.longest_short.get().max(self.longest_short_before.get());
        (SHORT_LENGTH_FACTOR * longest_short).clamp(MIN_LONG_BYTES, MAX_BUFFERED_BODY_BYTES as u64)
    }

    /// Returns whether a response may be long of which little has been received. It is not expected to be if
    /// all of the last responses were short.
    pub fn may_be_long(&self) -> bool {
        self.short_in_succession.get() < MIN_SHORT_IN_SUCCESSION
    }
}

/// An observation of the length of a response that was given up. It ends when this is dropped.
pub struct LengthObservation(Rc<ResponseLengths>);

impl LengthObservation {
    /// Records the length of the response, or the part of it that shows it to be long.
    pub fn record(self, bytes: u64) {
        self.0.record(bytes);
    }
}

impl Drop for LengthObservation {
    fn drop(&mut self) {
        self.0.is_observing.set(false);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/response_lengths.rs"]
mod tests;
