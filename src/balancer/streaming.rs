//! Streaming of request and response bodies. An endpoint executes a request from the last byte of the request
//! to the first byte of the response, and the attempt counts as load only for that time.

use super::Balancer;
use super::interface::{AttemptNumber, Outcome, RequestId, Timestamp};
use super::requests::ActiveRequest;

impl Balancer {
    /// Records that a request's body is being streamed, so that the request can't be sent again. The endpoint
    /// does not execute the attempt before the last byte, so the attempt does not count as load. The request
    /// loses its answer deadline, and ends with its attempt.
    pub(super) fn on_body_forwarded(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.body_forwarded = true;
        request.answer_deadline = Timestamp::MAX;
        if let Some(attempt) = request.first_in_flight().filter(|attempt| attempt.executing) {
            attempt.executing = false;
            if let Some(endpoint) = self.table.get_mut(attempt.endpoint.id) {
                endpoint.executing -= 1;
            }
            self.dispatch();
        }
    }

    /// Records that the last byte of a streamed body was received: the endpoint starts to execute the
    /// attempt.
    pub(super) fn on_body_completed(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(ActiveRequest::first_in_flight).filter(|attempt| !attempt.executing);
        let Some(attempt) = attempt else { return };
        attempt.sent_at = self.now;
        if let Some(endpoint) = self.table.get_mut(attempt.endpoint.id) {
            endpoint.executing += 1;
            attempt.executing = true;
        }
    }

    /// Records that a response has begun that may be large. The node passes it on or ends the attempt.
    pub(super) fn on_response_began(&mut self, id: RequestId, number: AttemptNumber) {
        let request = self.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempt_in_flight(number)) {
            attempt.response_began = true;
        }
    }

    /// Sends a request again, as soon as there is capacity, if all of its attempts in flight have stalled and
    /// its client still waits. The first complete response wins.
    pub(super) fn on_response_stalled(&mut self, id: RequestId, number: AttemptNumber) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt_in_flight(number) else { return };
        attempt.stalled = true;
        let is_over = request.finished || self.now >= request.answer_deadline;
        if is_over || !request.in_flight().all(|attempt| attempt.stalled) {
            return;
        }
        let (pool, is_queued) = (request.pool, request.queued);
        match self.select_endpoint(id, pool) {
            Some(endpoint) => {
                self.leave_queue(id);
                self.send(id, endpoint);
            }
            None if is_queued => {}
            // The attempts in flight stay, so that the request needs no answer if no other may be sent.
            None => drop(self.enqueue(id)),
        }
    }

    /// Records that a response is being streamed: the endpoint has executed the request. The latency is
    /// measured now, since the rest of the response depends on how fast the client reads.
    pub(super) fn on_response_started(&mut self, id: RequestId, number: AttemptNumber) {
        self.leave_queue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        let entry = request.entry;
        if let Some(attempt) = request.attempt_in_flight(number).filter(|attempt| attempt.executing) {
            let executed = *attempt;
            attempt.executing = false;
            let elapsed = self.now.saturating_duration_since(executed.sent_at);
            self.record_outcome(&entry, executed, Outcome::Served, elapsed);
        }
        self.cancel_attempts(id, Some(number));
        self.dispatch();
    }
}
