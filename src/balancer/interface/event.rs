//! The events that a node passes to its balancer: endpoint lists, requests, and the outcomes of attempts.

use std::time::Duration;

use super::action::TimerToken;
use super::time::Timestamp;

/// Id of a request; it is not reused for another one.
pub type RequestId = u64;
/// Id of an endpoint; it is the same at every node and after a restart of the endpoint.
pub type EndpointId = u64;
/// Number of an attempt within its request, from 0 in the order in which they are sent.
pub type AttemptNumber = u16;

/// An event at the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete endpoint list; an endpoint that is missing is gone.
    EndpointSnapshot(Vec<EndpointInfo>),
    /// The complete list that the node had before it started. It may be outdated, and is not the result of a
    /// poll.
    CachedSnapshot(Vec<EndpointInfo>),
    /// The entries of the endpoint list that have changed.
    EndpointDelta(Vec<EndpointInfo>),
    /// A poll of discovery failed, or the subscription ended.
    DiscoveryFailed,
    /// An operator has put an endpoint into maintenance. It is not ready until it exits maintenance, whatever
    /// the endpoint list says.
    EnterMaintenance(EndpointId),
    /// An operator has ended the maintenance of an endpoint at this time, which counts as its start.
    ExitMaintenance(EndpointId, Timestamp),
    /// A request has arrived and needs one final answer.
    RequestArrived(Request),
    /// The client has disconnected or failed to send the whole body, or the shutdown deadline has passed. The
    /// balancer need not answer the request any more.
    ClientDisconnected(RequestId),
    /// A request's body is being streamed to an endpoint and no copy is kept, so the request can't be sent
    /// again. The time until the client stops waiting starts with the last byte of the body, so the balancer
    /// sets no deadline: the request ends with its attempt.
    BodyForwarded(RequestId),
    /// The last byte of a streamed body has been received.
    BodyCompleted(RequestId),
    /// The head of a 200 response to this attempt has arrived. Its body may be large. The node passes
    /// the response on or ends the attempt shortly after the client's deadline at the latest, so the balancer
    /// gives no final answer while the attempt lasts.
    ResponseBegan(RequestId, AttemptNumber),
    /// The response to this attempt has begun to arrive and has paused. It may still be completed, so the
    /// attempt continues, but the request may also be sent again.
    ResponseStalled(RequestId, AttemptNumber),
    /// The response to this attempt is being streamed to the client, so this attempt gives the final answer.
    ResponseStarted(RequestId, AttemptNumber),
    /// An attempt has ended. The node passes this event once for each attempt.
    AttemptEnded(AttemptResult),
    /// A timer that was set has fired.
    TimerFired(TimerToken),
}

/// State of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It completes the requests that it has, and gets no new ones.
    Draining,
    /// It no longer exists.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointInfo {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Time of its last start. The default, the start of the clock, means that it started long ago.
    pub started_at: Timestamp,
    /// Its zone.
    pub zone: u8,
    /// Its cell: a group of endpoints that know each other's idempotency keys. An endpoint without a cell
    /// knows only its own keys.
    pub cell: Option<u16>,
    /// Its size relative to other endpoints, as a finite number; 0 if unknown.
    pub weight: f64,
    /// Type of machine that it runs on.
    pub machine_type: u8,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Expected work, as the time that an endpoint takes for it, if known.
    pub expected_work: Option<Duration>,
    /// Key that related requests share.
    pub affinity_key: Option<u64>,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants), if it has one.
    pub tenant: Option<u32>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint responded with an error; the request may have been executed.
    Error,
    /// The endpoint rejected the request; it was not executed.
    Rejected,
    /// There was no response in time; the request may have been executed, or may be executed later.
    TimedOut,
    /// No connection was established, or the connection broke before the complete request was written. The
    /// request was not executed.
    ConnectFailed,
    /// No valid response was received completely: the connection broke, the response stalled, could not be
    /// parsed, had ambiguous framing or a body that is too large, or it was a 200 before the last byte of the
    /// request. The request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The request was never sent completely, so it was not executed. For example, no connection was
    /// available in time, or the client did not send the whole body. This is not a failure of the endpoint.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the sending of the attempt, or from the last byte of the request if that was received later,
    /// to the start of a streamed response, or else to the end of the attempt. Zero if the last byte was
    /// never received.
    pub elapsed: Duration,
    /// Whether the request needs no answer any more.
    pub request_finished: bool,
}
