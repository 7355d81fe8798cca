//! Maintenance of endpoints, which operators start and end, also for endpoints that are not listed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::{EndpointId, EndpointInfo, Timestamp};

/// An endpoint's exit from maintenance.
struct MaintenanceExit {
    exited_at: Timestamp,
    /// Whether the endpoint was in use before its maintenance and has not been sent an attempt since. With
    /// little traffic, random selection might not choose it for a long time.
    probe_pending: bool,
}

/// Maintenance state of endpoints as set by operators.
#[derive(Default)]
pub(super) struct Maintenance {
    /// Endpoints in maintenance.
    pub(super) in_maintenance: BTreeSet<EndpointId>,
    /// Endpoints in maintenance that were in use when it started.
    were_in_use: BTreeSet<EndpointId>,
    /// The last exit from maintenance by endpoint.
    exits: BTreeMap<EndpointId, MaintenanceExit>,
}

impl Maintenance {
    /// Puts an endpoint into maintenance; returns `false` if it already was in maintenance.
    pub(super) fn enter(&mut self, id: EndpointId, in_use: bool) -> bool {
        if !self.in_maintenance.insert(id) {
            return false;
        }
        if self.exits.remove(&id).is_some_and(|exit| exit.probe_pending) || in_use {
            self.were_in_use.insert(id);
        }
        true
    }

    /// Ends the maintenance of an endpoint as of `at`. Forgets exits from maintenance that are longer ago
    /// than the slow start takes, except for endpoints with a pending probe.
    pub(super) fn exit(&mut self, id: EndpointId, at: Timestamp, now: Timestamp, slow_start: Duration) {
        self.in_maintenance.remove(&id);
        self.exits.retain(|_, exit| exit.probe_pending || exit.exited_at + slow_start > now);
        let probe_pending = self.were_in_use.remove(&id);
        self.exits.insert(id, MaintenanceExit { exited_at: at.min(now), probe_pending });
    }

    /// Returns when an endpoint last started. The end of maintenance counts as a start, since discovery may
    /// not report the start yet.
    pub(super) fn started_at(&self, info: &EndpointInfo) -> Timestamp {
        self.exits.get(&info.id).map_or(info.started_at, |exit| exit.exited_at.max(info.started_at))
    }

    /// Returns whether an endpoint still has to be sent one request soon, to show that it is in use again.
    pub(super) fn is_probe_pending(&self, id: EndpointId) -> bool {
        self.exits.get(&id).is_some_and(|exit| exit.probe_pending)
    }

    /// Records that an attempt is sent to the endpoint, which no longer needs a probe.
    pub(super) fn mark_probed(&mut self, id: EndpointId) {
        self.exits.get_mut(&id).into_iter().for_each(|exit| exit.probe_pending = false);
    }

    /// Returns whether an attempt sent at this time only shows the state of the endpoint before it last
    /// exited maintenance.
    pub(super) fn was_sent_before_exit(&self, id: EndpointId, sent_at: Timestamp) -> bool {
        self.exits.get(&id).is_some_and(|exit| sent_at < exit.exited_at)
    }
}
