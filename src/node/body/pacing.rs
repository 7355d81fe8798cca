//! A client's body on its way in, with a deadline that moves on as the body does.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::error::BodyError;
use crate::body::incoming::IncomingBody;

/// The lowest rate at which a client may send, in bytes a second. Clients have to send at twice this rate;
/// the rest allows for machines that run unevenly.
const MIN_UPLOAD_BYTES_PER_SECOND: f64 = 32_000.0;
/// How long a client that is fast enough may pause: it may send what is due for a second at once.
const MAX_UPLOAD_PAUSE: Duration = Duration::from_millis(1500);

/// A client's body, received no more slowly than is allowed.
pub struct PacedBody {
    body: IncomingBody,
    /// By when more has to be received.
    progress_deadline: Instant,
    timer: Pin<Box<Sleep>>,
    /// Since when nobody has polled for more: that time does not count against the client.
    unpolled_since: Option<Instant>,
}

impl PacedBody {
    /// A body of which something has to be received by `due`.
    pub fn new(body: IncomingBody, progress_deadline: Instant) -> PacedBody {
        PacedBody {
            body,
            progress_deadline,
            timer: Box::pin(sleep_until(progress_deadline)),
            unpolled_since: None,
        }
    }

    /// How many bytes were received.
    pub fn received(&self) -> u64 {
        self.body.received()
    }

    /// For how long nobody has polled for more.
    pub fn unpolled_for(&self) -> Duration {
        self.unpolled_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Stops the client's time until the next poll.
    pub fn pause(&mut self) {
        self.unpolled_since = Some(Instant::now());
    }

    /// The next piece, or `None` at the end.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        self.progress_deadline += self.unpolled_for();
        self.unpolled_since = None;
        match self.body.poll_data(cx) {
            Poll::Ready(Ok(Some(data))) => {
                self.extend_deadline(data.len());
                self.pause();
                Poll::Ready(Ok(Some(data)))
            }
            Poll::Ready(Ok(None)) => Poll::Ready(Ok(None)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error.into())),
            Poll::Pending => {
                if self.timer.deadline() != self.progress_deadline {
                    self.timer.as_mut().reset(self.progress_deadline);
                }
                ready!(self.timer.as_mut().poll(cx));
                Poll::Ready(Err(BodyError::TooSlow))
            }
        }
    }

    /// As [`PacedBody::poll_data`].
    pub async fn data(&mut self) -> Result<Option<Bytes>, BodyError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Moves the deadline on for so many bytes received.
    fn extend_deadline(&mut self, bytes: usize) {
        let extension = Duration::from_secs_f64(bytes as f64 / MIN_UPLOAD_BYTES_PER_SECOND);
        self.progress_deadline = self
            .progress_deadline
            .max((self.progress_deadline + extension).min(Instant::now() + MAX_UPLOAD_PAUSE));
    }
}
