//! Hot restart: two processes of a node run side by side, one takes over from the other, and both together
//! keep to the node's descriptors.
//!
//! Each process counts itself in the state file as it starts. Whoever sees that count rise has a successor
//! (or has one process beside it) and keeps to half of the descriptors. The predecessor then releases the
//! other half: it closes idle connections until it is within its limit and says so in a file. The successor
//! becomes ready to serve after that, or after a while without it: the predecessor may have crashed, or be of
//! a version that knows no release.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{ClientConnections, Lifecycle};
use crate::log::ErrorChain;
use crate::state_store::{POLL_INTERVAL, StateStore};

/// How long a process waits for its connections to come within the limit before it releases descriptors all
/// the same. New connections without a request are left alone at first, but not for so long.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a process waits for its predecessor to release descriptors: longer than that one takes. There may
/// be no predecessor any more.
const AWAIT_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after the last start of a process the descriptors are shared. By then one of the two has ended:
/// the platform has replaced the older one, or the younger one has failed.
const DESCRIPTOR_SHARING_PERIOD: Duration = Duration::from_secs(11);

/// This process's part in hot restarts, as predecessor and as successor.
pub struct HotRestart<C> {
    store: Rc<StateStore>,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<C>,
    /// The start number of this process, from 1.
    start_number: u64,
    started_at: Instant,
    /// The start number of the node's youngest process, and since when it has been the youngest one.
    latest_start_number: u64,
    latest_start_observed_at: Instant,
    /// The start number of the process that descriptors were last released to; this process's own if there
    /// was none.
    released_to: u64,
}

impl<C: ClientConnections> HotRestart<C> {
    /// Counts this process among the node's, in `store`.
    pub async fn register(
        store: Rc<StateStore>,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<C>,
    ) -> HotRestart<C> {
        let mut start_number = 0;
        if let Err(error) = store.update(|state| start_number = state.register_process()).await {
            log!("this process is not counted in the state file: {}", ErrorChain(&error));
        }
        let now = Instant::now();
        HotRestart {
            store,
            lifecycle,
            connections,
            start_number,
            started_at: now,
            latest_start_number: start_number,
            latest_start_observed_at: now,
            released_to: start_number,
        }
    }

    /// Follows the state file for as long as the process runs, and calls `on_state_change` whenever another
    /// process has changed it.
    pub async fn run(mut self, on_state_change: impl Fn()) {
        loop {
            self.step(Instant::now());
            sleep(POLL_INTERVAL).await;
            if self.store.refresh() {
                on_state_change();
            }
        }
    }

    /// Does what is due at `now`.
    fn step(&mut self, now: Instant) {
        self.update_latest_start_number(now);
        self.connections.share_descriptors(self.shares_descriptors(now));
        if self.can_release_descriptors(now) {
            self.store.release_descriptors(self.latest_start_number);
            self.released_to = self.latest_start_number;
        }
        if self.are_descriptors_available(now) {
            self.lifecycle.mark_descriptors_available();
        }
    }

    fn update_latest_start_number(&mut self, now: Instant) {
        let latest_start_number = self.store.state().process_starts;
        if latest_start_number != self.latest_start_number {
            self.latest_start_number = latest_start_number;
            self.latest_start_observed_at = now;
        }
    }

    /// Whether another process may hold descriptors too.
    fn shares_descriptors(&self, now: Instant) -> bool {
        self.latest_start_number > 1 && now - self.latest_start_observed_at < DESCRIPTOR_SHARING_PERIOD
    }

    /// Whether a successor waits for descriptors, and this process keeps to its half or has tried for long
    /// enough.
    fn can_release_descriptors(&self, now: Instant) -> bool {
        self.latest_start_number > self.released_to
            && (!self.connections.exceeds_limit() || now - self.latest_start_observed_at >= RELEASE_TIMEOUT)
    }

    /// Whether no predecessor keeps this process from its part of the descriptors.
    fn are_descriptors_available(&self, now: Instant) -> bool {
        self.start_number <= 1
            || now - self.started_at >= AWAIT_RELEASE_TIMEOUT
            || self.store.were_descriptors_released(self.start_number)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart.rs"]
mod tests;
