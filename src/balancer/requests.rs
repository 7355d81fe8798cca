//! What is known of open requests and their attempts. Nothing is decided here.

use super::interface::{AttemptNumber, EndpointInfo, RequestId, Timestamp};

/// What is known of an attempt's execution.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It ended, and surely was not executed.
    NotExecuted,
    /// It ended, and may have been executed.
    MaybeExecuted,
}

/// One attempt to have a request executed.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// The endpoint as it was listed when the attempt was sent.
    pub(super) endpoint: EndpointInfo,
    pub(super) sent_at: Timestamp,
    pub(super) state: AttemptState,
    /// Whether the endpoint has the complete request and has not begun to respond: only then is it load.
    pub(super) executing: bool,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(super) fn new(endpoint: EndpointInfo, sent_at: Timestamp) -> Attempt {
        Attempt { endpoint, sent_at, state: AttemptState::InFlight, executing: true }
    }
}

/// What the turn of a request goes by while it is queued.
#[derive(Clone, Copy, Default)]
pub(super) struct QueuedRequest {
    pub(super) id: RequestId,
    /// Index of its class in the settings.
    pub(super) class: usize,
    /// Whether it is within its tenant's quota.
    pub(super) within_quota: bool,
    /// When its latency objective is missed.
    pub(super) objective_at: Timestamp,
}

/// A request that is owed an answer, or has attempts in flight.
#[derive(Default)]
pub(super) struct ActiveRequest {
    /// What its turn goes by while it is queued.
    pub(super) entry: QueuedRequest,
    /// Index of its pool.
    pub(super) pool: usize,
    /// What it concerns: related requests have the same key.
    pub(super) affinity_key: Option<u64>,
    /// When it is answered at the latest, just before its client stops waiting.
    pub(super) answer_deadline: Timestamp,
    /// Until when it may wait in the queue if it has not been executed.
    pub(super) queue_until: Timestamp,
    /// In the order sent.
    pub(super) attempts: Vec<Attempt>,
    /// Whether it waits in the queue of its pool.
    pub(super) queued: bool,
    /// Its body is being forwarded and kept nowhere: it can't be sent again.
    pub(super) body_forwarded: bool,
    /// No answer is owed any more.
    pub(super) finished: bool,
    /// When its earliest timer fires.
    pub(super) timer_at: Timestamp,
}

impl ActiveRequest {
    /// Whether it surely was not executed.
    pub(super) fn not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// Its attempts in flight, in the order sent.
    pub(super) fn in_flight(&self) -> impl DoubleEndedIterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether any attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Its first attempt in flight.
    pub(super) fn first_in_flight(&mut self) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The attempt of this number, if it is in flight.
    pub(super) fn attempt_in_flight(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(usize::from(number))?;
        Some(attempt).filter(|attempt| attempt.state == AttemptState::InFlight)
    }
}
