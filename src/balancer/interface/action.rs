//! The actions that a balancer returns to its node.

use std::time::Duration;

use super::event::{AttemptNumber, EndpointId, RequestId};
use super::time::Timestamp;

/// An action. The node carries out actions at once and in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts an attempt, which times out when the client stops waiting.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Deadline for starting the attempt, if there is one. Opening a connection may take long, and after
        /// the deadline endpoints may have forgotten that they executed the request. An attempt that misses
        /// the deadline ends as [`Outcome::NotSent`](super::Outcome::NotSent).
        begin_by: Option<Timestamp>,
    },
    /// Gives the final answer that the request is rejected. The client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Gives the final answer that the request failed. It may have been executed.
    Fail(RequestId),
    /// Cancels an attempt.
    Cancel(RequestId, AttemptNumber),
    /// Sets a timer. When it expires, the node passes [`Event::TimerFired`](super::Event::TimerFired) with
    /// the token.
    SetTimer {
        /// Time until the timer fires.
        after: Duration,
        /// The purpose of the timer.
        token: TimerToken,
    },
    /// Subscribes to changes of the endpoint list at discovery.
    Subscribe,
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerToken {
    /// Re-evaluates this request.
    Request(RequestId),
    /// Dispatches queued requests.
    Dispatch,
    /// Polls discovery.
    Discovery,
}

/// Number of [`TimerToken::Discovery`] on the wire; no request has this id.
const DISCOVERY_NUMBER: u64 = u64::MAX;
/// Number of [`TimerToken::Dispatch`] on the wire; no request has this id.
const DISPATCH_NUMBER: u64 = u64::MAX - 1;

/// Converts a number back to the token that it was made from.
impl From<u64> for TimerToken {
    fn from(number: u64) -> TimerToken {
        match number {
            DISCOVERY_NUMBER => TimerToken::Discovery,
            DISPATCH_NUMBER => TimerToken::Dispatch,
            id => TimerToken::Request(id),
        }
    }
}

/// Converts a token to a number, for wires and timers that carry numbers, such as the wire of the simulator.
/// A request's timer has the id of the request.
impl From<TimerToken> for u64 {
    fn from(token: TimerToken) -> u64 {
        match token {
            TimerToken::Discovery => DISCOVERY_NUMBER,
            TimerToken::Dispatch => DISPATCH_NUMBER,
            TimerToken::Request(id) => id,
        }
    }
}
