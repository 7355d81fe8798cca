//! Response bodies: buffered, or streamed to the client.

use std::any::Any;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Sleep, sleep};

use crate::body::budget::{BodyBuffer, BufferBudget, BufferReservation, BufferedPrefix};
use crate::body::incoming::{IncomingBody, ReceiveError};
use crate::body::outbound::take_frame;

/// Maximum time that an endpoint may pause within a response that is already being streamed to its client. It
/// is long because aborting such a response benefits only the next request in the queue.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The part of an endpoint's response body that is read before the response is passed on.
pub enum ResponsePrefix {
    /// The whole body, and the reservation for its memory, if any.
    Complete(Bytes, Option<BufferReservation>),
    /// The beginning of a body that was not buffered completely, and its unread rest.
    Partial(BufferedPrefix, IncomingBody),
}

impl ResponsePrefix {
    /// Reads the whole body if it is small and `budget` has capacity, otherwise only its first pieces.
    pub async fn read(body: Incoming, budget: &Rc<BufferBudget>) -> Result<ResponsePrefix, ReceiveError> {
        let mut body = IncomingBody::new(body)?;
        let mut buffer = budget.reserve(&body.size_hint()).map(BodyBuffer::new);
        while let Some(data) = body.data().await? {
            let pushed = match &mut buffer {
                Some(buffer) => buffer.push(data),
                None => Err(data),
            };
            if let Err(overflow) = pushed {
                return Ok(ResponsePrefix::Partial(BufferedPrefix::new(buffer, overflow), body));
            }
        }
        let (bytes, reservation) = buffer.map(BodyBuffer::freeze).unzip();
        Ok(ResponsePrefix::Complete(bytes.unwrap_or_default(), reservation))
    }
}

/// The way in which the transfer of a streamed response ended.
#[derive(Clone, Copy)]
pub enum TransferEnd {
    /// The whole response was received.
    Complete,
    /// The response was aborted before its end, and the client can tell.
    Broken,
    /// The client has disconnected.
    ClientDisconnected,
}

/// The reason why a streamed response was aborted.
#[derive(Debug, thiserror::Error)]
enum TransferError {
    #[error("no response data was received from the endpoint for {} s", STALL_TIMEOUT.as_secs())]
    Stalled,
    #[error("the response body could not be received")]
    Receive(#[from] ReceiveError),
}

/// An endpoint's response body that is streamed.
pub struct StreamingResponseBody {
    prefix: BufferedPrefix,
    rest: IncomingBody,
    /// Set while more of the body is awaited; completes when the endpoint has sent nothing for
    /// [`STALL_TIMEOUT`].
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Called once, when the transfer ends.
    on_end: Option<Box<dyn FnOnce(TransferEnd)>>,
}

impl StreamingResponseBody {
    /// Creates a body from the contents of [`ResponsePrefix::Partial`]. `on_end` is called once, with the way
    /// in which the transfer ended.
    pub fn new(
        prefix: BufferedPrefix,
        rest: IncomingBody,
        on_end: impl FnOnce(TransferEnd) + 'static,
    ) -> StreamingResponseBody {
        StreamingResponseBody { prefix, rest, stall_timer: None, on_end: Some(Box::new(on_end)) }
    }

    fn end(&mut self, end: TransferEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    /// Polls for the next piece to send to the client, `None` at the end of the body.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TransferError>>> {
        let received = match self.prefix.next_piece() {
            Some(piece) => Ok(Some(piece)),
            None => ready!(self.poll_rest(cx)),
        };
        match &received {
            // hyper does not poll for the end of a body whose length is known.
            Ok(Some(_)) if self.is_end_stream() => self.end(TransferEnd::Complete),
            Ok(Some(_)) => {}
            Ok(None) => self.end(TransferEnd::Complete),
            Err(_) => self.end(TransferEnd::Broken),
        }
        Poll::Ready(received.transpose())
    }

    /// Polls for the next piece after the prefix, `None` at the end of the body.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, TransferError>> {
        match self.rest.poll_data(cx) {
            Poll::Ready(received) => {
                self.stall_timer = None;
                Poll::Ready(received.map_err(TransferError::Receive))
            }
            Poll::Pending => {
                let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
                ready!(timer.as_mut().poll(cx));
                Poll::Ready(Err(TransferError::Stalled))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.len() as u64;
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(prefix + rest))
    }
}

impl Drop for StreamingResponseBody {
    fn drop(&mut self) {
        self.end(TransferEnd::ClientDisconnected);
    }
}

/// The body of a response to a client.
pub struct ResponseBody {
    content: Content,
    /// Dropped with this body, which hyper keeps until it has taken the last of the content.
    _guard: Option<Box<dyn Any>>,
}

enum Content {
    Buffered { bytes: Bytes, _reservation: Option<BufferReservation> },
    Streaming(Box<StreamingResponseBody>),
}

impl ResponseBody {
    /// Creates a body from `bytes`, with the memory reserved for them.
    pub fn buffered(bytes: Bytes, reservation: Option<BufferReservation>) -> ResponseBody {
        let content = Content::Buffered { bytes, _reservation: reservation };
        ResponseBody { content, _guard: None }
    }

    /// Creates a body that is streamed.
    pub fn streaming(body: StreamingResponseBody) -> ResponseBody {
        ResponseBody { content: Content::Streaming(Box::new(body)), _guard: None }
    }

    /// Keeps `guard` until hyper has taken the last of the body.
    pub fn with_guard(self, guard: impl Any) -> ResponseBody {
        ResponseBody { content: self.content, _guard: Some(Box::new(guard)) }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().content {
            Content::Buffered { bytes, .. } => Poll::Ready(take_frame(bytes).map(Ok)),
            Content::Streaming(body) => {
                let piece = ready!(body.poll_data(cx));
                Poll::Ready(piece.map(|data| data.map(Frame::data).map_err(io::Error::other)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Buffered { bytes, .. } => bytes.is_empty(),
            Content::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Content::Streaming(body) => body.size_hint(),
        }
    }
}
