//! The active requests and their attempts.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use mothspool::{AttemptNumber, RequestId, Timestamp};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::event::{AttemptId, FinalAnswer};
use super::timers::RequestTimer;
use crate::upstream::UpstreamRequest;

/// The active requests, by id.
pub(super) type RequestTable = HashMap<RequestId, ActiveRequest>;

/// A request that has no final answer yet, or still has attempts running.
pub(super) struct ActiveRequest {
    pub(super) upstream_request: Rc<UpstreamRequest>,
    /// `None` once the final answer is given or the client has disconnected.
    answer_sender: Option<oneshot::Sender<FinalAnswer>>,
    /// Attempts in the order in which they were sent.
    attempts: Vec<Attempt>,
    /// Whether an attempt has timed out.
    pub(super) has_timed_out: bool,
    /// Timer for the balancer's next re-evaluation of the request.
    pub(super) timer: Option<RequestTimer>,
}

impl ActiveRequest {
    /// Creates a request without attempts.
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

    /// Returns whether the request needs no final answer any more.
    pub(super) fn is_answered(&self) -> bool {
        self.answer_sender.is_none()
    }

    /// Takes the sender for the final answer. Returns `None` if no answer is needed any more.
    pub(super) fn take_answer_sender(&mut self) -> Option<oneshot::Sender<FinalAnswer>> {
        self.answer_sender.take()
    }

    /// Returns whether an attempt is still running.
    pub(super) fn has_running_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_running)
    }

    /// Returns whether the request is answered and has no running attempt.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered() && !self.has_running_attempt()
    }

    /// Returns the number that the next added attempt gets.
    pub(super) fn next_attempt_number(&self) -> AttemptNumber {
        self.attempts.len() as AttemptNumber
    }

    /// Adds an attempt that has just been started.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Returns the attempt with this number.
    pub(super) fn attempt(&self, number: AttemptNumber) -> Option<&Attempt> {
        self.attempts.get(usize::from(number))
    }

    /// Returns the attempt with this number as mutable.
    pub(super) fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(number))
    }

    /// Returns the running attempts that no endpoint can have received completely: nothing of them has been
    /// written to a socket, or the client has not sent the whole request yet.
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
    /// Whether some of the request may have been written to a socket in this attempt; set by its task.
    may_be_written: Rc<Cell<bool>>,
    /// When forwarding of its response to the client started. After that, the balancer can't cancel it.
    pub(super) response_started_at: Option<Timestamp>,
    /// `None` once the balancer is notified of the end of the attempt.
    task: Option<AbortHandle>,
}

impl Attempt {
    /// Creates an attempt that `task` executes.
    pub(super) fn new(sent_at: Timestamp, may_be_written: Rc<Cell<bool>>, task: AbortHandle) -> Attempt {
        Attempt { sent_at, may_be_written, response_started_at: None, task: Some(task) }
    }

    /// Returns whether the balancer still waits for the end of the attempt.
    pub(super) fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// Ends the attempt and its task. Returns whether it was running.
    pub(super) fn end(&mut self) -> bool {
        let Some(task) = self.task.take() else { return false };
        // This has no effect on a task that has already ended.
        task.abort();
        true
    }
}
