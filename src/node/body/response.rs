//! Response bodies: the part that is read before a response is passed on, and the bodies that clients get.

use std::any::Any;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Instant;

use crate::body::budget::{
    BodyBuffer, BufferBudget, BufferReservation, BufferedPrefix, is_too_large_to_buffer, may_be_large,
};
use crate::body::early_streaming::{EarlyDecision, EarlyStreaming, StreamingCause};
use crate::body::incoming::{IncomingBody, ReceiveError};
use crate::body::outbound::take_frame;
use crate::body::streaming::StreamingResponseBody;
use crate::net::SocketObserver;

/// The part of an endpoint's response body that is read before the response is passed on.
pub enum ResponsePrefix {
    /// The whole body, and the reservation for its memory, if any.
    Complete(Bytes, Option<BufferReservation>),
    /// A body that was not buffered completely.
    Partial(Box<StreamingResponseBody>),
}

/// The reason why a response is not passed on.
pub enum PrefixError {
    /// Its body could not be received.
    Receive(ReceiveError),
    /// It was given up, since it was not complete in time and is not expected to be long. Contains its rest.
    GivenUp(IncomingBody),
}

impl From<ReceiveError> for PrefixError {
    fn from(error: ReceiveError) -> PrefixError {
        PrefixError::Receive(error)
    }
}

impl ResponsePrefix {
    /// Reads the whole body if it is small and `budget` has capacity, otherwise only its first pieces. A body
    /// that is or may be large is read at most until `early_streaming`, if there is any, decides on it, which
    /// may be before its first piece.
    pub async fn read(
        body: Incoming,
        budget: &Rc<BufferBudget>,
        early_streaming: Option<EarlyStreaming>,
    ) -> Result<ResponsePrefix, PrefixError> {
        let mut body = IncomingBody::new(body)?;
        let size = body.size_hint();
        let lengths = early_streaming.as_ref().map(|early_streaming| early_streaming.lengths().clone());
        let mut early_streaming = early_streaming.filter(|_| may_be_large(&size));
        if is_too_large_to_buffer(&size) {
            early_streaming.iter_mut().for_each(EarlyStreaming::set_known_long);
        }
        let mut buffer = budget.reserve(&size).map(BodyBuffer::new);
        let (overflow, cause) = loop {
            let data = tokio::select! {
                biased;
                data = body.data() => data?,
                decision = decided(early_streaming.as_ref()) => match decision {
                    EarlyDecision::Stream(cause) => break (None, cause),
                    EarlyDecision::GiveUp => return Err(PrefixError::GivenUp(body)),
                },
            };
            let Some(data) = data else {
                lengths.inspect(|lengths| lengths.record(body.received()));
                let (bytes, reservation) = buffer.map(BodyBuffer::freeze).unzip();
                return Ok(ResponsePrefix::Complete(bytes.unwrap_or_default(), reservation));
            };
            let overflow = match &mut buffer {
                Some(buffer) => buffer.push(data).err(),
                None => Some(data),
            };
            if overflow.is_some() {
                break (overflow, StreamingCause::Large);
            }
            if let Some(early_streaming) = &mut early_streaming {
                early_streaming.on_piece(body.received(), Instant::now());
            }
        };
        let prefix = BufferedPrefix::new(buffer, overflow);
        Ok(ResponsePrefix::Partial(Box::new(StreamingResponseBody::new(prefix, body, cause, lengths))))
    }
}

/// Waits until it is decided what is done with a response that is not complete. Never returns if it is to be
/// read to its end.
async fn decided(early_streaming: Option<&EarlyStreaming>) -> EarlyDecision {
    match early_streaming {
        Some(early_streaming) => early_streaming.decided().await,
        None => std::future::pending().await,
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
    pub fn streaming(body: Box<StreamingResponseBody>) -> ResponseBody {
        ResponseBody { content: Content::Streaming(body), _guard: None }
    }

    /// Reports no failure of a streamed body before the client's connection, which `observer` observes, has
    /// written something of the response. hyper would close the connection without writing what it has
    /// buffered.
    pub fn written_to(mut self, observer: &Rc<SocketObserver>) -> ResponseBody {
        if let Content::Streaming(body) = &mut self.content {
            body.set_output(observer);
        }
        self
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
                Poll::Ready(
                    piece.map(|data| {
                        data.map(Frame::data).map_err(|error| io::Error::other(error.to_string()))
                    }),
                )
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
