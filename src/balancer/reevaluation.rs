//! Re-evaluation of a request when its timer fires: whether it is rejected, failed or hedged.

use super::Balancer;
use super::hedging::hedge_time;
use super::interface::{Action, RequestId, TimerToken, Timestamp};
use super::queue::SPARE_CAPACITY_MAX_UTILIZATION;
use super::requests::ActiveRequest;
use super::retry::retry_deadline;

impl Balancer {
    /// Sets a timer for the next re-evaluation of the request, unless an earlier one is already set.
    pub(super) fn schedule(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let if_queued = |at: Timestamp| request.queued.then_some(at);
        let times = [
            (!request.body_forwarded).then_some(request.answer_deadline),
            hedge_time(request, &self.latencies[request.entry.class]),
            if_queued(self.latest_on_time_send(&request.entry)),
            if_queued(request.queue_until),
            retry_deadline(&self.settings, request).and_then(if_queued),
        ];
        let Some(next) = times.into_iter().flatten().filter(|at| *at > self.now).min() else { return };
        if request.timer_at <= self.now || next < request.timer_at {
            let after = next.saturating_duration_since(self.now);
            self.actions.push(Action::SetTimer { after, token: TimerToken::Request(id) });
            if let Some(request) = self.requests.get_mut(&id) {
                request.timer_at = next;
            }
        }
    }

    /// Rejects, fails or hedges a request if that is due.
    pub(super) fn reevaluate(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.finished || request.timer_at > self.now {
            return;
        }
        let has_only_queue = request.queued && !request.is_in_flight();
        if self.is_overdue(id) || has_only_queue && self.should_give_up(request) {
            return self.reject_or_fail(id);
        }
        if self.now >= request.answer_deadline {
            return self.leave_queue(id);
        }
        if self.needs_hedge(request)
            && let Some(endpoint) = self.select_endpoint(id, request.pool)
        {
            self.send(id, endpoint);
        }
        self.schedule(id);
    }

    /// Returns whether a queued request should get its final answer now instead of waiting for capacity.
    fn should_give_up(&self, request: &ActiveRequest) -> bool {
        let entry = &request.entry;
        let late_earns_nothing = !entry.within_quota || self.settings.classes[entry.class].late_weight == 0.0;
        // If the request was not executed, the client can retry it. Rejecting it now is better than waiting
        // for the small chance that it is still sent, since a later rejection costs the client more.
        let waited_too_long = self.now >= request.queue_until && request.not_executed();
        let too_late = self.would_be_late(entry) && (late_earns_nothing || waited_too_long);
        let key_expired =
            retry_deadline(&self.settings, request).is_some_and(|deadline| deadline <= self.now);
        self.table.ready.is_empty() || too_late || key_expired || waited_too_long && !entry.within_quota
    }

    /// Returns whether a request should be hedged: it is within quota, its last attempt is overdue, as if the
    /// endpoint had paused, no request is queued for its pool, and the pool has capacity for a hedge.
    fn needs_hedge(&self, request: &ActiveRequest) -> bool {
        let max_utilization = if self.hedges.are_effective() { 1.0 } else { SPARE_CAPACITY_MAX_UTILIZATION };
        let latency = &self.latencies[request.entry.class];
        !request.queued
            && hedge_time(request, latency).is_some_and(|at| at <= self.now)
            && request.entry.within_quota
            && self.queues[request.pool].is_empty()
            && self.has_capacity(request.pool, max_utilization)
    }
}
