//! The queues of requests that wait for capacity: which one goes next, and to which pool.

use super::Balancer;
use super::hash::unit_hash;
use super::interface::{Action, TimerToken, Timestamp};
use super::requests::QueuedRequest;

/// The part of a pool's capacity that work beyond quotas may fill.
const OVER_QUOTA_MAX_UTILIZATION: f64 = 0.8;
/// A pool takes overflow and hedges while less than this part of its capacity is filled.
pub(super) const SPARE_CAPACITY_MAX_UTILIZATION: f64 = 0.5;
/// Queued requests are dispatched again after so many steps of the clock.
const DISPATCH_INTERVAL_TICKS: u32 = 2;
/// Of a class, so many may be found unsendable before its others are passed over.
const MAX_BLOCKED_PER_CLASS: usize = 3;

impl Balancer {
    /// Sends queued requests, the most valuable first, while pools have capacity.
    pub(super) fn dispatch(&mut self) {
        for pool in 0..self.queues.len() {
            let mut blocked: Vec<QueuedRequest> = Vec::new();
            while let Some(at) = self.find_most_valuable(pool, &blocked) {
                let request = self.queues[pool][at];
                let pools = self.pools_with_capacity(pool, &request);
                if pools.is_empty() {
                    break;
                }
                self.queues[pool].swap_remove(at);
                match pools.into_iter().find_map(|pool| self.pick(request.id, pool)) {
                    Some(endpoint) => self.send(request.id, endpoint),
                    None => blocked.push(request),
                }
            }
            self.queues[pool].append(&mut blocked);
        }
        if !self.dispatch_timer_set && self.queues.iter().any(|queue| !queue.is_empty()) {
            self.dispatch_timer_set = true;
            let after = self.settings.clock_granularity.saturating_mul(DISPATCH_INTERVAL_TICKS);
            self.actions.push(Action::SetTimer { after, token: TimerToken::Dispatch });
        }
    }

    /// The position of the queued request with the highest value density, of several the one with the nearest
    /// objective. A few that are tied to full endpoints must not stop other classes.
    fn find_most_valuable(&self, pool: usize, blocked: &[QueuedRequest]) -> Option<usize> {
        let blocked_of = |class: usize| blocked.iter().filter(|request| request.class == class).count();
        let queued = self.queues[pool].iter().enumerate();
        let candidates = queued.filter(|(_, request)| blocked_of(request.class) < MAX_BLOCKED_PER_CLASS);
        let ranked = candidates.map(|(at, request)| (self.value_density(request), request.objective_at, at));
        ranked.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|best| best.2)
    }

    /// The pool itself while it has capacity, then the overflow pools: the capacity that a pool has left may
    /// be that of ejected endpoints.
    fn pools_with_capacity(&self, pool: usize, request: &QueuedRequest) -> Vec<usize> {
        let max_utilization = if request.within_quota { 1.0 } else { OVER_QUOTA_MAX_UTILIZATION };
        let own_pool = self.has_capacity(pool, max_utilization).then_some(pool);
        let other_pools = (0..self.pools.len()).filter(|other| *other != pool);
        own_pool
            .into_iter()
            .chain(other_pools.filter(|other| self.accepts_spillover(*other, pool, request)))
            .collect()
    }

    /// Whether a pool takes a request of another one: its own tenants queue nothing and leave half of it
    /// free. Where nodes see little of the load the pool looks free to each of them: there it takes, by a
    /// hash of request and pool, only the part of the other pool's requests that the sizes of both
    /// warrant.
    fn accepts_spillover(&self, pool: usize, from: usize, request: &QueuedRequest) -> bool {
        let size = self.pools[pool].members.len() as f64;
        let is_within_share = || unit_hash(request.id, pool as u64) * self.members(from).len() as f64 <= size;
        size > 0.0
            && self.queues[pool].is_empty()
            && self.has_capacity(pool, SPARE_CAPACITY_MAX_UTILIZATION)
            && (self.concurrency.sees_load() || is_within_share())
    }

    /// What a response to the request, sent now, would earn for the time it takes: `priority weight * quota
    /// weight * late weight / median`, per microsecond.
    fn value_density(&self, request: &QueuedRequest) -> f64 {
        let class = &self.settings.classes[request.class];
        let quota_weight = if request.within_quota { 1.0 } else { self.settings.over_quota_weight };
        let late_weight = if self.would_be_late(request) { class.late_weight } else { 1.0 };
        class.priority_weight * quota_weight * late_weight / self.latencies[request.class].median_us
    }

    /// Whether a response to the request, sent now, would probably miss the latency objective.
    pub(super) fn would_be_late(&self, request: &QueuedRequest) -> bool {
        let likely_us = self.latencies[request.class].likely_us();
        self.now.as_micros_f64() + likely_us > request.objective_at.as_micros_f64()
    }

    /// From when on a response would probably miss it.
    pub(super) fn latest_on_time_send(&self, request: &QueuedRequest) -> Timestamp {
        let latest_on_time_send_us =
            request.objective_at.as_micros_f64() - self.latencies[request.class].likely_us();
        Timestamp::from_micros(latest_on_time_send_us as u64)
    }
}
