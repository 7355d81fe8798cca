//! Errors of receiving a client's body.

use crate::body::incoming::{MAX_BODY_BYTES, ReceiveError};

/// The reason why a client's body could not be received. Each task that waits for the body gets a copy.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// The client sends the body more slowly than is required.
    #[error("the body was not received in time")]
    TooSlow,
    /// The client has closed its connection, so it does not receive this message.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The connection failed before the end of the body, or the framing of the body is invalid.
    #[error("the body is broken")]
    Broken,
}

impl From<ReceiveError> for BodyError {
    fn from(error: ReceiveError) -> BodyError {
        match error {
            ReceiveError::TooLarge => BodyError::TooLarge,
            ReceiveError::Broken(_) => BodyError::Broken,
        }
    }
}
