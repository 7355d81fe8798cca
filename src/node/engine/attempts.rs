//! Responses to attempts, and the ends of attempts and requests.

use hyper::Response;
use mothspool::{AttemptResult, Event, Outcome, RequestId};

use super::Engine;
use super::event::{AttemptId, EngineEvent, FinalAnswer};
use super::requests::ActiveRequest;
use crate::body::{ResponseBody, TransferEnd};
use crate::log::ErrorChain;
use crate::upstream::StreamingResponse;

impl Engine {
    /// Answers a request with a response that has started and is still streaming. If the request is already
    /// answered, the attempt ends as cancelled, and the response is dropped, which closes its connection.
    pub(super) fn start_response(&mut self, id: AttemptId, response: Response<StreamingResponse>) {
        let now = self.clock.now();
        let handle = self.handle.clone();
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let is_answered = request.is_answered();
        let logged_request = request.upstream_request.clone();
        let on_end = move |end| {
            let outcome = match end {
                TransferEnd::Complete => Outcome::Served,
                TransferEnd::ClientDisconnected => Outcome::Cancelled,
                TransferEnd::Broken { received, error } => {
                    let request = &logged_request.client_request_id;
                    let error = ErrorChain(&*error);
                    tracing::info!(%request, attempt = id.number, received, %error, "response cut off");
                    Outcome::Reset
                }
            };
            handle.send(EngineEvent::AttemptEnded { attempt: id, outcome });
        };
        let Some(attempt) = request.attempt_mut(id.number) else { return };
        if is_answered || !attempt.is_running() {
            return on_end(TransferEnd::ClientDisconnected);
        }
        attempt.response_started_at = Some(now);
        tracing::debug!(
            request = %request.upstream_request.client_request_id,
            attempt = id.number,
            received = response.body().received(),
            cause = %response.body().cause(),
            "response streaming"
        );
        self.pending_events.push_back(Event::ResponseStarted(id.request, id.number));
        let response = response.map(|body| body.into_body(on_end));
        self.answer(id.request, FinalAnswer::Served(response));
    }

    /// Answers a request with the complete response of an attempt.
    pub(super) fn serve(&mut self, id: AttemptId, response: Response<ResponseBody>) {
        self.answer(id.request, FinalAnswer::Served(response));
        self.end_attempt(id, Outcome::Served);
    }

    /// Notifies the balancer of the end of an attempt, once. Later reports from the task of a cancelled
    /// attempt are ignored.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let forwarded = request.upstream_request.forwarded_at();
        let forwarded_at = forwarded.map_or(now, |instant| self.clock.timestamp(instant));
        let request_finished = request.is_answered();
        let Some(attempt) = request.attempt_mut(id.number) else { return };
        if !attempt.end() {
            return;
        }
        // The response time of the endpoint starts when the attempt was sent or when the client's last byte
        // was passed on, whichever is later. It lasts until forwarding of a streamed response starts, and
        // otherwise until the attempt ends.
        let began_at = attempt.sent_at.max(forwarded_at);
        let elapsed = attempt.response_started_at.unwrap_or(now).saturating_duration_since(began_at);
        request.has_timed_out |= outcome == Outcome::TimedOut;
        tracing::debug!(
            request = %request.upstream_request.client_request_id,
            attempt = id.number,
            ?outcome,
            ?elapsed,
            is_answered = request_finished,
            "attempt ended"
        );
        self.pending_events.push_back(Event::AttemptEnded(AttemptResult {
            request: id.request,
            attempt: id.number,
            outcome,
            elapsed,
            request_finished,
        }));
    }

    /// Ends those attempts of an answered request that have not been written, or not completely. The settings
    /// may forbid cancelling an attempt that an endpoint has received, but these attempts end as not sent,
    /// which is always allowed.
    pub(super) fn end_unwritten_attempts(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_answered()) else { return };
        for attempt in request.unwritten_attempts(id) {
            self.end_attempt(attempt, Outcome::NotSent);
        }
    }

    /// Gives a request its final answer, unless it already has one.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        if let Some(client) = self.requests.get_mut(&id).and_then(ActiveRequest::take_answer_sender) {
            // Sending fails if the client has just disconnected. The engine then ignores the event
            // `ClientDisconnected`, because the request is already answered.
            let _ = client.send(answer);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that is answered and has no running attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(ActiveRequest::is_finished)
            && let Some(timer) = self.requests.remove(&id).and_then(|request| request.timer)
        {
            self.timers.cancel(&timer);
        }
    }
}
