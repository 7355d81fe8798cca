//! Responses of endpoints: how they state their end, and the ones that pass through to the client.

use hyper::header::{self, HeaderMap, HeaderValue};
use mothspool::Outcome;

use super::pool::ConnectionLease;
use crate::body::{BufferedPrefix, IncomingBody, ResponseBody, StreamingResponseBody, TransferEnd};
use crate::protocol::headers::SRV_DECLINED;

/// How a response states where it ends.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ResponseFraming {
    /// By its length or its last chunk. The connection can be used again.
    SelfDelimited,
    /// With its connection, as `Connection: close` says.
    UntilClose,
}

impl ResponseFraming {
    /// The framing of a response with these headers; `None` if it is ambiguous or missing, as a part of such
    /// a response would look complete.
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

    /// Whether the connection can be used again after the response.
    pub fn keeps_connection(self) -> bool {
        self == ResponseFraming::SelfDelimited
    }
}

/// Whether the endpoint closes the connection after the response with these headers.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    let has_close = |value: &HeaderValue| {
        value.to_str().is_ok_and(|v| v.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
    };
    headers.get_all(header::CONNECTION).iter().any(has_close)
}

/// Whether the endpoint says that it rejected the request without executing it.
pub(super) fn is_rejection(headers: &HeaderMap) -> bool {
    headers.get(SRV_DECLINED).is_some_and(|value| value.as_bytes() == b"1")
}

/// The body of a response of which the first piece was read, and the rest passes through to the client.
pub struct StreamingResponse {
    pub(super) prefix: BufferedPrefix,
    pub(super) rest: IncomingBody,
    /// Held until the end, as dropping it closes the connection.
    pub(super) lease: ConnectionLease,
    pub(super) keeps_connection: bool,
}

impl StreamingResponse {
    /// The body for the client. `on_end` is called with the outcome of the attempt.
    pub fn into_body(self, on_end: impl FnOnce(Outcome) + 'static) -> ResponseBody {
        let StreamingResponse { prefix, rest, lease, keeps_connection } = self;
        ResponseBody::streaming(StreamingResponseBody::new(prefix, rest, move |end| match end {
            TransferEnd::Complete => {
                if keeps_connection {
                    lease.return_idle();
                }
                on_end(Outcome::Served);
            }
            TransferEnd::Broken => on_end(Outcome::Reset),
            TransferEnd::ClientDisconnected => on_end(Outcome::Cancelled),
        }))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/response_framing.rs"]
mod tests;
