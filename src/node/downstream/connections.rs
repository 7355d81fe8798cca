//! The table of downstream connections. It alone counts them, enforces their limits and selects the idle
//! connections to close.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::downstream::connection::Connection;

/// Divisor of the number of descriptors. The quotient is the maximum number of connections that stay open
/// between requests.
const KEEP_ALIVE_DIVISOR: usize = 3;
/// Divisor of the maximum number of open connections. The quotient is the number of connections whose
/// requests are rejected instead of served.
const REJECTION_DIVISOR: usize = 10;

/// Limits on the number of downstream connections.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    max_open: usize,
    /// Maximum number of connections with a request that is served.
    max_served: usize,
    /// Maximum number of connections that stay open between requests. Above it, an idle connection is closed
    /// for each new one, and responses close their connections. Connections that clients keep open without
    /// using them would prevent other clients from connecting.
    max_kept_alive: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a process with this many descriptors for connections, of which `upstream` are
    /// reserved for upstream connections. More are needed downstream: a downstream connection is in use for
    /// as long as its request is open, an upstream connection only during an attempt.
    pub fn new(descriptors: usize, upstream: usize) -> ConnectionLimits {
        let max_open = descriptors - upstream;
        ConnectionLimits {
            max_open,
            max_served: max_open - max_open / REJECTION_DIVISOR,
            max_kept_alive: descriptors / KEEP_ALIVE_DIVISOR,
        }
    }
}

/// What the open connections are used for.
pub struct ConnectionUsage {
    /// Number of open connections.
    open: usize,
    /// Number of connections with an open request.
    active: usize,
    /// Number of connections that were asked to close and are still open.
    closing: usize,
}

impl fmt::Display for ConnectionUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConnectionUsage { open, active, closing } = self;
        write!(f, "{open} are open, {active} of them have an open request, {closing} were asked to close")
    }
}

/// Identifies a connection in the table.
type ConnectionId = u64;

/// All open downstream connections.
pub struct ConnectionTable {
    limits: Cell<ConnectionLimits>,
    open: RefCell<HashMap<ConnectionId, Rc<Connection>>>,
    next_id: Cell<ConnectionId>,
    /// Number of connections with an open request.
    active: Cell<usize>,
    /// Number of connections that were asked to close and are still open.
    closing: Cell<usize>,
    /// Notified whenever a connection is removed.
    removed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> ConnectionTable {
        ConnectionTable {
            limits: Cell::new(limits),
            open: RefCell::default(),
            next_id: Cell::new(0),
            active: Cell::new(0),
            closing: Cell::new(0),
            removed: Notify::new(),
        }
    }

    /// Sets the limits, and closes idle connections while there are more connections than allowed.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.limits.set(limits);
        while self.non_closing_count() > limits.max_open && self.close_longest_idle() {}
    }

    /// Adds a connection, which is removed when the returned entry is dropped. If this exceeds the keep-alive
    /// limit, closes the connection that has been idle for longest.
    pub fn insert(self: &Rc<Self>, connection: Rc<Connection>) -> TableEntry {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.open.borrow_mut().insert(id, connection.clone());
        if self.exceeds_keep_alive_limit() {
            self.close_longest_idle();
        }
        TableEntry { table: self.clone(), id, connection }
    }

    /// Counts a request as open on `connection` until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>, connection: &Rc<Connection>) -> RequestGuard {
        self.active.set(self.active.get() + 1);
        connection.mark_request_started();
        RequestGuard { table: self.clone(), connection: connection.clone() }
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Returns whether another connection may be accepted.
    pub fn has_capacity(&self) -> bool {
        self.open.borrow().len() < self.limits.get().max_open
    }

    /// Returns whether there are more connections than allowed, including those that are closing.
    pub fn exceeds_limit(&self) -> bool {
        self.open.borrow().len() > self.limits.get().max_open
    }

    /// Returns what the open connections are used for.
    pub fn usage(&self) -> ConnectionUsage {
        ConnectionUsage {
            open: self.open.borrow().len(),
            active: self.active.get(),
            closing: self.closing.get(),
        }
    }

    /// Returns whether more requests are open than may be served.
    pub fn exceeds_served_limit(&self) -> bool {
        self.active.get() > self.limits.get().max_served
    }

    /// Returns whether there are more connections than may stay open between requests.
    pub fn exceeds_keep_alive_limit(&self) -> bool {
        self.non_closing_count() > self.limits.get().max_kept_alive
    }

    /// Returns the number of connections that were not asked to close.
    fn non_closing_count(&self) -> usize {
        self.open.borrow().len() - self.closing.get()
    }

    /// Asks a connection to close once it is idle.
    pub fn close(&self, connection: &Connection) {
        if !connection.set_closing(true) {
            tracing::debug!("client connection asked to close once it is idle");
            self.closing.set(self.closing.get() + 1);
        }
        connection.request_close();
    }

    /// Cancels [`ConnectionTable::close`] because a request has begun to arrive. If the connection still has
    /// to close once the request is answered, it closes with the response.
    pub fn cancel_close(&self, connection: &Connection) {
        if connection.set_closing(false) {
            self.closing.set(self.closing.get() - 1);
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one to close.
    pub fn close_longest_idle(&self) -> bool {
        let open = self.open.borrow();
        let closable =
            open.values().filter_map(|connection| Some((connection.idle_since_if_closable()?, connection)));
        let longest_idle = closable.min_by_key(|(idle_since, _)| *idle_since);
        longest_idle.inspect(|(_, connection)| self.close(connection)).is_some()
    }

    /// Closes the connection whose client has been silent for longest in the middle of a head. Returns
    /// whether there was one to close.
    pub fn evict_longest_paused(&self) -> bool {
        let open = self.open.borrow();
        let paused =
            open.values().filter_map(|connection| Some((connection.head_paused_since()?, connection)));
        let longest_paused = paused.min_by_key(|(paused_since, _)| *paused_since);
        longest_paused.inspect(|(_, connection)| connection.evict()).is_some()
    }

    /// Closes the connections that have been idle for at least `min_idle`.
    pub fn close_idle(&self, min_idle: Duration) {
        for connection in self.open.borrow().values() {
            if connection.idle_since_if_closable().is_some_and(|idle_since| idle_since.elapsed() >= min_idle)
            {
                self.close(connection);
            }
        }
    }

    /// Aborts the connections whose clients take too long to send a request head or to read a response.
    pub fn abort_stuck(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|connection| connection.is_stuck())
            .for_each(|connection| connection.request_abort());
    }

    /// Waits until a connection is removed, for at most `max_wait`.
    pub async fn wait_for_removal(&self, max_wait: Duration) {
        // The result is ignored: callers check the table again after both a removal and a timeout.
        let _ = timeout(max_wait, self.removed.notified()).await;
    }
}

/// A connection's entry in the table, which is removed on drop.
pub struct TableEntry {
    table: Rc<ConnectionTable>,
    id: ConnectionId,
    connection: Rc<Connection>,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.id);
        self.table.cancel_close(&self.connection);
        self.table.removed.notify_one();
    }
}

/// Counts a request as open. It is dropped once hyper has read the last bytes of the response.
pub struct RequestGuard {
    table: Rc<ConnectionTable>,
    connection: Rc<Connection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.mark_request_finished();
        self.table.active.set(self.table.active.get() - 1);
    }
}
