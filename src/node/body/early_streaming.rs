//! Streaming of responses whose length is unknown before they are known to be large.

use tokio::time::Instant;

use crate::body::pacing::time_at_minimum_rate;

/// Decides when a response body of unknown length is streamed although all of it so far was buffered.
///
/// A small response is useful only once it is complete, and one that is buffered can still be dropped and its
/// request retried. Of a large response the first bytes have to reach the client in time. While the length is
/// unknown the response may be either. One that is still being received as the client's time runs out is
/// streamed, unless it is received so slowly that it is probably a small one which never ends.
pub struct EarlyStreaming {
    /// Time at which the head of the response was received.
    pub began_at: Instant,
    /// Time from which on the response is streamed.
    pub stream_from: Instant,
}

impl EarlyStreaming {
    /// Returns whether the response is streamed from `now` on. A piece of it was just received, and
    /// `received` is the number of bytes of its body so far.
    pub fn is_due(&self, received: u64, now: Instant) -> bool {
        let keeps_minimum_rate = self.began_at + time_at_minimum_rate(received) >= now;
        now >= self.stream_from && keeps_minimum_rate
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/early_streaming.rs"]
mod tests;
