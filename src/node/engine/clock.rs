//! The clock of the balancer.

use std::time::{SystemTime, UNIX_EPOCH};

use mothspool::Timestamp;
use tokio::time::Instant;

/// Unix time at the start of the clock, advanced by the monotonic clock. It can be compared with the start
/// times of endpoints, which are in Unix time, and never goes backwards.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start_instant: Instant,
    /// Unix time at `start_instant`.
    start_time: Timestamp,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub(super) fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), start_time: Timestamp::default() + unix_time }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts an instant of the runtime's clock to a time. An instant before the start of this clock gives
    /// its start.
    pub(super) fn timestamp(&self, instant: Instant) -> Timestamp {
        self.start_time + instant.saturating_duration_since(self.start_instant)
    }

    /// Converts a time to an instant of the runtime's clock. A time before the start of this clock gives its
    /// start.
    pub(super) fn instant(&self, time: Timestamp) -> Instant {
        self.start_instant + time.saturating_duration_since(self.start_time)
    }
}
