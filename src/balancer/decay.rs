//! Counters with exponential decay: recent events count in full, older ones less and less.

use super::interface::Timestamp;

/// Time constant of exponential decay, in microseconds: a count falls to 1/e of its value in this time. Also
/// the time without attempts after which the mean wait at endpoints and an endpoint's latency ratio no longer
/// count: the mean wait decreases linearly to 0, and the latency ratio counts in full until then.
pub(super) const DECAY_TIME_US: f64 = 3_000_000.0;
/// Minimum time, in microseconds, that a rate is computed over: a single event does not determine a rate.
const MIN_RATE_WINDOW_US: f64 = 1_000_000.0;

/// A count that decays exponentially. Each amount that was added contributes:
///
/// ```text
/// amount * exp(-age / DECAY_TIME_US)
///
/// age   time since the amount was added, in microseconds
/// ```
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingCounter {
    /// The count as of `updated_at`.
    value: f64,
    updated_at: Timestamp,
    /// When the first amount was added.
    started_at: Timestamp,
}

impl DecayingCounter {
    /// Returns a counter that starts now with this value.
    pub(super) fn starting_with(value: f64, now: Timestamp) -> DecayingCounter {
        DecayingCounter { value, updated_at: now, started_at: now }
    }

    /// Returns the decayed count at `now`.
    pub(super) fn value_at(&self, now: Timestamp) -> f64 {
        self.value * (-now.micros_since(self.updated_at) / DECAY_TIME_US).exp()
    }

    /// Adds an amount to the count.
    pub(super) fn add(&mut self, now: Timestamp, amount: f64) {
        let started_at = if self.started_at == Timestamp::default() { now } else { self.started_at };
        *self = DecayingCounter { value: self.value_at(now) + amount, updated_at: now, started_at };
    }

    /// Returns the rate at which amounts are added, per microsecond. At a steady rate, the count is:
    ///
    /// ```text
    /// count = r * T * (1 - exp(-age / T))
    ///
    /// r     rate, per microsecond
    /// T     DECAY_TIME_US
    /// age   time since the first amount was added, in microseconds; at least MIN_RATE_WINDOW_US
    /// ```
    ///
    /// The last factor corrects for counters that are younger than `T` and have not reached `r * T` yet.
    pub(super) fn rate_per_us(&self, now: Timestamp) -> f64 {
        let age = now.micros_since(self.started_at).max(MIN_RATE_WINDOW_US);
        self.value_at(now) / DECAY_TIME_US / (1.0 - (-age / DECAY_TIME_US).exp())
    }
}
