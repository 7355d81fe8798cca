//! One attempt: a request sent to one endpoint, up to its response or failure.

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use mothspool::{EndpointId, Outcome};
use tokio::time::{Instant, timeout_at};

use super::pool::{ConnectionLease, UpstreamPool};
use super::request::{UpstreamRequest, head_length};
use super::response::{ResponseFraming, StreamingResponse, closes_connection, is_rejection};
use super::stall::{InformationalCounter, response_stalled};
use crate::body::{OutboundBody, ResponseBody, ResponsePrefix};
use crate::protocol::headers::remove_hop_by_hop_headers;

/// What became of an attempt.
pub enum AttemptOutcome {
    /// There is no response for the client.
    Failed(Outcome),
    /// A complete 200.
    Served(Response<ResponseBody>),
    /// A 200 of which the first piece was read and the rest is still to come.
    Streaming(Response<StreamingResponse>),
}

impl UpstreamPool {
    /// Makes one attempt. `may_be_written` is set while some of it may be on a socket.
    pub async fn attempt(
        self: &Rc<Self>,
        request: &UpstreamRequest,
        endpoint: EndpointId,
        may_be_written: &Cell<bool>,
    ) -> AttemptOutcome {
        let attempt = Attempt { pool: self, request, endpoint, may_be_written };
        let result = tokio::select! {
            biased;
            result = attempt.run() => result,
            () = request.expired() => {
                Err(if may_be_written.get() { Outcome::TimedOut } else { Outcome::NotSent })
            }
        };
        result.unwrap_or_else(AttemptOutcome::Failed)
    }
}

/// The parts of an attempt that stay the same over its connections.
struct Attempt<'a> {
    pool: &'a Rc<UpstreamPool>,
    request: &'a UpstreamRequest,
    endpoint: EndpointId,
    may_be_written: &'a Cell<bool>,
}

/// Why there is no response to a request on one connection.
enum ExchangeError {
    /// The attempt has failed.
    Failed(Outcome),
    /// The connection was idle and closed before anything was written to it. The request may be sent on
    /// another: that is not a second execution.
    NothingWritten,
}

impl From<Outcome> for ExchangeError {
    fn from(outcome: Outcome) -> ExchangeError {
        ExchangeError::Failed(outcome)
    }
}

impl Attempt<'_> {
    /// Sends the request on an idle connection or a new one, until one of them takes it.
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

    /// A connection on which the request may be sent now.
    async fn lease_connection(&self) -> Result<ConnectionLease, Outcome> {
        if !self.request.may_begin() {
            return Err(Outcome::NotSent);
        }
        let lease = match self.pool.take_idle(self.endpoint, self.request.non_idempotent) {
            Some(lease) => lease,
            None => self.connect().await?,
        };
        // While the connection was opened the endpoint may have begun to drain, or have restarted.
        let is_current =
            self.pool.available_incarnation(self.endpoint) == Some(lease.connection.incarnation());
        if self.request.may_begin() && is_current { Ok(lease) } else { Err(Outcome::NotSent) }
    }

    /// Opens a connection, as long as the attempt may begin.
    async fn connect(&self) -> Result<ConnectionLease, Outcome> {
        let incarnation = self.pool.available_incarnation(self.endpoint).ok_or(Outcome::NotSent)?;
        let connecting = self.pool.connect(self.endpoint, incarnation, self.request);
        let connected = match self.request.begin_by.get() {
            Some(begin_by) => timeout_at(begin_by, connecting).await.map_err(|_| Outcome::NotSent)?,
            None => connecting.await,
        };
        Ok(connected?)
    }

    /// Sends the request on a connection and reads its response, unless that stalls.
    async fn exchange(&self, lease: ConnectionLease) -> Result<AttemptOutcome, ExchangeError> {
        let mut http_request = self.request.to_http().ok_or(Outcome::NotSent)?;
        let informational = InformationalCounter::attach(&mut http_request);
        let socket = lease.connection.socket().clone();
        self.may_be_written.set(true);
        // What was received before belongs to another response.
        socket.clear_received();
        tokio::select! {
            biased;
            result = self.send_and_read(lease, http_request) => result,
            () = response_stalled(&socket, &informational) => Err(Outcome::Reset.into()),
        }
    }

    /// Sends the request on a connection and reads its response.
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
        // A request of which the last byte is still missing was not executed: a 200 to it is not its
        // response.
        if self.request.received_at().is_none() && response.status() == StatusCode::OK {
            return Err(Outcome::Reset.into());
        }
        Ok(self.read_response(lease, response).await?)
    }

    /// What it means that the connection broke before the head of a response. Endpoints begin to execute a
    /// request when its last byte has arrived.
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
        // The client did not send its last byte, and the endpoint is not to blame.
        if self.request.body.has_failed() {
            return Outcome::NotSent.into();
        }
        if !self.request.may_be_complete(head_length, written) {
            return Outcome::ConnectFailed.into();
        }
        // A response that can't be parsed says nothing about the connection, which has carried it.
        if !error.is_parse() {
            self.pool.record_break(lease.origin);
        }
        Outcome::Reset.into()
    }

    /// Reads a small response completely, and the first piece of a large one.
    async fn read_response(
        &self,
        lease: ConnectionLease,
        response: Response<Incoming>,
    ) -> Result<AttemptOutcome, Outcome> {
        let (head, body) = response.into_parts();
        let framing = ResponseFraming::of(&head.headers).ok_or(Outcome::Reset)?;
        let prefix =
            ResponsePrefix::read(body, self.pool.buffer_budget()).await.map_err(|_| Outcome::Reset)?;
        let keeps_connection = framing.keeps_connection();
        if head.status == StatusCode::OK {
            return Ok(build_success_outcome(head, prefix, lease, keeps_connection));
        }
        let origin = lease.origin;
        if keeps_connection && matches!(prefix, ResponsePrefix::Complete(..)) {
            lease.return_idle();
        }
        let may_reject = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
        if !may_reject || !is_rejection(&head.headers) {
            return Err(Outcome::Error);
        }
        if closes_connection(&head.headers) {
            self.pool.record_connection_rejected(origin);
        }
        Err(Outcome::Rejected)
    }
}

/// The outcome of an attempt that got a 200.
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
        ResponsePrefix::Partial(prefix, rest) => {
            let body = StreamingResponse { prefix, rest, lease, keeps_connection };
            AttemptOutcome::Streaming(Response::from_parts(head, body))
        }
    }
}

/// Closes the idle connections to an endpoint if a request to it ends without a response after a long time.
///
/// An endpoint that has become unreachable is silent on all connections that it had. Each idle one would cost
/// another attempt its full timeout, and leave open whether the request was executed; a new one fails early,
/// and surely without executing anything.
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
