//! Response bodies: buffered, or passing through to the client.

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

/// How long an endpoint may pause in a response that has begun to pass through to its client. It is long
/// because to fail such a response helps nobody but the next request in the queue.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What was read of an endpoint's response before it is passed on.
pub enum ResponsePrefix {
    /// All of it.
    Complete(Bytes, Option<BufferReservation>),
    /// The first pieces of a larger one, and the rest.
    Partial(BufferedPrefix, IncomingBody),
}

impl ResponsePrefix {
    /// Reads all of a response that is small, and the first pieces of a larger one.
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

/// How a response that passes through has ended.
#[derive(Clone, Copy)]
pub enum TransferEnd {
    /// All of it was received.
    Complete,
    /// It broke off, and the client can tell.
    Broken,
    /// The client has disconnected.
    ClientDisconnected,
}

/// Why a response that passes through has broken off.
#[derive(Debug, thiserror::Error)]
enum TransferError {
    #[error("the endpoint has sent nothing more of the response for {} s", STALL_TIMEOUT.as_secs())]
    Stalled,
    #[error("the response cannot be received")]
    Receive(#[from] ReceiveError),
}

/// An endpoint's response that passes through.
pub struct StreamingResponseBody {
    prefix: BufferedPrefix,
    rest: IncomingBody,
    /// While the endpoint is waited for: ends when it has been silent for too long.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Called once, at the end.
    on_end: Option<Box<dyn FnOnce(TransferEnd)>>,
}

impl StreamingResponseBody {
    /// What [`ResponsePrefix::Partial`] holds. `on_end` is called once with how the transfer has ended.
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

    /// The next piece for the client.
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

    /// The next piece behind the prefix.
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
    /// Dropped once hyper has taken the last of the content.
    _guard: Option<Box<dyn Any>>,
}

enum Content {
    Buffered { bytes: Bytes, _reservation: Option<BufferReservation> },
    Streaming(Box<StreamingResponseBody>),
}

impl ResponseBody {
    /// A body that is there, and what it takes of the budget.
    pub fn buffered(bytes: Bytes, reservation: Option<BufferReservation>) -> ResponseBody {
        let content = Content::Buffered { bytes, _reservation: reservation };
        ResponseBody { content, _guard: None }
    }

    /// A body that passes through.
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
