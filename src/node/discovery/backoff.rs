//! How long discovery waits before it begins the next watch.

use std::time::Duration;

/// The delay before the next watch lies between this and twice this, times the failures in a row.
const BASE_DELAY: Duration = Duration::from_millis(150);
/// The delay grows with the failures up to this many.
const MAX_FAILURES: u32 = 4;
/// One failed watch and the delay behind it take no longer, as far as the watch leaves time for more than the
/// shortest delay. Discovery that is down is silent; what it has at its return counts as known to the node at
/// once, and a draining endpoint may be sent new requests for another 2 s only. The next watch has to begin
/// by then, even if discovery returned right after the last one had begun.
const MAX_CYCLE: Duration = Duration::from_millis(1700);

/// The reconnect backoff: linear in the failures in a row, with jitter, and bounded by [`MAX_CYCLE`].
///
/// With `n` failures in a row, of which the last one took `t` from its beginning, the delay is
///
/// ```text
/// d · (1 + U)    where d = min(BASE_DELAY · min(n, MAX_FAILURES), max((MAX_CYCLE − t) / 2, BASE_DELAY))
///                and   U is uniform in [0, 1)
/// ```
///
/// It is short even where discovery is polled: discovery answers on the node's own machine, at no cost to any
/// other.
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
    pub(super) fn delay(&mut self, elapsed: Duration) -> Duration {
        let bound = (MAX_CYCLE.saturating_sub(elapsed) / 2).max(BASE_DELAY);
        let shortest = (BASE_DELAY * self.failures.min(MAX_FAILURES)).min(bound);
        shortest + shortest.mul_f64(self.random.f64())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_backoff.rs"]
mod tests;
