//! Responses of endpoints: their framing, and those that are streamed to the client.

use hyper::StatusCode;
use hyper::body::SizeHint;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response::Parts;

use super::pool::ConnectionLease;
use crate::body::{
    ResponseBody, StreamingCause, StreamingResponseBody, TransferEnd, is_too_large_to_buffer, may_be_large,
};
use crate::protocol::headers::SRV_DECLINED;

/// How the end of a response is determined.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseFraming {
    /// By `Content-Length` or by the last chunk. The connection can be reused.
    SelfDelimited,
    /// By the close of the connection, which `Connection: close` announces.
    UntilClose,
}

impl ResponseFraming {
    /// Returns the framing of a response with these headers, or `None` if it is ambiguous or missing, because
    /// a truncated response would then look complete.
    pub fn of(headers: &HeaderMap) -> Option<ResponseFraming> {
        let encodings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
        match (&encodings[..], headers.contains_key(header::CONTENT_LENGTH)) {
            ([], true) => Some(ResponseFraming::SelfDelimited),
            ([encoding], false) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Some(ResponseFraming::SelfDelimited)
            }
            ([], false) => closes_connection(headers).then_some(ResponseFraming::UntilClose),
            _ => None,
        }
    }

    /// Returns whether the connection can be reused after the response.
    pub fn keeps_connection(self) -> bool {
        self == ResponseFraming::SelfDelimited
    }
}

/// Returns whether the endpoint closes the connection after a response with these headers.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    let has_close = |value: &HeaderValue| {
        value.to_str().is_ok_and(|v| v.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
    };
    headers.get_all(header::CONNECTION).iter().any(has_close)
}

/// Returns whether a response says that the endpoint rejected the request without executing it.
pub(super) fn is_rejection(head: &Parts) -> bool {
    matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get(SRV_DECLINED).is_some_and(|value| value.as_bytes() == b"1")
}

/// What is known of the response to an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseStage {
    /// Its head is incomplete.
    AwaitingHead,
    /// It is complete except for its body, which decides the outcome.
    AwaitingBody,
    /// It is a 200 response with a body of unknown length, which may be too large to be buffered.
    AwaitingBodyOfUnknownLength,
    /// It is a 200 response with a body that is too large to be buffered.
    AwaitingLargeBody,
    /// It is an error, whatever its body is.
    Error,
}

impl ResponseStage {
    /// Returns what is known of a response with this head and a body of this size that has not been read.
    pub fn of(head: &Parts, size: &SizeHint) -> ResponseStage {
        match head.status {
            StatusCode::OK if is_too_large_to_buffer(size) => ResponseStage::AwaitingLargeBody,
            StatusCode::OK if may_be_large(size) => ResponseStage::AwaitingBodyOfUnknownLength,
            StatusCode::OK => ResponseStage::AwaitingBody,
            // Without the rest of its message, a rejection does not prove that the request was not executed.
            _ if is_rejection(head) => ResponseStage::AwaitingBody,
            _ => ResponseStage::Error,
        }
    }

    /// Returns whether the response has begun and may be too large to be buffered.
    pub fn may_be_large(self) -> bool {
        matches!(self, ResponseStage::AwaitingBodyOfUnknownLength | ResponseStage::AwaitingLargeBody)
    }
}

/// The body of a response of which the first part has been read and the rest is streamed to the client.
pub struct StreamingResponse {
    pub(super) body: Box<StreamingResponseBody>,
    /// Held until the end of the response, because dropping it closes the connection.
    pub(super) lease: ConnectionLease,
    pub(super) keeps_connection: bool,
}

impl StreamingResponse {
    /// Returns why the response is streamed before its end.
    pub fn cause(&self) -> StreamingCause {
        self.body.cause()
    }

    /// Returns the number of bytes of the body that were received so far.
    pub fn received(&self) -> u64 {
        self.body.received()
    }

    /// Converts the response into the body for the client. When the transfer ends, calls `on_end`.
    pub fn into_body(self, on_end: impl FnOnce(TransferEnd) + 'static) -> ResponseBody {
        let StreamingResponse { mut body, lease, keeps_connection } = self;
        body.on_end(move |end| {
            if keeps_connection && matches!(end, TransferEnd::Complete) {
                lease.return_idle();
            }
            on_end(end);
        });
        ResponseBody::streaming(body)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/response_framing.rs"]
mod tests;
