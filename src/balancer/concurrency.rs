//! The adaptive concurrency limit: how many attempts endpoints take at once.

use super::decay::DecayingCounter;
use super::interface::Timestamp;
use super::latency::LatencyEstimator;

/// The limit at the start, which it never falls below.
const INITIAL_LIMIT: f64 = 2.0;
/// Nor does it fall below this multiple of the concurrency that served work within quotas needs without load.
const DEMAND_MULTIPLE: f64 = 3.5;
/// Growth of the limit with a response in time, while requests are queued.
const LIMIT_GROWTH_FACTOR: f64 = 1.005;
/// What a late response leaves of the limit while responses are slowed down.
const LIMIT_DECREASE_FACTOR: f64 = 0.975;

/// What a response tells of the limit.
pub(super) struct LimitSample<'a> {
    /// The latency of its class, with this response.
    pub(super) latency: &'a LatencyEstimator,
    /// How long the attempt took.
    pub(super) elapsed_us: f64,
    /// Whether the request is within its tenant's quota.
    pub(super) within_quota: bool,
    /// Whether requests within quotas are queued.
    pub(super) queued: bool,
}

/// The limit of attempts in flight at an endpoint of mean size, over all nodes together.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    node_count: f64,
    /// Served work within quotas, in microseconds of baseline latency.
    demand: DecayingCounter,
}

impl ConcurrencyLimit {
    pub(super) fn new(node_count: u32) -> ConcurrencyLimit {
        let demand = DecayingCounter::default();
        ConcurrencyLimit { limit: INITIAL_LIMIT, node_count: f64::from(node_count), demand }
    }

    /// This node's part of the limit.
    pub(super) fn per_node(&self) -> f64 {
        self.limit / self.node_count
    }

    /// How much of an endpoint's load this node's own counts show, from 0 to 1: `2 * limit / node_count`, at
    /// most 1. A node whose part of the limit is under half an attempt mostly counts zero, however loaded the
    /// endpoint is.
    pub(super) fn local_load_visibility(&self) -> f64 {
        (2.0 * self.limit / self.node_count).min(1.0)
    }

    /// Whether this node's own counts show all of the load.
    pub(super) fn is_load_fully_visible(&self) -> bool {
        self.local_load_visibility() == 1.0
    }

    /// Moves the limit by a response: up if it was in time while others are queued, down if it was late. Late
    /// responses may come from pauses, so that only those count which come while the median is up as well;
    /// and while it is up, more work would only overload endpoints.
    pub(super) fn record(&mut self, now: Timestamp, sample: &LimitSample<'_>, ready_endpoints: usize) {
        let latency = sample.latency;
        let factor = match (sample.elapsed_us > latency.objective_us, latency.is_slowed_down()) {
            (true, true) => LIMIT_DECREASE_FACTOR,
            (false, false) if sample.queued => LIMIT_GROWTH_FACTOR,
            _ => 1.0,
        };
        // Demand is what is served. Counting what arrives, or a baseline that is a guess yet, would raise the
        // limit until endpoints are overloaded.
        let counts_as_demand = sample.within_quota && !latency.is_baseline_guess();
        self.demand.add(now, if counts_as_demand { latency.baseline_us } else { 0.0 });
        // Little's law: arrivals per microsecond times the microseconds each takes is concurrency.
        let needed_concurrency =
            self.demand.rate_per_us(now) * self.node_count / ready_endpoints.max(1) as f64;
        // A slowdown of all endpoints makes every response late; shrinking further would only serve fewer.
        self.limit = (self.limit * factor).max(DEMAND_MULTIPLE * needed_concurrency).max(INITIAL_LIMIT);
    }
}
