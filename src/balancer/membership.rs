//! Changes of the endpoint list, by discovery or by operators, and when to poll discovery again.

use std::time::Duration;

use super::Balancer;
use super::interface::{
    Action, DiscoveryMode, EndpointId, EndpointInfo, TimerToken, Timestamp, whole_micros,
};

/// The longest wait after a first failed poll; it doubles with each further one.
const POLL_BACKOFF: Duration = Duration::from_secs(1);
/// After so many doublings the wait grows no more.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Balancer {
    /// Takes in a list, complete or of changes.
    pub(super) fn update_endpoints(&mut self, list: Vec<EndpointInfo>, complete: bool) {
        self.failed_polls = 0;
        // Weights that follow load come twice a second: new pools for each would take a node's CPU.
        if self.table.update(list, complete, self.settings.classes.len()) {
            self.rebuild_pools();
        }
        self.dispatch();
    }

    /// Takes an endpoint out of use, whatever lists say.
    pub(super) fn enter_maintenance(&mut self, id: EndpointId) {
        let in_use = self.table.get_mut(id).is_some_and(|e| e.last_sent > Timestamp::default());
        if self.table.maintenance.enter(id, in_use) {
            self.rebuild_pools();
            self.dispatch();
        }
    }

    /// Puts an endpoint back as of `at`, some time ago if another process of the node was notified: it is
    /// warming up, and nothing learned of it holds any more.
    pub(super) fn exit_maintenance(&mut self, id: EndpointId, at: Timestamp) {
        self.table.maintenance.exit(id, at, self.now, self.settings.slow_start_window);
        if let Ok(i) = self.table.find(id) {
            self.table.reset_learned_state(i, self.table.endpoints[i].info, self.settings.classes.len());
        }
        self.rebuild_pools();
        self.dispatch();
    }

    /// Asks for changes of the list where they don't come by themselves.
    pub(super) fn poll_discovery(&mut self) {
        if self.settings.discovery != DiscoveryMode::Push {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Polls again after a wait of at most half of the longest time that the settings allow without a poll.
    /// The wait is drawn from the upper half of its range, so that nodes which failed together do not poll
    /// together.
    pub(super) fn retry_discovery(&mut self) {
        let DiscoveryMode::Poll { interval } = self.settings.discovery else { return };
        let backoff_us = whole_micros(POLL_BACKOFF) << self.failed_polls.min(MAX_BACKOFF_DOUBLINGS);
        let half_us = backoff_us.min(whole_micros(interval) / 2).max(2) / 2;
        self.failed_polls += 1;
        let after = Duration::from_micros(half_us + self.random.u64(..half_us));
        self.actions.push(Action::SetTimer { after, token: TimerToken::Discovery });
    }
}
