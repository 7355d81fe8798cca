//! The requests that have not ended, and their attempts.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use mothspool::{AttemptNumber, RequestId, Timestamp};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::event::{AttemptId, FinalAnswer};
use super::timers::RequestTimer;
use crate::upstream::UpstreamRequest;

/// The requests that have not ended, by id.
pub(super) type RequestTable = HashMap<RequestId, ActiveRequest>;

/// A request that has no final answer yet, or still has attempts running.
pub(super) struct ActiveRequest {
    pub(super) upstream_request: Rc<UpstreamRequest>,
    /// Taken once the final answer is given or the client has disconnected.
    answer_sender: Option<oneshot::Sender<FinalAnswer>>,
    /// In the order in which they were sent.
    attempts: Vec<Attempt>,
    /// Whether an attempt has timed out.
    pub(super) has_timed_out: bool,
    /// When the balancer wants to re-evaluate the request.
    pub(super) timer: Option<RequestTimer>,
}

impl ActiveRequest {
    /// A request without attempts.
    pub(super) fn new(
        upstream_request: Rc<UpstreamRequest>,
        answer_sender: oneshot::Sender<FinalAnswer>,
    ) -> ActiveRequest {
        ActiveRequest {
            upstream_request,
            answer_sender: Some(answer_sender),
            attempts: Vec::new(),
            has_timed_out: false,
            timer: None,
        }
    }

    /// Whether no final answer is owed any more.
    pub(super) fn is_answered(&self) -> bool {
        self.answer_sender.is_none()
    }

    /// Takes the way to the client; nothing if no answer is owed any more.
    pub(super) fn take_answer_sender(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.answer_sender.take()
    }

    /// Whether an attempt is still running.
    pub(super) fn has_running_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_running)
    }

    /// Whether nothing is left to do for it.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered() && !self.has_running_attempt()
    }

    /// The number of the attempt that is added next.
    pub(super) fn next_attempt_number(&self) -> AttemptNumber {
        self.attempts.len() as AttemptNumber
    }

    /// Adds an attempt that has just been started.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// One of its attempts.
    pub(super) fn attempt(&self, number: AttemptNumber) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    /// One of its attempts, to be changed.
    pub(super) fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(number))
    }

    /// The running attempts of which nothing has been written to a socket, or no complete request.
    pub(super) fn unwritten_attempts(&self, request: RequestId) -> Vec<AttemptId> {
        let is_incomplete = self.upstream_request.received_at().is_none();
        let is_unwritten =
            |attempt: &Attempt| attempt.is_running() && (is_incomplete || !attempt.may_be_written.get());
        let numbered = (0..).zip(&self.attempts);
        let unwritten = numbered.filter(|(_, attempt)| is_unwritten(attempt));
        unwritten.map(|(number, _)| AttemptId { request, number }).collect()
    }
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) sent_at: Timestamp,
    /// Whether some of it may be on a socket; set by the attempt's task.
    may_be_written: Rc<Cell<bool>>,
    /// When its response began to be passed on: from then on the attempt is the client's.
    pub(super) response_started_at: Option<Timestamp>,
    /// Taken once the balancer has been notified of its end.
    task: Option<AbortHandle>,
}

impl Attempt {
    /// An attempt that `task` carries out.
    pub(super) fn new(sent_at: Timestamp, may_be_written: Rc<Cell<bool>>, task: AbortHandle) -> Attempt {
        Attempt { sent_at, may_be_written, response_started_at: None, task: Some(task) }
    }

    /// Whether the balancer still waits for its end.
    pub(super) fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// Ends it and its task. Returns whether it was running.
    pub(super) fn end(&mut self) -> bool {
        let Some(task) = self.task.take() else { return false };
        // A task that has ended by itself ignores this.
        task.abort();
        true
    }
}
