//! Events that other parts of the node send to the engine, and the final answer that it gives to a request.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use mothspool::{AttemptNumber, Event, Outcome, Request, RequestId};
use tokio::sync::oneshot;

use crate::body::ResponseBody;
use crate::upstream::{StreamingResponse, UpstreamRequest};

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within its request: 0 for the first one sent.
    pub number: AttemptNumber,
}

/// An event for the engine.
pub enum EngineEvent {
    /// An event that only the balancer handles: an endpoint list, maintenance, or the progress of a request
    /// body.
    Balancer(Event),
    /// The node has accepted a request and must give it a [`FinalAnswer`].
    RequestArrived {
        /// Properties that the balancer uses.
        request: Request,
        /// The request as it is sent to endpoints.
        upstream_request: Rc<UpstreamRequest>,
        /// Sender for the final answer.
        answer_sender: oneshot::Sender<FinalAnswer>,
    },
    /// The client has disconnected or failed to send the whole body, or the shutdown deadline has passed. The
    /// engine need not answer the request any more.
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
    /// The 200 response to an attempt has started; its body is not complete yet.
    ResponseStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The response, as far as it has been received.
        response: Response<StreamingResponse>,
    },
}

/// The final answer to a request. Each request gets only one.
pub enum FinalAnswer {
    /// The first 200 response of an endpoint, complete or streaming.
    Served(Response<ResponseBody>),
    /// The request is rejected: it was not executed, or a retry of it is harmless.
    Rejected {
        /// How long the client should wait before a retry, if the balancer gives a time.
        retry_after: Option<Duration>,
    },
    /// The request has failed. It may or may not have been executed.
    Failed {
        /// Whether an attempt had timed out or was still running.
        timed_out: bool,
    },
}
