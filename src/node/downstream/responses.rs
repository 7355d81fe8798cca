//! The responses that the node words itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;
use crate::downstream::error::RequestError;

/// A response of a status and a text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(text.into(), None));
    *response.status_mut() = status;
    response
}

/// The response to a request with an error.
pub fn client_error(error: &RequestError) -> Response<ResponseBody> {
    plain(error.status(), error.to_string())
}

/// A rejection: the request has not been executed, and the client may send it again after `retry_after`.
pub fn rejected(retry_after: Option<Duration>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Makes a response the last one on its connection.
pub fn closing(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
