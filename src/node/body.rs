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
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::socket::Seen;

/// The most that a body may hold, in either direction.
pub const BODY_MOST: u64 = 32 << 20;
/// The most that is held whole, to be sent again or thrown away.
pub const WHOLE_MOST: usize = 64 << 10;
/// What was read of a larger one is passed on in pieces of this size.
const PIECE: usize = 8 << 10;
/// The part of the node's memory that may go into what is held whole.
const HELD_PART: usize = 8;
/// How slow a client may be, in bytes a second. It is owed twice this, and no machine is quite even.
const SLOWEST: f64 = 32_000.0;
/// How long a client that is fast enough may pause: it may write what it owes for a second at once.
const PAUSE: Duration = Duration::from_millis(1500);

/// For how long a server may pause in an answer that has begun to go to its client: to give it up helps nobody
/// but the next in line.
const GOES_ON_WITHIN: Duration = Duration::from_secs(10);

/// What is wrong with a request, and is its client's to mend.
pub type Wrong = (StatusCode, &'static str);

pub const TOO_LARGE: Wrong = (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB");
const TOO_SLOW: Wrong = (StatusCode::REQUEST_TIMEOUT, "the body did not come in time");
/// What nobody is there to hear.
pub const LEFT: Wrong = (StatusCode::BAD_REQUEST, "the client has left");
const BROKEN: Wrong = (StatusCode::BAD_REQUEST, "the body is broken");

/// How much of the node's memory may be held.
pub fn held_most(memory: usize) -> usize {
    memory / HELD_PART
}

/// Room for what is held whole, of all requests and answers.
pub struct Room {
    left: Cell<usize>,
}

impl Room {
    pub fn new(memory: usize) -> Rc<Room> {
        Rc::new(Room { left: Cell::new(held_most(memory)) })
    }

    /// Room for a small body, if it is one, as far as is known, and there is some.
    fn take(self: &Rc<Room>, length: &SizeHint) -> Option<Held> {
        let bytes = length.exact().map_or(WHOLE_MOST, |length| usize::try_from(length).unwrap_or(usize::MAX));
        let left = self.left.get().checked_sub(bytes).filter(|_| bytes <= WHOLE_MOST)?;
        self.left.set(left);
        Some(Held { room: self.clone(), bytes })
    }
}

/// Some of the room, until it is dropped.
pub struct Held {
    room: Rc<Room>,
    bytes: usize,
}

impl Held {
    /// Gives back what a body does not need.
    fn shrink(&mut self, bytes: usize) {
        self.room.left.set(self.room.left.get() + self.bytes.saturating_sub(bytes));
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.left.set(self.room.left.get() + self.bytes);
    }
}

/// A body as it is gathered, in no more than its room.
struct Gathered {
    bytes: BytesMut,
    held: Held,
}

impl Gathered {
    fn new(held: Held) -> Gathered {
        Gathered { bytes: BytesMut::new(), held }
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
    fn whole(mut self) -> (Bytes, Held) {
        self.held.shrink(self.bytes.capacity());
        (self.bytes.freeze(), self.held)
    }
}

/// What was read of a body before it turned out to be large.
#[derive(Default)]
pub struct First {
    gathered: Option<(Bytes, Held)>,
    /// The piece behind that.
    last: Option<Bytes>,
}

impl First {
    fn new(gathered: Option<Gathered>, last: Bytes) -> First {
        let gathered = gathered.map(Gathered::whole).filter(|(bytes, _)| !bytes.is_empty());
        First { gathered, last: Some(last) }
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
struct Arriving {
    body: Incoming,
    came: u64,
    /// By when more has to come.
    due: Instant,
    timer: Pin<Box<Sleep>>,
    /// Since when nobody has asked for more: that time is not the client's.
    unasked: Option<Instant>,
}

impl Arriving {
    fn new(body: Incoming, due: Instant) -> Arriving {
        let timer = Box::pin(sleep_until(due));
        Arriving { body, came: 0, due, timer, unasked: None }
    }

    /// The next piece, or nothing at the end. Trailers are about the message, not the request.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Wrong>> {
        self.due += self.unasked.take().map_or(Duration::ZERO, |since| since.elapsed());
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.came += data.len() as u64;
                    if self.came > BODY_MOST {
                        return Poll::Ready(Err(TOO_LARGE));
                    }
                    let now = Instant::now();
                    let earned = Duration::from_secs_f64(data.len() as f64 / SLOWEST);
                    self.due = self.due.max((self.due + earned).min(now + PAUSE));
                    self.unasked = Some(now);
                    return Poll::Ready(Ok(Some(data)));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(BROKEN)),
                Poll::Ready(None) => return Poll::Ready(Ok(None)),
                Poll::Pending => {
                    if self.timer.deadline() != self.due {
                        self.timer.as_mut().reset(self.due);
                    }
                    ready!(self.timer.as_mut().poll(cx));
                    return Poll::Ready(Err(TOO_SLOW));
                }
            }
        }
    }
}

/// How far a body has got that passes through.
#[derive(Clone, Copy)]
pub enum Progress {
    /// Nothing of it has gone to a server.
    Kept,
    /// Some has, and is kept no longer.
    PassedOn,
    /// Its last byte came at this time.
    Whole(Instant),
    /// Its client has not brought it.
    Failed(Wrong),
}

type Told = Box<dyn Fn(Progress)>;

/// A large body of a client's that passes through.
pub struct Stream {
    first: RefCell<First>,
    rest: RefCell<Arriving>,
    /// Its length, if the client has told.
    length: Option<u64>,
    progress: watch::Sender<Progress>,
    seen: Rc<Seen>,
    /// Told when it has begun to go, and when it is whole.
    told: RefCell<Option<Told>>,
}

impl Stream {
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// What the client has done wrong, once it has.
    pub async fn failed(&self) -> Wrong {
        let mut progress = self.progress.subscribe();
        loop {
            if let Progress::Failed(wrong) = *progress.borrow_and_update() {
                return wrong;
            }
            // The sender is this stream's own.
            let _ = progress.changed().await;
        }
    }

    /// For how long nobody has asked for more of it.
    pub fn unasked(&self) -> Duration {
        self.rest.borrow().unasked.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Has this called whenever it has got on.
    pub fn on_progress(&self, told: impl Fn(Progress) + 'static) {
        *self.told.borrow_mut() = Some(Box::new(told));
    }

    fn gets_on(&self, progress: Progress) {
        self.progress.send_replace(progress);
        if let Some(told) = &*self.told.borrow() {
            told(progress);
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Wrong>>> {
        match self.progress() {
            Progress::Kept => self.gets_on(Progress::PassedOn),
            Progress::PassedOn => {}
            Progress::Whole(_) => return Poll::Ready(None),
            Progress::Failed(wrong) => return Poll::Ready(Some(Err(wrong))),
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
        let polled = if ends && self.seen.has_closed() { Err(LEFT) } else { polled };
        match polled {
            Ok(data) => {
                if ends {
                    self.whole(rest.came);
                }
                Poll::Ready(data.map(Ok))
            }
            Err(wrong) => {
                self.gets_on(Progress::Failed(wrong));
                Poll::Ready(Some(Err(wrong)))
            }
        }
    }

    fn whole(&self, came: u64) {
        self.seen.read_whole(self.length.map(|_| came));
        self.gets_on(Progress::Whole(Instant::now()));
    }
}

/// A client's body as it goes on to servers.
#[derive(Clone)]
pub enum Upload {
    Whole { bytes: Bytes, _held: Rc<Option<Held>> },
    Streamed(Rc<Stream>),
}

impl Upload {
    /// Takes in a body that has to get on by `due`: whole if it is small and there is room.
    pub async fn read(
        body: Incoming,
        due: Instant,
        room: &Rc<Room>,
        seen: &Rc<Seen>,
    ) -> Result<Upload, Wrong> {
        let length = body.size_hint().exact();
        if body.size_hint().lower() > BODY_MOST {
            return Err(TOO_LARGE);
        }
        if length == Some(0) {
            seen.read_whole(length);
            return Ok(Upload::Whole { bytes: Bytes::new(), _held: Rc::new(None) });
        }
        let mut gathered = room.take(&body.size_hint()).map(Gathered::new);
        let mut rest = Arriving::new(body, due);
        let mut first = First::default();
        while let Some(some) = &mut gathered {
            match std::future::poll_fn(|cx| rest.poll(cx)).await? {
                Some(piece) => {
                    if let Err(last) = some.add(piece) {
                        first = First::new(gathered.take(), last);
                    }
                }
                None => break,
            }
        }
        if let Some((bytes, held)) = gathered.map(Gathered::whole) {
            seen.read_whole(length);
            return Ok(Upload::Whole { bytes, _held: Rc::new(Some(held)) });
        }
        // Until a server takes it, nobody asks for more.
        rest.unasked = Some(Instant::now());
        Ok(Upload::Streamed(Rc::new(Stream {
            first: RefCell::new(first),
            rest: RefCell::new(rest),
            length,
            progress: watch::Sender::new(Progress::Kept),
            seen: seen.clone(),
            told: RefCell::new(None),
        })))
    }

    /// Its length, if that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            Upload::Whole { bytes, .. } => Some(bytes.len() as u64),
            Upload::Streamed(stream) => stream.length(),
        }
    }

    /// Whether its client has not brought it.
    pub fn has_failed(&self) -> bool {
        match self {
            Upload::Whole { .. } => false,
            Upload::Streamed(stream) => matches!(stream.progress(), Progress::Failed(_)),
        }
    }

    /// Whether it can be sent, or sent again.
    pub fn is_kept(&self) -> bool {
        match self {
            Upload::Whole { .. } => true,
            Upload::Streamed(stream) => matches!(stream.progress(), Progress::Kept),
        }
    }
}

/// An [`Upload`] as hyper sends it.
pub enum Payload {
    Whole(Bytes),
    Streamed(Rc<Stream>),
}

impl From<&Upload> for Payload {
    fn from(upload: &Upload) -> Payload {
        match upload {
            Upload::Whole { bytes, .. } => Payload::Whole(bytes.clone()),
            Upload::Streamed(stream) => Payload::Streamed(stream.clone()),
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Payload::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Payload::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Payload::Streamed(stream) => {
                let piece = ready!(stream.poll(cx));
                Poll::Ready(piece.map(|data| data.map(Frame::data).map_err(|(_, why)| io::Error::other(why))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Whole(bytes) => bytes.is_empty(),
            Payload::Streamed(stream) => matches!(stream.progress(), Progress::Whole(_)),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Payload::Streamed(stream) => stream.length().map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// How an answer that passes through has ended.
#[derive(Clone, Copy)]
pub enum End {
    /// It has come whole.
    Whole,
    /// It broke off, and its client can tell.
    Broken,
    /// Its client has left.
    Left,
}

/// A server's answer that passes through.
pub struct Download {
    first: First,
    rest: Incoming,
    came: u64,
    /// While the server is waited for: when it has been silent for too long.
    silent: Option<Pin<Box<Sleep>>>,
    /// Told once, at its end.
    told: Option<Box<dyn FnOnce(End)>>,
}

/// The beginning of a server's answer.
pub enum Beginning {
    /// All of it.
    Whole(Bytes, Option<Held>),
    /// The first pieces of a large one.
    Part(First, Incoming),
}

impl Beginning {
    /// Reads a small answer whole, and the first piece of a large one; nothing of one that breaks off.
    pub async fn read(mut body: Incoming, room: &Rc<Room>) -> Option<Beginning> {
        if body.size_hint().lower() > BODY_MOST {
            return None;
        }
        let mut gathered = room.take(&body.size_hint()).map(Gathered::new);
        loop {
            let Some(frame) = body.frame().await else {
                let (bytes, held) = gathered.map(Gathered::whole).unzip();
                return Some(Beginning::Whole(bytes.unwrap_or_default(), held));
            };
            let Ok(data) = frame.ok()?.into_data() else { continue };
            let added = match &mut gathered {
                Some(some) => some.add(data),
                None => Err(data),
            };
            if let Err(last) = added {
                return Some(Beginning::Part(First::new(gathered, last), body));
            }
        }
    }
}

impl Download {
    pub fn new(first: First, rest: Incoming, told: impl FnOnce(End) + 'static) -> Download {
        Download { came: first.len() as u64, first, rest, silent: None, told: Some(Box::new(told)) }
    }

    fn end(&mut self, end: End) {
        if let Some(told) = self.told.take() {
            told(end);
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        if let Some(piece) = self.first.next() {
            if self.first.len() == 0 && self.rest.is_end_stream() {
                self.end(End::Whole);
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
                    if self.came <= BODY_MOST {
                        // Nobody asks for more of one whose length is known.
                        if self.rest.is_end_stream() {
                            self.end(End::Whole);
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                    io::Error::other("the answer is too large")
                }
                Poll::Ready(Some(Err(error))) => io::Error::other(error),
                Poll::Ready(None) => {
                    self.end(End::Whole);
                    return Poll::Ready(None);
                }
            };
            self.end(End::Broken);
            return Poll::Ready(Some(Err(why)));
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.len() as u64;
        self.rest.size_hint().exact().map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        self.end(End::Left);
    }
}

/// The body of an answer to a client.
pub struct Reply {
    content: Content,
    /// Dropped once hyper has taken the last of it.
    _until_taken: Option<Box<dyn Any>>,
}

enum Content {
    Whole { bytes: Bytes, _held: Option<Held> },
    Part(Box<Download>),
}

impl Reply {
    pub fn whole(bytes: Bytes, held: Option<Held>) -> Reply {
        Reply { content: Content::Whole { bytes, _held: held }, _until_taken: None }
    }

    pub fn part(download: Download) -> Reply {
        Reply { content: Content::Part(Box::new(download)), _until_taken: None }
    }

    /// Keeps this until hyper has taken the last of it.
    pub fn until_taken(self, guard: impl Any) -> Reply {
        Reply { content: self.content, _until_taken: Some(Box::new(guard)) }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().content {
            Content::Whole { bytes, .. } if bytes.is_empty() => Poll::Ready(None),
            Content::Whole { bytes, .. } => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Part(download) => {
                let piece = ready!(download.poll(cx));
                Poll::Ready(piece.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole { bytes, .. } => bytes.is_empty(),
            Content::Part(download) => download.first.len() == 0 && download.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole { bytes, .. } => SizeHint::with_exact(bytes.len() as u64),
            Content::Part(download) => download.size_hint(),
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
            let room = Rc::new(Room { left: Cell::new(all) });
            let hint = length.map_or_else(SizeHint::new, SizeHint::with_exact);
            let most = length.map_or(WHOLE_MOST, |length| length as usize);
            let mut gathered = Gathered::new(room.take(&hint).unwrap());
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
