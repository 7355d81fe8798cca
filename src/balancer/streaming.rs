//! Streaming bodies. An endpoint works on a request from its last byte to the first byte of its response, and
//! only for that time is the attempt load.

use super::Balancer;
use super::interface::{AttemptNumber, Outcome, RequestId, Timestamp};
use super::requests::ActiveRequest;

impl Balancer {
    /// A request's body is being forwarded and can't be sent again. Until its last byte the endpoint only
    /// waits, and the end of the attempt tells when the request is over.
    pub(super) fn on_body_forwarded(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.body_forwarded = true;
        request.answer_deadline = Timestamp::MAX;
        if let Some(attempt) = request.first_in_flight().filter(|attempt| attempt.executing) {
            attempt.executing = false;
            if let Some(endpoint) = self.table.get_mut(attempt.endpoint.id) {
                endpoint.in_flight -= 1;
            }
            self.dispatch();
        }
    }

    /// The last byte of such a body has been received.
    pub(super) fn on_body_completed(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(ActiveRequest::first_in_flight).filter(|attempt| !attempt.executing);
        let Some(attempt) = attempt else { return };
        attempt.sent_at = self.now;
        if let Some(endpoint) = self.table.get_mut(attempt.endpoint.id) {
            endpoint.in_flight += 1;
            attempt.executing = true;
        }
    }

    /// A response has begun: the endpoint has done its work, and how long the client takes tells nothing of
    /// it.
    pub(super) fn on_response_started(&mut self, id: RequestId, number: AttemptNumber) {
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
