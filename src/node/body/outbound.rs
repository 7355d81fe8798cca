//! Request bodies as hyper sends them to endpoints.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body::request::{RequestBody, StreamingRequestBody, UploadProgress};

/// Takes the rest of a buffered body as one frame, `None` if nothing is left.
pub fn take_frame(bytes: &mut Bytes) -> Option<Frame<Bytes>> {
    (!bytes.is_empty()).then(|| Frame::data(std::mem::take(bytes)))
}

/// A [`RequestBody`] in the form in which hyper sends it in one attempt.
pub enum OutboundBody {
    /// The bytes of a buffered body that are still to be sent.
    Buffered(Bytes),
    /// A body that is streamed.
    Streamed(Rc<StreamingRequestBody>),
}

impl From<&RequestBody> for OutboundBody {
    fn from(body: &RequestBody) -> OutboundBody {
        match body {
            RequestBody::Buffered { bytes, .. } => OutboundBody::Buffered(bytes.clone()),
            RequestBody::Streamed(stream) => OutboundBody::Streamed(stream.clone()),
        }
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            OutboundBody::Buffered(bytes) => Poll::Ready(take_frame(bytes).map(Ok)),
            OutboundBody::Streamed(stream) => {
                let piece = ready!(stream.poll_data(cx));
                Poll::Ready(piece.map(|data| data.map(Frame::data).map_err(io::Error::other)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutboundBody::Buffered(bytes) => bytes.is_empty(),
            OutboundBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::Complete(_)),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutboundBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            OutboundBody::Streamed(stream) => {
                stream.length().map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}
