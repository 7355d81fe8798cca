//! Estimate of the idle time after which a connection is stale, based on connections that broke during a
//! request.
//!
//! A firewall or proxy between node and endpoint may drop the state of a connection that has been idle for
//! some time, which shows only at the next request. If instead new and reused connections break equally
//! often, opening new ones does not help. To distinguish the two cases, the estimator counts uses and breaks
//! of new connections, and those of reused connections by idle time, in buckets of half an octave. All counts
//! decay exponentially with the time constant [`DECAY_TIME_CONSTANT`].
//!
//! For each bucket `i` of idle times:
//!
//! ```text
//! p = (B + 1) / (U + PRIOR_USES)
//! e = b ln((b / u) / p) + (u - b) ln(((u - b) / u) / (1 - p))
//!
//! p     baseline: estimated probability that a connection that is new or has a shorter idle time breaks
//! e     evidence: natural logarithm of the ratio of two likelihoods, that connections with this idle time
//!       or a longer one break at a rate of their own, and that they break at the baseline rate. A term whose
//!       count, b or u - b, is 0 is left out.
//! u, b  uses and breaks in bucket i and all later ones
//! U, B  uses and breaks in all earlier buckets and of new connections
//! ```
//!
//! The limit is the start of the bucket with the largest `e` among those with `e >= MIN_EVIDENCE` and
//! `b > (p + margin) u`, where `margin` is [`NON_IDEMPOTENT_MARGIN`] for non-idempotent requests and
//! [`HANDSHAKE_MARGIN`] for others. One limit is enough, because a connection that is stale after some idle
//! time is also stale after a longer one.

use std::cell::RefCell;
use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::ConnectionOrigin;

/// Start of the first bucket, which also counts all shorter idle times.
const FIRST_BUCKET_START: Duration = Duration::from_millis(5);
/// Number of buckets. The last one also counts all longer idle times.
const BUCKET_COUNT: usize = 26;
/// Number of buckets per octave of idle times.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Time constant of the decay of the counts. Once breaks have decayed, their limit is lifted and longer idle
/// times are tried again.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Prior of the baseline: one break in this many uses, because connections occasionally break everywhere.
const PRIOR_USES: f64 = 20.0;
/// Minimum evidence for a limit, as the natural logarithm of a likelihood ratio. A node of a large fleet gets
/// few requests per second, and a single break at such a node must not set a limit.
const MIN_EVIDENCE: f64 = 4.0;
/// Minimum number of uses in a bucket for its idle times to count as tried.
const MIN_TRIED_USES: f64 = 0.5;
/// Allowed excess of the break probability of reused connections over the baseline. It represents the cost of
/// the handshake of a new connection.
const HANDSHAKE_MARGIN: f64 = 0.2;
/// Allowed excess for non-idempotent requests, which are lost when their connection breaks.
const NON_IDEMPOTENT_MARGIN: f64 = 0.05;

/// Number of uses of connections, and how many of them ended in a break.
#[derive(Clone, Copy, Default)]
struct UseCounts {
    total: f64,
    broken: f64,
}

impl Add for UseCounts {
    type Output = UseCounts;

    fn add(self, other: UseCounts) -> UseCounts {
        UseCounts { total: self.total + other.total, broken: self.broken + other.broken }
    }
}

impl UseCounts {
    /// Returns the probability of a break, with the prior of the baseline.
    fn break_rate(self) -> f64 {
        (self.broken + 1.0) / (self.total + PRIOR_USES)
    }

    /// Returns the natural logarithm of the ratio of two likelihoods: that these uses break at a rate of
    /// their own, and that they break at the rate `baseline`.
    fn evidence_against(self, baseline: f64) -> f64 {
        let term = |count: f64, expected: f64| {
            if count > 0.0 { count * (count / self.total / expected).ln() } else { 0.0 }
        };
        term(self.broken, baseline) + term(self.total - self.broken, 1.0 - baseline)
    }
}

/// Counts that decay exponentially with the time constant [`DECAY_TIME_CONSTANT`].
#[derive(Clone, Copy)]
struct DecayingUseCounts {
    uses: UseCounts,
    updated_at: Instant,
}

impl DecayingUseCounts {
    fn new() -> DecayingUseCounts {
        DecayingUseCounts { uses: UseCounts::default(), updated_at: Instant::now() }
    }

    fn add(&mut self, uses: UseCounts) {
        *self = DecayingUseCounts { uses: self.current() + uses, updated_at: Instant::now() };
    }

    fn current(&self) -> UseCounts {
        let remaining = (-self.updated_at.elapsed().as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        UseCounts { total: self.uses.total * remaining, broken: self.uses.broken * remaining }
    }
}

/// Estimates the idle time after which connections are stale; see the module's documentation.
pub struct StaleConnectionEstimator {
    new: RefCell<DecayingUseCounts>,
    /// One entry per bucket of idle times.
    reused: RefCell<[DecayingUseCounts; BUCKET_COUNT]>,
}

impl StaleConnectionEstimator {
    /// Creates an estimator without any observations.
    pub fn new() -> StaleConnectionEstimator {
        StaleConnectionEstimator {
            new: RefCell::new(DecayingUseCounts::new()),
            reused: RefCell::new([DecayingUseCounts::new(); BUCKET_COUNT]),
        }
    }

    /// Records that a request on a connection of this origin got a response.
    pub fn record_response(&self, origin: ConnectionOrigin) {
        self.record(origin, UseCounts { total: 1.0, broken: 0.0 });
    }

    /// Records that a connection of this origin broke during a request.
    pub fn record_break(&self, origin: ConnectionOrigin) {
        self.record(origin, UseCounts { total: 1.0, broken: 1.0 });
    }

    fn record(&self, origin: ConnectionOrigin, uses: UseCounts) {
        match origin {
            ConnectionOrigin::New => self.new.borrow_mut().add(uses),
            ConnectionOrigin::Reused { idle_for } => {
                self.reused.borrow_mut()[bucket_index(idle_for)].add(uses);
            }
        }
    }

    /// Returns the idle time up to which a connection is as good as a new one, for a non-idempotent request
    /// or for other requests. [`Duration::MAX`] means that there is no limit.
    pub fn max_idle(&self, non_idempotent: bool) -> Duration {
        let margin = if non_idempotent { NON_IDEMPOTENT_MARGIN } else { HANDSHAKE_MARGIN };
        let reused = self.reused.borrow().map(|bucket| bucket.current());
        let Some(mut bucket) = self.first_stale_bucket(&reused, margin) else { return Duration::MAX };
        // Connections with shorter idle times may be stale too if these idle times have not been tried. Other
        // requests try them.
        while non_idempotent && bucket > 0 && reused[bucket - 1].total < MIN_TRIED_USES {
            bucket -= 1;
        }
        bucket_start(bucket)
    }

    /// Returns the first bucket of stale connections: the one with the most evidence, or `None` if no bucket
    /// has enough.
    fn first_stale_bucket(&self, reused: &[UseCounts; BUCKET_COUNT], margin: f64) -> Option<usize> {
        let mut shorter = self.new.borrow().current();
        let (mut most_evidence, mut stale_from) = (MIN_EVIDENCE, None);
        for (bucket, uses) in reused.iter().enumerate() {
            let baseline = shorter.break_rate();
            // The sum is computed anew for each bucket, because the rounding errors of a running difference
            // would look like strong evidence.
            let longer = reused[bucket..].iter().fold(UseCounts::default(), |sum, uses| sum + *uses);
            let evidence = longer.evidence_against(baseline);
            if longer.broken > (baseline + margin) * longer.total && evidence >= most_evidence {
                (most_evidence, stale_from) = (evidence, Some(bucket));
            }
            shorter = shorter + *uses;
        }
        stale_from
    }
}

/// Returns the index of the bucket that counts an idle time.
fn bucket_index(idle_for: Duration) -> usize {
    let octaves = (idle_for.as_secs_f64() / FIRST_BUCKET_START.as_secs_f64()).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKET_COUNT - 1)
}

/// Returns the shortest idle time of a bucket.
fn bucket_start(bucket: usize) -> Duration {
    FIRST_BUCKET_START.mul_f64(2f64.powf(bucket as f64 / BUCKETS_PER_OCTAVE))
}

#[cfg(test)]
#[path = "../../../tests/unit/stale_connections.rs"]
mod tests;
