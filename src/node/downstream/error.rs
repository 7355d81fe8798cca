//! The reasons for which a request is answered with a client error, and the status of each.

use hyper::{Method, StatusCode};

use crate::body::BodyError;
use crate::config::MAX_DEADLINE;
use crate::downstream::request_ids::MAX_REQUEST_ID_BYTES;

/// Error in a request that its client has to correct.
///
/// The messages are the bodies of the responses. They name the field and what is allowed. They do not repeat
/// text that the client sent, because it is unchecked.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The request states its length in two ways. hyper follows `Transfer-Encoding` and hides
    /// `Content-Length`. To a peer that follows `Content-Length`, the body may contain another request.
    #[error("both Content-Length and Transfer-Encoding")]
    AmbiguousFraming,
    /// The first part of the path is not the name of a class in the settings.
    #[error("no such class: the first part of the path has to name one")]
    UnknownClass,
    /// `Req-Id` is not present exactly once, or is not text.
    #[error("Req-Id is missing, repeated or unreadable")]
    MissingRequestId,
    /// The length or the characters of `Req-Id` are not allowed.
    #[error(
        "Req-Id is unreadable: it has {length} bytes; 1 to {MAX_REQUEST_ID_BYTES} are allowed, \
         all of them visible ASCII characters"
    )]
    InvalidRequestId {
        /// Length of the value in bytes.
        length: usize,
    },
    /// `Req-Deadline` is not present exactly once, or its value is not an allowed time.
    #[error(
        "Req-Deadline is missing, repeated or unreadable: it has to be a time in seconds, at most {}",
        MAX_DEADLINE.as_secs()
    )]
    InvalidDeadline,
    /// The method is not the one that the class requires.
    #[error("not the method of this class, which is {expected}")]
    WrongMethod {
        /// The method that the class requires.
        expected: Method,
    },
    /// The class requires an idempotency key, and the request has none, more than one, or one that is empty
    /// or not text.
    #[error("Idempotency-Key is missing, repeated, empty or unreadable")]
    MissingIdempotencyKey,
    /// The class is non-idempotent and the request has an idempotency key.
    #[error("this class has no Idempotency-Key")]
    UnexpectedIdempotencyKey,
    /// The request has a body and must not have one.
    #[error("a GET has no body")]
    UnexpectedBody,
    /// An open request has the same `Req-Id`. Endpoints and logs distinguish requests by it.
    #[error("another open request has this Req-Id")]
    DuplicateRequestId,
    /// The client has closed its connection, so that this response is never read.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The body could not be received.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl RequestError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::DuplicateRequestId => StatusCode::CONFLICT,
            RequestError::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(BodyError::TooSlow) => StatusCode::REQUEST_TIMEOUT,
            RequestError::Body(BodyError::ClientDisconnected | BodyError::Broken)
            | RequestError::AmbiguousFraming
            | RequestError::MissingRequestId
            | RequestError::InvalidRequestId { .. }
            | RequestError::InvalidDeadline
            | RequestError::MissingIdempotencyKey
            | RequestError::UnexpectedIdempotencyKey
            | RequestError::UnexpectedBody
            | RequestError::ClientDisconnected => StatusCode::BAD_REQUEST,
        }
    }
}
