//! Permits that limit the number of upstream connections.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Limits the number of upstream connections.
///
/// This is not a [`tokio::sync::Semaphore`], for two reasons. The limit changes while the process runs and
/// may fall below the number of permits in use, which a semaphore can't represent: its permits can only be
/// forgotten while they are available. Besides, a semaphore assigns a released permit to the first waiter.
/// Here the next caller of [`ConnectionPermits::try_acquire`] gets it, so that a request that finds a permit
/// free never waits for others that still have to be woken.
pub struct ConnectionPermits {
    /// Maximum number of permits in use. It may be below `in_use`.
    max: Cell<usize>,
    in_use: Cell<usize>,
    /// Wakes one waiter for each permit that is released.
    released: Notify,
}

impl ConnectionPermits {
    /// Creates permits for at most `max` connections.
    pub fn new(max: usize) -> ConnectionPermits {
        ConnectionPermits { max: Cell::new(max), in_use: Cell::new(0), released: Notify::new() }
    }

    /// Returns the maximum number of connections.
    pub fn max(&self) -> usize {
        self.max.get()
    }

    /// Changes the maximum number of connections. Open connections above it stay until they are closed.
    pub fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Returns a permit if one is available.
    pub fn try_acquire(self: &Rc<ConnectionPermits>) -> Option<ConnectionPermit> {
        if self.in_use.get() >= self.max.get() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }

    /// Waits until a permit is released. Another task may have acquired it before the caller runs.
    pub async fn released(&self) {
        self.released.notified().await;
    }
}

/// Permit for one connection, released on drop.
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
