//! Conversion of wall-clock times to times of the balancer's clock.
//!
//! A wall clock may be stepped at any time. What was stamped before a step can't be compared with a time that
//! is read after it. So each stamp is compared once, when it arrives, and only with a clock that has not been
//! stepped since; otherwise it counts as stamped at its arrival.

use std::cell::Cell;
use std::convert::Infallible;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mothspool::Timestamp;
use tokio::time::{Instant, sleep};

use super::monotonic::Clock;

/// Interval of the checks for steps.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Difference between the progress of the wall clock and of the monotonic clock from one check to the next
/// from which on it counts as a step. Slewing of a clock stays far below it.
const MIN_STEP: Duration = Duration::from_millis(100);
/// Maximum time between the two readings of the monotonic clock around one of the wall clock. A process that
/// was held up for longer reads again.
const MAX_READING_TIME: Duration = Duration::from_millis(10);
/// Maximum number of times that the clocks are read for one reading.
const MAX_READING_ATTEMPTS: usize = 5;

/// Both clocks at one moment.
#[derive(Clone, Copy)]
struct Reading {
    instant: Instant,
    /// Unix time.
    unix_time: Timestamp,
}

impl Reading {
    fn take() -> Reading {
        let mut reading = Reading::try_take();
        for _ in 1..MAX_READING_ATTEMPTS {
            if reading.instant.elapsed() <= MAX_READING_TIME {
                break;
            }
            reading = Reading::try_take();
        }
        reading
    }

    fn try_take() -> Reading {
        let instant = Instant::now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Reading { instant, unix_time: Timestamp::default() + since_epoch }
    }

    /// Returns whether the wall clock was stepped between an earlier reading and this one.
    fn is_after_step(&self, earlier: &Reading) -> bool {
        let expected = earlier.unix_time + self.instant.saturating_duration_since(earlier.instant);
        let ahead = self.unix_time.saturating_duration_since(expected);
        let behind = expected.saturating_duration_since(self.unix_time);
        ahead.max(behind) >= MIN_STEP
    }
}

/// The machine's wall clock, with the time of its last step.
pub struct WallClock {
    clock: Clock,
    last_reading: Cell<Reading>,
    /// When the last step was noticed; the step itself may have been earlier.
    stepped_at: Cell<Option<Instant>>,
}

impl WallClock {
    /// Starts to follow the wall clock. Times are converted to those of `clock`.
    pub fn new(clock: Clock) -> WallClock {
        WallClock { clock, last_reading: Cell::new(Reading::take()), stepped_at: Cell::new(None) }
    }

    /// Checks periodically whether the wall clock was stepped. Never returns.
    pub async fn run_checks(&self) -> Infallible {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.observe(Reading::take());
        }
    }

    /// Returns the current Unix time.
    pub fn unix_time(&self) -> Timestamp {
        Reading::take().unix_time
    }

    /// Returns the time of the balancer's clock that belongs to a Unix time in the past. It is now if the
    /// Unix time is in the future, or if it may have been stamped before the last step of the wall clock.
    pub fn local_time(&self, unix_time: Timestamp) -> Timestamp {
        self.convert(unix_time, Reading::take())
    }

    /// Returns the time like [`WallClock::local_time`] for a Unix time that may have been stamped by another
    /// machine, whose clock may be off. What was stamped did not happen before `earliest`, if that is known.
    pub fn local_time_since(&self, unix_time: Timestamp, earliest: Option<Instant>) -> Timestamp {
        let local_time = self.local_time(unix_time);
        earliest.map_or(local_time, |earliest| local_time.max(self.clock.timestamp(earliest)))
    }

    fn convert(&self, unix_time: Timestamp, now: Reading) -> Timestamp {
        self.observe(now);
        let age = now.unix_time.saturating_duration_since(unix_time);
        let since_step = self.stepped_at.get().map(|at| now.instant.saturating_duration_since(at));
        let is_comparable = since_step.is_none_or(|since_step| age < since_step);
        let age = if is_comparable { age } else { Duration::ZERO };
        self.clock.timestamp(now.instant) - age
    }

    /// Records a reading of the clocks, and a step since the previous one.
    fn observe(&self, now: Reading) {
        if now.is_after_step(&self.last_reading.replace(now)) {
            tracing::warn!(unix_time_us = now.unix_time.as_micros(), "the wall clock was stepped");
            self.stepped_at.set(Some(now.instant));
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/wall_clock.rs"]
mod tests;
