//! Reception of a client's body with a deadline that every received piece extends.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::error::BodyError;
use crate::body::incoming::IncomingBody;
use crate::net::REQUIRED_CLIENT_RATE;

/// Minimum rate at which a peer may send a body. The rate that is required of clients is twice as high; the
/// difference is a tolerance for machines that run unevenly.
const MIN_BYTES_PER_SECOND: f64 = REQUIRED_CLIENT_RATE / 2.0;
/// Maximum time that a client may pause after it has sent data, however much that was. A deadline that is
/// already later stays. A client that keeps to the required rate may send the data of one second at once.
const MAX_UPLOAD_PAUSE: Duration = Duration::from_millis(1500);

/// Returns the time in which a peer that sends at the minimum rate sends this many bytes.
pub fn time_at_minimum_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND)
}

/// A client's body, with a minimum rate at which it has to be received.
pub struct PacedBody {
    body: IncomingBody,
    /// The time by which more data has to be received.
    progress_deadline: Instant,
    /// Completes at `progress_deadline`. It is adjusted only when a poll finds no data.
    timer: Pin<Box<Sleep>>,
    /// Start of the current period without polls for data, if there is one. Such periods do not count against
    /// the client.
    unpolled_since: Option<Instant>,
}

impl PacedBody {
    /// Wraps a body of which the first data has to be received by `progress_deadline`.
    pub fn new(body: IncomingBody, progress_deadline: Instant) -> PacedBody {
        PacedBody {
            body,
            progress_deadline,
            timer: Box::pin(sleep_until(progress_deadline)),
            unpolled_since: None,
        }
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.body.received()
    }

    /// Returns for how long nobody has polled for data.
    pub fn unpolled_for(&self) -> Duration {
        self.unpolled_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns whether the last poll found no data, so that whoever reads the body waits for the client.
    pub fn awaits_data(&self) -> bool {
        self.unpolled_since.is_none()
    }

    /// Suspends the deadline until the next poll.
    pub fn pause(&mut self) {
        self.unpolled_since = Some(Instant::now());
    }

    /// Polls for the next piece, `None` at the end of the body.
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

    /// Returns the next piece like [`PacedBody::poll_data`], as a future.
    pub async fn data(&mut self) -> Result<Option<Bytes>, BodyError> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Extends the deadline after `bytes` bytes were received, by the time that they take at the minimum
    /// rate:
    ///
    /// ```text
    /// new_deadline = max(deadline, min(deadline + bytes / rate, now + pause))
    /// ```
    ///
    /// `rate` is [`MIN_BYTES_PER_SECOND`], `pause` is [`MAX_UPLOAD_PAUSE`], `now` is the time of the
    /// reception, and `deadline` and `new_deadline` are `progress_deadline` before and after the extension.
    /// Times are in seconds.
    fn extend_deadline(&mut self, bytes: usize) {
        let extension = time_at_minimum_rate(bytes as u64);
        self.progress_deadline = self
            .progress_deadline
            .max((self.progress_deadline + extension).min(Instant::now() + MAX_UPLOAD_PAUSE));
    }
}
