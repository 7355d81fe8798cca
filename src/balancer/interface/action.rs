//! What a balancer wants its node to do.

use std::time::Duration;

use super::event::{AttemptNumber, EndpointId, RequestId};
use super::time::Timestamp;

/// An action, to be carried out at once and in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt; it times out when the client stops waiting.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// From when on no attempt of this request may begin, if ever: a connection may come up late, and
        /// endpoints may have forgotten by then that they executed it. Such an attempt ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent).
        begin_by: Option<Timestamp>,
    },
    /// Final answer: rejected, and harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, AttemptNumber),
    /// Set a timer: after this time [`Event::TimerFired`](super::Event::TimerFired) is due with the token.
    SetTimer {
        /// How long from now.
        after: Duration,
        /// What the timer is for.
        token: TimerToken,
    },
    /// Ask discovery to send changes from now on.
    Subscribe,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerToken {
    /// This request is to be re-evaluated.
    Request(RequestId),
    /// Queued requests are to be dispatched again.
    Dispatch,
    /// Discovery is to be polled again.
    Discovery,
}

/// Number of [`TimerToken::Discovery`] on the wire; no request has this id.
const DISCOVERY_NUMBER: u64 = u64::MAX;
/// Number of [`TimerToken::Dispatch`] on the wire; no request has this id.
const DISPATCH_NUMBER: u64 = u64::MAX - 1;

/// The token of a number that was made of one.
impl From<u64> for TimerToken {
    fn from(number: u64) -> TimerToken {
        match number {
            DISCOVERY_NUMBER => TimerToken::Discovery,
            DISPATCH_NUMBER => TimerToken::Dispatch,
            id => TimerToken::Request(id),
        }
    }
}

/// The number of a token, for wires and timers that carry numbers: a request's timer has the request's id.
impl From<TimerToken> for u64 {
    fn from(token: TimerToken) -> u64 {
        match token {
            TimerToken::Discovery => DISCOVERY_NUMBER,
            TimerToken::Dispatch => DISPATCH_NUMBER,
            TimerToken::Request(id) => id,
        }
    }
}
