//! Handing a request to the engine, and waiting for its final answer.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use mothspool::{Event, RequestId};
use tokio::sync::oneshot;

use crate::body::{BodyError, RequestBody, ResponseBody, UploadProgress};
use crate::downstream::error::RequestError;
use crate::downstream::request_ids::ClaimedRequestId;
use crate::downstream::responses::{plain, rejected};
use crate::engine::{EngineEvent, EngineHandle, FinalAnswer};
use crate::lifecycle::Lifecycle;
use crate::net::SocketObserver;
use crate::upstream::UpstreamRequest;

/// A valid request whose body is buffered, or begins to pass through.
pub struct AcceptedRequest<'a> {
    /// As the balancer sees it.
    pub request: mothspool::Request,
    /// As endpoints are sent it.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Its `Req-Id` stays claimed as long as the request is open.
    pub claimed_id: ClaimedRequestId<'a>,
}

/// Has the engine notified of a body that passes through: what has been forwarded cannot be sent to another
/// endpoint, and the response time counts from the last byte.
pub fn notify_engine_of_upload(body: &RequestBody, id: RequestId, engine: &EngineHandle) {
    let RequestBody::Streamed(stream) = body else { return };
    let engine = engine.clone();
    stream.on_progress(move |progress| match progress {
        UploadProgress::Forwarding => engine.send(EngineEvent::Balancer(Event::BodyForwarded(id))),
        UploadProgress::Complete(_) => engine.send(EngineEvent::Balancer(Event::BodyCompleted(id))),
        // `exchange` sees a failure by itself, and reports the client as disconnected.
        UploadProgress::Buffered | UploadProgress::Failed(_) => {}
    });
}

/// Hands a request to the engine and waits for the final answer. If this ends without one, because the client
/// has disconnected or failed to send its body, or hyper drops it, the engine is notified.
pub async fn exchange(
    accepted: AcceptedRequest<'_>,
    observer: &SocketObserver,
    engine: &EngineHandle,
    lifecycle: &Lifecycle,
) -> Result<Response<ResponseBody>, RequestError> {
    let AcceptedRequest { request, upstream_request, claimed_id: _claimed_id } = accepted;
    let body = upstream_request.body.clone();
    let (answer_sender, answer) = oneshot::channel();
    let mut disconnect_guard = DisconnectGuard { id: request.id, upstream_request, engine, armed: true };
    engine.send(EngineEvent::RequestArrived {
        request,
        upstream_request: disconnect_guard.upstream_request.clone(),
        answer_sender,
    });
    let answer = tokio::select! {
        biased;
        answer = answer => answer,
        error = wait_for_upload_failure(body) => return Err(error.into()),
        () = observer.closed() => return Err(RequestError::ClientDisconnected),
        () = lifecycle.wait_for_shutdown_deadline() => {
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "the node is leaving"));
        }
    };
    disconnect_guard.armed = false;
    Ok(answer.map_or_else(|_| no_answer(), response_to))
}

/// Waits until the client has failed to send its body, for ever if it has not.
async fn wait_for_upload_failure(body: RequestBody) -> BodyError {
    match body {
        RequestBody::Streamed(stream) => stream.failed().await,
        RequestBody::Buffered { .. } => std::future::pending().await,
    }
}

/// The response that a final answer of the engine stands for.
fn response_to(answer: FinalAnswer) -> Response<ResponseBody> {
    match answer {
        FinalAnswer::Served(response) => response,
        FinalAnswer::Rejected { retry_after } => rejected(retry_after),
        FinalAnswer::Failed { timed_out: true } => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        FinalAnswer::Failed { timed_out: false } => no_answer(),
    }
}

fn no_answer() -> Response<ResponseBody> {
    plain(StatusCode::BAD_GATEWAY, "no answer")
}

/// While armed, notifies the engine on drop that nobody waits for the final answer any more. An attempt that
/// runs before the engine has read that sees it in the request itself.
struct DisconnectGuard<'a> {
    id: RequestId,
    upstream_request: Rc<UpstreamRequest>,
    engine: &'a EngineHandle,
    armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream_request.client_disconnected.set(true);
            self.engine.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
