//! Why a client's body could not be received.

use crate::body::incoming::{MAX_BODY_BYTES, ReceiveError};

/// Why a client's body could not be received. It is kept for all who wait for the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than is allowed.
    #[error("the body is over {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// The client sends it more slowly than it has to.
    #[error("the body was not received in time")]
    TooSlow,
    /// The client has closed its connection: nobody reads this.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The connection broke off within the body, or the body's framing is invalid.
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
