//! Message bodies as hyper receives them, with their length counted and limited.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};

use crate::body::budget::MAX_BUFFERED_BODY_BYTES;

/// Maximum length of a request or response body, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// The reason why no more of a body can be received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// The connection failed before the end of the body, or the framing of the body is invalid.
    #[error("the body is broken")]
    Broken(#[source] hyper::Error),
}

/// A body that is being received, with a count of its bytes.
pub struct IncomingBody {
    body: Incoming,
    received: u64,
}

impl IncomingBody {
    /// Wraps a body of which nothing was read yet. Returns an error if the body states a length above
    /// [`MAX_BODY_BYTES`], without reading any of it.
    pub fn new(body: Incoming) -> Result<IncomingBody, ReceiveError> {
        match body.size_hint().lower() > MAX_BODY_BYTES {
            true => Err(ReceiveError::TooLarge),
            false => Ok(IncomingBody { body, received: 0 }),
        }
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns whether the whole body was received, as far as that is known before its end is read.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns bounds on the number of bytes that are still to be received.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Polls for the next piece, `None` at the end of the body. Trailers are skipped, because they are
    /// metadata of the message and not part of its content.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, ReceiveError>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
                return Poll::Ready(Ok(None));
            };
            let Ok(data) = frame.map_err(ReceiveError::Broken)?.into_data() else { continue };
            self.received += data.len() as u64;
            return Poll::Ready(match self.received > MAX_BODY_BYTES {
                true => Err(ReceiveError::TooLarge),
                false => Ok(Some(data)),
            });
        }
    }

    /// Reads and discards the rest of the body, until its end or until it is too long to be buffered. Returns
    /// the number of bytes received, or `None` if the body is broken.
    pub async fn read_until_long(&mut self) -> Option<u64> {
        while self.received <= MAX_BUFFERED_BODY_BYTES as u64 {
            if self.data().await.ok()?.is_none() {
                break;
            }
        }
        Some(self.received)
    }

    /// Returns the next piece like [`IncomingBody::poll_data`], as a future.
    pub async fn data(&mut self) -> Result<Option<Bytes>, ReceiveError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }
}
