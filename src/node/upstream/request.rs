//! A request as its attempts send it.

use std::cell::Cell;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use tokio::time::{Instant, sleep, sleep_until};

use crate::body::{OutboundBody, RequestBody, UploadProgress};
use crate::protocol::headers::REQ_DEADLINE;

/// How often it is checked whether an endpoint still reads the body that is sent to it.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The least time for which an endpoint may read nothing of the body before the attempt fails.
const MIN_UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A request as it is sent to endpoints.
pub struct UpstreamRequest {
    /// The method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: PathAndQuery,
    /// All headers but the deadline, which each attempt states anew.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// How long the client waits, counted from its last byte.
    pub timeout: Duration,
    /// When the last byte was received, if the body is buffered.
    pub buffered_at: Instant,
    /// Whether the request must never be executed twice.
    pub non_idempotent: bool,
    /// From when on no attempt may begin: endpoints may have forgotten by then that they executed the
    /// request.
    pub begin_by: Cell<Option<Instant>>,
    /// Whether the client has disconnected. An attempt of which nothing is written yet is then not sent.
    pub client_disconnected: Cell<bool>,
}

impl UpstreamRequest {
    /// When the client's last byte was received, if it was.
    pub fn received_at(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Buffered { .. } => Some(self.buffered_at),
            RequestBody::Streamed(stream) => match stream.progress() {
                UploadProgress::Complete(at) => Some(at),
                UploadProgress::NotStarted | UploadProgress::Forwarding | UploadProgress::Failed(_) => None,
            },
        }
    }

    /// Whether an attempt may begin now. While its connection was opened the body may have been forwarded to
    /// another endpoint, the client may have disconnected, or the time may have passed.
    pub(super) fn may_begin(&self) -> bool {
        let in_time = self.begin_by.get().is_none_or(|begin_by| Instant::now() < begin_by);
        self.body.is_replayable() && !self.client_disconnected.get() && in_time
    }

    /// Returns when no response is of use any more, or the endpoint has stopped reading the body.
    pub(super) async fn expired(&self) {
        loop {
            if let Some(received_at) = self.received_at() {
                return sleep_until(received_at + self.timeout).await;
            }
            if self.is_upload_stalled() {
                return;
            }
            sleep(UPLOAD_POLL_INTERVAL).await;
        }
    }

    /// Whether the endpoint has read nothing of a body that is being forwarded for as long as the client
    /// would wait for the response, and at least [`MIN_UPLOAD_STALL_TIMEOUT`].
    fn is_upload_stalled(&self) -> bool {
        let RequestBody::Streamed(stream) = &self.body else { return false };
        matches!(stream.progress(), UploadProgress::Forwarding)
            && stream.unpolled_for() >= self.timeout.max(MIN_UPLOAD_STALL_TIMEOUT)
    }

    /// Whether the last byte of the request may be on the socket, once `written` bytes of it are,
    /// `head_length` of them for the head.
    pub(super) fn may_be_complete(&self, head_length: u64, written: u64) -> bool {
        match self.body.length() {
            Some(body_length) => written >= head_length + body_length,
            None => self.received_at().is_some(),
        }
    }

    /// The HTTP request, with the time that is left in its deadline header. `None` if that is no header
    /// value.
    pub(super) fn to_http(&self) -> Option<Request<OutboundBody>> {
        let elapsed = self.received_at().map_or(Duration::ZERO, |at| at.elapsed());
        let remaining = self.timeout.saturating_sub(elapsed).as_secs_f64();
        let deadline = HeaderValue::from_str(&format!("{remaining:.3}")).ok()?;
        let mut request = Request::new(OutboundBody::from(&self.body));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(REQ_DEADLINE, deadline);
        Some(request)
    }
}

/// How many bytes the head of a request takes on the socket, as hyper writes one that has all of its headers:
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
