//! After how long an idle connection is stale, learned from connections that broke under a request.
//!
//! A firewall or proxy on the way may drop the state of a connection that has been idle for some time, and
//! show that only at the next request. Elsewhere connections break whether they are new or reused, and to
//! open more of them helps nobody. To tell the two apart, uses and breaks of connections are counted: those
//! of new connections, and those of reused ones by how long they had been idle, in buckets of half an octave.
//! All counts decay with the time constant [`DECAY_TIME_CONSTANT`].
//!
//! For each bucket `i` let `u` and `b` be the uses and breaks in the buckets from `i` on, and `U` and `B`
//! those of all shorter idle times and of new connections. Then
//!
//! ```text
//! baseline  p = (B + 1) / (U + PRIOR_USES)
//! evidence  e = b ln((b / u) / p) + (u - b) ln(((u - b) / u) / (1 - p))
//! ```
//!
//! where `e` is the logarithm of the ratio of two likelihoods: that connections of that idle time and longer
//! break at a rate of their own, and that they break at the baseline. The limit is the start of the bucket
//! with the largest `e`, among those with `e >= MIN_EVIDENCE` and `b > (p + margin) u`. What breaks after
//! some time breaks after a longer one too, so one limit is enough.

use std::cell::RefCell;
use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::ConnectionOrigin;

/// All idle times up to this and a half octave more are in the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(5);
/// How many buckets there are. The last one also has all longer idle times.
const BUCKET_COUNT: usize = 26;
/// How many buckets an octave of idle times has.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// The time constant of the counts' decay. A limit is lifted, and longer idle times are tried again, once
/// their breaks are forgotten.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// The prior of the baseline: one break in so many uses, as connections break everywhere at times.
const PRIOR_USES: f64 = 20.0;
/// The least evidence for a limit, as the natural logarithm of a likelihood ratio. A node in a large fleet
/// sees few requests a second, and to it a single break proves nothing.
const MIN_EVIDENCE: f64 = 4.0;
/// An idle time counts as tried if its bucket has so many uses.
const MIN_TRIED_USES: f64 = 0.5;
/// How much more often than the baseline a reused connection may break, as a probability: what a handshake
/// costs.
const HANDSHAKE_MARGIN: f64 = 0.2;
/// The same for a non-idempotent request, which is lost with its connection.
const NON_IDEMPOTENT_MARGIN: f64 = 0.05;

/// Uses of connections, and how many of them broke.
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
    /// The probability of a break, with the prior added.
    fn break_rate(self) -> f64 {
        (self.broken + 1.0) / (self.total + PRIOR_USES)
    }

    /// How much likelier (as a natural logarithm) these uses broke at a rate of their own than at `baseline`.
    fn evidence_against(self, baseline: f64) -> f64 {
        let term = |count: f64, expected: f64| {
            if count > 0.0 { count * (count / self.total / expected).ln() } else { 0.0 }
        };
        term(self.broken, baseline) + term(self.total - self.broken, 1.0 - baseline)
    }
}

/// A count that decays with the time constant [`DECAY_TIME_CONSTANT`].
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

/// Estimates after how long an idle connection is stale; see the module's documentation.
pub struct StaleConnectionEstimator {
    new: RefCell<DecayingUseCounts>,
    /// By idle time.
    reused: RefCell<[DecayingUseCounts; BUCKET_COUNT]>,
}

impl StaleConnectionEstimator {
    /// An estimator that has seen nothing.
    pub fn new() -> StaleConnectionEstimator {
        StaleConnectionEstimator {
            new: RefCell::new(DecayingUseCounts::new()),
            reused: RefCell::new([DecayingUseCounts::new(); BUCKET_COUNT]),
        }
    }

    /// A request on a connection of this origin got a response.
    pub fn record_response(&self, origin: ConnectionOrigin) {
        self.record(origin, UseCounts { total: 1.0, broken: 0.0 });
    }

    /// A connection of this origin broke under a request.
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

    /// For how long a connection may have been idle to be as good as a new one, for a request that is
    /// `non_idempotent` or for others. [`Duration::MAX`] if there is no limit.
    pub fn max_idle(&self, non_idempotent: bool) -> Duration {
        let margin = if non_idempotent { NON_IDEMPOTENT_MARGIN } else { HANDSHAKE_MARGIN };
        let reused = self.reused.borrow().map(|bucket| bucket.current());
        let Some(mut bucket) = self.first_stale_bucket(&reused, margin) else { return Duration::MAX };
        // Shorter idle times that were not tried may be stale too: other requests find that out.
        while non_idempotent && bucket > 0 && reused[bucket - 1].total < MIN_TRIED_USES {
            bucket -= 1;
        }
        bucket_start(bucket)
    }

    /// The bucket from which on connections are most evidently stale, if there is enough evidence for any.
    fn first_stale_bucket(&self, reused: &[UseCounts; BUCKET_COUNT], margin: f64) -> Option<usize> {
        let mut shorter = self.new.borrow().current();
        let (mut most_evidence, mut stale_from) = (MIN_EVIDENCE, None);
        for (bucket, uses) in reused.iter().enumerate() {
            let baseline = shorter.break_rate();
            // Summed for each bucket: the rounding errors of a running difference would look like strong
            // evidence.
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

/// The bucket of an idle time.
fn bucket_index(idle_for: Duration) -> usize {
    let octaves = (idle_for.as_secs_f64() / FIRST_BUCKET.as_secs_f64()).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKET_COUNT - 1)
}

/// The shortest idle time of a bucket.
fn bucket_start(bucket: usize) -> Duration {
    FIRST_BUCKET.mul_f64(2f64.powf(bucket as f64 / BUCKETS_PER_OCTAVE))
}

#[cfg(test)]
#[path = "../../../tests/unit/stale_connections.rs"]
mod tests;
