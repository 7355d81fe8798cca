//! Request bodies: buffered, or streamed to the one endpoint that they are forwarded to.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::body::budget::{BodyBuffer, BufferBudget, BufferReservation, BufferedPrefix};
use crate::body::error::BodyError;
use crate::body::incoming::IncomingBody;
use crate::body::pacing::PacedBody;
use crate::body::reception::{MAX_IN_FLIGHT_BYTES, ReceptionClock};
use crate::net::SocketObserver;

/// Interval of the checks whether a client owes some of its body. It is longer than the time that data takes
/// from one data center to the other and back.
const RECEPTION_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Progress of a streamed request body.
#[derive(Clone, Copy)]
pub enum UploadProgress {
    /// No attempt has polled for the body.
    NotStarted,
    /// An attempt is forwarding the body. What it has forwarded is no longer in memory.
    Forwarding,
    /// The whole body was received and passed on.
    Complete(CompleteUpload),
    /// The body could not be received from the client.
    Failed(BodyError),
}

/// The times at which a streamed request body became complete.
#[derive(Clone, Copy)]
pub struct CompleteUpload {
    /// The latest time at which the node's machine can have received the last byte, or an earlier time if
    /// that byte was not read at once.
    pub received_at: Instant,
    /// When the last byte was passed on to the endpoint.
    pub forwarded_at: Instant,
}

type ProgressListener = Box<dyn Fn(UploadProgress)>;

/// A request body that is streamed.
pub struct StreamingRequestBody {
    /// The part that was read before the body was known to be streamed.
    prefix: RefCell<BufferedPrefix>,
    rest: RefCell<PacedBody>,
    /// The length of the body in bytes, if the client has stated it.
    length: Option<u64>,
    progress: watch::Sender<UploadProgress>,
    listener: RefCell<Option<ProgressListener>>,
    observer: Rc<SocketObserver>,
    reception: ReceptionClock,
}

impl StreamingRequestBody {
    /// Returns the progress of the body.
    pub fn progress(&self) -> UploadProgress {
        *self.progress.borrow()
    }

    /// Returns the length of the body in bytes, if the client has stated it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Waits until receiving the body from the client fails, and returns the error. Never returns if it does
    /// not fail.
    pub async fn failed(&self) -> BodyError {
        let mut progress = self.progress.subscribe();
        loop {
            if let UploadProgress::Failed(error) = *progress.borrow_and_update() {
                return error;
            }
            // An error would mean that the sender was dropped, but `self` owns the sender.
            let _ = progress.changed().await;
        }
    }

    /// Returns since when the node's machine may have received all of the body, or `None` if the client owes
    /// some of it.
    pub fn may_be_whole_since(&self) -> Option<Instant> {
        match self.progress() {
            UploadProgress::Complete(upload) => Some(upload.received_at),
            UploadProgress::NotStarted | UploadProgress::Forwarding | UploadProgress::Failed(_) => {
                self.reception.whole_since()
            }
        }
    }

    /// Tracks when the last byte is received, until the future is dropped.
    pub async fn track_reception(&self) -> Infallible {
        loop {
            sleep(RECEPTION_CHECK_INTERVAL).await;
            let received = self.rest.borrow().received();
            self.reception.check(self.client_owes_data(), received, Instant::now());
        }
    }

    /// Returns whether the client has certainly not sent the last byte yet.
    fn client_owes_data(&self) -> bool {
        let rest = self.rest.borrow();
        let unread = self.length.map(|length| length.saturating_sub(rest.received()));
        unread.is_some_and(|unread| unread > MAX_IN_FLIGHT_BYTES)
            || rest.awaits_data() && !self.observer.has_unread_data()
    }

    /// Returns for how long no attempt has polled for more of the body.
    pub fn unpolled_for(&self) -> Duration {
        self.rest.borrow().unpolled_for()
    }

    /// Sets the `listener` that is called whenever the progress changes.
    pub fn on_progress(&self, listener: impl Fn(UploadProgress) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    fn advance(&self, progress: UploadProgress) {
        self.progress.send_replace(progress);
        if let Some(listener) = &*self.listener.borrow() {
            listener(progress);
        }
    }

    /// Polls for the next piece to send to the endpoint, `None` at the end of the body.
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

    /// Polls for the next piece after the prefix, `None` at the end of the body.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        let mut rest = self.rest.borrow_mut();
        let data = ready!(rest.poll_data(cx))?;
        if data.is_none() || self.length == Some(rest.received()) {
            // A client's disconnect becomes visible only when all that it has sent was read, so it may become
            // visible only now. The end of the body is then not forwarded, and without it no endpoint
            // executes the request.
            if self.observer.is_peer_closed() {
                return Poll::Ready(Err(BodyError::ClientDisconnected));
            }
            self.observer.request_completed(self.length.map(|_| rest.received()));
            let forwarded_at = Instant::now();
            let received_at = self.reception.whole_since().unwrap_or(forwarded_at);
            self.advance(UploadProgress::Complete(CompleteUpload { received_at, forwarded_at }));
        }
        Poll::Ready(Ok(data))
    }
}

/// A client's body, as attempts send it to endpoints.
#[derive(Clone)]
pub enum RequestBody {
    /// The whole body, which can be sent any number of times.
    Buffered {
        /// The bytes of the body.
        bytes: Bytes,
        /// The reservation for the bytes, shared by all clones.
        _reservation: Rc<Option<BufferReservation>>,
    },
    /// The body is streamed, so it can be sent only once.
    Streamed(Rc<StreamingRequestBody>),
}

impl RequestBody {
    /// Receives a body, of which the first data has to arrive by `progress_deadline`. Reads the whole body if
    /// it is small and `budget` has capacity; otherwise the rest is read as it is forwarded.
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
        // Nobody polls for more until an attempt begins to send the body.
        body.pause();
        let reception = ReceptionClock::new(body.received(), observer.last_arrival());
        Ok(RequestBody::Streamed(Rc::new(StreamingRequestBody {
            prefix: RefCell::new(prefix),
            rest: RefCell::new(body),
            length: size.exact(),
            progress: watch::Sender::new(UploadProgress::NotStarted),
            listener: RefCell::new(None),
            observer: observer.clone(),
            reception,
        })))
    }

    fn buffered(bytes: Bytes, reservation: Option<BufferReservation>) -> RequestBody {
        RequestBody::Buffered { bytes, _reservation: Rc::new(reservation) }
    }

    /// Returns the length of the body in bytes, if that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered { bytes, .. } => Some(bytes.len() as u64),
            RequestBody::Streamed(stream) => stream.length(),
        }
    }

    /// Returns whether the body could not be received from the client.
    pub fn has_failed(&self) -> bool {
        match self {
            RequestBody::Buffered { .. } => false,
            RequestBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::Failed(_)),
        }
    }

    /// Returns whether an attempt can send the body from its beginning.
    pub fn is_replayable(&self) -> bool {
        match self {
            RequestBody::Buffered { .. } => true,
            RequestBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::NotStarted),
        }
    }
}

/// Result of buffering a body.
enum Buffering {
    /// The whole body was buffered.
    Complete(Bytes, BufferReservation),
    /// The body is larger than the reservation.
    Exceeded(BufferedPrefix),
}

async fn buffer_body(body: &mut PacedBody, mut buffer: BodyBuffer) -> Result<Buffering, BodyError> {
    while let Some(piece) = body.data().await? {
        if let Err(overflow) = buffer.push(piece) {
            return Ok(Buffering::Exceeded(BufferedPrefix::new(Some(buffer), Some(overflow))));
        }
    }
    let (bytes, reservation) = buffer.freeze();
    Ok(Buffering::Complete(bytes, reservation))
}
