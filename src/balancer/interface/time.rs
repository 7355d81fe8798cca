//! Instants of the node's clock, and the conversions between durations and plain microseconds.
//!
//! The balancer reads no clock: the node passes the present with each event. Estimators compute in
//! microseconds as `f64`; everything else uses [`Timestamp`] and [`Duration`], which don't mix by mistake.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// An instant on the node's own clock, in whole microseconds since the clock's start.
///
/// The clock only moves forward. Arithmetic saturates at both ends: a far deadline is never reached, and
/// nothing lies before the start. The default is the start of the clock, which stands for "long ago" where an
/// instant is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest instant: a deadline that is never reached.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The instant this many microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`; zero if that lies later.
    pub const fn saturating_duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Microseconds since the clock's start, for the estimators.
    pub(crate) fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Microseconds since `earlier`, for the estimators; zero if that lies later.
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

/// A duration in whole microseconds, cut off at the most that a [`Timestamp`] holds.
pub(crate) fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A duration in whole microseconds, for the estimators.
pub(crate) fn as_micros_f64(duration: Duration) -> f64 {
    whole_micros(duration) as f64
}

/// The whole microseconds of an estimate as a duration; zero for what is negative or not a number.
pub(crate) fn duration_from_micros_f64(micros: f64) -> Duration {
    Duration::from_micros(micros as u64)
}
