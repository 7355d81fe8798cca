//! What the other parts of the node report to the engine, and the one answer that it gives to a request.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use mothspool::{AttemptNumber, Event, Outcome, Request, RequestId};
use tokio::sync::oneshot;

use crate::body::ResponseBody;
use crate::upstream::{StreamingResponse, UpstreamRequest};

/// Names one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within its request, from 0 in the order in which they were sent.
    pub number: AttemptNumber,
}

/// What the engine is notified of.
pub enum EngineEvent {
    /// An event that only the balancer acts on: an endpoint list, maintenance, the progress of a request
    /// body.
    Balancer(Event),
    /// The node has accepted a request and owes it a [`FinalAnswer`].
    RequestArrived {
        /// What the balancer decides by.
        request: Request,
        /// What is sent to an endpoint.
        upstream_request: Rc<UpstreamRequest>,
        /// Takes the final answer.
        answer_sender: oneshot::Sender<FinalAnswer>,
    },
    /// The client has closed its connection; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// An attempt has ended without a response for the client, or its streaming response has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
    },
    /// An attempt has ended with a complete 200 response.
    AttemptServed {
        /// The attempt.
        attempt: AttemptId,
        /// The response.
        response: Response<ResponseBody>,
    },
    /// The 200 response to an attempt has begun; its body is still to come.
    ResponseStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The response, as far as it has been received.
        response: Response<StreamingResponse>,
    },
}

/// The one final answer to a request.
pub enum FinalAnswer {
    /// The first 200 response of an endpoint, complete or streaming.
    Served(Response<ResponseBody>),
    /// Rejected: the request was not executed, or a retry of it is harmless.
    Rejected {
        /// How long the client should wait before it retries, if the balancer says so.
        retry_after: Option<Duration>,
    },
    /// Failed, without any promise whether the request was executed.
    Failed {
        /// Whether an attempt had timed out or was still running.
        timed_out: bool,
    },
}
