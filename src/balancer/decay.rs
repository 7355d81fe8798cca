//! Exponential decay: recent events count in full, older ones less and less.

use super::interface::Timestamp;

/// Time constant of all decay, in microseconds: a count falls to 1/e of itself in this time.
pub(super) const DECAY_TIME_US: f64 = 3_000_000.0;
/// The least time, in microseconds, that a rate is computed over: one event alone is no rate.
const MIN_RATE_WINDOW_US: f64 = 1_000_000.0;

/// A count that decays: an amount counts `amount * exp(-age / DECAY_TIME_US)`.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingCounter {
    /// The count as of `updated_at`.
    value: f64,
    updated_at: Timestamp,
    /// When the first amount was added.
    started_at: Timestamp,
}

impl DecayingCounter {
    /// A counter that starts now with this value.
    pub(super) fn starting_with(value: f64, now: Timestamp) -> DecayingCounter {
        DecayingCounter { value, updated_at: now, started_at: now }
    }

    /// The decayed count.
    pub(super) fn value_at(&self, now: Timestamp) -> f64 {
        self.value * (-now.micros_since(self.updated_at) / DECAY_TIME_US).exp()
    }

    /// Adds to the count.
    pub(super) fn add(&mut self, now: Timestamp, amount: f64) {
        let started_at = if self.started_at == Timestamp::default() { now } else { self.started_at };
        *self = DecayingCounter { value: self.value_at(now) + amount, updated_at: now, started_at };
    }

    /// The amount added per microsecond. At a steady rate `r` the count is `r * T * (1 - exp(-age / T))` with
    /// `T = DECAY_TIME_US`: one that is younger than `T` has not been added up in full.
    pub(super) fn rate_per_us(&self, now: Timestamp) -> f64 {
        let age = now.micros_since(self.started_at).max(MIN_RATE_WINDOW_US);
        self.value_at(now) / DECAY_TIME_US / (1.0 - (-age / DECAY_TIME_US).exp())
    }
}
