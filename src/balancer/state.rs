//! What the decision module keeps of servers and requests. Nothing is decided here.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::interface::*;
use super::time::{Timestamp, duration_from_micros_f64};

/// The same at every node, so that all of them build the same pools.
pub(crate) fn hash(what: u64, salt: u64) -> u64 {
    xxh3_64_with_seed(&what.to_le_bytes(), salt)
}

/// A hash as a number from 0 to 1.
pub(crate) fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// How fast what was seen of a server is forgotten.
pub(crate) const MEMORY: f64 = 3_000_000.0;
/// A rate is told over this time at least.
pub(crate) const RATE_FROM: f64 = 1_000_000.0;

/// A count whose past fades.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCounter {
    pub(crate) value: f64,
    pub(crate) at: Timestamp,
    pub(crate) since: Timestamp,
}

impl DecayingCounter {
    pub(crate) fn now(&self, now: Timestamp) -> f64 {
        self.value * (-(now.micros_since(self.at)) / MEMORY).exp()
    }

    pub(crate) fn add(&mut self, now: Timestamp, amount: f64) {
        let since = if self.since == Timestamp::default() { now } else { self.since };
        *self = DecayingCounter { value: self.now(now) + amount, at: now, since };
    }

    /// How much is added per microsecond; what is younger than its memory has not been added up in full.
    pub(crate) fn rate(&self, now: Timestamp) -> f64 {
        let age = now.micros_since(self.since).max(RATE_FROM);
        self.now(now) / MEMORY / (1.0 - (-age / MEMORY).exp())
    }
}

/// How long a server is avoided for each of its recent failures.
const RETREAT: f64 = 100_000.0;

/// Failures of one kind at a server.
#[derive(Clone, Copy, Default)]
pub(crate) struct OutlierDetector {
    pub(crate) lately: DecayingCounter,
    /// How many befall other servers too.
    pub(crate) usual: DecayingCounter,
    pub(crate) avoid_until: Timestamp,
}

impl OutlierDetector {
    /// Recent failures beyond the usual: what befalls all alike tells nothing of one.
    pub(crate) fn excess(&self, now: Timestamp) -> f64 {
        (self.lately.now(now) - self.usual.now(now)).max(0.0)
    }

    /// Whether the server is left alone for them.
    pub(crate) fn avoid(&self, now: Timestamp) -> bool {
        self.avoid_until > now
    }

    /// One that fails again and again is left alone for longer each time, then tried anew.
    pub(crate) fn retreat(&mut self, now: Timestamp) {
        self.avoid_until = now + duration_from_micros_f64(self.excess(now) * RETREAT);
    }
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointInfo,
    pub(crate) share: f64,
    pub(crate) size: f64,
    pub(crate) in_flight: u32,
    pub(crate) pace: f64,
    /// Attempts that came to nothing, whatever they were for; the usual is the mean of those in its pool.
    pub(crate) failures: OutlierDetector,
    /// Errors by class: a server that errs on one serves the others well. The usual is what a
    /// quarter of all servers stay under.
    pub(crate) errors: Vec<OutlierDetector>,
    pub(crate) last_sent: Timestamp,
}

impl Endpoint {
    /// One of which nothing is known but its entry.
    pub(crate) fn new(entry: EndpointInfo, classes: usize) -> Endpoint {
        Endpoint {
            entry,
            pace: 1.0,
            errors: vec![OutlierDetector::default(); classes],
            ..Endpoint::default()
        }
    }

    /// How slow it is; one that has not been tried for long gets a trial.
    pub(crate) fn pace_at(&self, now: Timestamp) -> f64 {
        let fresh = now.micros_since(self.last_sent) < MEMORY;
        if fresh { self.pace } else { 1.0 }
    }

    fn failed(&mut self, error_of: Option<usize>) -> &mut OutlierDetector {
        error_of.map_or(&mut self.failures, |class| &mut self.errors[class])
    }

    /// Recent failures that a request of this class has to fear.
    pub(crate) fn excess(&self, class: usize, now: Timestamp) -> f64 {
        self.failures.excess(now) + self.errors[class].excess(now)
    }

    /// Whether it is left alone for all classes.
    pub(crate) fn avoided(&self, now: Timestamp) -> bool {
        self.failures.avoid(now)
    }

    /// Whether it is left alone for its errors on this class.
    pub(crate) fn errs(&self, class: usize, now: Timestamp) -> bool {
        self.errors[class].avoid(now)
    }
}

/// Counts a failure of server `i`, an error of a class or one of another kind, and what of it is usual among
/// these servers. Errors of a class are not, where a quarter of the servers show fewer.
pub(crate) fn count_failure(
    endpoints: &mut [Endpoint],
    i: usize,
    among: &[usize],
    error_of: Option<usize>,
    now: Timestamp,
) {
    endpoints[i].failed(error_of).lately.add(now, 1.0);
    let mut lately: Vec<f64> = among.iter().map(|i| endpoints[*i].failed(error_of).lately.now(now)).collect();
    lately.sort_by(f64::total_cmp);
    let usual = match error_of {
        Some(_) => lately.get(lately.len() / 4).copied().unwrap_or(0.0),
        None => lately.iter().sum::<f64>() / lately.len().max(1) as f64,
    };
    among.iter().for_each(|i| {
        endpoints[*i].failed(error_of).usual = DecayingCounter { value: usual, at: now, since: now }
    });
    endpoints[i].failed(error_of).retreat(now);
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    NotExecuted,
    MaybeExecuted,
}

pub(crate) struct Attempt {
    pub(crate) to: EndpointInfo,
    pub(crate) sent_at: Timestamp,
    pub(crate) fate: AttemptState,
    /// Whether its server has the whole request and has not begun to answer, as far as is known.
    pub(crate) working: bool,
}

/// What the order of held requests goes by.
#[derive(Clone, Copy, Default)]
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) in_share: bool,
    pub(crate) aim_at: Timestamp,
}

#[derive(Default)]
pub(crate) struct ActiveRequest {
    pub(crate) ask: QueuedRequest,
    pub(crate) pool: usize,
    pub(crate) key: Option<u64>,
    pub(crate) give_up_at: Timestamp,
    /// Until when it keeps its place among the held without having been sent.
    pub(crate) place_until: Timestamp,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) held: bool,
    /// Its body is gone.
    pub(crate) passed_on: bool,
    pub(crate) done: bool,
    pub(crate) wake_at: Timestamp,
}

impl ActiveRequest {
    /// Whether no attempt can have run.
    pub(crate) fn not_executed(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == AttemptState::NotExecuted)
    }

    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == AttemptState::InFlight).count()
    }
}

/// A node's part of a tenant's share, as a bucket of tokens.
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    depth: f64,
    tokens: f64,
    at: Timestamp,
}

impl TokenBucket {
    pub(crate) fn full(rate_per_s: f64, depth: f64) -> TokenBucket {
        TokenBucket { rate_per_s, depth, tokens: depth, at: Timestamp::default() }
    }

    /// Takes a token, if there is one.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        let gained = self.rate_per_s * now.micros_since(self.at) / 1e6;
        self.tokens = (self.tokens + gained).min(self.depth);
        self.at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }
}

/// How far one answer moves the usual time, and that the shortest one, once many were seen.
const USUAL_STEP: f64 = 0.02;
/// How fast the shortest time is forgotten, with each answer.
const BASE_LEAK: f64 = 1.00002;

/// How long the answers of a class take.
pub(crate) struct LatencyEstimator {
    /// The median, lately.
    pub(crate) usual: f64,
    /// The shortest that the median was.
    pub(crate) base: f64,
    /// How many answers were seen, and the guess.
    pub(crate) seen: f64,
}

impl LatencyEstimator {
    pub(crate) fn guess(usual: f64) -> LatencyEstimator {
        LatencyEstimator { usual, base: usual, seen: 1.0 }
    }

    /// Takes in an answer; by large steps at first, as the shortest median has to be met before servers fill.
    pub(crate) fn answered(&mut self, elapsed: f64) {
        self.seen += 1.0;
        let step = (1.0 / self.seen).max(USUAL_STEP);
        self.usual *= if elapsed > self.usual { 1.0 + step } else { 1.0 / (1.0 + step) };
        let shorter = self.usual < self.base;
        self.base = if shorter { self.base + step * (self.usual - self.base) } else { self.base * BASE_LEAK };
    }
}

/// How far one answer of the shortest class moves the mean wait.
const WAIT_STEP: f64 = 0.2;
/// How far one answer moves what a request typically takes.
const TYPICAL_STEP: f64 = 0.05;

/// How long attempts wait at servers, over all classes; forgotten while none ends.
#[derive(Default)]
pub(crate) struct QueueWaitEstimator {
    /// The mean wait as of the last attempt that ended.
    pub(crate) mean: f64,
    /// What a request takes without a wait, over the classes as they are answered.
    pub(crate) typical: f64,
    at: Timestamp,
}

impl QueueWaitEstimator {
    pub(crate) fn now(&self, now: Timestamp) -> f64 {
        self.mean * (1.0 - now.micros_since(self.at) / MEMORY).max(0.0)
    }

    /// Takes in a wait. One that is off by far moves the mean no further than one that is off by a whole typical
    /// request: load makes all waits a little longer, a lost answer or a silent server some of them endless.
    pub(crate) fn add(&mut self, now: Timestamp, waited: f64, base: f64, trust: f64) {
        self.typical += TYPICAL_STEP * (base - self.typical);
        self.mean += WAIT_STEP * trust * (waited - self.mean).clamp(-self.typical, self.typical);
        self.at = now;
    }
}
