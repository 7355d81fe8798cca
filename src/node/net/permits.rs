//! Permits for upstream connections.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Limits the number of upstream connections.
///
/// Not a [`tokio::sync::Semaphore`], for two reasons. The limit changes while the process runs and may fall
/// below the number of permits in use, which a semaphore can't represent: its permits can only be forgotten
/// while they are available. And a semaphore hands a released permit to the waiter that came first, while
/// here it goes to whoever asks next, so that a request that finds a permit free never queues behind those
/// that still have to be woken.
pub struct ConnectionPermits {
    max: Cell<usize>,
    in_use: Cell<usize>,
    /// Notified, one waiter at a time, when a permit was released.
    released: Notify,
}

impl ConnectionPermits {
    /// Permits for up to `max` connections.
    pub fn new(max: usize) -> ConnectionPermits {
        ConnectionPermits { max: Cell::new(max), in_use: Cell::new(0), released: Notify::new() }
    }

    /// How many connections there may be.
    pub fn max(&self) -> usize {
        self.max.get()
    }

    /// Changes how many connections there may be. Those beyond stay until they are closed.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// How many permits are in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// A permit, if there is one.
    pub fn try_acquire(self: &Rc<ConnectionPermits>) -> Option<ConnectionPermit> {
        if self.in_use.get() >= self.max.get() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }

    /// Waits until a permit is released. By the time that the caller runs another may have taken it.
    pub async fn released(&self) {
        self.released.notified().await;
    }
}

/// The right to one connection, released when it is dropped.
pub struct ConnectionPermit(Rc<ConnectionPermits>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.released.notify_one();
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_permits.rs"]
mod tests;
