//! The responses that the node generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;
use crate::downstream::error::RequestError;

/// Returns a response with this status and this text as its body.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(text.into(), None));
    *response.status_mut() = status;
    response
}

/// Returns the response to an invalid request.
pub fn client_error(error: &RequestError) -> Response<ResponseBody> {
    plain(error.status(), error.to_string())
}

/// Returns a rejection: the request was not executed, and the client may retry it after `retry_after`.
pub fn rejected(retry_after: Option<Duration>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Marks a response as the last one on its connection.
pub fn closing(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
