//! The lifecycle of a request: arrival, queueing, attempts, retries, and one final answer.

use std::time::Duration;

use super::Balancer;
use super::interface::{
    Action, AttemptNumber, AttemptResult, Outcome, Request, RequestId, as_micros_f64,
    duration_from_micros_f64,
};
use super::requests::{ActiveRequest, Attempt, AttemptState, QueuedRequest};
use super::retry::{may_send, retry_deadline};
use super::subsets::pool_of;

/// Fraction of its remaining time, as of its arrival, after which a request that was not executed leaves the
/// queue if it is over quota or would probably miss its latency objective. The protocol charges for requests
/// that are rejected after more than half of that time.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.45;
/// Time from the balancer's last possible final answer to the moment when the client stops waiting, in
/// multiples of [`Settings::clock_granularity`](super::Settings::clock_granularity).
const ANSWER_MARGIN_TICKS: u32 = 2;

impl Balancer {
    /// Sheds a new request, or queues it and sends it as soon as there is capacity.
    pub(super) fn on_request_arrived(&mut self, request: Request) {
        let (id, now) = (request.id, self.now);
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Reject { request: id, retry_after: Duration::ZERO });
        };
        let objective_at = now + class.objective_for(request.expected_work);
        let within_quota = self.admission.take_quota(request.tenant, now);
        let entry = QueuedRequest { id, class: request.class, within_quota, objective_at };
        let pool = pool_of(request.tenant, self.label_salt);
        let margin = self.settings.clock_granularity.saturating_mul(ANSWER_MARGIN_TICKS);
        let answer_deadline = now + request.remaining.saturating_sub(margin);
        let queue_us = as_micros_f64(request.remaining) * MAX_QUEUE_TIME_FRACTION;
        let queue_until = now + duration_from_micros_f64(queue_us);
        let affinity_key = request.affinity_key;
        let defaults = ActiveRequest { queued: true, ..ActiveRequest::default() };
        self.queues[pool].push(entry);
        let active = ActiveRequest { entry, pool, affinity_key, answer_deadline, queue_until, ..defaults };
        self.requests.insert(id, active);
        // A request that arrives with no time left is not sent: its response would miss the deadline.
        let visibility = self.concurrency.local_load_visibility();
        let admission = self.admission.probability(now, &entry, &self.latencies, visibility);
        if answer_deadline <= now || self.random.f64() >= admission {
            return self.reject_or_fail(id);
        }
        self.dispatch();
        self.reevaluate(id);
    }

    /// Sends a request to the endpoint at this index of the table.
    pub(super) fn send(&mut self, id: RequestId, endpoint_index: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let begin_by = retry_deadline(&self.settings, request);
        let endpoint = &mut self.table.endpoints[endpoint_index];
        endpoint.executing += 1;
        endpoint.last_sent_at = self.now;
        self.table.maintenance.mark_probed(endpoint.info.id);
        request.queued = false;
        request.attempts.push(Attempt::new(endpoint.info, self.now));
        self.actions.push(Action::Send { request: id, endpoint: endpoint.info.id, begin_by });
        self.schedule(id);
    }

    /// Records the outcome of an attempt, then finishes the request, queues it for a retry or gives its final
    /// answer.
    pub(super) fn on_attempt_ended(&mut self, result: AttemptResult) {
        let (id, outcome) = (result.request, result.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt_in_flight(result.attempt) else { return };
        let not_executed = outcome.not_executed();
        attempt.state = if not_executed { AttemptState::NotExecuted } else { AttemptState::MaybeExecuted };
        let ended = *attempt;
        request.finished |= result.request_finished;
        if outcome == Outcome::Served && request.is_in_flight() {
            self.hedges.record(result.attempt > 0);
        }
        let entry = request.entry;
        // A stalled response that lost to another attempt would otherwise leave no trace.
        let lost_while_stalled = ended.stalled && outcome == Outcome::Cancelled;
        let observed = if lost_while_stalled { Outcome::TimedOut } else { outcome };
        self.record_outcome(&entry, ended, observed, result.elapsed);
        if self.requests[&id].finished {
            self.finish(id);
        } else if self.is_overdue(id) || !self.requeue(id) {
            return self.reject_or_fail(id);
        }
        self.dispatch();
    }

    /// Returns whether a request has to get its final answer now. If a response to it has begun, that will be
    /// the final answer.
    pub(super) fn is_overdue(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        self.now >= request.answer_deadline && !request.has_begun_response()
    }

    /// Queues a request for a retry unless it is queued or has an attempt in flight. Returns false if it may
    /// not be sent to any member of its pool.
    fn requeue(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        request.is_in_flight() || request.queued || self.enqueue(id)
    }

    /// Queues a request for another attempt. Returns false if it may not be sent to any member of its pool.
    pub(super) fn enqueue(&mut self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let info = |i: &usize| &self.table.endpoints[*i].info;
        let may_send_to = |i: &usize| may_send(&self.settings, request, info(i), self.now);
        if !self.members(request.pool).iter().any(may_send_to) {
            return false;
        }
        self.queues[request.pool].push(request.entry);
        if let Some(request) = self.requests.get_mut(&id) {
            request.queued = true;
        }
        self.schedule(id);
        true
    }

    /// Cancels all attempts in flight, except for the given one, if the settings allow cancellation.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, except: Option<AttemptNumber>) {
        let Some(request) = self.requests.get(&id) else { return };
        for (number, attempt) in (0..).zip(&request.attempts) {
            let in_flight = attempt.state == AttemptState::InFlight;
            if self.settings.cancellation && in_flight && except != Some(number) {
                self.actions.push(Action::Cancel(id, number));
            }
        }
    }

    /// Gives a final answer without a response: a rejection if the request was not executed or the client may
    /// safely retry it, else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (entry, not_executed) = (&request.entry, request.not_executed());
        // An immediate retry by the client would add to the same overload, and its response would be late.
        let delay_retry = !entry.within_quota || not_executed && self.would_be_late(entry);
        let retry_after = if delay_retry { self.settings.max_retry_after } else { Duration::ZERO };
        let may_reject = not_executed || self.settings.classes[entry.class].idempotency.client_may_retry();
        let rejection = Action::Reject { request: id, retry_after };
        self.actions.push(if may_reject { rejection } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Marks a request as finished, removes it from its queue and cancels its attempts in flight. The
    /// balancer tracks it until none of its attempts is in flight.
    pub(super) fn finish(&mut self, id: RequestId) {
        self.leave_queue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if !request.is_in_flight() {
            self.requests.remove(&id);
        }
        self.cancel_attempts(id, None);
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut request.queued) {
            self.queues[request.pool].retain(|queued| queued.id != id);
        }
    }
}
