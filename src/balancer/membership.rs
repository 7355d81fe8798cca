//! Changes of the endpoint list by discovery or by operators, and the time of the next poll of discovery.

use std::time::Duration;

use super::Balancer;
use super::interface::{
    Action, DiscoveryMode, EndpointId, EndpointInfo, TimerToken, Timestamp, whole_micros,
};

/// Maximum backoff after the first failed poll. It doubles with each further failure.
const POLL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl Balancer {
    /// Applies a snapshot (`complete`) or a delta of the endpoint list.
    pub(super) fn update_endpoints(&mut self, list: Vec<EndpointInfo>, complete: bool) {
        self.failed_polls = 0;
        // Load-dependent weights change twice per second: rebuilding the pools for each change would use up a
        // node's CPU time.
        if self.table.update(list, complete, self.settings.classes.len()) {
            self.rebuild_pools();
        }
        self.dispatch();
    }

    /// Puts an endpoint into maintenance, whatever discovery reports.
    pub(super) fn enter_maintenance(&mut self, id: EndpointId) {
        let in_use = self.table.get_mut(id).is_some_and(|e| e.last_sent_at > Timestamp::default());
        if self.table.maintenance.enter(id, in_use) {
            self.rebuild_pools();
            self.dispatch();
        }
    }

    /// Ends the maintenance of an endpoint as of `at`, which lies in the past if another process of the node
    /// received the operator's command. The endpoint goes through slow start, and what was learned about it
    /// is reset.
    pub(super) fn exit_maintenance(&mut self, id: EndpointId, at: Timestamp) {
        self.table.maintenance.exit(id, at, self.now, self.settings.slow_start_window);
        if let Ok(i) = self.table.find(id) {
            self.table.reset_learned_state(i, self.table.endpoints[i].info, self.settings.classes.len());
        }
        self.rebuild_pools();
        self.dispatch();
    }

    /// Subscribes to deltas of the endpoint list unless discovery pushes them.
    pub(super) fn poll_discovery(&mut self) {
        if self.settings.discovery != DiscoveryMode::Push {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Schedules another poll with exponential backoff, unless discovery pushes the endpoint list. The
    /// backoff is at most half of the maximum time between polls. It is drawn at random from the upper half
    /// of its range, so that nodes whose polls failed at the same time do not poll again at the same time.
    ///
    /// ```text
    /// limit   = min(POLL_BACKOFF * 2 ^ min(failed polls, MAX_BACKOFF_DOUBLINGS), interval / 2)
    /// backoff = random in [limit / 2, limit)
    ///
    /// failed polls   number of polls that failed before this one since the last endpoint list
    /// interval       maximum time between polls, from the settings
    /// ```
    pub(super) fn retry_discovery(&mut self) {
        let DiscoveryMode::Poll { interval } = self.settings.discovery else { return };
        let backoff_us = whole_micros(POLL_BACKOFF) << self.failed_polls.min(MAX_BACKOFF_DOUBLINGS);
        let half_us = backoff_us.min(whole_micros(interval) / 2).max(2) / 2;
        self.failed_polls += 1;
        let after = Duration::from_micros(half_us + self.random.u64(..half_us));
        self.actions.push(Action::SetTimer { after, token: TimerToken::Discovery });
    }
}
