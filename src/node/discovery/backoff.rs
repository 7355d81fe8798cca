//! How long discovery waits before it begins the next watch.

use std::time::Duration;

/// The delay before the next watch lies between this and twice this, times the failures in a row.
const BASE_DELAY: Duration = Duration::from_millis(150);
/// The delay grows with the failures up to this many.
const MAX_BACKOFF_STEPS: u32 = 4;
/// One failed watch and the delay behind it take no longer, as far as the watch leaves time for more than the
/// shortest delay. Discovery that is down is silent; what it has at its return counts as known to the node at
/// once, and a draining endpoint may be sent new requests for another 2 s only. The next watch has to begin
/// by then, even if discovery returned right after the last one had begun.
const MAX_RECONNECT_INTERVAL: Duration = Duration::from_millis(1700);

/// Reconnect backoff, linear in the number of consecutive failures, with jitter, and bounded by
/// [`MAX_RECONNECT_INTERVAL`].
///
/// ```text
/// delay = d · (1 + U)
/// d     = min(BASE_DELAY · min(n, MAX_BACKOFF_STEPS), max((MAX_RECONNECT_INTERVAL − t) / 2, BASE_DELAY))
/// ```
///
/// where
///
/// - `n` is the number of consecutive failures, at least 1,
/// - `t` is the time from the start of the last failed watch to its failure, in the unit of the constants,
/// - `U` is a random number, uniformly distributed in [0, 1).
///
/// Polled discovery uses the same short delays: discovery responds on the node's own machine, so reconnecting
/// costs no other machine anything.
pub(super) struct Backoff {
    failures: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// A backoff without failures, whose jitter is drawn from `seed`.
    pub(super) fn new(seed: u64) -> Backoff {
        Backoff { failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Notes a success: the next failure is the first of its row.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure. Returns whether it is the first of its row.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures == 1
    }

    /// The delay after the last failure, which came so long after its watch had begun.
    pub(super) fn next_delay(&mut self, elapsed: Duration) -> Duration {
        let max_base_delay = (MAX_RECONNECT_INTERVAL.saturating_sub(elapsed) / 2).max(BASE_DELAY);
        let base_delay = (BASE_DELAY * self.failures.min(MAX_BACKOFF_STEPS)).min(max_base_delay);
        base_delay + base_delay.mul_f64(self.random.f64())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_backoff.rs"]
mod tests;
