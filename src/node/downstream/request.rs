//! Parses and validates the head of a request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};
use mothspool::{Idempotency, RequestId};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body::RequestBody;
use crate::config::{ClassRule, Config, MAX_DEADLINE};
use crate::downstream::error::RequestError;
use crate::downstream::request_ids::MAX_REQUEST_ID_BYTES;
use crate::net::SocketObserver;
use crate::protocol::compact_headers::CompactHeaders;
use crate::protocol::headers::{
    IDEMPOTENCY_KEY, REQ_COST, REQ_DEADLINE, REQ_ID, REQ_OWNER, remove_hop_by_hop_headers,
};
use crate::upstream::UpstreamRequest;

/// Time in transit in one direction, subtracted once from each deadline. A deadline counts from when the
/// client sends the request: this much of it has passed when the node reads the request. This much passes
/// again before the response has arrived at the client, but it is not subtracted a second time.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(3);
/// `Host` header of requests to endpoints, used if the client sent none.
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("origin.svc");

/// The validated head of a request.
pub struct RequestHead {
    method: Method,
    target: PathAndQuery,
    headers: CompactHeaders,
    class: ClassRule,
    client_request_id: Box<str>,
    /// How long the client waits, counted from the last byte of its request.
    timeout: Duration,
    /// Latency objective of the response, at most `timeout`.
    latency_objective: Duration,
    /// The client's estimate of the work, if the request has one.
    expected_work: Option<Duration>,
    /// Hash of the object that the request concerns, if it names one.
    affinity_key: Option<u64>,
    /// Index of the tenant in the settings, if the request names a known tenant.
    tenant: Option<u32>,
}

impl RequestHead {
    /// Parses and validates a head. `has_body` states whether a body follows. The result keeps nothing of the
    /// buffer that the head was read into.
    pub fn parse(parts: Parts, has_body: bool, config: &Config) -> Result<RequestHead, RequestError> {
        let Parts { method, uri, mut headers, .. } = parts;
        let class = find_class(&uri, config).ok_or(RequestError::UnknownClass)?;
        let client_request_id = parse_request_id(&headers)?.into();
        let deadline = single_value(&headers, &REQ_DEADLINE).and_then(parse_seconds);
        let deadline = deadline.ok_or(RequestError::InvalidDeadline)?;
        check_method_and_key(&class, &method, &headers)?;
        if method == Method::GET && has_body {
            return Err(RequestError::UnexpectedBody);
        }
        // No client waits longer than its class allows. This also bounds all work on the request.
        let timeout = deadline.min(class.deadline).saturating_sub(TRANSIT_ALLOWANCE);
        let expected_work = parse_expected_work(&headers);
        let objective = config.settings.classes[class.index].objective_for(expected_work);
        let latency_objective = objective.min(timeout);
        let tenant = single_value(&headers, &REQ_OWNER).and_then(|name| config.tenants.get(name)).copied();
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(REQ_DEADLINE);
        headers.entry(header::HOST).or_insert(DEFAULT_HOST);
        Ok(RequestHead {
            method,
            target: copy_target(&uri),
            headers: CompactHeaders::from(&headers),
            class,
            client_request_id,
            timeout,
            latency_objective,
            expected_work,
            affinity_key: affinity_key(&uri),
            tenant,
        })
    }

    /// Returns whether the request may be executed more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.class.idempotency
    }

    /// Returns the `Req-Id`.
    pub fn client_request_id(&self) -> &str {
        &self.client_request_id
    }

    /// Returns the request as the balancer gets it. `waited` is the time since the node received it.
    pub fn balancer_request(&self, id: RequestId, waited: Duration) -> mothspool::Request {
        mothspool::Request {
            id,
            class: self.class.index,
            remaining: self.timeout.saturating_sub(waited),
            expected_work: self.expected_work,
            affinity_key: self.affinity_key,
            tenant: self.tenant,
        }
    }

    /// Converts the head into the request that is sent to endpoints. `buffered_at` is the time at which the
    /// last byte was received, if the body is buffered.
    /// A response that has begun when `shutdown_deadline` is cancelled is decided on at once.
    pub fn into_upstream_request(
        self,
        body: RequestBody,
        buffered_at: Instant,
        shutdown_deadline: CancellationToken,
    ) -> UpstreamRequest {
        UpstreamRequest {
            client_request_id: self.client_request_id,
            class: self.class.index,
            method: self.method,
            target: self.target,
            headers: self.headers,
            body,
            timeout: self.timeout,
            latency_objective: self.latency_objective,
            buffered_at,
            non_idempotent: self.class.idempotency == Idempotency::NonIdempotent,
            begin_by: Cell::new(None),
            client_disconnected: Cell::new(false),
            was_sent: Cell::new(false),
            response_began: Cell::new(false),
            live_attempts: Rc::default(),
            shutdown_deadline,
        }
    }
}

/// Returns a copy of the path and query.
fn copy_target(uri: &Uri) -> PathAndQuery {
    let target = uri.path_and_query().map_or("/", PathAndQuery::as_str);
    // The text was parsed before, so it is valid.
    PathAndQuery::from_maybe_shared(Bytes::copy_from_slice(target.as_bytes()))
        .unwrap_or(PathAndQuery::from_static("/"))
}

/// Returns a hash of the object that the request concerns. It is named by the last part of the path, if the
/// path has more than the class.
fn affinity_key(uri: &Uri) -> Option<u64> {
    let part = uri.path().split('/').skip(2).last().filter(|part| !part.is_empty())?;
    Some(xxhash_rust::xxh3::xxh3_64(part.as_bytes()))
}

/// Rejects a request that may have both `Transfer-Encoding` and `Content-Length`. Recipients that follow
/// different ones disagree about where it ends.
pub fn check_framing(headers: &HeaderMap, observer: &SocketObserver) -> Result<(), RequestError> {
    match is_chunked(headers) && observer.may_have_content_length() {
        true => Err(RequestError::AmbiguousFraming),
        false => Ok(()),
    }
}

/// Returns whether the body of a request is chunked, so that it ends with its last chunk.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the class that the first part of the path names.
fn find_class(uri: &Uri, config: &Config) -> Option<ClassRule> {
    let name = uri.path().split('/').nth(1)?;
    config.classes.get(name).copied()
}

fn parse_request_id(headers: &HeaderMap) -> Result<&str, RequestError> {
    let id = single_value(headers, &REQ_ID).ok_or(RequestError::MissingRequestId)?;
    let is_valid = (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    match is_valid {
        true => Ok(id),
        false => Err(RequestError::InvalidRequestId { length: id.len() }),
    }
}

/// Returns the client's estimate of the work, from `Req-Cost` in microseconds.
fn parse_expected_work(headers: &HeaderMap) -> Option<Duration> {
    let micros: f64 = single_value(headers, &REQ_COST)?.parse().ok()?;
    (micros > 0.0).then_some(Duration::from_micros(micros as u64))
}

/// Returns the value of a header that is present exactly once and is text.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Parses a time in seconds, with decimals. A negative time has passed and counts as 0. A time above
/// [`MAX_DEADLINE`] is invalid.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.' || b == b'-' || b == b'+');
    if !is_decimal {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(seconds.max(0.0)).ok().filter(|time| *time <= MAX_DEADLINE)
}

/// Checks that the method is the one of the class, and that an `Idempotency-Key` is present if the class
/// requires one and absent if the class is non-idempotent.
fn check_method_and_key(class: &ClassRule, method: &Method, headers: &HeaderMap) -> Result<(), RequestError> {
    let expected = match class.idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::IdempotentWithKey { .. } | Idempotency::NonIdempotent => Method::POST,
    };
    if *method != expected {
        return Err(RequestError::WrongMethod { expected });
    }
    match class.idempotency {
        Idempotency::IdempotentWithKey { .. }
            if single_value(headers, &IDEMPOTENCY_KEY).is_none_or(str::is_empty) =>
        {
            Err(RequestError::MissingIdempotencyKey)
        }
        Idempotency::NonIdempotent if headers.contains_key(IDEMPOTENCY_KEY) => {
            Err(RequestError::UnexpectedIdempotencyKey)
        }
        Idempotency::Idempotent | Idempotency::IdempotentWithKey { .. } | Idempotency::NonIdempotent => {
            Ok(())
        }
    }
}
