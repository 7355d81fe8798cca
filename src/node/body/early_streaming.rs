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
    /// Time from which on the response is streamed.
    stream_from: Instant,
    /// Time at which the first piece of the body was received. The rate counts from then on, because a head
    /// may be sent long before the body is ready.
    first_piece_at: Option<Instant>,
}

impl EarlyStreaming {
    /// Creates the state for a response of whose body nothing has been received.
    pub fn new(stream_from: Instant) -> EarlyStreaming {
        EarlyStreaming { stream_from, first_piece_at: None }
    }

    /// Records that a piece of the body was received at `now`, and returns whether the response is streamed
    /// from then on. `received` is the number of bytes of the body so far. The first piece says nothing of
    /// the rate, so no response is streamed before its second one.
    pub fn on_piece(&mut self, received: u64, now: Instant) -> bool {
        let Some(first_piece_at) = self.first_piece_at else {
            self.first_piece_at = Some(now);
            return false;
        };
        let keeps_minimum_rate = first_piece_at + time_at_minimum_rate(received) >= now;
        now >= self.stream_from && keeps_minimum_rate
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/early_streaming.rs"]
mod tests;
