//! The balancer's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use mothspool::Timestamp;
use tokio::time::Instant;

/// Unix time as it was at the start, advanced by the monotonic clock: it compares with the start times of
/// endpoints, which are Unix time, and yet never runs backwards.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    start_instant: Instant,
    /// Unix time at `start_instant`.
    start_time: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), start_time: Timestamp::default() + unix_time }
    }

    /// The time now.
    pub(super) fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// The time at an instant of the runtime's clock that is not before the start.
    pub(super) fn timestamp(&self, instant: Instant) -> Timestamp {
        self.start_time + instant.saturating_duration_since(self.start_instant)
    }

    /// The instant of the runtime's clock at a time; the start, if the time is before it.
    pub(super) fn instant(&self, time: Timestamp) -> Instant {
        self.start_instant + time.saturating_duration_since(self.start_time)
    }
}
