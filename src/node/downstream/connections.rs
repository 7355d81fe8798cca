//! The table of downstream connections: the one owner of their number, their limits, and the choice of the
//! idle connection to close.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::downstream::connection::Connection;

/// Up to one in this many descriptors is used for connections that stay open between requests.
const KEEP_ALIVE_DIVISOR: usize = 3;
/// One in this many connections is not served but answered with a rejection.
const REJECTION_DIVISOR: usize = 10;

/// How many downstream connections there may be.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// The most open connections.
    max_open: usize,
    /// The most of them with a request that is served.
    max_served: usize,
    /// Beyond this many, idle connections are closed and responses close theirs: connections that clients
    /// keep without using them keep others from connecting.
    max_kept_alive: usize,
}

impl ConnectionLimits {
    /// The limits for a process with so many descriptors for connections, of which `upstream` are set aside
    /// for endpoints. A downstream connection is in use for as long as its request waits, an upstream one
    /// only during an attempt: downstream needs more.
    pub fn new(descriptors: usize, upstream: usize) -> ConnectionLimits {
        let max_open = descriptors - upstream;
        ConnectionLimits {
            max_open,
            max_served: max_open - max_open / REJECTION_DIVISOR,
            max_kept_alive: descriptors / KEEP_ALIVE_DIVISOR,
        }
    }
}

/// Identifies a connection in the table.
type ConnectionId = u64;

/// All downstream connections.
pub struct ConnectionTable {
    limits: Cell<ConnectionLimits>,
    open: RefCell<HashMap<ConnectionId, Rc<Connection>>>,
    next_id: Cell<ConnectionId>,
    /// How many connections have a request open.
    active: Cell<usize>,
    /// How many connections were asked to close and have not yet.
    closing: Cell<usize>,
    /// Notified whenever a connection was removed.
    removed: Notify,
}

impl ConnectionTable {
    /// An empty table.
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

    /// Sets the limits, and closes idle connections beyond them.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.limits.set(limits);
        while self.non_closing_count() > limits.max_open && self.close_longest_idle() {}
    }

    /// Enters a connection until the returned guard is dropped. If there are too many, the one that has been
    /// idle for longest is closed.
    pub fn insert(self: &Rc<Self>, connection: Rc<Connection>) -> TableEntry {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.open.borrow_mut().insert(id, connection.clone());
        if self.exceeds_keep_alive_limit() {
            self.close_longest_idle();
        }
        TableEntry { table: self.clone(), id, connection }
    }

    /// Counts a request as open on its connection until the returned guard is dropped.
    pub fn start_request(self: &Rc<Self>, connection: &Rc<Connection>) -> RequestGuard {
        self.active.set(self.active.get() + 1);
        connection.mark_request_started();
        RequestGuard { table: self.clone(), connection: connection.clone() }
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Whether another connection may be accepted.
    pub fn has_capacity(&self) -> bool {
        self.open.borrow().len() < self.limits.get().max_open
    }

    /// Whether there are more connections than allowed, those that are closing included.
    pub fn exceeds_limit(&self) -> bool {
        self.open.borrow().len() > self.limits.get().max_open
    }

    /// Whether more requests are open than may be served.
    pub fn exceeds_served_limit(&self) -> bool {
        self.active.get() > self.limits.get().max_served
    }

    /// Whether there are more connections than may stay open between requests.
    pub fn exceeds_keep_alive_limit(&self) -> bool {
        self.non_closing_count() > self.limits.get().max_kept_alive
    }

    /// How many connections there are that were not asked to close.
    fn non_closing_count(&self) -> usize {
        self.open.borrow().len() - self.closing.get()
    }

    /// Asks a connection to close once it is idle.
    pub fn close(&self, connection: &Connection) {
        if !connection.set_closing(true) {
            self.closing.set(self.closing.get() + 1);
        }
        connection.request_close();
    }

    /// Withdraws [`ConnectionTable::close`]: a request has begun to arrive. The connection closes with its
    /// response if it has to.
    pub fn cancel_close(&self, connection: &Connection) {
        if connection.set_closing(false) {
            self.closing.set(self.closing.get() - 1);
        }
    }

    /// Closes the connection that has been idle for longest; returns whether there was one to close.
    pub fn close_longest_idle(&self) -> bool {
        let open = self.open.borrow();
        let closable =
            open.values().filter_map(|connection| Some((connection.idle_since_if_closable()?, connection)));
        let longest_idle = closable.min_by_key(|(idle_since, _)| *idle_since);
        longest_idle.inspect(|(_, connection)| self.close(connection)).is_some()
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

    /// Cuts off the connections whose clients have stopped sending or reading.
    pub fn abort_stuck(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|connection| connection.is_stuck())
            .for_each(|connection| connection.request_abort());
    }

    /// Waits until a connection is removed, for at most `limit`.
    pub async fn wait_for_removal(&self, max_wait: Duration) {
        // Whether one was is for the caller to see in the table.
        let _ = timeout(max_wait, self.removed.notified()).await;
    }
}

/// A connection's entry in the table, removed on drop.
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

/// An open request; dropped once hyper has taken the last of its response.
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
