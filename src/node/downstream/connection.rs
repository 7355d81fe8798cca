//! One downstream connection: what the rest of the node knows of it, and when it may or must be closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::SocketObserver;

/// How long a client may take to send a request head, and how long a connection may stay idle. A client that
/// needs a connection later opens a new one.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The head of a connection's first request has to be complete this long after the connection was accepted,
/// which ends an unused connection within 3 s of its start.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// How long a client may read nothing of a response that is waiting to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// A new connection is not closed to free capacity for this long: clients connect because they have a
/// request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// A connection that has served a request is not closed to free capacity until it has been idle for this
/// long: the next request may be on its way already.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);

/// The state of a connection that its own task, the connection table and the sweeps share.
pub struct Connection {
    accepted_at: Instant,
    /// Since when no request is open; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    /// Whether no request has been answered on it yet.
    first_request_pending: Cell<bool>,
    /// Whether it was asked to close.
    closing: Cell<bool>,
    close: Notify,
    abort: Notify,
    observer: Rc<SocketObserver>,
}

impl Connection {
    /// A connection accepted now, whose socket `observer` watches.
    pub fn new(observer: Rc<SocketObserver>) -> Connection {
        let now = Instant::now();
        Connection {
            accepted_at: now,
            idle_since: Cell::new(Some(now)),
            first_request_pending: Cell::new(true),
            closing: Cell::new(false),
            close: Notify::new(),
            abort: Notify::new(),
            observer,
        }
    }

    /// What has passed on its socket.
    pub fn observer(&self) -> &Rc<SocketObserver> {
        &self.observer
    }

    /// Whether no request has been answered on it yet.
    pub fn is_first_request_pending(&self) -> bool {
        self.first_request_pending.get()
    }

    /// Whether it was asked to close.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Records whether it was asked to close, and returns what was recorded before.
    pub fn set_closing(&self, closing: bool) -> bool {
        self.closing.replace(closing)
    }

    /// A request has been read from it.
    pub fn mark_request_started(&self) {
        self.idle_since.set(None);
    }

    /// The response to the open request has been handed to hyper.
    pub fn mark_request_answered(&self) {
        self.first_request_pending.set(false);
    }

    /// hyper has taken the last of the response.
    pub fn mark_request_finished(&self) {
        self.idle_since.set(Some(Instant::now()));
    }

    /// By when a request whose head has just been read has to make progress with its body. The first request
    /// is measured from the accept.
    pub fn body_deadline(&self) -> Instant {
        let started = if self.is_first_request_pending() { self.accepted_at } else { Instant::now() };
        started + REQUEST_TIMEOUT
    }

    /// Whether some of a request has been read, or can be read.
    pub fn has_incoming_request(&self) -> bool {
        self.observer.has_request_started() || self.observer.has_unread_data()
    }

    /// Since when it is idle, if it may be closed now. A client whose request crosses the close sends it once
    /// more, but a request that has begun to arrive would be lost.
    pub fn idle_since_if_closable(&self) -> Option<Instant> {
        let idle_since = self.idle_since.get()?;
        if self.is_closing() || self.has_incoming_request() {
            return None;
        }
        let min_idle =
            if self.is_first_request_pending() { FIRST_REQUEST_GRACE } else { MIN_IDLE_BEFORE_CLOSE };
        (idle_since.elapsed() >= min_idle).then_some(idle_since)
    }

    /// Whether its client has taken too long to send a request head, or to read a response.
    pub fn is_stuck(&self) -> bool {
        let write_blocked = self.observer.write_blocked_since();
        self.head_deadline().is_some_and(|deadline| deadline <= Instant::now())
            || write_blocked.is_some_and(|since| since.elapsed() >= WRITE_TIMEOUT)
    }

    /// By when the head that is being received has to be complete.
    fn head_deadline(&self) -> Option<Instant> {
        self.idle_since.get()?;
        let deadline = self.observer.head_since()? + REQUEST_TIMEOUT;
        Some(match self.is_first_request_pending() {
            true => deadline.min(self.accepted_at + FIRST_HEAD_TIMEOUT),
            false => deadline,
        })
    }

    /// Asks its task to close it, unless a request arrives first.
    pub fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits for [`Connection::request_close`].
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Asks its task to close it at once if it is still stuck.
    pub fn request_abort(&self) {
        self.abort.notify_one();
    }

    /// Waits for [`Connection::request_abort`].
    pub async fn abort_requested(&self) {
        self.abort.notified().await;
    }
}
