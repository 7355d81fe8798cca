//! The delay between a failed watch and the next one.

use std::time::Duration;

/// The base delay after the first failure, and the amount that each further consecutive failure adds to it.
const DELAY_STEP: Duration = Duration::from_millis(150);
/// Number of consecutive failures up to which the base delay grows.
const MAX_BACKOFF_STEPS: u32 = 4;
/// Maximum time from the start of a failed watch to the start of the next one. It can be exceeded only if the
/// failed watch took longer than `MAX_RECONNECT_INTERVAL − 2 · DELAY_STEP`, because the base delay is never
/// shorter than `DELAY_STEP`.
///
/// Discovery that is down does not respond. The protocol allows new requests to a draining endpoint for 2 s
/// after discovery is back, whether or not the node has received that state. The next watch has to start
/// within these 2 s, even if discovery comes back right after the previous watch has started.
const MAX_RECONNECT_INTERVAL: Duration = Duration::from_millis(1700);

/// Reconnect backoff, linear in the number of consecutive failures, with jitter, and bounded by
/// [`MAX_RECONNECT_INTERVAL`].
///
/// ```text
/// delay = d · (1 + U)
/// d     = min(DELAY_STEP · min(n, MAX_BACKOFF_STEPS), max((MAX_RECONNECT_INTERVAL − t) / 2, DELAY_STEP))
/// ```
///
/// where
///
/// - `delay` is the time from the failure to the start of the next watch, and `d` is the base delay,
/// - `n` is the number of consecutive failures, at least 1,
/// - `t` is the time from the start of the last failed watch to its failure,
/// - `U` is a random number, uniformly distributed in [0, 1).
///
/// All times are in the same unit.
///
/// Polled discovery uses the same short delays: discovery responds on the node's own machine, so reconnecting
/// costs no other machine anything.
pub(super) struct Backoff {
    failures: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff without failures; `seed` seeds the jitter.
    pub(super) fn new(seed: u64) -> Backoff {
        Backoff { failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// Resets the number of consecutive failures after a success.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure. Returns whether it is the first since the last success.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures == 1
    }

    /// Returns the delay before the next watch. `elapsed` is the time from the start of the failed watch to
    /// its failure.
    pub(super) fn next_delay(&mut self, elapsed: Duration) -> Duration {
        let max_base_delay = (MAX_RECONNECT_INTERVAL.saturating_sub(elapsed) / 2).max(DELAY_STEP);
        let base_delay = (DELAY_STEP * self.failures.min(MAX_BACKOFF_STEPS)).min(max_base_delay);
        base_delay + base_delay.mul_f64(self.random.f64())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_backoff.rs"]
mod tests;
