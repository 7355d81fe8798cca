//! Timestamps of the node's clock, and conversions between durations and microseconds.
//!
//! The balancer reads no clock: the node passes the current time with each event. Estimators compute in
//! microseconds as `f64`. All other code uses [`Timestamp`] and [`Duration`], so that the compiler rejects a
//! duration where a point in time is expected.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time on the node's own clock, in whole microseconds since the start of the clock.
///
/// The clock only moves forward. Arithmetic saturates at both ends, so there is no time before the start of
/// the clock, and a deadline at [`Timestamp::MAX`] is never reached. The default is the start of the clock.
/// It also stands for an unknown time, which is treated as long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest timestamp, used for a deadline that is never reached.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a timestamp from the microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the microseconds since the start of the clock as `f64`, for estimators.
    pub(crate) fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Returns the microseconds since `earlier` as `f64`, for estimators, or zero if `earlier` is later.
    pub(crate) fn micros_since(self, earlier: Timestamp) -> f64 {
        self.0.saturating_sub(earlier.0) as f64
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, after: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(whole_micros(after)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, after: Duration) {
        *self = *self + after;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, before: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(whole_micros(before)))
    }
}

/// Converts a duration to whole microseconds, limited to the maximum of a [`Timestamp`].
pub(crate) fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole microseconds as `f64`, for estimators.
pub(crate) fn as_micros_f64(duration: Duration) -> f64 {
    whole_micros(duration) as f64
}

/// Converts an estimate in microseconds to a duration of whole microseconds; negative numbers and NaN give
/// zero.
pub(crate) fn duration_from_micros_f64(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}
