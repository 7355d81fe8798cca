//! One attempt: a request sent to one endpoint, up to its response or failure.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use hyper::body::{Body, Incoming};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use mothspool::{EndpointId, Outcome};
use tokio::time::{Instant, timeout_at};

use super::abandoned::observe_length;
use super::connection::Incarnation;
use super::pool::{ConnectionLease, UpstreamPool};
use super::request::{UpstreamRequest, head_length};
use super::response::{ResponseFraming, ResponseStage, StreamingResponse, closes_connection, is_rejection};
use super::stall::{InformationalCounter, response_stalled};
use crate::body::{OutboundBody, PrefixError, ResponseBody, ResponsePrefix};
use crate::log::ErrorChain;
use crate::net::UpstreamSocket;
use crate::protocol::headers::remove_hop_by_hop_headers;

/// Result of an attempt.
pub enum AttemptOutcome {
    /// The attempt has no response for the client.
    Failed(Outcome),
    /// A complete response with status 200.
    Served(Response<ResponseBody>),
    /// A response with status 200 of which only the first part has been read.
    Streaming(Response<StreamingResponse>),
}

/// A step of a response that is not complete.
#[derive(Clone, Copy)]
pub enum ResponseProgress {
    /// The head of a 200 response has arrived, and its body may be large. The response is passed on, or the
    /// attempt ends, shortly after the request expires at the latest.
    Began,
    /// The response has begun to arrive and has paused.
    Stalled,
}

impl UpstreamPool {
    /// Sends a request to an endpoint and waits for the response, at most until the request expires.
    /// `may_be_written` is `true` while some of the request may have been written to a socket. `on_progress`
    /// is called with each step of the response.
    pub async fn attempt(
        self: &Rc<Self>,
        request: &UpstreamRequest,
        endpoint: EndpointId,
        may_be_written: &Cell<bool>,
        on_progress: &dyn Fn(ResponseProgress),
    ) -> AttemptOutcome {
        let stage = Cell::new(ResponseStage::AwaitingHead);
        let live = LiveAttempt::new(&request.live_attempts);
        let attempt = Attempt { pool: self, request, endpoint, may_be_written, on_progress, stage, live };
        let result = tokio::select! {
            biased;
            result = attempt.run() => result,
            () = attempt.expired() => {
                attempt.log_abandoned("the request has expired");
                Err(if may_be_written.get() { Outcome::TimedOut } else { Outcome::NotSent })
            }
        };
        result.unwrap_or_else(AttemptOutcome::Failed)
    }
}

/// Displays the address of an endpoint.
struct EndpointAddress(Option<Incarnation>);

impl fmt::Display for EndpointAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(incarnation) => incarnation.address.fmt(f),
            None => f.write_str("unavailable"),
        }
    }
}

/// Parameters of an attempt, which may use several connections.
struct Attempt<'a> {
    pool: &'a Rc<UpstreamPool>,
    request: &'a UpstreamRequest,
    endpoint: EndpointId,
    may_be_written: &'a Cell<bool>,
    on_progress: &'a dyn Fn(ResponseProgress),
    stage: Cell<ResponseStage>,
    live: LiveAttempt,
}

/// Counts an attempt as live until it stalls or ends.
struct LiveAttempt {
    count: Rc<Cell<usize>>,
    is_counted: Cell<bool>,
}

impl LiveAttempt {
    fn new(count: &Rc<Cell<usize>>) -> LiveAttempt {
        count.set(count.get() + 1);
        LiveAttempt { count: count.clone(), is_counted: Cell::new(true) }
    }

    fn mark_stalled(&self) {
        if self.is_counted.replace(false) {
            self.count.set(self.count.get() - 1);
        }
    }
}

impl Drop for LiveAttempt {
    fn drop(&mut self) {
        self.mark_stalled();
    }
}

/// Why there is no response to a request on one connection.
enum ExchangeError {
    /// The attempt has failed.
    Failed(Outcome),
    /// The reused connection closed before any byte of the request was written to it. The request can be sent
    /// on another connection, because the endpoint cannot have executed it.
    NothingWritten,
}

impl From<Outcome> for ExchangeError {
    fn from(outcome: Outcome) -> ExchangeError {
        ExchangeError::Failed(outcome)
    }
}

impl Attempt<'_> {
    /// Logs that the node itself ends the attempt, which closes its connection.
    fn log_abandoned(&self, reason: &str) {
        tracing::info!(
            request = %self.request.client_request_id,
            endpoint = %EndpointAddress(self.pool.available_incarnation(self.endpoint)),
            was_written = self.may_be_written.get(),
            reason,
            "attempt abandoned"
        );
    }

    /// Waits until the request has expired. Never returns if a response has begun that may be large, which
    /// [`ResponsePrefix::read`] decides on.
    async fn expired(&self) {
        self.request.expired().await;
        if self.stage.get().may_be_large() {
            std::future::pending::<()>().await;
        }
    }

    /// Sends the request on an idle connection or a new one. Tries another connection each time that a reused
    /// one closes before any byte of the request was written to it.
    async fn run(&self) -> Result<AttemptOutcome, Outcome> {
        loop {
            let lease = self.lease_connection().await?;
            match self.exchange(lease).await {
                Ok(outcome) => return Ok(outcome),
                Err(ExchangeError::Failed(outcome)) => return Err(outcome),
                Err(ExchangeError::NothingWritten) => self.may_be_written.set(false),
            }
        }
    }

    /// Returns a connection on which the request may be sent now.
    async fn lease_connection(&self) -> Result<ConnectionLease, Outcome> {
        if !self.request.may_begin() {
            return Err(Outcome::NotSent);
        }
        let lease = match self.pool.take_idle(self.endpoint, self.request.non_idempotent) {
            Some(lease) => lease,
            None => self.connect().await?,
        };
        // The endpoint may have started draining or have restarted while the connection was opened.
        let is_current =
            self.pool.available_incarnation(self.endpoint) == Some(lease.connection.incarnation());
        if self.request.may_begin() && is_current { Ok(lease) } else { Err(Outcome::NotSent) }
    }

    /// Opens a connection. Fails if the endpoint is not available, or if `begin_by` passes first.
    async fn connect(&self) -> Result<ConnectionLease, Outcome> {
        let incarnation = self.pool.available_incarnation(self.endpoint).ok_or(Outcome::NotSent)?;
        let connecting = self.pool.connect(self.endpoint, incarnation, self.request);
        let connected = match self.request.begin_by.get() {
            Some(begin_by) => timeout_at(begin_by, connecting).await.map_err(|_| Outcome::NotSent)?,
            None => connecting.await,
        };
        Ok(connected?)
    }

    /// Sends the request on a connection and reads the response.
    async fn exchange(&self, lease: ConnectionLease) -> Result<AttemptOutcome, ExchangeError> {
        let mut http_request = self.request.to_http().ok_or(Outcome::NotSent)?;
        let informational = InformationalCounter::attach(&mut http_request);
        let socket = lease.connection.socket().clone();
        tracing::debug!(
            request = %self.request.client_request_id,
            endpoint = %lease.connection.incarnation().address,
            is_new_connection = lease.origin.is_new(),
            "request being written"
        );
        self.may_be_written.set(true);
        self.request.was_sent.set(true);
        socket.begin_exchange();
        tokio::select! {
            biased;
            result = self.send_and_read(lease, http_request) => result,
            outcome = self.watch_for_stalls(&socket, &informational) => Err(outcome.into()),
        }
    }

    /// Reports when the response has stalled. Returns the outcome if that is known although the body of the
    /// response is incomplete.
    async fn watch_for_stalls(
        &self,
        socket: &UpstreamSocket,
        informational: &InformationalCounter,
    ) -> Outcome {
        loop {
            response_stalled(socket, informational, || self.request.deadline()).await;
            self.live.mark_stalled();
            match self.stage.get() {
                ResponseStage::AwaitingHead
                | ResponseStage::AwaitingBody
                | ResponseStage::AwaitingBodyOfUnknownLength => {
                    tracing::info!(
                        request = %self.request.client_request_id,
                        endpoint = %EndpointAddress(self.pool.available_incarnation(self.endpoint)),
                        "response stalled; waiting for the rest of it"
                    );
                    (self.on_progress)(ResponseProgress::Stalled);
                }
                ResponseStage::AwaitingLargeBody => {}
                ResponseStage::Error => {
                    self.log_abandoned("the body of an error has stalled");
                    return Outcome::Error;
                }
            }
        }
    }

    /// Sends the request on a connection and reads the response.
    async fn send_and_read(
        &self,
        mut lease: ConnectionLease,
        http_request: Request<OutboundBody>,
    ) -> Result<AttemptOutcome, ExchangeError> {
        let head_length = head_length(&http_request);
        let written_before = lease.connection.socket().bytes_written();
        let unresponsive_guard =
            UnresponsiveGuard { pool: self.pool, endpoint: self.endpoint, sent_at: Instant::now() };
        let sent = lease.connection.send(http_request).await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => {
                let written = lease.connection.socket().bytes_written() - written_before;
                return Err(self.classify_send_error(&lease, &error, head_length, written));
            }
        };
        self.pool.record_response(self.endpoint, lease.origin);
        drop(unresponsive_guard);
        // Endpoints do not execute a request before they have its last byte, so a 200 that comes earlier is
        // not the response to this request.
        if self.request.received_at().is_none() && response.status() == StatusCode::OK {
            return Err(Outcome::Reset.into());
        }
        Ok(self.read_response(lease, response).await?)
    }

    /// Classifies the failure of a connection before the head of the response. The request may have been
    /// executed only if it may have been written completely, because endpoints begin to execute a request
    /// when its last byte has arrived.
    fn classify_send_error(
        &self,
        lease: &ConnectionLease,
        error: &hyper::Error,
        head_length: u64,
        written: u64,
    ) -> ExchangeError {
        if written == 0 && !lease.origin.is_new() {
            return ExchangeError::NothingWritten;
        }
        // The client failed to send the whole body, so this is not a failure of the endpoint.
        if self.request.body.has_failed() {
            return Outcome::NotSent.into();
        }
        if !self.request.may_be_complete(head_length, written) {
            return Outcome::ConnectFailed.into();
        }
        // An invalid response does not count as a break of the connection, which has delivered it.
        if !error.is_parse() {
            self.pool.record_break(lease.origin);
        }
        Outcome::Reset.into()
    }

    /// Reads a small response completely, or the first part of one that is streamed.
    async fn read_response(
        &self,
        lease: ConnectionLease,
        response: Response<Incoming>,
    ) -> Result<AttemptOutcome, Outcome> {
        let (head, body) = response.into_parts();
        let framing = ResponseFraming::of(&head.headers).ok_or(Outcome::Reset)?;
        self.stage.set(ResponseStage::of(&head, &body.size_hint()));
        let is_success = head.status == StatusCode::OK;
        if self.stage.get().may_be_large() {
            self.request.response_began.set(true);
            (self.on_progress)(ResponseProgress::Began);
        }
        let lengths = || self.pool.response_lengths(self.request.class);
        let early_streaming = is_success.then(|| self.request.early_streaming(Instant::now(), lengths()));
        let prefix = ResponsePrefix::read(body, self.pool.buffer_budget(), early_streaming).await;
        let prefix = match prefix {
            Ok(prefix) => prefix,
            Err(PrefixError::Receive(error)) => {
                let request = &self.request.client_request_id;
                tracing::debug!(%request, error = %ErrorChain(&error), "response broken");
                return Err(Outcome::Reset);
            }
            Err(PrefixError::GivenUp(rest)) => {
                self.log_abandoned("its response was not complete in time and is not expected to be long");
                // A retry at the shutdown deadline must not run beside the attempt that was given up.
                if !self.request.shutdown_deadline.is_cancelled() {
                    observe_length(rest, lease, &lengths());
                }
                return Err(Outcome::TimedOut);
            }
        };
        let keeps_connection = framing.keeps_connection();
        if is_success {
            return Ok(build_success_outcome(head, prefix, lease, keeps_connection));
        }
        let origin = lease.origin;
        if keeps_connection && matches!(prefix, ResponsePrefix::Complete(..)) {
            lease.return_idle();
        }
        if !is_rejection(&head) {
            return Err(Outcome::Error);
        }
        if closes_connection(&head.headers) {
            self.pool.record_connection_rejected(origin);
        }
        Err(Outcome::Rejected)
    }
}

/// Builds the outcome of an attempt that got a response with status 200.
fn build_success_outcome(
    mut head: response::Parts,
    prefix: ResponsePrefix,
    lease: ConnectionLease,
    keeps_connection: bool,
) -> AttemptOutcome {
    remove_hop_by_hop_headers(&mut head.headers);
    match prefix {
        ResponsePrefix::Complete(bytes, reservation) => {
            if keeps_connection {
                lease.return_idle();
            }
            let body = ResponseBody::buffered(bytes, reservation);
            AttemptOutcome::Served(Response::from_parts(head, body))
        }
        ResponsePrefix::Partial(body) => {
            let body = StreamingResponse { body, lease, keeps_connection };
            AttemptOutcome::Streaming(Response::from_parts(head, body))
        }
    }
}

/// Closes the idle connections to an unresponsive endpoint when an attempt ends without a response; see
/// [`UpstreamPool::close_if_unresponsive`].
///
/// An endpoint that has become unreachable responds on none of its existing connections. Each idle connection
/// would cost another attempt its full timeout, and it would stay unknown whether the request was executed. A
/// new connection fails early, and it is certain that nothing was executed.
struct UnresponsiveGuard<'a> {
    pool: &'a UpstreamPool,
    endpoint: EndpointId,
    sent_at: Instant,
}

impl Drop for UnresponsiveGuard<'_> {
    fn drop(&mut self) {
        self.pool.close_if_unresponsive(self.endpoint, self.sent_at);
    }
}
