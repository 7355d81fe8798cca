//! Bodies: small ones are held whole, large ones pass through in pieces as their reader takes them.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::config::max_buffered_bytes;
use crate::net::SocketObserver;

/// The most that a body may hold, in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The most that is held whole, to be sent again or thrown away.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// What was read of a larger one is passed on in pieces of this size.
const PIECE: usize = 8 << 10;
/// How slow a client may be, in bytes a second. It is owed twice this, and no machine is quite even.
const SLOWEST: f64 = 32_000.0;
/// How long a client that is fast enough may pause: it may write what it owes for a second at once.
const PAUSE: Duration = Duration::from_millis(1500);

/// For how long a server may pause in an answer that has begun to go to its client: to give it up helps nobody
/// but the next in line.
const GOES_ON_WITHIN: Duration = Duration::from_secs(10);

/// Why a client's body could not be received.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over {} MiB", MAX_BODY_BYTES >> 20)]
    TooLarge,
    /// The client sends it more slowly than it has to.
    #[error("the body did not come in time")]
    TooSlow,
    /// The client has closed its connection: nobody reads this.
    #[error("the client has disconnected")]
    ClientDisconnected,
    /// The connection broke off within the body, or the body's framing is invalid.
    #[error("the body is broken")]
    Broken,
}

/// Room for what is held whole, of all requests and answers.
pub struct BufferBudget {
    left: Cell<usize>,
}

impl BufferBudget {
    pub fn new(memory: usize) -> Rc<BufferBudget> {
        Rc::new(BufferBudget { left: Cell::new(max_buffered_bytes(memory)) })
    }

    /// Room for a small body, if it is one, as far as is known, and there is some.
    fn take(self: &Rc<BufferBudget>, length: &SizeHint) -> Option<BufferReservation> {
        let bytes =
            length.exact().map_or(MAX_BUFFERED_BODY, |length| usize::try_from(length).unwrap_or(usize::MAX));
        let left = self.left.get().checked_sub(bytes).filter(|_| bytes <= MAX_BUFFERED_BODY)?;
        self.left.set(left);
        Some(BufferReservation { room: self.clone(), bytes })
    }
}

/// Some of the room, until it is dropped.
pub struct BufferReservation {
    room: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferReservation {
    /// Gives back what a body does not need.
    fn shrink(&mut self, bytes: usize) {
        self.room.left.set(self.room.left.get() + self.bytes.saturating_sub(bytes));
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.room.left.set(self.room.left.get() + self.bytes);
    }
}

/// A body as it is gathered, in no more than its room.
struct BodyBuffer {
    bytes: BytesMut,
    held: BufferReservation,
}

impl BodyBuffer {
    fn new(held: BufferReservation) -> BodyBuffer {
        BodyBuffer { bytes: BytesMut::new(), held }
    }

    /// Adds a piece; one for which there is no room is given back.
    fn add(&mut self, piece: Bytes) -> Result<(), Bytes> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.held.bytes {
            return Err(piece);
        }
        if needed > self.bytes.capacity() {
            // Left to itself it would double beyond the room.
            let capacity = (2 * self.bytes.capacity()).clamp(needed, self.held.bytes);
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&self.bytes);
            self.bytes = grown;
        }
        self.bytes.extend_from_slice(&piece);
        Ok(())
    }

    /// All of the body, in the room that it takes.
    fn whole(mut self) -> (Bytes, BufferReservation) {
        self.held.shrink(self.bytes.capacity());
        (self.bytes.freeze(), self.held)
    }
}

/// What was read of a body before it turned out to be large.
#[derive(Default)]
pub struct BufferedPrefix {
    gathered: Option<(Bytes, BufferReservation)>,
    /// The piece behind that.
    last: Option<Bytes>,
}

impl BufferedPrefix {
    fn new(gathered: Option<BodyBuffer>, last: Bytes) -> BufferedPrefix {
        let gathered = gathered.map(BodyBuffer::whole).filter(|(bytes, _)| !bytes.is_empty());
        BufferedPrefix { gathered, last: Some(last) }
    }

    fn len(&self) -> usize {
        let gathered = self.gathered.as_ref().map_or(0, |(bytes, _)| bytes.len());
        gathered + self.last.as_ref().map_or(0, Bytes::len)
    }

    /// The next piece. It is copied, so that the room is free once all of it is asked for.
    fn next(&mut self) -> Option<Bytes> {
        let Some((bytes, _)) = &mut self.gathered else { return self.last.take() };
        let piece = Bytes::copy_from_slice(&bytes.split_to(bytes.len().min(PIECE)));
        if bytes.is_empty() {
            self.gathered = None;
        }
        Some(piece)
    }
}

/// A client's body on its way in, judged by its progress.
struct IncomingBody {
    body: Incoming,
    came: u64,
    /// By when more has to come.
    due: Instant,
    timer: Pin<Box<Sleep>>,
    /// Since when nobody has asked for more: that time is not the client's.
    unpolled: Option<Instant>,
}

impl IncomingBody {
    fn new(body: Incoming, due: Instant) -> IncomingBody {
        let timer = Box::pin(sleep_until(due));
        IncomingBody { body, came: 0, due, timer, unpolled: None }
    }

    /// The next piece, or nothing at the end. Trailers are about the message, not the request.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        self.due += self.unpolled.take().map_or(Duration::ZERO, |since| since.elapsed());
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.came += data.len() as u64;
                    if self.came > MAX_BODY_BYTES {
                        return Poll::Ready(Err(BodyError::TooLarge));
                    }
                    let now = Instant::now();
                    let earned = Duration::from_secs_f64(data.len() as f64 / SLOWEST);
                    self.due = self.due.max((self.due + earned).min(now + PAUSE));
                    self.unpolled = Some(now);
                    return Poll::Ready(Ok(Some(data)));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(BodyError::Broken)),
                Poll::Ready(None) => return Poll::Ready(Ok(None)),
                Poll::Pending => {
                    if self.timer.deadline() != self.due {
                        self.timer.as_mut().reset(self.due);
                    }
                    ready!(self.timer.as_mut().poll(cx));
                    return Poll::Ready(Err(BodyError::TooSlow));
                }
            }
        }
    }
}

/// How far a body has got that passes through.
#[derive(Clone, Copy)]
pub enum UploadProgress {
    /// Nothing of it has gone to a server.
    Buffered,
    /// Some has, and is kept no longer.
    Forwarding,
    /// Its last byte came at this time.
    Complete(Instant),
    /// Its client has not brought it.
    Failed(BodyError),
}

type ProgressListener = Box<dyn Fn(UploadProgress)>;

/// A large body of a client's that passes through.
pub struct StreamingRequestBody {
    first: RefCell<BufferedPrefix>,
    rest: RefCell<IncomingBody>,
    /// Its length, if the client has told.
    length: Option<u64>,
    progress: watch::Sender<UploadProgress>,
    seen: Rc<SocketObserver>,
    /// ProgressListener when it has begun to go, and when it is whole.
    told: RefCell<Option<ProgressListener>>,
}

impl StreamingRequestBody {
    pub fn progress(&self) -> UploadProgress {
        *self.progress.borrow()
    }

    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// What the client has done wrong, once it has.
    pub async fn failed(&self) -> BodyError {
        let mut progress = self.progress.subscribe();
        loop {
            if let UploadProgress::Failed(wrong) = *progress.borrow_and_update() {
                return wrong;
            }
            // The sender is this stream's own.
            let _ = progress.changed().await;
        }
    }

    /// For how long nobody has asked for more of it.
    pub fn unpolled(&self) -> Duration {
        self.rest.borrow().unpolled.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Has this called whenever it has got on.
    pub fn on_progress(&self, told: impl Fn(UploadProgress) + 'static) {
        *self.told.borrow_mut() = Some(Box::new(told));
    }

    fn gets_on(&self, progress: UploadProgress) {
        self.progress.send_replace(progress);
        if let Some(told) = &*self.told.borrow() {
            told(progress);
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self.progress() {
            UploadProgress::Buffered => self.gets_on(UploadProgress::Forwarding),
            UploadProgress::Forwarding => {}
            UploadProgress::Complete(_) => return Poll::Ready(None),
            UploadProgress::Failed(wrong) => return Poll::Ready(Some(Err(wrong))),
        }
        if let Some(piece) = self.first.borrow_mut().next() {
            return Poll::Ready(Some(Ok(piece)));
        }
        let mut rest = self.rest.borrow_mut();
        let polled = ready!(rest.poll(cx));
        let ends = match &polled {
            Ok(Some(_)) => self.length == Some(rest.came),
            Ok(None) => true,
            Err(_) => false,
        };
        // A client's end is behind what it has sent, and may show only now. Without its last byte nothing is run.
        let polled =
            if ends && self.seen.is_peer_closed() { Err(BodyError::ClientDisconnected) } else { polled };
        match polled {
            Ok(data) => {
                if ends {
                    self.whole(rest.came);
                }
                Poll::Ready(data.map(Ok))
            }
            Err(wrong) => {
                self.gets_on(UploadProgress::Failed(wrong));
                Poll::Ready(Some(Err(wrong)))
            }
        }
    }

    fn whole(&self, came: u64) {
        self.seen.request_completed(self.length.map(|_| came));
        self.gets_on(UploadProgress::Complete(Instant::now()));
    }
}

/// A client's body as it goes on to servers.
#[derive(Clone)]
pub enum RequestBody {
    Buffered { bytes: Bytes, _held: Rc<Option<BufferReservation>> },
    Streamed(Rc<StreamingRequestBody>),
}

impl RequestBody {
    /// Takes in a body that has to get on by `due`: whole if it is small and there is room.
    pub async fn read(
        body: Incoming,
        due: Instant,
        room: &Rc<BufferBudget>,
        seen: &Rc<SocketObserver>,
    ) -> Result<RequestBody, BodyError> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
        if length == Some(0) {
            seen.request_completed(length);
            return Ok(RequestBody::Buffered { bytes: Bytes::new(), _held: Rc::new(None) });
        }
        let mut gathered = room.take(&body.size_hint()).map(BodyBuffer::new);
        let mut rest = IncomingBody::new(body, due);
        let mut first = BufferedPrefix::default();
        while let Some(some) = &mut gathered {
            match std::future::poll_fn(|cx| rest.poll(cx)).await? {
                Some(piece) => {
                    if let Err(last) = some.add(piece) {
                        first = BufferedPrefix::new(gathered.take(), last);
                    }
                }
                None => break,
            }
        }
        if let Some((bytes, held)) = gathered.map(BodyBuffer::whole) {
            seen.request_completed(length);
            return Ok(RequestBody::Buffered { bytes, _held: Rc::new(Some(held)) });
        }
        // Until a server takes it, nobody asks for more.
        rest.unpolled = Some(Instant::now());
        Ok(RequestBody::Streamed(Rc::new(StreamingRequestBody {
            first: RefCell::new(first),
            rest: RefCell::new(rest),
            length,
            progress: watch::Sender::new(UploadProgress::Buffered),
            seen: seen.clone(),
            told: RefCell::new(None),
        })))
    }

    /// Its length, if that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered { bytes, .. } => Some(bytes.len() as u64),
            RequestBody::Streamed(stream) => stream.length(),
        }
    }

    /// Whether its client has not brought it.
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
            RequestBody::Streamed(stream) => matches!(stream.progress(), UploadProgress::Buffered),
        }
    }
}

/// An [`RequestBody`] as hyper sends it.
pub enum OutboundBody {
    Buffered(Bytes),
    Streamed(Rc<StreamingRequestBody>),
}

impl From<&RequestBody> for OutboundBody {
    fn from(upload: &RequestBody) -> OutboundBody {
        match upload {
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
            OutboundBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            OutboundBody::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            OutboundBody::Streamed(stream) => {
                let piece = ready!(stream.poll(cx));
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

/// How an answer that passes through has ended.
#[derive(Clone, Copy)]
pub enum TransferEnd {
    /// It has come whole.
    Complete,
    /// It broke off, and its client can tell.
    Broken,
    /// Its client has left.
    ClientLeft,
}

/// A server's answer that passes through.
pub struct StreamingResponseBody {
    first: BufferedPrefix,
    rest: Incoming,
    came: u64,
    /// While the server is waited for: when it has been silent for too long.
    silent: Option<Pin<Box<Sleep>>>,
    /// ProgressListener once, at its end.
    told: Option<Box<dyn FnOnce(TransferEnd)>>,
}

/// The beginning of a server's answer.
pub enum ResponsePrefix {
    /// All of it.
    Complete(Bytes, Option<BufferReservation>),
    /// The first pieces of a large one.
    Partial(BufferedPrefix, Incoming),
}

impl ResponsePrefix {
    /// Reads a small answer whole, and the first piece of a large one; nothing of one that breaks off.
    pub async fn read(mut body: Incoming, room: &Rc<BufferBudget>) -> Option<ResponsePrefix> {
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return None;
        }
        let mut gathered = room.take(&body.size_hint()).map(BodyBuffer::new);
        loop {
            let Some(frame) = body.frame().await else {
                let (bytes, held) = gathered.map(BodyBuffer::whole).unzip();
                return Some(ResponsePrefix::Complete(bytes.unwrap_or_default(), held));
            };
            let Ok(data) = frame.ok()?.into_data() else { continue };
            let added = match &mut gathered {
                Some(some) => some.add(data),
                None => Err(data),
            };
            if let Err(last) = added {
                return Some(ResponsePrefix::Partial(BufferedPrefix::new(gathered, last), body));
            }
        }
    }
}

impl StreamingResponseBody {
    pub fn new(
        first: BufferedPrefix,
        rest: Incoming,
        told: impl FnOnce(TransferEnd) + 'static,
    ) -> StreamingResponseBody {
        StreamingResponseBody {
            came: first.len() as u64,
            first,
            rest,
            silent: None,
            told: Some(Box::new(told)),
        }
    }

    fn end(&mut self, end: TransferEnd) {
        if let Some(told) = self.told.take() {
            told(end);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        if let Some(piece) = self.first.next() {
            if self.first.len() == 0 && self.rest.is_end_stream() {
                self.end(TransferEnd::Complete);
            }
            return Poll::Ready(Some(Ok(piece)));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            if polled.is_ready() {
                self.silent = None;
            }
            let why = match polled {
                Poll::Pending => {
                    let silent = self.silent.get_or_insert_with(|| Box::pin(sleep(GOES_ON_WITHIN)));
                    ready!(silent.as_mut().poll(cx));
                    io::Error::other("the answer does not go on")
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.came += data.len() as u64;
                    if self.came <= MAX_BODY_BYTES {
                        // Nobody asks for more of one whose length is known.
                        if self.rest.is_end_stream() {
                            self.end(TransferEnd::Complete);
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                    io::Error::other("the answer is too large")
                }
                Poll::Ready(Some(Err(error))) => io::Error::other(error),
                Poll::Ready(None) => {
                    self.end(TransferEnd::Complete);
                    return Poll::Ready(None);
                }
            };
            self.end(TransferEnd::Broken);
            return Poll::Ready(Some(Err(why)));
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.len() as u64;
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
    }
}

impl Drop for StreamingResponseBody {
    fn drop(&mut self) {
        self.end(TransferEnd::ClientLeft);
    }
}

/// The body of an answer to a client.
pub struct ResponseBody {
    content: Content,
    /// Dropped once hyper has taken the last of it.
    _until_taken: Option<Box<dyn Any>>,
}

enum Content {
    Buffered { bytes: Bytes, _held: Option<BufferReservation> },
    Streaming(Box<StreamingResponseBody>),
}

impl ResponseBody {
    pub fn whole(bytes: Bytes, held: Option<BufferReservation>) -> ResponseBody {
        ResponseBody { content: Content::Buffered { bytes, _held: held }, _until_taken: None }
    }

    pub fn part(download: StreamingResponseBody) -> ResponseBody {
        ResponseBody { content: Content::Streaming(Box::new(download)), _until_taken: None }
    }

    /// Keeps this until hyper has taken the last of it.
    pub fn until_taken(self, guard: impl Any) -> ResponseBody {
        ResponseBody { content: self.content, _until_taken: Some(Box::new(guard)) }
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
            Content::Buffered { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            Content::Buffered { bytes, .. } => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Streaming(download) => {
                let piece = ready!(download.poll(cx));
                Poll::Ready(piece.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Buffered { bytes, .. } => bytes.is_empty(),
            Content::Streaming(download) => download.first.len() == 0 && download.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Content::Streaming(download) => download.size_hint(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_gathered_takes_no_more_than_its_room_and_gives_back_the_rest() {
        for (piece, length) in
            [(1, None), (5_000, None), (8 << 10, None), (20_000, Some(50_000)), (7, Some(7))]
        {
            let all = 1 << 20;
            let room = Rc::new(BufferBudget { left: Cell::new(all) });
            let hint = length.map_or_else(SizeHint::new, SizeHint::with_exact);
            let most = length.map_or(MAX_BUFFERED_BODY, |length| length as usize);
            let mut gathered = BodyBuffer::new(room.take(&hint).unwrap());
            while gathered.add(Bytes::from(vec![0; piece])).is_ok() {
                assert!(gathered.bytes.capacity() <= most, "{} of {most}", gathered.bytes.capacity());
            }
            assert!(gathered.bytes.len() + piece > most);
            let taken = gathered.bytes.capacity();
            let (bytes, held) = gathered.whole();
            assert_eq!(room.left.get(), all - taken);
            assert!(bytes.len() <= taken && taken <= (2 * bytes.len()).min(most));
            drop(held);
            assert_eq!(room.left.get(), all);
        }
    }
}
