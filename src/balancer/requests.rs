//! The state of active requests and their attempts. This module makes no decisions.

use super::interface::{AttemptNumber, EndpointInfo, RequestId, Timestamp};

/// Whether an attempt has ended, and whether it may have been executed.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It has ended, and was certainly not executed.
    NotExecuted,
    /// It has ended, and may have been executed.
    MaybeExecuted,
}

/// One attempt to have a request executed.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Entry of its endpoint in the endpoint list when the attempt was sent.
    pub(super) endpoint: EndpointInfo,
    pub(super) sent_at: Timestamp,
    pub(super) state: AttemptState,
    /// Whether the endpoint has received the complete request and has not begun to respond. Only then does
    /// the attempt count as load.
    pub(super) executing: bool,
    /// Whether its response has begun and may be large, so that the node decides when the attempt ends.
    pub(super) response_began: bool,
    /// Whether its response has begun to arrive and has paused.
    pub(super) stalled: bool,
}

impl Attempt {
    /// Returns an attempt in flight that was sent at `sent_at`.
    pub(super) fn new(endpoint: EndpointInfo, sent_at: Timestamp) -> Attempt {
        Attempt {
            endpoint,
            sent_at,
            state: AttemptState::InFlight,
            executing: true,
            response_began: false,
            stalled: false,
        }
    }
}

/// The properties of a request that decide when it is admitted and sent.
#[derive(Clone, Copy, Default)]
pub(super) struct QueuedRequest {
    pub(super) id: RequestId,
    /// Index of its class in the settings.
    pub(super) class: usize,
    /// Whether it is within its tenant's quota.
    pub(super) within_quota: bool,
    /// Time by which a response meets the latency objective.
    pub(super) objective_at: Timestamp,
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Default)]
pub(super) struct ActiveRequest {
    /// Its id, class, quota status and latency objective, also after it has left the queue. The queue holds a
    /// copy.
    pub(super) entry: QueuedRequest,
    /// Index of its pool.
    pub(super) pool: usize,
    /// Key that related requests share.
    pub(super) affinity_key: Option<u64>,
    /// Time by which it gets a final answer, shortly before its client stops waiting.
    pub(super) answer_deadline: Timestamp,
    /// Time after which it leaves the queue if it was not executed, and is over quota or would probably miss
    /// its latency objective.
    pub(super) queue_until: Timestamp,
    /// Its attempts in the order in which they were sent.
    pub(super) attempts: Vec<Attempt>,
    /// Whether it is in the queue of its pool.
    pub(super) queued: bool,
    /// Whether its body is being streamed and no copy is kept, so that it can't be sent again.
    pub(super) body_forwarded: bool,
    /// Whether it needs no answer any more.
    pub(super) finished: bool,
    /// Time at which its earliest timer fires.
    pub(super) timer_at: Timestamp,
}

impl ActiveRequest {
    /// Returns whether it was certainly not executed.
    pub(super) fn not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// Returns its attempts in flight, in the order in which they were sent.
    pub(super) fn in_flight(&self) -> impl DoubleEndedIterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns whether any attempt is in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Returns whether the response to an attempt in flight has begun, so that it will be the final answer at
    /// the deadline.
    pub(super) fn has_begun_response(&self) -> bool {
        self.in_flight().any(|attempt| attempt.response_began)
    }

    /// Returns its first attempt in flight.
    pub(super) fn first_in_flight(&mut self) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Returns the attempt with this number if it is in flight.
    pub(super) fn attempt_in_flight(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(usize::from(number))?;
        Some(attempt).filter(|attempt| attempt.state == AttemptState::InFlight)
    }
}
