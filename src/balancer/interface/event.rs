//! What a node tells its balancer: endpoint lists, requests, and what became of attempts.

use std::time::Duration;

use super::action::TimerToken;
use super::time::Timestamp;

/// Names a request; never used again for another one.
pub type RequestId = u64;
/// Names an endpoint; the same at every node and after the endpoint's restart.
pub type EndpointId = u64;
/// The number of an attempt within its request, from 0 in the order sent.
pub type AttemptNumber = u16;

/// An event at the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete endpoint list; an endpoint that is missing is gone.
    EndpointSnapshot(Vec<EndpointInfo>),
    /// The complete list as the node had it before its start; it may be old, and does not answer a poll.
    CachedSnapshot(Vec<EndpointInfo>),
    /// The entries of the list that have changed.
    EndpointDelta(Vec<EndpointInfo>),
    /// A poll of discovery failed, or the subscription broke.
    DiscoveryFailed,
    /// An operator has taken an endpoint out of use: it is not ready until it is put back, whatever lists
    /// say.
    EnterMaintenance(EndpointId),
    /// An operator has put an endpoint back, at this instant: it counts as started then.
    ExitMaintenance(EndpointId, Timestamp),
    /// A request has arrived; one final answer is owed from now on.
    RequestArrived(Request),
    /// The client has disconnected; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A request's body is being forwarded to an endpoint as it comes and is kept nowhere: it can't be sent
    /// again. The request's time runs from its last byte, so that the end of the attempt tells when it is
    /// over.
    BodyForwarded(RequestId),
    /// The last byte of such a body has been received.
    BodyCompleted(RequestId),
    /// The response to this attempt has begun to pass through; the attempt now belongs to the client.
    ResponseStarted(RequestId, AttemptNumber),
    /// An attempt has ended; each one sent does so once.
    AttemptEnded(AttemptResult),
    /// A timer that was set has fired.
    TimerFired(TimerToken),
}

/// Whether an endpoint takes requests, as its list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new goes there.
    Draining,
    /// It is no more.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointInfo {
    /// Which endpoint.
    pub id: EndpointId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When it last started; the clock's start, which is the default, stands for long ago.
    pub started_at: Timestamp,
    /// Its zone.
    pub zone: u8,
    /// Its cell: endpoints that know each other's idempotency keys. Without a cell it knows only its own.
    pub cell: Option<u16>,
    /// Its size against other endpoints, a finite number; 0 if unknown.
    pub weight: f64,
    /// What kind of machine it runs on.
    pub machine_type: u8,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Which request.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// How long until the client stops waiting.
    pub remaining: Duration,
    /// The work to expect, as the time that an endpoint takes for it, if known.
    pub expected_work: Option<Duration>,
    /// What it concerns; related requests have the same key.
    pub affinity_key: Option<u64>,
    /// Index of its tenant in [`Settings::tenants`](super::Settings::tenants), if it has one.
    pub tenant: Option<u32>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served.
    Served,
    /// The endpoint responded with an error; it may have been executed.
    Error,
    /// The endpoint rejected it; it was not executed.
    Rejected,
    /// No response in time; it may have been executed, or may yet be.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent; it was not executed.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// How long after it was sent.
    pub elapsed: Duration,
    /// Whether no answer to the request is owed any more.
    pub request_finished: bool,
}
