//! The state of one downstream connection, and the rules for when it may or must be closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::SocketObserver;

/// Maximum time for a client to send a request head, maximum time from the head to the first data of its
/// body, and maximum time for which a connection stays idle. A client that needs a connection later opens a
/// new one.
pub const CLIENT_SEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time from accepting a connection to the end of its first request's head. It ensures that a
/// connection is closed within 3 s if no head is completed on it.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// Maximum time for which a client may read nothing while a response is waiting to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum age at which the node closes an idle connection that has served no request, whatever the reason
/// for closing it is. Clients usually connect because they have a request to send.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// Minimum idle time after which the node closes a connection that has served a request, whatever the reason
/// for closing it is. The next request may already be on its way.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);

/// Minimum time without further bytes after which a connection with an incomplete request head may be closed
/// for a new one. Clients that send a head slowly pause for less.
const MIN_HEAD_PAUSE: Duration = Duration::from_millis(300);

/// Minimum time from the end of a response to a request that its client sends once it has the response.
const MIN_REQUEST_GAP: Duration = Duration::from_micros(200);

/// The state of a connection, shared by its own task, the connection table and the periodic sweeps.
pub struct Connection {
    accepted_at: Instant,
    /// When the last request finished, or when the connection was accepted. `None` while a request is open.
    idle_since: Cell<Option<Instant>>,
    /// Whether no request has been answered on the connection yet.
    first_request_pending: Cell<bool>,
    /// Whether the connection was asked to close.
    closing: Cell<bool>,
    /// Whether the connection was asked to make room for a new one.
    evicted: Cell<bool>,
    close: Notify,
    abort: Notify,
    observer: Rc<SocketObserver>,
}

impl Connection {
    /// Creates the state of a connection that was accepted just now. `observer` observes its socket.
    pub fn new(observer: Rc<SocketObserver>) -> Connection {
        let now = Instant::now();
        Connection {
            accepted_at: now,
            idle_since: Cell::new(Some(now)),
            first_request_pending: Cell::new(true),
            closing: Cell::new(false),
            evicted: Cell::new(false),
            close: Notify::new(),
            abort: Notify::new(),
            observer,
        }
    }

    /// Returns the observer of the connection's socket.
    pub fn observer(&self) -> &Rc<SocketObserver> {
        &self.observer
    }

    /// Returns whether no request has been answered on the connection yet.
    pub fn is_first_request_pending(&self) -> bool {
        self.first_request_pending.get()
    }

    /// Returns whether the head of the connection's first request has not been read yet.
    pub fn awaits_first_request(&self) -> bool {
        self.is_first_request_pending() && !self.has_open_request()
    }

    /// Returns whether the head of a request has been read whose response hyper has not taken to its end.
    pub fn has_open_request(&self) -> bool {
        self.idle_since.get().is_none()
    }

    /// Returns whether the connection was asked to close.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Records whether the connection was asked to close, and returns the previous value.
    pub fn set_closing(&self, closing: bool) -> bool {
        self.closing.replace(closing)
    }

    /// Records that the head of a request has been read.
    pub fn mark_request_started(&self) {
        self.idle_since.set(None);
    }

    /// Records that the response to the open request is handed to hyper.
    pub fn mark_request_answered(&self) {
        self.first_request_pending.set(false);
    }

    /// Records that hyper has read the last bytes of the response. The connection is idle from now on.
    pub fn mark_request_finished(&self) {
        self.idle_since.set(Some(Instant::now()));
    }

    /// Returns whether the last response ended so recently that a request which begins now was sent before
    /// its client received that response.
    pub fn has_just_been_used(&self) -> bool {
        !self.is_first_request_pending()
            && self.idle_since.get().is_some_and(|since| since.elapsed() < MIN_REQUEST_GAP)
    }

    /// Returns the time by which a request whose head was read just now has to make progress with its body.
    /// For the first request of the connection the timeout starts when the connection is accepted.
    pub fn body_deadline(&self) -> Instant {
        let started = if self.is_first_request_pending() { self.accepted_at } else { Instant::now() };
        started + CLIENT_SEND_TIMEOUT
    }

    /// Returns whether some bytes of a request have been read, or have been received and can be read.
    pub fn has_incoming_request(&self) -> bool {
        self.observer.has_request_started() || self.observer.has_unread_data()
    }

    /// Returns the time since which the connection has been idle, if it may be closed now. A client whose
    /// request was still on its way when the connection closed sends the request again, but a request that
    /// has partly arrived would be lost.
    pub fn idle_since_if_closable(&self) -> Option<Instant> {
        let idle_since = self.idle_since.get()?;
        if self.is_closing() || self.has_incoming_request() {
            return None;
        }
        let min_idle =
            if self.is_first_request_pending() { FIRST_REQUEST_GRACE } else { MIN_IDLE_BEFORE_CLOSE };
        (idle_since.elapsed() >= min_idle).then_some(idle_since)
    }

    /// Returns since when no further bytes of an incomplete request head have arrived, if that is so long ago
    /// that the connection may be closed for a new one. Its request is not complete, so it is not lost.
    pub fn head_paused_since(&self) -> Option<Instant> {
        self.idle_since.get()?;
        self.observer.head_started_at()?;
        let paused_since = self.observer.last_arrival();
        let may_close = paused_since.elapsed() >= MIN_HEAD_PAUSE && !self.observer.has_unread_data();
        may_close.then_some(paused_since)
    }

    /// Returns whether the client has taken too long to send a request head or to read a response, or is
    /// sending nothing of a head while new connections wait.
    pub fn is_stuck(&self) -> bool {
        if self.evicted.get() && self.head_paused_since().is_some() {
            return true;
        }
        let write_blocked = self.observer.write_blocked_since();
        self.head_deadline().is_some_and(|deadline| deadline <= Instant::now())
            || write_blocked.is_some_and(|since| since.elapsed() >= WRITE_TIMEOUT)
    }

    /// Returns the time by which the request head that is being received has to be complete, or `None` if no
    /// head is being received.
    fn head_deadline(&self) -> Option<Instant> {
        self.idle_since.get()?;
        let deadline = self.observer.head_started_at()? + CLIENT_SEND_TIMEOUT;
        Some(match self.is_first_request_pending() {
            true => deadline.min(self.accepted_at + FIRST_HEAD_TIMEOUT),
            false => deadline,
        })
    }

    /// Asks the connection's task to close the connection, unless a request arrives first.
    pub fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits for [`Connection::request_close`].
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Asks the connection's task to close the connection if its client still sends nothing of a head.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.request_abort();
    }

    /// Asks the connection's task to close the connection immediately if it is still stuck.
    pub fn request_abort(&self) {
        self.abort.notify_one();
    }

    /// Waits for [`Connection::request_abort`].
    pub async fn abort_requested(&self) {
        self.abort.notified().await;
    }
}
