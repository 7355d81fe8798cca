//! The queues of requests that wait for capacity: which request is sent next, and to which pool.

use super::Balancer;
use super::hash::unit_hash;
use super::interface::{Action, TimerToken, Timestamp};
use super::requests::QueuedRequest;

/// Fraction of a pool's capacity up to which over-quota requests are sent to it.
const OVER_QUOTA_MAX_UTILIZATION: f64 = 0.8;
/// Fraction of a pool's capacity below which it accepts requests that spill over from other pools, and hedges
/// while these rarely win.
pub(super) const SPARE_CAPACITY_MAX_UTILIZATION: f64 = 0.5;
/// Interval at which queued requests are dispatched, in multiples of
/// [`Settings::clock_granularity`](super::Settings::clock_granularity).
const DISPATCH_INTERVAL_TICKS: u32 = 2;
/// Number of requests of a class without a suitable endpoint after which a dispatch skips the rest of the
/// class.
const MAX_BLOCKED_PER_CLASS: usize = 3;

impl Balancer {
    /// Sends queued requests while pools have capacity, in the order of their value density.
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
                match pools.into_iter().find_map(|pool| self.select_endpoint(request.id, pool)) {
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

    /// Returns the position of the queued request with the highest value density. Ties go to the earliest
    /// latency objective. Classes with `MAX_BLOCKED_PER_CLASS` blocked requests are skipped, so that a few
    /// requests that may only be sent to full endpoints don't hold up other classes.
    fn find_most_valuable(&self, pool: usize, blocked: &[QueuedRequest]) -> Option<usize> {
        let blocked_of = |class: usize| blocked.iter().filter(|request| request.class == class).count();
        let queued = self.queues[pool].iter().enumerate();
        let candidates = queued.filter(|(_, request)| blocked_of(request.class) < MAX_BLOCKED_PER_CLASS);
        let ranked = candidates.map(|(at, request)| (self.value_density(request), request.objective_at, at));
        ranked.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|best| best.2)
    }

    /// Returns the pools to try for a request: its own pool if that has capacity, then the pools that it may
    /// spill over to. Other pools are included even if its own pool has capacity, because all of that
    /// capacity may be at ejected endpoints.
    fn pools_with_capacity(&self, pool: usize, request: &QueuedRequest) -> Vec<usize> {
        let max_utilization = if request.within_quota { 1.0 } else { OVER_QUOTA_MAX_UTILIZATION };
        let own_pool = self.has_capacity(pool, max_utilization).then_some(pool);
        let other_pools = (0..self.pools.len()).filter(|other| *other != pool);
        own_pool
            .into_iter()
            .chain(other_pools.filter(|other| self.accepts_spillover(*other, pool, request)))
            .collect()
    }

    /// Returns whether a request of the pool `from` may spill over to another pool: that pool's own queue has
    /// to be empty and its utilization below `SPARE_CAPACITY_MAX_UTILIZATION`.
    ///
    /// If a node's own counts don't show all of the load, the pool may look free to all nodes at once. In
    /// that case it accepts only a fraction of the requests, chosen by a hash of request and pool:
    ///
    /// ```text
    /// accepted fraction = min(size / size of from, 1)
    ///
    /// size           number of endpoints in the pool
    /// size of from   number of endpoints in the pool `from`; all ready endpoints if it is empty
    /// ```
    fn accepts_spillover(&self, pool: usize, from: usize, request: &QueuedRequest) -> bool {
        let size = self.pools[pool].members.len() as f64;
        let is_within_share = || unit_hash(request.id, pool as u64) * self.members(from).len() as f64 <= size;
        size > 0.0
            && self.queues[pool].is_empty()
            && self.has_capacity(pool, SPARE_CAPACITY_MAX_UTILIZATION)
            && (self.concurrency.is_load_fully_visible() || is_within_share())
    }

    /// Returns the value that the request earns per microsecond of latency if it is sent now.
    ///
    /// ```text
    /// value density = priority_weight * quota_weight * late_weight / median
    ///
    /// priority_weight  that of the class
    /// quota_weight     Settings::over_quota_weight for an over-quota request, else 1
    /// late_weight      that of the class if the response would be late, else 1
    /// median           median latency of the class in microseconds
    /// ```
    fn value_density(&self, request: &QueuedRequest) -> f64 {
        let class = &self.settings.classes[request.class];
        let quota_weight = if request.within_quota { 1.0 } else { self.settings.over_quota_weight };
        let late_weight = if self.would_be_late(request) { class.late_weight } else { 1.0 };
        class.priority_weight * quota_weight * late_weight / self.latencies[request.class].median_us
    }

    /// Returns whether the response would probably miss the latency objective if the request is sent now.
    pub(super) fn would_be_late(&self, request: &QueuedRequest) -> bool {
        let expected_latency_us = self.latencies[request.class].expected_latency_us();
        self.now.as_micros_f64() + expected_latency_us > request.objective_at.as_micros_f64()
    }

    /// Returns the latest time to send the request at which its response probably meets the latency
    /// objective.
    pub(super) fn latest_on_time_send(&self, request: &QueuedRequest) -> Timestamp {
        let latest_on_time_send_us =
            request.objective_at.as_micros_f64() - self.latencies[request.class].expected_latency_us();
        Timestamp::from_micros(latest_on_time_send_us as u64)
    }
}
