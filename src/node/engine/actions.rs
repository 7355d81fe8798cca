//! Execution of the balancer's actions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use mothspool::{Action, EndpointId, Event, Outcome, RequestId, TimerToken, Timestamp};
use tokio::task::spawn_local;

use super::Engine;
use super::event::{AttemptId, EngineEvent, FinalAnswer};
use super::requests::Attempt;
use crate::upstream::{AttemptOutcome, ResponseProgress};

impl Engine {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, begin_by } => self.start_attempt(request, endpoint, begin_by),
            Action::Reject { request, retry_after } => self.reject(request, retry_after),
            Action::Fail(request) => self.fail(request),
            Action::Cancel(request, number) => self.cancel_attempt(AttemptId { request, number }),
            Action::SetTimer { after, token } => self.set_timer(after, token),
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Starts an attempt in its own task. If the request is already answered, the task sends nothing, but the
    /// balancer still has to be notified of the end of the attempt.
    fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId, begin_by: Option<Timestamp>) {
        let sent_at = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let upstream_request = request.upstream_request.clone();
        upstream_request.begin_by.set(begin_by.map(|time| self.clock.instant(time)));
        let attempt = AttemptId { request: id, number: request.next_attempt_number() };
        tracing::debug!(
            request = %upstream_request.client_request_id,
            attempt = attempt.number,
            endpoint,
            "attempt started"
        );
        let may_send = !request.is_answered();
        let may_be_written = Rc::new(Cell::new(false));
        let (upstream, handle) = (self.upstream.clone(), self.handle.clone());
        let task_may_be_written = may_be_written.clone();
        let progress_handle = self.handle.clone();
        let on_progress = move |progress| {
            progress_handle.send(EngineEvent::Balancer(match progress {
                ResponseProgress::Began => Event::ResponseBegan(id, attempt.number),
                ResponseProgress::Stalled => Event::ResponseStalled(id, attempt.number),
            }));
        };
        let task = spawn_local(async move {
            let outcome = match may_send {
                true => {
                    upstream.attempt(&upstream_request, endpoint, &task_may_be_written, &on_progress).await
                }
                false => AttemptOutcome::Failed(Outcome::NotSent),
            };
            handle.send(to_event(attempt, outcome));
        });
        request.add_attempt(Attempt::new(sent_at, may_be_written, task.abort_handle()));
    }

    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry_after = (!retry_after.is_zero()).then_some(retry_after);
        tracing::debug!(
            request = %request.upstream_request.client_request_id,
            attempts = request.next_attempt_number(),
            ?retry_after,
            "request rejected"
        );
        self.answer(id, FinalAnswer::Rejected { retry_after });
    }

    fn fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let timed_out = request.has_timed_out || request.has_running_attempt();
        tracing::info!(
            request = %request.upstream_request.client_request_id,
            attempts = request.next_attempt_number(),
            timed_out,
            "request failed"
        );
        self.answer(id, FinalAnswer::Failed { timed_out });
    }

    /// Cancels an attempt, unless its response is already being forwarded to the client.
    fn cancel_attempt(&mut self, id: AttemptId) {
        let request = self.requests.get(&id.request);
        let attempt = request.and_then(|request| request.attempt(id.number));
        if attempt.is_none_or(|attempt| attempt.response_started_at.is_none()) {
            self.end_attempt(id, Outcome::Cancelled);
        }
    }

    fn set_timer(&mut self, delay: Duration, token: TimerToken) {
        let request = match token {
            TimerToken::Request(id) => self.requests.get_mut(&id),
            TimerToken::Dispatch | TimerToken::Discovery => None,
        };
        match request {
            Some(request) => {
                self.timers.set_for_request(&mut request.timer, delay, token, self.clock.now());
            }
            None => self.timers.set(delay, token),
        }
    }
}

fn to_event(attempt: AttemptId, outcome: AttemptOutcome) -> EngineEvent {
    match outcome {
        AttemptOutcome::Failed(outcome) => EngineEvent::AttemptEnded { attempt, outcome },
        AttemptOutcome::Served(response) => EngineEvent::AttemptServed { attempt, response },
        AttemptOutcome::Streaming(response) => EngineEvent::ResponseStarted { attempt, response },
    }
}
