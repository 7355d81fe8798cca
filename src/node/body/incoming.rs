//! What hyper receives of a body, counted and bounded.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};

/// The most bytes that a body may have, in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Why no more of a body can be received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// The connection broke off within the body, or the body's framing is invalid.
    #[error("the body is broken")]
    Broken(#[source] hyper::Error),
}

/// The data of a body as it is received.
pub struct IncomingBody {
    body: Incoming,
    received: u64,
}

impl IncomingBody {
    /// A body of which nothing was read yet. One that states too great a length is not read at all.
    pub fn new(body: Incoming) -> Result<IncomingBody, ReceiveError> {
        match body.size_hint().lower() > MAX_BODY_BYTES {
            true => Err(ReceiveError::TooLarge),
            false => Ok(IncomingBody { body, received: 0 }),
        }
    }

    /// How many bytes were received.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Whether all of it was received, as far as that shows before its end is read.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// How many bytes are still to be received.
    pub fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// The next piece, or `None` at the end. Trailers are skipped: they are about the message and not its
    /// content.
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

    /// As [`IncomingBody::poll_data`].
    pub async fn data(&mut self) -> Result<Option<Bytes>, ReceiveError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }
}
