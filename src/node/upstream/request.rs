//! Requests as attempts send them to endpoints.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::body::{
    CompleteUpload, DecisionTimes, EarlyStreaming, OutboundBody, RequestBody, ResponseLengths, UploadProgress,
};
use crate::protocol::compact_headers::CompactHeaders;
use crate::protocol::headers::REQ_DEADLINE;

/// Interval of the check whether the endpoint still reads the body that is sent to it.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time for which the endpoint has to read nothing of the body before the attempt fails.
const MIN_UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time before the client's deadline at which a response that is shown to be long is passed on.
const STREAMING_MARGIN: Duration = Duration::from_millis(25);
/// Time after the client's deadline for which a response that may be short is waited for. The final answer
/// may come 500 ms after the deadline, of which the node may be held up for 150 ms.
const LATE_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(300);

/// Number of headers that an attempt adds: the deadline and the length of the body.
const HEADERS_OF_AN_ATTEMPT: usize = 2;

/// A request as attempts send it to endpoints.
pub struct UpstreamRequest {
    /// The client's `Req-Id`, by which the log names the request.
    pub client_request_id: Box<str>,
    /// Index of the class in the settings.
    pub class: usize,
    /// Method, as the client sent it.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: PathAndQuery,
    /// All headers except the length of the body, and the deadline, which each attempt computes from the
    /// remaining time.
    pub headers: CompactHeaders,
    /// Body.
    pub body: RequestBody,
    /// How long the client waits for the response, counted from the last byte of its request.
    pub timeout: Duration,
    /// Latency objective of the response, counted from the last byte of the request. At most `timeout`.
    pub latency_objective: Duration,
    /// Time at which the last byte was received. Used only if the body is buffered.
    pub buffered_at: Instant,
    /// Whether the request must never be executed more than once.
    pub non_idempotent: bool,
    /// Time from which on no attempt may begin, because endpoints may no longer remember that they have
    /// executed the request. `None` if there is no such limit.
    pub begin_by: Cell<Option<Instant>>,
    /// Whether the client has disconnected or failed to send the whole body, or the shutdown deadline has
    /// passed. Attempts that have written nothing yet are then not sent.
    pub client_disconnected: Cell<bool>,
    /// Whether an attempt has begun to write the request to an endpoint.
    pub was_sent: Cell<bool>,
    /// Whether a response has begun that may be large.
    pub response_began: Cell<bool>,
    /// Number of attempts that may still complete and have not stalled.
    pub live_attempts: Rc<Cell<usize>>,
    /// Cancelled at the shutdown deadline, when a response that has begun has to be passed on at once.
    pub shutdown_deadline: CancellationToken,
}

impl UpstreamRequest {
    /// Returns the time at which the last byte of the request was received, from which the client's time
    /// counts, or `None` if the last byte was not read yet.
    pub fn received_at(&self) -> Option<Instant> {
        self.complete_upload().map(|upload| upload.received_at)
    }

    /// Returns whether an endpoint may have received the whole request, and have executed it.
    pub fn may_have_been_executed(&self) -> bool {
        self.was_sent.get() && self.received_at().is_some()
    }

    /// Returns the time from which on the whole request could be sent to an endpoint, or `None` if its last
    /// byte was not read yet.
    pub fn forwarded_at(&self) -> Option<Instant> {
        self.complete_upload().map(|upload| upload.forwarded_at)
    }

    fn complete_upload(&self) -> Option<CompleteUpload> {
        match &self.body {
            RequestBody::Buffered { .. } => {
                Some(CompleteUpload { received_at: self.buffered_at, forwarded_at: self.buffered_at })
            }
            RequestBody::Streamed(stream) => match stream.progress() {
                UploadProgress::Complete(upload) => Some(upload),
                UploadProgress::NotStarted | UploadProgress::Forwarding | UploadProgress::Failed(_) => None,
            },
        }
    }

    /// Returns the time from which the client's time may count: its last byte was received then or, if some
    /// of the body was not read yet, may have been. Returns `None` if the client still owes some of its body.
    fn may_be_received_since(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Buffered { .. } => Some(self.buffered_at),
            RequestBody::Streamed(stream) => stream.may_be_whole_since(),
        }
    }

    /// Returns whether an attempt may begin now. While its connection was opened, the body may have been
    /// forwarded to another endpoint, the client may have disconnected, or `begin_by` may have passed.
    pub(super) fn may_begin(&self) -> bool {
        let in_time = self.begin_by.get().is_none_or(|begin_by| Instant::now() < begin_by);
        self.body.is_replayable() && !self.client_disconnected.get() && in_time
    }

    /// Returns the time by which the client wants the whole response, or `None` if its last byte was not read
    /// yet.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.received_at().map(|received_at| received_at + self.timeout)
    }

    /// Waits until the client has stopped waiting for the response, or may have while the endpoint reads its
    /// body, or until the endpoint has stopped reading the body.
    pub(super) async fn expired(&self) {
        loop {
            if let Some(deadline) = self.deadline() {
                return sleep_until(deadline).await;
            }
            if self.is_upload_overdue() || self.is_upload_stalled() {
                return;
            }
            sleep(UPLOAD_POLL_INTERVAL).await;
        }
    }

    /// Returns the state that decides when a response that begins at `began_at` is streamed: one that is
    /// shown to be long once half of the time that is left to it has passed, if it is received fast enough,
    /// or else shortly before the client's deadline. Any other is decided on after the deadline.
    ///
    /// ```text
    /// stream_from = began_at + (wanted_by - began_at) / 2
    /// stream_by = deadline - STREAMING_MARGIN
    /// decide_by = deadline + LATE_RESPONSE_ALLOWANCE
    /// ```
    ///
    /// `wanted_by` is the latency objective, or the client's deadline if the response begins after the
    /// objective.
    pub(super) fn early_streaming(&self, began_at: Instant, lengths: Rc<ResponseLengths>) -> EarlyStreaming {
        let received_at = self.received_at().unwrap_or(began_at);
        let objective_at = received_at + self.latency_objective;
        let wanted_by = if began_at < objective_at { objective_at } else { received_at + self.timeout };
        let time_left = wanted_by.saturating_duration_since(began_at);
        let stream_from = began_at + time_left / 2;
        let stream_by = received_at + self.timeout.saturating_sub(STREAMING_MARGIN);
        let decide_by = received_at + self.timeout + LATE_RESPONSE_ALLOWANCE;
        let times = DecisionTimes { stream_from: stream_from.min(stream_by), stream_by, decide_by };
        let (live_attempts, shutdown) = (self.live_attempts.clone(), self.shutdown_deadline.clone());
        EarlyStreaming::new(began_at, times, lengths, live_attempts, shutdown)
    }

    /// Returns whether the client may have stopped waiting, since it may have sent its last byte so long ago.
    fn is_upload_overdue(&self) -> bool {
        let client_time = self.timeout.max(UPLOAD_POLL_INTERVAL);
        self.may_be_received_since().is_some_and(|since| since.elapsed() >= client_time)
    }

    /// Returns whether the body is being forwarded and the endpoint has read nothing of it for as long as the
    /// client waits for the response, and for at least [`MIN_UPLOAD_STALL_TIMEOUT`].
    fn is_upload_stalled(&self) -> bool {
        let RequestBody::Streamed(stream) = &self.body else { return false };
        matches!(stream.progress(), UploadProgress::Forwarding)
            && stream.unpolled_for() >= self.timeout.max(MIN_UPLOAD_STALL_TIMEOUT)
    }

    /// Returns whether the last byte of the request may have been written to the socket, given that `written`
    /// bytes have been and that the head has `head_length` bytes.
    pub(super) fn may_be_complete(&self, head_length: u64, written: u64) -> bool {
        match self.body.length() {
            Some(body_length) => written >= head_length + body_length,
            None => self.received_at().is_some(),
        }
    }

    /// Returns the HTTP request, with the remaining time in its deadline header, or `None` if that is not a
    /// valid header value.
    pub(super) fn to_http(&self) -> Option<Request<OutboundBody>> {
        let elapsed = self.may_be_received_since().map_or(Duration::ZERO, |since| since.elapsed());
        let remaining = self.timeout.saturating_sub(elapsed).as_secs_f64();
        let deadline = HeaderValue::from_str(&format!("{remaining:.3}")).ok()?;
        let mut request = Request::new(OutboundBody::from(&self.body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        let mut headers = self.headers.to_map(HEADERS_OF_AN_ATTEMPT);
        headers.insert(REQ_DEADLINE, deadline);
        if let Some(length) = self.body.length().filter(|_| self.method == Method::POST) {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Returns the length in bytes of the head that hyper writes for a request to which it adds no headers:
/// `METHOD target HTTP/1.1`, a line `name: value` for each header, and an empty line.
pub(super) fn head_length(request: &Request<OutboundBody>) -> u64 {
    const AFTER_TARGET: usize = " HTTP/1.1\r\n".len();
    const AROUND_VALUE: usize = ": \r\n".len();
    let method = request.method().as_str().len() + " ".len();
    let target = request.uri().path_and_query().map_or("/".len(), |target| target.as_str().len());
    let headers = request.headers().iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len() + AROUND_VALUE).sum();
    (method + target + AFTER_TARGET + headers + "\r\n".len()) as u64
}
