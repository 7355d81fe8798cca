//! Response bodies that are streamed to the client.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::SizeHint;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::body::budget::{BufferedPrefix, MAX_BUFFERED_BODY_BYTES};
use crate::body::early_streaming::StreamingCause;
use crate::body::incoming::{IncomingBody, ReceiveError};
use crate::body::pacing::time_at_minimum_rate;
use crate::body::response_lengths::ResponseLengths;
use crate::net::SocketObserver;

/// Maximum time that an endpoint may pause within a response that is being streamed to its client. It is long
/// because aborting such a response benefits only the next request in the queue.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of the checks whether something of a broken response was written.
const OUTPUT_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The way in which the transfer of a streamed response ended.
pub enum TransferEnd {
    /// The whole response was received.
    Complete,
    /// The response was aborted before its end, and the client can tell.
    Broken {
        /// Number of bytes of the body that were received.
        received: u64,
        /// Why it was aborted.
        error: Rc<TransferError>,
    },
    /// The client has disconnected.
    ClientDisconnected,
}

/// The reason why a streamed response was aborted.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The endpoint paused for too long.
    #[error("no response data was received from the endpoint for {STREAM_STALL_TIMEOUT:?}")]
    Stalled,
    /// A response that may be small did not keep to the minimum rate.
    #[error("the response was received too slowly")]
    TooSlow,
    /// The rest could not be received.
    #[error("the response body could not be received")]
    Receive(#[from] ReceiveError),
}

/// An endpoint's response body that is streamed.
pub struct StreamingResponseBody {
    prefix: BufferedPrefix,
    rest: IncomingBody,
    /// Why the body is streamed.
    cause: StreamingCause,
    /// Where the length of the body is recorded at its end.
    lengths: Option<Rc<ResponseLengths>>,
    /// When the streaming began.
    started_at: Instant,
    /// Set while more of the body is awaited; completes when the endpoint has paused for too long.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Called once, when the transfer ends.
    on_end: Option<Box<dyn FnOnce(TransferEnd)>>,
    /// The client's connection, once it is known.
    output: Option<Output>,
    /// Set once the body is broken, until that is reported.
    failure: Option<Failure>,
}

/// The connection that a response is written to.
struct Output {
    observer: Rc<SocketObserver>,
    /// Number of bytes that the connection had written before the response.
    written_before: usize,
}

impl Output {
    /// Returns whether something of the response was written.
    fn has_begun(&self) -> bool {
        self.observer.bytes_written() != self.written_before
    }
}

/// A failure that is not reported yet, because nothing of the response was written.
struct Failure {
    error: Rc<TransferError>,
    /// Completes when it is checked again whether something was written.
    check_timer: Pin<Box<Sleep>>,
}

impl Failure {
    fn new(error: Rc<TransferError>) -> Failure {
        Failure { error, check_timer: Box::pin(sleep(OUTPUT_CHECK_INTERVAL)) }
    }
}

impl StreamingResponseBody {
    /// Creates a body of what was read of it, and the rest.
    /// Its length is recorded in `lengths`.
    pub fn new(
        prefix: BufferedPrefix,
        rest: IncomingBody,
        cause: StreamingCause,
        lengths: Option<Rc<ResponseLengths>>,
    ) -> StreamingResponseBody {
        // A body that is known to be long is recorded now, since its transfer may take long.
        let known_length = rest.received() + rest.size_hint().lower();
        let is_long = known_length > MAX_BUFFERED_BODY_BYTES as u64;
        if let Some(lengths) = lengths.as_ref().filter(|_| is_long) {
            lengths.record(known_length);
        }
        let started_at = Instant::now();
        StreamingResponseBody {
            prefix,
            rest,
            cause,
            lengths: lengths.filter(|_| !is_long),
            started_at,
            stall_timer: None,
            on_end: None,
            output: None,
            failure: None,
        }
    }

    /// Sets the connection that the response is written to. Nothing of the response was written before.
    pub fn set_output(&mut self, observer: &Rc<SocketObserver>) {
        let written_before = observer.bytes_written();
        self.output = Some(Output { observer: observer.clone(), written_before });
    }

    /// Returns why the body is streamed.
    pub fn cause(&self) -> StreamingCause {
        self.cause
    }

    /// Returns the number of bytes that were received so far.
    pub fn received(&self) -> u64 {
        self.rest.received()
    }

    /// Sets the function that is called once, with the way in which the transfer ended.
    pub fn on_end(&mut self, on_end: impl FnOnce(TransferEnd) + 'static) {
        self.on_end = Some(Box::new(on_end));
    }

    fn end(&mut self, end: TransferEnd) {
        if let (TransferEnd::Complete, Some(lengths)) = (&end, self.lengths.take()) {
            lengths.record(self.received());
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    /// Polls for the next piece to send to the client, `None` at the end of the body.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Rc<TransferError>>>> {
        if self.failure.is_some() {
            return self.poll_failure(cx).map(|error| Some(Err(error)));
        }
        let received = match self.prefix.next_piece() {
            Some(piece) => Ok(Some(piece)),
            None => ready!(self.poll_rest(cx)),
        };
        match received {
            // hyper does not poll for the end of a body whose length is known.
            Ok(Some(piece)) => {
                if self.is_end_stream() {
                    self.end(TransferEnd::Complete);
                }
                Poll::Ready(Some(Ok(piece)))
            }
            Ok(None) => {
                self.end(TransferEnd::Complete);
                Poll::Ready(None)
            }
            Err(error) => {
                let error = Rc::new(error);
                self.end(TransferEnd::Broken { received: self.received(), error: error.clone() });
                self.failure = Some(Failure::new(error));
                self.poll_failure(cx).map(|error| Some(Err(error)))
            }
        }
    }

    /// Polls for the error of a broken body, which is pending until something of the response was written.
    fn poll_failure(&mut self, cx: &mut Context<'_>) -> Poll<Rc<TransferError>> {
        let Some(failure) = &mut self.failure else { return Poll::Pending };
        while !self.output.as_ref().is_none_or(Output::has_begun) {
            ready!(failure.check_timer.as_mut().poll(cx));
            failure.check_timer.set(sleep(OUTPUT_CHECK_INTERVAL));
        }
        Poll::Ready(failure.error.clone())
    }

    /// Polls for the next piece after the prefix, `None` at the end of the body.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, TransferError>> {
        match self.rest.poll_data(cx) {
            Poll::Ready(received) => {
                self.stall_timer = None;
                Poll::Ready(received.map_err(TransferError::Receive))
            }
            Poll::Pending => {
                let trickle_deadline = self.trickle_deadline();
                let stalls_at = Instant::now() + STREAM_STALL_TIMEOUT;
                let wait_until = trickle_deadline.map_or(stalls_at, |deadline| deadline.min(stalls_at));
                let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep_until(wait_until)));
                ready!(timer.as_mut().poll(cx));
                let is_too_slow = trickle_deadline.is_some_and(|deadline| deadline <= Instant::now());
                let error = if is_too_slow { TransferError::TooSlow } else { TransferError::Stalled };
                Poll::Ready(Err(error))
            }
        }
    }

    /// Returns the time by which more of the body has to be received while it is not known to be large.
    /// Without this, a small response that trickles without an end would last forever.
    ///
    /// ```text
    /// deadline = started + stall timeout + received / minimum rate
    /// ```
    fn trickle_deadline(&self) -> Option<Instant> {
        let received = self.rest.received();
        let may_be_small =
            self.rest.size_hint().exact().is_none() && received <= MAX_BUFFERED_BODY_BYTES as u64;
        may_be_small.then(|| self.started_at + STREAM_STALL_TIMEOUT + time_at_minimum_rate(received))
    }

    /// Returns whether all of the body was passed on, as far as that is known.
    pub fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    /// Returns the number of bytes that are still to be passed on, if it is known.
    pub fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.len() as u64;
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(prefix + rest))
    }
}

impl Drop for StreamingResponseBody {
    fn drop(&mut self) {
        self.end(TransferEnd::ClientDisconnected);
    }
}
