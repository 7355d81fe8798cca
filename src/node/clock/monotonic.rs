//! The clock of the balancer.

use std::time::Duration;

use mothspool::Timestamp;
use tokio::time::Instant;

/// Time of the clock when it starts: 1000 years. All Unix times of the past have to be representable before
/// it, and none of them may be the start of the clock, which stands for an unknown time.
const START_TIME: Duration = Duration::from_secs(1000 * 365 * 24 * 60 * 60);

/// The monotonic clock of the process, as timestamps.
#[derive(Clone, Copy)]
pub struct Clock {
    start_instant: Instant,
    /// Time at `start_instant`.
    start_time: Timestamp,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { start_instant: Instant::now(), start_time: Timestamp::default() + START_TIME }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts an instant of the runtime's clock to a time. An instant before the start of this clock gives
    /// its start.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.start_time + instant.saturating_duration_since(self.start_instant)
    }

    /// Converts a time to an instant of the runtime's clock. A time before the start of this clock gives its
    /// start.
    pub fn instant(&self, time: Timestamp) -> Instant {
        self.start_instant + time.saturating_duration_since(self.start_time)
    }
}
