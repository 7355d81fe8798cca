//! Hot restart: a new process of a node takes over from the old one. While both run, their descriptors
//! together stay within the limit of the node.
//!
//! Each process increments the start count in the state file when it starts, and polls that file. A process
//! that sees the count rise has a successor. A process that is not the first of its node may have a
//! predecessor that still runs. In both cases it uses at most half of the descriptors for
//! [`DESCRIPTOR_SHARING_PERIOD`].
//!
//! They also share the ids of requests that must not be executed twice, since a client may send a request
//! again to the other process.
//!
//! The predecessor closes idle connections until it is within this limit or a timeout has passed, and then
//! records in a file that it has released the other half. The successor becomes ready to serve after the
//! release, or after a timeout: the predecessor may have crashed, or its version may not support the release.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{ClientConnections, Lifecycle};
use crate::log::ErrorChain;
use crate::state_store::{POLL_INTERVAL, REQUEST_ID_RETENTION, StateStore};

/// How long a process waits until its connections are within the limit before it releases descriptors anyway.
/// It is longer than the time for which a new connection without a request has to stay open.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a process waits for its predecessor to release descriptors. The predecessor takes less time than
/// this, but may no longer be running.
const AWAIT_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the descriptors are shared after the start of a process. One of the two processes ends within
/// this time: the platform replaces the older one, or the newer one fails.
const DESCRIPTOR_SHARING_PERIOD: Duration = Duration::from_secs(11);

/// The role of this process in hot restarts, as predecessor and as successor.
pub struct HotRestart<C> {
    store: Rc<StateStore>,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<C>,
    /// Start number of this process; the first process of a node has 1. It is 0 if the start could not be
    /// registered.
    start_number: u64,
    started_at: Instant,
    /// Start number of the most recently started process of the node.
    latest_start_number: u64,
    /// When this process first saw that start number.
    latest_start_observed_at: Instant,
    /// Whether this process shares request ids with another one.
    shares_request_ids: bool,
    /// Start number of the process to which this one last released descriptors; its own start number if there
    /// was none.
    released_to: u64,
}

impl<C: ClientConnections> HotRestart<C> {
    /// Registers the start of this process in `store`. If that fails, a predecessor that still runs
    /// releases no descriptors, and this process does not wait for them.
    pub async fn register(
        store: Rc<StateStore>,
        lifecycle: Rc<Lifecycle>,
        connections: Rc<C>,
    ) -> HotRestart<C> {
        let mut start_number = 0;
        if let Err(error) = store.update(|state| start_number = state.register_process()).await {
            tracing::warn!(
                "cannot register this process in the state file, so no predecessor releases descriptors to \
                 it: {}",
                ErrorChain(&error)
            );
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
            shares_request_ids: false,
            released_to: start_number,
        }
    }

    /// Polls the state file for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            self.step(Instant::now());
            sleep(POLL_INTERVAL).await;
            self.store.refresh();
        }
    }

    /// Performs the actions that are due at `now`.
    fn step(&mut self, now: Instant) {
        self.update_latest_start_number(now);
        self.connections.set_hot_restart_limits(self.shares_descriptors(now));
        // This precedes the release, after which the successor accepts requests.
        self.update_request_id_sharing(now);
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

    /// Returns whether another process may be using descriptors too.
    fn shares_descriptors(&self, now: Instant) -> bool {
        self.started_within(DESCRIPTOR_SHARING_PERIOD, now)
    }

    /// Returns whether a process that is not the first one has started within this period.
    fn started_within(&self, period: Duration, now: Instant) -> bool {
        self.latest_start_number > 1 && now - self.latest_start_observed_at < period
    }

    /// Shares request ids while another process may be running, and then for as long as the ids of that
    /// process have to be known.
    fn update_request_id_sharing(&mut self, now: Instant) {
        let shares = self.started_within(DESCRIPTOR_SHARING_PERIOD + REQUEST_ID_RETENTION, now);
        match (self.shares_request_ids, shares) {
            (false, true) => self.connections.start_sharing_request_ids(self.store.shared_request_ids()),
            (true, false) => self.connections.stop_sharing_request_ids(),
            (false, false) | (true, true) => {}
        }
        self.shares_request_ids = shares;
    }

    /// Returns whether a successor waits for descriptors, and this process is within its limit or
    /// [`RELEASE_TIMEOUT`] has passed.
    fn can_release_descriptors(&self, now: Instant) -> bool {
        self.latest_start_number > self.released_to
            && (!self.connections.exceeds_limit() || now - self.latest_start_observed_at >= RELEASE_TIMEOUT)
    }

    /// Returns whether this process no longer has to wait for a predecessor to release descriptors.
    fn are_descriptors_available(&self, now: Instant) -> bool {
        self.start_number <= 1
            || now - self.started_at >= AWAIT_RELEASE_TIMEOUT
            || self.store.were_descriptors_released(self.start_number)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart.rs"]
mod tests;
