//! Every decision of a node: what to do with each request, and what to learn from each attempt.
//!
//! A tenant's label names a small pool of endpoints; of two random members the one with less of this node's
//! own load gets the request. `docs/design.md` says what was added to that and why.
//!
//! The modules depend on each other one way: the `interface`, then estimators and tables that know nothing of
//! the [`Balancer`], then the balancer's state here, then the modules that decide by it (`attempts`,
//! `feedback`, `membership`, `queue`, `reevaluation`, `selection`, `streaming`).

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
use self::subsets::{LABELS, Pool, build_pools, choose_label_salt};

pub use self::interface::*;

/// The decisions of one node.
pub struct Balancer {
    settings: Settings,
    now: Timestamp,
    /// Actions of the event being handled.
    actions: Vec<Action>,
    random: fastrand::Rng,
    table: EndpointTable,
    label_salt: u64,
    /// None before the first list.
    pools: Vec<Pool>,
    requests: BTreeMap<RequestId, ActiveRequest>,
    /// By pool.
    queues: Vec<Vec<QueuedRequest>>,
    dispatch_timer_set: bool,
    admission: Admission,
    /// By class.
    latencies: Vec<LatencyEstimator>,
    concurrency: ConcurrencyLimit,
    hedges: HedgeStatistics,
    /// Polls of discovery that failed since the last list.
    failed_polls: u32,
}

impl Balancer {
    /// Builds a node's balancer; its first event should be the list that the node last had.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first setting that makes no sense.
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
            queues: vec![Vec::new(); LABELS + 1],
            dispatch_timer_set: false,
            admission: Admission::new(&settings),
            latencies: settings.classes.iter().map(LatencyEstimator::new).collect(),
            concurrency: ConcurrencyLimit::new(settings.node_count),
            hedges: HedgeStatistics::default(),
            failed_polls: 0,
            settings,
        })
    }

    /// Takes in an event at this instant, and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        // A clock that runs backwards must not wrap differences around.
        self.now = self.now.max(now);
        match event {
            Event::EndpointSnapshot(list) => self.endpoints_changed(list, true),
            Event::EndpointDelta(list) => self.endpoints_changed(list, false),
            Event::CachedSnapshot(list) => {
                self.endpoints_changed(list, true);
                self.poll_discovery();
            }
            Event::DiscoveryFailed => self.discovery_failed(),
            Event::EnterMaintenance(id) => self.enter_maintenance(id),
            Event::ExitMaintenance(id, at) => self.exit_maintenance(id, at),
            Event::RequestArrived(request) => self.on_request_arrived(request),
            Event::ClientDisconnected(id) => self.finish(id),
            Event::BodyForwarded(id) => self.on_body_forwarded(id),
            Event::BodyCompleted(id) => self.on_body_completed(id),
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

    /// Builds the pools anew, as the ready endpoints have changed.
    fn rebuild_pools(&mut self) {
        self.pools = build_pools(&mut self.table, &self.settings, self.label_salt);
    }

    /// Requests that are tracked: a gauge for the node that embeds the balancer.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }
}
