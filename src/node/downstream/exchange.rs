//! Hands a request to the engine and waits for the final answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use mothspool::{Event, RequestId};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::body::{BodyError, RequestBody, ResponseBody, UploadProgress};
use crate::downstream::error::RequestError;
use crate::downstream::request_ids::ClaimedRequestId;
use crate::downstream::responses::{plain, rejected};
use crate::engine::{EngineEvent, EngineHandle, FinalAnswer};
use crate::lifecycle::Lifecycle;
use crate::net::SocketObserver;
use crate::upstream::UpstreamRequest;

/// Maximum time from the shutdown deadline until a response that has begun is passed on. Longer than a node
/// is held up at most.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(200);

/// A valid request whose body is buffered completely or is streamed.
pub struct AcceptedRequest<'a> {
    /// The request as the balancer gets it.
    pub request: mothspool::Request,
    /// The request as it is sent to endpoints.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Keeps the `Req-Id` claimed while the request is open, and longer if it may have been executed for a
    /// client that left.
    pub claimed_id: ClaimedRequestId<'a>,
}

/// Notifies the engine of the progress of a streamed body. A request whose body has been forwarded in part
/// cannot be sent to another endpoint, and the response time counts from the last byte of the body.
pub fn notify_engine_of_upload(body: &RequestBody, id: RequestId, engine: &EngineHandle) {
    let RequestBody::Streamed(stream) = body else { return };
    let engine = engine.clone();
    stream.on_progress(move |progress| match progress {
        UploadProgress::Forwarding => engine.send(EngineEvent::Balancer(Event::BodyForwarded(id))),
        UploadProgress::Complete(_) => engine.send(EngineEvent::Balancer(Event::BodyCompleted(id))),
        // `exchange` detects a failed upload itself and reports the client as disconnected.
        UploadProgress::NotStarted | UploadProgress::Failed(_) => {}
    });
}

/// Hands a request to the engine and waits for the final answer. If the wait ends without one, the engine is
/// notified: the client disconnects or fails to send its body, the shutdown deadline passes, or hyper drops
/// the future.
pub async fn exchange(
    accepted: AcceptedRequest<'_>,
    observer: &SocketObserver,
    engine: &EngineHandle,
    lifecycle: &Lifecycle,
) -> Result<Response<ResponseBody>, RequestError> {
    let AcceptedRequest { request, upstream_request, claimed_id } = accepted;
    let body = upstream_request.body.clone();
    let (answer_sender, mut answer) = oneshot::channel();
    let mut disconnect_guard =
        DisconnectGuard { id: request.id, claimed_id, upstream_request, engine, armed: true };
    engine.send(EngineEvent::RequestArrived {
        request,
        upstream_request: disconnect_guard.upstream_request.clone(),
        answer_sender,
    });
    let answer = tokio::select! {
        biased;
        answer = &mut answer => answer,
        error = wait_for_upload_failure(&body) => return Err(error.into()),
        () = observer.closed() => return Err(RequestError::ClientDisconnected),
        never = follow_input(&body, observer) => match never {},
        () = lifecycle.wait_for_shutdown_deadline() => {
            match begun_response(&disconnect_guard.upstream_request, &mut answer).await {
                Some(begun) => Ok(begun),
                None => return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "the node is leaving")),
            }
        }
    };
    disconnect_guard.armed = false;
    Ok(answer.map_or_else(|_| no_answer(), response_to))
}

/// Waits for the response that is passed on because the shutdown deadline has passed. Returns `None` if none
/// has begun.
async fn begun_response(
    request: &UpstreamRequest,
    answer: &mut oneshot::Receiver<FinalAnswer>,
) -> Option<FinalAnswer> {
    let begun = match request.response_began.get() {
        true => timeout(HANDOVER_TIMEOUT, answer).await.ok().and_then(Result::ok),
        false => None,
    };
    if begun.is_none() {
        tracing::info!(
            request = %request.client_request_id,
            "request failed: the shutdown deadline has passed"
        );
    }
    begun
}

/// Waits until the client fails to send its body. Never returns if the body is buffered or arrives in full.
async fn wait_for_upload_failure(body: &RequestBody) -> BodyError {
    match body {
        RequestBody::Streamed(stream) => stream.failed().await,
        RequestBody::Buffered { .. } => std::future::pending().await,
    }
}

/// Follows what a client sends while its request waits. Tracks when the last byte of a streamed body is
/// received. Discards what follows a request that was read whole, once it may hide the client's close.
async fn follow_input(body: &RequestBody, observer: &SocketObserver) -> Infallible {
    match body {
        RequestBody::Streamed(stream) => stream.track_reception().await,
        RequestBody::Buffered { .. } => {
            observer.discard_excess_input().await;
            std::future::pending().await
        }
    }
}

/// Converts a final answer of the engine into a response.
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

/// While armed, notifies the engine on drop that the final answer is no longer needed. The same is recorded
/// in the request itself, for attempts that run before the engine has processed the notification.
struct DisconnectGuard<'a> {
    id: RequestId,
    claimed_id: ClaimedRequestId<'a>,
    upstream_request: Rc<UpstreamRequest>,
    engine: &'a EngineHandle,
    armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.upstream_request.client_disconnected.set(true);
            if self.upstream_request.non_idempotent && self.upstream_request.may_have_been_executed() {
                self.claimed_id.retain(Instant::now());
            }
            self.engine.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
