//! The decisions of a node: what to do with each request, and how to use the outcome of each attempt.
//!
//! Each tenant has a label, and each label has a pool of endpoints whose size follows its tenants' share of
//! the service. A request goes to the one of two random members of the pool that has less load from this
//! node. `docs/design.md` describes the additions to this scheme and the reasons for them.
//!
//! The modules are layered, and each depends only on the layers before its own: the `interface`, the
//! estimators and tables that don't use the [`Balancer`], the balancer's state in this module, and the
//! modules that decide by that state (`attempts`, `feedback`, `membership`, `queue`, `reevaluation`,
//! `selection`, `streaming`).

mod admission;
mod attempts;
mod concurrency;
mod decay;
mod endpoints;
mod feedback;
mod hash;
mod hedging;
mod interface;
mod latency;
mod maintenance;
mod membership;
mod outliers;
mod queue;
mod reevaluation;
mod requests;
mod retry;
mod selection;
mod streaming;
mod subsets;

use std::collections::BTreeMap;

use self::admission::Admission;
use self::concurrency::ConcurrencyLimit;
use self::endpoints::EndpointTable;
use self::hedging::HedgeStatistics;
use self::latency::LatencyEstimator;
use self::requests::{ActiveRequest, QueuedRequest};
use self::subsets::{LABEL_COUNT, Pool, build_pools, choose_label_salt};

pub use self::interface::*;

/// The state of one node, and all decisions that the node makes.
pub struct Balancer {
    settings: Settings,
    now: Timestamp,
    /// Actions in response to the event that is being handled.
    actions: Vec<Action>,
    random: fastrand::Rng,
    table: EndpointTable,
    label_salt: u64,
    /// Pools by index; empty before the first endpoint list.
    pools: Vec<Pool>,
    requests: BTreeMap<RequestId, ActiveRequest>,
    /// Queued requests by pool.
    queues: Vec<Vec<QueuedRequest>>,
    dispatch_timer_set: bool,
    admission: Admission,
    /// Latency estimates by class.
    latencies: Vec<LatencyEstimator>,
    concurrency: ConcurrencyLimit,
    hedges: HedgeStatistics,
    /// Number of failed polls of discovery since the last endpoint list.
    failed_polls: u32,
}

impl Balancer {
    /// Creates the balancer of a node. Its first event should be the endpoint list that the node last had.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the first invalid setting and its value.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        Ok(Balancer {
            now: Timestamp::default(),
            actions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            table: EndpointTable::default(),
            label_salt: choose_label_salt(&settings.tenants),
            pools: Vec::new(),
            requests: BTreeMap::new(),
            queues: vec![Vec::new(); LABEL_COUNT + 1],
            dispatch_timer_set: false,
            admission: Admission::new(&settings),
            latencies: settings.classes.iter().map(LatencyEstimator::new).collect(),
            concurrency: ConcurrencyLimit::new(settings.node_count),
            hedges: HedgeStatistics::default(),
            failed_polls: 0,
            settings,
        })
    }

    /// Handles an event that happens at `now`, and appends the resulting actions in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        // `now` never decreases, even if the node's clock runs backwards. Otherwise a token bucket, for
        // example, would refill twice for the same time.
        self.now = self.now.max(now);
        match event {
            Event::EndpointSnapshot(list) => self.update_endpoints(list, true),
            Event::EndpointDelta(list) => self.update_endpoints(list, false),
            Event::CachedSnapshot(list) => {
                self.update_endpoints(list, true);
                self.poll_discovery();
            }
            Event::DiscoveryFailed => self.retry_discovery(),
            Event::EnterMaintenance(id) => self.enter_maintenance(id),
            Event::ExitMaintenance(id, at) => self.exit_maintenance(id, at),
            Event::RequestArrived(request) => self.on_request_arrived(request),
            Event::ClientDisconnected(id) => self.finish(id),
            Event::BodyForwarded(id) => self.on_body_forwarded(id),
            Event::BodyCompleted(id) => self.on_body_completed(id),
            Event::ResponseBegan(id, attempt) => self.on_response_began(id, attempt),
            Event::ResponseStalled(id, attempt) => self.on_response_stalled(id, attempt),
            Event::ResponseStarted(id, attempt) => self.on_response_started(id, attempt),
            Event::AttemptEnded(result) => self.on_attempt_ended(result),
            Event::TimerFired(TimerToken::Discovery) => self.poll_discovery(),
            Event::TimerFired(TimerToken::Dispatch) => {
                self.dispatch_timer_set = false;
                self.dispatch();
            }
            Event::TimerFired(TimerToken::Request(id)) => self.reevaluate(id),
        }
        actions.append(&mut self.actions);
    }

    /// Rebuilds the pools after a change of the ready endpoints.
    fn rebuild_pools(&mut self) {
        self.pools = build_pools(&mut self.table, &self.settings, self.label_salt);
    }

    /// Returns the number of requests that the balancer tracks, for use as a gauge.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }
}
