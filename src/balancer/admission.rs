//! Admission: quotas of tenants, and load shedding based on how long attempts wait at endpoints.

use super::decay::DECAY_TIME_US;
use super::interface::{Settings, Tenant, Timestamp};
use super::latency::{LatencyEstimator, lowest_baseline_us};
use super::requests::QueuedRequest;

/// Minimum burst of a tenant at a node, in tokens of one request each. Most nodes receive a tenant's requests
/// unevenly.
const MIN_BURST_TOKENS: f64 = 4.0;

/// Token bucket for this node's share of a tenant's quota. It holds at most the tokens of one second, or
/// [`MIN_BURST_TOKENS`] if that is more.
struct TokenBucket {
    rate_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    fn new(tenant: &Tenant, node_count: u32) -> TokenBucket {
        let rate_per_second = tenant.quota_per_second / f64::from(node_count);
        let burst = rate_per_second.max(MIN_BURST_TOKENS);
        TokenBucket { rate_per_second, burst, tokens: burst, refilled_at: Timestamp::default() }
    }

    /// Takes a token, and returns whether one was available.
    fn try_take(&mut self, now: Timestamp) -> bool {
        let refill = self.rate_per_second * now.micros_since(self.refilled_at) / 1e6;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}

/// Fraction of the difference by which one response of the class with the lowest baseline latency moves the
/// mean wait.
const MEAN_WAIT_STEP: f64 = 0.2;
/// Fraction of the difference by which one response moves the typical baseline latency.
const TYPICAL_BASELINE_STEP: f64 = 0.05;
/// Longest wait that is counted, as a multiple of the slack of the request's class. A few very slow endpoints
/// must not look like an overload of all.
const MAX_WAIT_SLACK_MULTIPLE: f64 = 1.2;

/// Estimate of how long attempts of all classes wait at endpoints before they are executed.
#[derive(Default)]
pub(super) struct QueueWaitEstimator {
    /// Mean wait as of the last attempt that was counted, in microseconds.
    mean_us: f64,
    /// Mean baseline latency of the classes, weighted by how many attempts of each were counted, in
    /// microseconds.
    typical_baseline_us: f64,
    updated_at: Timestamp,
}

impl QueueWaitEstimator {
    /// Returns the mean wait in microseconds. It decreases to 0 in [`DECAY_TIME_US`] after the last attempt
    /// that was counted: a node that sheds all requests would otherwise never learn that the overload is
    /// over.
    ///
    /// ```text
    /// mean wait = mean_us * max(1 - age / DECAY_TIME_US, 0)
    ///
    /// age   time since the last attempt that was counted, in microseconds
    /// ```
    fn mean_at(&self, now: Timestamp) -> f64 {
        self.mean_us * (1.0 - now.micros_since(self.updated_at) / DECAY_TIME_US).max(0.0)
    }

    /// Records how long an attempt took, served or not. The time beyond the baseline latency of its class
    /// counts as its wait.
    ///
    /// ```text
    /// wait             = min(elapsed - baseline, MAX_WAIT_SLACK_MULTIPLE * max(slack, 0))
    /// typical baseline = typical baseline + TYPICAL_BASELINE_STEP * (baseline - typical baseline)
    /// mean_us          = mean_us + MEAN_WAIT_STEP * (lowest baseline of all / baseline) * difference
    ///
    /// elapsed      time that the attempt took, in microseconds
    /// baseline     baseline latency of the attempt's class, in microseconds
    /// slack        latency objective of the class minus its baseline latency, in microseconds
    /// difference   wait - mean_us, limited to the range of ± the typical baseline
    /// ```
    ///
    /// The latency of long requests varies by more than their wait, so an attempt is weighted by `lowest
    /// baseline of all / baseline`. An attempt that was not served has waited at least this long, and is
    /// counted only if its wait is above `mean_us`.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        latencies: &[LatencyEstimator],
        class: usize,
        elapsed_us: f64,
        served: bool,
    ) {
        let latency = &latencies[class];
        let baseline_us = latency.baseline_us;
        let waited_us = (elapsed_us - baseline_us).min(MAX_WAIT_SLACK_MULTIPLE * latency.slack_us().max(0.0));
        if served || waited_us > self.mean_us {
            self.typical_baseline_us += TYPICAL_BASELINE_STEP * (baseline_us - self.typical_baseline_us);
            // Load makes all waits slightly longer, whereas a lost response or an unresponsive endpoint makes
            // a few of them arbitrarily long. No wait counts as further from the mean than the typical
            // baseline latency.
            let difference =
                (waited_us - self.mean_us).clamp(-self.typical_baseline_us, self.typical_baseline_us);
            self.mean_us += MEAN_WAIT_STEP * (lowest_baseline_us(latencies) / baseline_us) * difference;
            self.updated_at = now;
        }
    }
}

/// Mean wait at which shedding of requests within quota starts, as a fraction of the slack of their class.
const SHED_START_SLACK_FRACTION: f64 = 0.2;
/// Further mean wait over which that shedding grows to all of these requests, as a fraction of the same
/// slack.
const SHED_RANGE_SLACK_FRACTION: f64 = 0.4;
/// Mean wait at which shedding of over-quota requests starts, as a fraction of the smallest slack of all
/// classes.
const OVER_QUOTA_SHED_START_SLACK_FRACTION: f64 = 0.1;
/// Further mean wait over which that shedding grows to all of these requests, as a fraction of the same
/// slack.
const OVER_QUOTA_SHED_RANGE_SLACK_FRACTION: f64 = 0.2;
/// Mean wait, as a fraction of the typical baseline latency, below which it does not indicate load: the
/// latency of responses of one class varies by as much.
const UNLOADED_WAIT_FRACTION: f64 = 0.75;

/// Decides which requests are admitted, by the tenants' quotas and by how long attempts wait.
pub(super) struct Admission {
    /// Token buckets by tenant.
    quotas: Vec<TokenBucket>,
    pub(super) queue_wait: QueueWaitEstimator,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Admission {
        let quotas = settings.tenants.iter().map(|tenant| TokenBucket::new(tenant, settings.node_count));
        Admission { quotas: quotas.collect(), queue_wait: QueueWaitEstimator::default() }
    }

    /// Counts a request against its tenant's quota, if it has one, and returns whether it is within the
    /// quota.
    pub(super) fn take_quota(&mut self, tenant: Option<u32>, now: Timestamp) -> bool {
        let quota = tenant.and_then(|tenant| self.quotas.get_mut(tenant as usize));
        quota.is_none_or(|quota| quota.try_take(now))
    }

    /// Returns the probability that a request is admitted.
    ///
    /// ```text
    /// probability = 1 - (1 - visibility) * clamp((wait - from) / range, 0, 1)
    ///
    /// visibility   local load visibility of the concurrency limit
    /// wait         mean wait, decreased by the time since the last attempt that was counted
    /// from         within quota: max(SHED_START_SLACK_FRACTION * slack,
    ///                                UNLOADED_WAIT_FRACTION * typical baseline latency)
    ///              over quota:   OVER_QUOTA_SHED_START_SLACK_FRACTION * smallest slack of all classes
    /// range        within quota: SHED_RANGE_SLACK_FRACTION * slack
    ///              over quota:   OVER_QUOTA_SHED_RANGE_SLACK_FRACTION * smallest slack of all classes
    /// slack        latency objective of the request's class minus its baseline latency
    /// ```
    ///
    /// Times are in microseconds, and the range is at least 1 µs. A node whose own counts show little of the
    /// load notices an overload only by how long its few attempts wait. Once the wait uses up the slack, more
    /// requests would make all responses late. A node that sees the load queues requests instead.
    pub(super) fn probability(
        &self,
        now: Timestamp,
        request: &QueuedRequest,
        latencies: &[LatencyEstimator],
        local_load_visibility: f64,
    ) -> f64 {
        let (from, range) = if request.within_quota {
            let slack_us = latencies[request.class].slack_us();
            let unloaded_us = self.queue_wait.typical_baseline_us * UNLOADED_WAIT_FRACTION;
            ((SHED_START_SLACK_FRACTION * slack_us).max(unloaded_us), SHED_RANGE_SLACK_FRACTION * slack_us)
        } else {
            let slack_us = latencies.iter().map(LatencyEstimator::slack_us).fold(f64::MAX, f64::min);
            (OVER_QUOTA_SHED_START_SLACK_FRACTION * slack_us, OVER_QUOTA_SHED_RANGE_SLACK_FRACTION * slack_us)
        };
        let overload = ((self.queue_wait.mean_at(now) - from) / range.max(1.0)).clamp(0.0, 1.0);
        1.0 - (1.0 - local_load_visibility) * overload
    }
}
