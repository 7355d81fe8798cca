//! Admission: quotas of tenants, and load shedding by how long attempts wait at endpoints.

use super::decay::DECAY_TIME_US;
use super::interface::{Settings, Tenant, Timestamp};
use super::latency::{LatencyEstimator, shortest_baseline_us};
use super::requests::QueuedRequest;

/// The least burst of a tenant at a node: few nodes see its requests evenly.
const MIN_BURST_TOKENS: f64 = 4.0;

/// A node's part of a tenant's quota, as a token bucket; it holds what is refilled in a second.
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

    /// Takes a token, and returns whether there was one.
    fn try_take(&mut self, now: Timestamp) -> bool {
        let refill = self.rate_per_second * now.micros_since(self.refilled_at) / 1e6;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(taken));
        taken
    }
}

/// How far one response of the class with the lowest baseline moves the mean wait.
const MEAN_WAIT_STEP: f64 = 0.2;
/// How far one response moves the typical latency.
const TYPICAL_BASELINE_STEP: f64 = 0.05;
/// The longest wait that counts, as a multiple of its class's slack: a few very slow endpoints must not look
/// like an overload of all.
const MAX_WAIT_SLACK_MULTIPLE: f64 = 1.2;

/// How long attempts wait at endpoints before they are executed, in microseconds, over all classes.
#[derive(Default)]
pub(super) struct QueueWaitEstimator {
    /// The mean as of the last attempt that counted.
    mean_us: f64,
    /// The baseline latency, over classes as they are answered.
    typical_baseline_us: f64,
    updated_at: Timestamp,
}

impl QueueWaitEstimator {
    /// The mean wait. It fades to none while no attempt ends: a node that sheds all work would otherwise
    /// never learn that the overload is over.
    fn mean_at(&self, now: Timestamp) -> f64 {
        self.mean_us * (1.0 - now.micros_since(self.updated_at) / DECAY_TIME_US).max(0.0)
    }

    /// Takes in how long an attempt took, served or not: what is beyond its class's baseline it has waited.
    /// Long requests vary by more than they wait, so a class counts by `lowest baseline of all / its
    /// baseline`. An attempt that was not served has waited at least so long, and counts only where that is
    /// above the mean.
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
            // Load makes all waits a little longer, a lost response or a silent endpoint makes some endless:
            // no wait counts as further from the mean than by a typical latency.
            let difference =
                (waited_us - self.mean_us).clamp(-self.typical_baseline_us, self.typical_baseline_us);
            self.mean_us += MEAN_WAIT_STEP * (shortest_baseline_us(latencies) / baseline_us) * difference;
            self.updated_at = now;
        }
    }
}

/// Shedding of work within quotas begins at a mean wait of this part of its class's slack.
const SHED_START_SLACK_FRACTION: f64 = 0.2;
/// It grows to all of that work over so much more of the slack.
const SHED_RANGE_SLACK_FRACTION: f64 = 0.4;
/// Shedding of work beyond quotas begins at a mean wait of this part of the least slack of all classes.
const OVER_QUOTA_SHED_START_SLACK_FRACTION: f64 = 0.1;
/// It grows to all of that work over so much more of that slack.
const OVER_QUOTA_SHED_RANGE_SLACK_FRACTION: f64 = 0.2;
/// A mean wait below this part of the typical latency is no load: responses of one class vary by as much.
const UNLOADED_WAIT_FRACTION: f64 = 0.75;

/// Which requests are let in: the quotas of tenants, and how long attempts wait.
pub(super) struct Admission {
    /// By tenant.
    quotas: Vec<TokenBucket>,
    pub(super) queue_wait: QueueWaitEstimator,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Admission {
        let quotas = settings.tenants.iter().map(|tenant| TokenBucket::new(tenant, settings.node_count));
        Admission { quotas: quotas.collect(), queue_wait: QueueWaitEstimator::default() }
    }

    /// Counts a request against its tenant's quota, if there is one, and returns whether it is within it.
    pub(super) fn take_quota(&mut self, tenant: Option<u32>, now: Timestamp) -> bool {
        let quota = tenant.and_then(|tenant| self.quotas.get_mut(tenant as usize));
        quota.is_none_or(|quota| quota.try_take(now))
    }

    /// The probability that a request is admitted: `1 - (1 - visibility) * clamp((wait - from) / range, 0,
    /// 1)`, with the local load visibility of the concurrency limit. A node that sees little of the load by
    /// its own counts sees an overload only in how long its few attempts wait; once that uses up what the
    /// latency objectives leave, more work would make all of it late. A node that sees the load queues
    /// requests instead.
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
