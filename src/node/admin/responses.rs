//! The responses of the admin API.

use std::collections::BTreeSet;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::commands::CommandError;

/// A complete response.
pub type AdminResponse = Response<Full<Bytes>>;

/// The status of the node.
pub struct NodeStatus {
    /// Name of the phase.
    pub phase: &'static str,
    /// Whether the node can serve requests, or could at an earlier time.
    pub ready: bool,
    /// The uids of the endpoints in maintenance.
    pub maintenance: BTreeSet<String>,
}

/// Builds a response with the status of the node.
pub fn status_response(status: StatusCode, node: &NodeStatus) -> AdminResponse {
    let body = json!({"phase": node.phase, "able": node.ready, "maintenance": node.maintenance});
    let mut response = build_response(status, format!("{body}\n"));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds the response to a request that was not executed.
pub fn error_response(error: &CommandError) -> AdminResponse {
    let mut response = build_response(status_code(error), format!("{error}\n"));
    if let CommandError::WrongMethod { allowed } = error
        && let Ok(allowed) = HeaderValue::from_str(allowed.as_str())
    {
        response.headers_mut().insert(header::ALLOW, allowed);
    }
    response
}

fn build_response(status: StatusCode, body: String) -> AdminResponse {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}

fn status_code(error: &CommandError) -> StatusCode {
    match error {
        CommandError::UnknownPath | CommandError::UnknownEndpoint => StatusCode::NOT_FOUND,
        CommandError::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
        CommandError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        CommandError::BodyBroken | CommandError::MalformedBody => StatusCode::BAD_REQUEST,
        CommandError::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
        CommandError::StateNotWritten(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
