//! The balancer's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mothspool::Micros;
use tokio::time::Instant;

/// Unix time as it was at the start, advanced by the monotonic clock: it compares with the start times of endpoints,
/// which are Unix time, and yet never runs backwards.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    /// Unix time in microseconds at `started`.
    started_at: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at: unix_time.as_micros() as Micros }
    }

    /// The time now.
    pub(super) fn now(&self) -> Micros {
        self.timestamp(Instant::now())
    }

    /// The time at an instant of the runtime's clock that is not before the start.
    pub(super) fn timestamp(&self, instant: Instant) -> Micros {
        let elapsed = instant.saturating_duration_since(self.started);
        self.started_at + elapsed.as_micros() as Micros
    }

    /// The instant of the runtime's clock at a time; the start, if the time is before it.
    pub(super) fn instant(&self, time: Micros) -> Instant {
        self.started + Duration::from_micros(time.saturating_sub(self.started_at))
    }
}
