//! Answers one request: validates it, receives its body, and returns the response.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::time::Instant;

use crate::body::{BufferBudget, RequestBody, ResponseBody};
use crate::config::Config;
use crate::downstream::connections::ConnectionTable;
use crate::downstream::error::RequestError;
use crate::downstream::exchange::{AcceptedRequest, exchange, notify_engine_of_upload};
use crate::downstream::health;
use crate::downstream::request::{RequestHead, check_framing, is_chunked};
use crate::downstream::request_ids::RequestIds;
use crate::downstream::responses::{client_error, rejected};
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::net::SocketObserver;

/// `Retry-After` of requests that are rejected because too many are open.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response, and what happens to its connection afterwards.
pub struct Reply {
    pub response: Response<ResponseBody>,
    pub after_response: AfterResponse,
}

/// What happens to a connection after a response.
pub enum AfterResponse {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection closes.
    Close,
    /// The connection closes, but the client may still be sending. Its bytes are read for a limited time, so
    /// that the close does not reset the connection before the client has received the response.
    LingeringClose,
}

impl Reply {
    /// Returns the reply to an invalid request. The connection closes because the node cannot rely on where
    /// the next request begins.
    fn client_error(error: &RequestError) -> Reply {
        Reply { response: client_error(error), after_response: AfterResponse::LingeringClose }
    }
}

/// Answers the requests of all connections.
pub struct RequestHandler {
    config: Rc<Config>,
    engine: EngineHandle,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<ConnectionTable>,
    buffer_budget: Rc<BufferBudget>,
    request_ids: Rc<RequestIds>,
}

impl RequestHandler {
    /// Creates a handler that hands requests to `engine` and buffers bodies within `buffer_budget`.
    pub fn new(
        config: Rc<Config>,
        engine: EngineHandle,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<ConnectionTable>,
        buffer_budget: Rc<BufferBudget>,
        request_ids: Rc<RequestIds>,
    ) -> RequestHandler {
        RequestHandler { config, engine, lifecycle, connections, buffer_budget, request_ids }
    }

    /// Returns the reply to a request whose body has to make progress by `body_deadline`.
    pub async fn reply(
        &self,
        request: Request<Incoming>,
        observer: &Rc<SocketObserver>,
        body_deadline: Instant,
    ) -> Reply {
        let reply = if request.uri().path() == health::PATH {
            self.health_reply(&request, observer)
        } else {
            self.forward(request, observer, body_deadline).await
        };
        reply.unwrap_or_else(|error| {
            tracing::debug!(status = error.status().as_u16(), %error, "request invalid or abandoned");
            Reply::client_error(&error)
        })
    }

    fn health_reply(
        &self,
        request: &Request<Incoming>,
        observer: &SocketObserver,
    ) -> Result<Reply, RequestError> {
        if !request.body().is_end_stream() {
            return Err(RequestError::UnexpectedBody);
        }
        observer.request_completed(Some(0));
        let response = health::respond(request.method(), &self.lifecycle);
        Ok(Reply { response, after_response: AfterResponse::KeepAlive })
    }

    /// Forwards a request to the endpoints and returns the reply.
    async fn forward(
        &self,
        request: Request<Incoming>,
        observer: &Rc<SocketObserver>,
        body_deadline: Instant,
    ) -> Result<Reply, RequestError> {
        let chunked = is_chunked(request.headers());
        let accepted = self.accept(request, observer, body_deadline).await?;
        let upstream_request = accepted.upstream_request.clone();
        let response = if self.lifecycle.is_past_shutdown_deadline() {
            // There is no `Retry-After`: other nodes can accept the request immediately.
            tracing::debug!(
                request = %upstream_request.client_request_id,
                "request rejected: the shutdown deadline has passed"
            );
            rejected(None)
        } else if self.connections.exceeds_served_limit() {
            // While all connections are in use, a rejection frees a connection and needs no endpoint.
            tracing::debug!(
                request = %upstream_request.client_request_id,
                "request rejected: too many requests are open"
            );
            rejected(Some(OVERLOAD_RETRY_AFTER))
        } else {
            exchange(accepted, observer, &self.engine, &self.lifecycle).await?
        };
        let after_response = match upstream_request.received_at() {
            None => AfterResponse::LingeringClose,
            Some(_) if observer.has_discarded_input() => AfterResponse::LingeringClose,
            // Only hyper knows at which byte the last chunk ended, so the observer could not find the head
            // of the next request.
            Some(_) if chunked => AfterResponse::Close,
            Some(_) => AfterResponse::KeepAlive,
        };
        Ok(Reply { response, after_response })
    }

    /// Validates a request and receives its body. A small body is received completely.
    async fn accept(
        &self,
        request: Request<Incoming>,
        observer: &Rc<SocketObserver>,
        body_deadline: Instant,
    ) -> Result<AcceptedRequest<'_>, RequestError> {
        let (parts, body) = request.into_parts();
        check_framing(&parts.headers, observer)?;
        let head = RequestHead::parse(parts, !body.is_end_stream(), &self.config)?;
        let body = RequestBody::read(body, body_deadline, &self.buffer_budget, observer).await?;
        // The request may have waited behind another one on its connection.
        let buffered_at = observer.last_arrival();
        let now = Instant::now();
        let claimed_id = self.request_ids.claim(head.client_request_id(), head.idempotency(), now);
        let claimed_id = claimed_id.ok_or(RequestError::DuplicateRequestId)?;
        let id = self.engine.next_request_id();
        notify_engine_of_upload(&body, id, &self.engine);
        let waited = now.saturating_duration_since(buffered_at);
        let request = head.balancer_request(id, waited);
        let shutdown_deadline = self.lifecycle.shutdown_deadline();
        let upstream_request = Rc::new(head.into_upstream_request(body, buffered_at, shutdown_deadline));
        Ok(AcceptedRequest { request, upstream_request, claimed_id })
    }
}
