//! From one request to its response.

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
use crate::downstream::request_ids::OpenRequestIds;
use crate::downstream::responses::{client_error, rejected};
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::net::SocketObserver;

/// The `Retry-After` of a rejection because too many requests are open.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response, and what has to become of its connection.
pub struct Reply {
    pub response: Response<ResponseBody>,
    pub after_response: AfterResponse,
}

/// What has to become of a connection after a response.
pub enum AfterResponse {
    /// Another request can follow.
    KeepAlive,
    /// It closes.
    Close,
    /// It closes, but the client may still be sending: its bytes are read for a while, so that the close does
    /// not reset the connection before the client has the response.
    LingeringClose,
}

impl Reply {
    /// The response to a request with an error. Where the next request begins cannot be relied on.
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
    open_ids: OpenRequestIds,
}

impl RequestHandler {
    /// A handler that hands requests to `engine` and buffers bodies within `buffer_budget`.
    pub fn new(
        config: Rc<Config>,
        engine: EngineHandle,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<ConnectionTable>,
        buffer_budget: Rc<BufferBudget>,
    ) -> RequestHandler {
        let open_ids = OpenRequestIds::default();
        RequestHandler { config, engine, lifecycle, connections, buffer_budget, open_ids }
    }

    /// The reply to a request whose body has to make progress by `body_deadline`.
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
        reply.unwrap_or_else(|error| Reply::client_error(&error))
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

    /// The reply to a request that endpoints serve.
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
            // Other nodes accept it at once.
            rejected(None)
        } else if self.connections.exceeds_served_limit() {
            // Where all connections are in use, a rejection needs no endpoint and frees one.
            rejected(Some(OVERLOAD_RETRY_AFTER))
        } else {
            exchange(accepted, observer, &self.engine, &self.lifecycle).await?
        };
        let after_response = match upstream_request.received_at() {
            None => AfterResponse::LingeringClose,
            // Only hyper knows where among the bytes the last chunk ended, so that the head of the next
            // request could not be told apart.
            Some(_) if chunked => AfterResponse::Close,
            Some(_) => AfterResponse::KeepAlive,
        };
        Ok(Reply { response, after_response })
    }

    /// Validates a request and receives its body: all of it if it is small.
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
        let buffered_at = Instant::now();
        let claimed_id = self.open_ids.claim(head.client_request_id());
        let claimed_id = claimed_id.ok_or(RequestError::DuplicateRequestId)?;
        let id = self.engine.next_request_id();
        notify_engine_of_upload(&body, id, &self.engine);
        let request = head.balancer_request(id);
        let upstream_request = Rc::new(head.into_upstream_request(body, buffered_at));
        Ok(AcceptedRequest { request, upstream_request, claimed_id })
    }
}
