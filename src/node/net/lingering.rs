//! Discarding of what a client sends although nobody reads it, so that a close does not reset its connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Sleep, sleep};

/// Maximum time that a client that is still sending, or has sent what nobody reads, has to read the last
/// response, before the connection is closed, in addition to the time that it takes for what the kernel may
/// not have sent. Closing a socket with unread bytes resets the connection, and the reset may discard the
/// response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Rate that the protocol requires of clients at least, in bytes a second.
pub const REQUIRED_CLIENT_RATE: f64 = 64_000.0;
/// Maximum number of bytes that are read from a client and discarded, behind a request or after the last
/// response.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Reads and discards what a client sends.
pub(super) struct InputDiscard {
    remaining_bytes: usize,
}

impl InputDiscard {
    /// Creates the state of a client of which nothing was discarded.
    pub(super) fn new() -> InputDiscard {
        InputDiscard { remaining_bytes: MAX_DISCARDED_BYTES }
    }

    /// Reads and discards data until the client has closed its side. After [`MAX_DISCARDED_BYTES`] it reads
    /// nothing more and never completes.
    ///
    /// `poll_discard` reads and discards some data, and returns the number of bytes.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        poll_discard: impl Fn(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<()> {
        while self.remaining_bytes > 0 {
            match ready!(poll_discard(cx)) {
                Ok(bytes) if bytes > 0 => self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes),
                _ => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }
}

/// Discards what a client still sends after the last response to it.
pub(super) struct Lingering {
    timer: Pin<Box<Sleep>>,
    discard: InputDiscard,
}

impl Lingering {
    /// Begins to linger on a socket of whose last response at most `unsent_bytes` bytes are still to be read.
    pub(super) fn new(unsent_bytes: usize) -> Lingering {
        let reading_time = Duration::from_secs_f64(unsent_bytes as f64 / REQUIRED_CLIENT_RATE);
        Lingering { timer: Box::pin(sleep(LINGER_TIMEOUT + reading_time)), discard: InputDiscard::new() }
    }

    /// Discards data until the client has closed its side or has had the time to read the response.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        poll_discard: impl Fn(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<()> {
        if self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        self.discard.poll(cx, poll_discard)
    }
}
