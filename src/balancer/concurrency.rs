//! The adaptive concurrency limit: how many attempts endpoints execute at once.

use super::decay::DecayingCounter;
use super::interface::Timestamp;
use super::latency::LatencyEstimator;

/// Minimum limit, in attempts; also the initial one.
const MIN_LIMIT: f64 = 2.0;
/// The limit is at least this multiple of the concurrency that the served requests within quota need without
/// load.
const DEMAND_MULTIPLE: f64 = 3.5;
/// Factor by which a response in time raises the limit while requests are queued.
const LIMIT_GROWTH_FACTOR: f64 = 1.005;
/// Factor by which a late response lowers the limit while responses are slowed down.
const LIMIT_DECREASE_FACTOR: f64 = 0.975;

/// A response as input to the concurrency limit.
pub(super) struct LimitSample<'a> {
    /// Latency estimator of its class, which already includes this response.
    pub(super) latency: &'a LatencyEstimator,
    /// How long the attempt took, in microseconds.
    pub(super) elapsed_us: f64,
    /// Whether the request is within its tenant's quota.
    pub(super) within_quota: bool,
    /// Whether any request within quota is queued.
    pub(super) has_queue: bool,
}

/// Limit of the attempts that an endpoint of mean size executes at once, over all nodes together.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    node_count: f64,
    /// Served requests within quota, decaying, each counted as its class's baseline latency in microseconds.
    demand: DecayingCounter,
}

impl ConcurrencyLimit {
    pub(super) fn new(node_count: u32) -> ConcurrencyLimit {
        let demand = DecayingCounter::default();
        ConcurrencyLimit { limit: MIN_LIMIT, node_count: f64::from(node_count), demand }
    }

    /// Returns this node's share of the limit, in attempts: `limit / node_count`.
    pub(super) fn per_node(&self) -> f64 {
        self.limit / self.node_count
    }

    /// Returns how much of an endpoint's load this node's own counts show, from 0 to 1.
    ///
    /// ```text
    /// local load visibility = min(2 * limit / node_count, 1)
    /// ```
    ///
    /// A node whose share of the limit is less than half an attempt mostly counts 0 attempts as executing,
    /// however loaded the endpoint is.
    pub(super) fn local_load_visibility(&self) -> f64 {
        (2.0 * self.limit / self.node_count).min(1.0)
    }

    /// Returns whether this node's own counts show all of the load.
    pub(super) fn is_load_fully_visible(&self) -> bool {
        self.local_load_visibility() == 1.0
    }

    /// Adjusts the limit to a response: raises it if the response was in time while requests are queued, and
    /// lowers it if the response was late.
    ///
    /// ```text
    /// limit              = max(limit * factor, DEMAND_MULTIPLE * needed concurrency, MIN_LIMIT)
    /// needed concurrency = demand * node count / ready endpoints
    ///
    /// factor   LIMIT_DECREASE_FACTOR, LIMIT_GROWTH_FACTOR or 1
    /// demand   microseconds of baseline latency served within quota by this node per microsecond
    /// ```
    ///
    /// Pauses of endpoints may also cause late responses, so a late response lowers the limit only while the
    /// median latency is raised as well. While the median is raised, the limit does not grow either: more
    /// requests would only overload the endpoints.
    pub(super) fn record(&mut self, now: Timestamp, sample: &LimitSample<'_>, ready_endpoints: usize) {
        let latency = sample.latency;
        let factor = match (sample.elapsed_us > latency.objective_us, latency.is_slowed_down()) {
            (true, true) => LIMIT_DECREASE_FACTOR,
            (false, false) if sample.has_queue => LIMIT_GROWTH_FACTOR,
            _ => 1.0,
        };
        // Only served requests count as demand. Counting arriving requests, or a baseline latency that is
        // still a guess, would raise the limit until endpoints are overloaded.
        let counts_as_demand = sample.within_quota && !latency.is_baseline_guess();
        self.demand.add(now, if counts_as_demand { latency.baseline_us } else { 0.0 });
        // Little's law: concurrency = arrivals per microsecond * microseconds that each takes.
        let needed_concurrency =
            self.demand.rate_per_us(now) * self.node_count / ready_endpoints.max(1) as f64;
        // If all endpoints slow down, every response is late; lowering the limit further would only serve
        // fewer requests.
        self.limit = (self.limit * factor).max(DEMAND_MULTIPLE * needed_concurrency).max(MIN_LIMIT);
    }
}
