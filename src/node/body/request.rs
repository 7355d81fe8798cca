//! Request bodies: buffered, or passing through to the one endpoint that they are forwarded to.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::body::budget::{BodyBuffer, BufferBudget, BufferReservation, BufferedPrefix};
use crate::body::error::BodyError;
use crate::body::incoming::IncomingBody;
use crate::body::pacing::PacedBody;
use crate::net::SocketObserver;

/// How far a body has got that passes through.
#[derive(Clone, Copy)]
pub enum UploadProgress {
    /// Nothing of it was forwarded.
    NotStarted,
    /// Some of it was forwarded, and is not kept any longer.
    Forwarding,
    /// Its last byte was received at this time.
    Complete(Instant),
    /// The client failed to send it.
    Failed(BodyError),
}

type ProgressListener = Box<dyn Fn(UploadProgress)>;

/// A request body that passes through.
pub struct StreamingRequestBody {
    /// What was read of it before it was known to pass through.
    prefix: RefCell<BufferedPrefix>,
    rest: RefCell<PacedBody>,
    /// How many bytes it has, if the client has stated that.
    length: Option<u64>,
    progress: watch::Sender<UploadProgress>,
    listener: RefCell<Option<ProgressListener>>,
    observer: Rc<SocketObserver>,
}

impl StreamingRequestBody {
    /// How far it has got.
    pub fn progress(&self) -> UploadProgress {
        *self.progress.borrow()
    }

    /// How many bytes it has, if the client has stated that.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Waits until the client has failed to send it, for ever if it does not.
    pub async fn failed(&self) -> BodyError {
        let mut progress = self.progress.subscribe();
        loop {
            if let UploadProgress::Failed(error) = *progress.borrow_and_update() {
                return error;
            }
            // An error would say that the sender is gone, which `self` owns.
            let _ = progress.changed().await;
        }
    }

    /// For how long no endpoint has taken any more of it.
    pub fn unpolled_for(&self) -> Duration {
        self.rest.borrow().unpolled_for()
    }

    /// Has `listener` called whenever the progress changes.
    pub fn on_progress(&self, listener: impl Fn(UploadProgress) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    fn advance(&self, progress: UploadProgress) {
        self.progress.send_replace(progress);
        if let Some(listener) = &*self.listener.borrow() {
            listener(progress);
        }
    }

    /// The next piece for the endpoint.
    pub fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self.progress() {
            UploadProgress::NotStarted => self.advance(UploadProgress::Forwarding),
            UploadProgress::Forwarding => {}
            UploadProgress::Complete(_) => return Poll::Ready(None),
            UploadProgress::Failed(error) => return Poll::Ready(Some(Err(error))),
        }
        if let Some(piece) = self.prefix.borrow_mut().next_piece() {
            return Poll::Ready(Some(Ok(piece)));
        }
        let received = ready!(self.poll_rest(cx));
        if let Err(error) = received {
            self.advance(UploadProgress::Failed(error));
        }
        Poll::Ready(received.transpose())
    }

    /// The next piece behind the prefix.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        let mut rest = self.rest.borrow_mut();
        let data = ready!(rest.poll_data(cx))?;
        if data.is_none() || self.length == Some(rest.received()) {
            // A client's disconnect is behind what it has sent, and may show only now. No endpoint executes
            // the request without its last byte.
            if self.observer.is_peer_closed() {
                return Poll::Ready(Err(BodyError::ClientDisconnected));
            }
            self.observer.request_completed(self.length.map(|_| rest.received()));
            self.advance(UploadProgress::Complete(Instant::now()));
        }
        Poll::Ready(Ok(data))
    }
}

/// A client's body as it is sent to endpoints.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it, to be sent as often as necessary.
    Buffered {
        /// The body.
        bytes: Bytes,
        /// What its clones take of the budget together.
        _reservation: Rc<Option<BufferReservation>>,
    },
    /// It passes through.
    Streamed(Rc<StreamingRequestBody>),
}

impl RequestBody {
    /// Receives a body that has to make progress by `due`: all of it if it is small and `budget` has
    /// capacity.
    pub async fn read(
        body: Incoming,
        progress_deadline: Instant,
        budget: &Rc<BufferBudget>,
        observer: &Rc<SocketObserver>,
    ) -> Result<RequestBody, BodyError> {
        let size = body.size_hint();
        let body = IncomingBody::new(body)?;
        if size.exact() == Some(0) {
            observer.request_completed(size.exact());
            return Ok(RequestBody::buffered(Bytes::new(), None));
        }
        let mut body = PacedBody::new(body, progress_deadline);
        let prefix = match budget.reserve(&size).map(BodyBuffer::new) {
            Some(buffer) => match buffer_body(&mut body, buffer).await? {
                Buffering::Complete(bytes, reservation) => {
                    observer.request_completed(size.exact());
                    return Ok(RequestBody::buffered(bytes, Some(reservation)));
                }
                Buffering::Exceeded(prefix) => prefix,
            },
            None => BufferedPrefix::default(),
        };
        // Until an endpoint takes it, nobody polls for more.
        body.pause();
        Ok(RequestBody::Streamed(Rc::new(StreamingRequestBody {
            prefix: RefCell::new(prefix),
            rest: RefCell::new(body),
            length: size.exact(),
            progress: watch::Sender::new(UploadProgress::NotStarted),
            listener: RefCell::new(None),
            observer: observer.clone(),
        })))
    }

    fn buffered(bytes: Bytes, reservation: Option<BufferReservation>) -> RequestBody {
        RequestBody::Buffered { bytes, _reservation: Rc::new(reservation) }
    }

    /// How many bytes it has, if that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered { bytes, .. } => Some(bytes.len() as u64),
            RequestBody::Streamed(stream) => stream.length(),
        }
    }

    /// Whether the client failed to send it.
    pub fn has_failed(&self) -> bool {
        match self {
            RequestBody::Buffered { .. } => false,
            RequestBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::Failed(_)),
        }
    }

    /// Whether it can be sent, or sent again.
    pub fn is_replayable(&self) -> bool {
        match self {
            RequestBody::Buffered { .. } => true,
            RequestBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::NotStarted),
        }
    }
}

/// How the attempt to buffer a body has ended.
enum Buffering {
    /// This is all of it.
    Complete(Bytes, BufferReservation),
    /// It is larger than the reservation.
    Exceeded(BufferedPrefix),
}

async fn buffer_body(body: &mut PacedBody, mut buffer: BodyBuffer) -> Result<Buffering, BodyError> {
    while let Some(piece) = body.data().await? {
        if let Err(overflow) = buffer.push(piece) {
            return Ok(Buffering::Exceeded(BufferedPrefix::new(Some(buffer), overflow)));
        }
    }
    let (bytes, reservation) = buffer.freeze();
    Ok(Buffering::Complete(bytes, reservation))
}
