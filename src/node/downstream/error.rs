//! Why a request is answered with a client error, and with which one.

use hyper::{Method, StatusCode};

use crate::body::BodyError;
use crate::config::MAX_DEADLINE;
use crate::downstream::request_ids::MAX_REQUEST_ID_BYTES;

/// What is wrong with a request, for its client to correct.
///
/// The messages are the bodies of the responses. They name the field and what is allowed; of what the client
/// sent they repeat no text, which is unchecked.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// hyper goes by the encoding and hides the length. For a peer that goes by the length, another request
    /// may be in the body.
    #[error("both Content-Length and Transfer-Encoding")]
    AmbiguousFraming,
    /// The first part of the path names no class of the settings.
    #[error("no such class: the first part of the path has to name one")]
    UnknownClass,
    /// `Req-Id` is not there exactly once.
    #[error("Req-Id is missing, repeated or unreadable")]
    MissingRequestId,
    /// `Req-Id` is not of the form that is allowed.
    #[error(
        "Req-Id is unreadable: it has {length} bytes; 1 to {MAX_REQUEST_ID_BYTES} are allowed, \
         all of them visible ASCII characters"
    )]
    InvalidRequestId {
        /// How many bytes it has.
        length: usize,
    },
    /// `Req-Deadline` is not there exactly once, or states no time that is allowed.
    #[error(
        "Req-Deadline is missing, repeated or unreadable: it has to be a time in seconds, at most {}",
        MAX_DEADLINE.as_secs()
    )]
    InvalidDeadline,
    /// The class decides the method.
    #[error("not the method of this class, which is {expected}")]
    WrongMethod {
        /// The class's method.
        expected: Method,
    },
    /// A request of a keyed class has no key.
    #[error("Idempotency-Key is missing, repeated, empty or unreadable")]
    MissingIdempotencyKey,
    /// A request of a class without keys has one.
    #[error("this class has no Idempotency-Key")]
    UnexpectedIdempotencyKey,
    /// A request has a body that must not have one.
    #[error("a GET has no body")]
    UnexpectedBody,
    /// Endpoints and logs tell requests apart by their ids.
    #[error("another open request has this Req-Id")]
    DuplicateRequestId,
    /// The client has closed its connection: nobody reads this.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The body could not be received.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl RequestError {
    /// The status of the response.
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
