//! What operators have done to endpoints, whether listed or not: taken out of use, put back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::{EndpointId, EndpointInfo, Timestamp};

/// An endpoint's return from maintenance.
struct MaintenanceExit {
    exited_at: Timestamp,
    /// It was in use before and was sent nothing since: with little traffic, chance might pass it over for
    /// long.
    probe_pending: bool,
}

/// Maintenance of endpoints, as operators ordered it.
#[derive(Default)]
pub(super) struct Maintenance {
    /// Endpoints that are out of use.
    pub(super) in_maintenance: BTreeSet<EndpointId>,
    /// Those of them that were in use when it began.
    were_in_use: BTreeSet<EndpointId>,
    exits: BTreeMap<EndpointId, MaintenanceExit>,
}

impl Maintenance {
    /// Takes an endpoint out of use; false if it was already.
    pub(super) fn enter(&mut self, id: EndpointId, in_use: bool) -> bool {
        if !self.in_maintenance.insert(id) {
            return false;
        }
        if self.exits.remove(&id).is_some_and(|exit| exit.probe_pending) || in_use {
            self.were_in_use.insert(id);
        }
        true
    }

    /// Puts an endpoint back as of `at`; forgets returns that are older than the slow start.
    pub(super) fn exit(&mut self, id: EndpointId, at: Timestamp, now: Timestamp, slow_start: Duration) {
        self.in_maintenance.remove(&id);
        self.exits.retain(|_, exit| exit.probe_pending || exit.exited_at + slow_start > now);
        let probe_pending = self.were_in_use.remove(&id);
        self.exits.insert(id, MaintenanceExit { exited_at: at.min(now), probe_pending });
    }

    /// When an endpoint last started. A return counts as a start: discovery may not know of it yet.
    pub(super) fn started_at(&self, info: &EndpointInfo) -> Timestamp {
        self.exits.get(&info.id).map_or(info.started_at, |exit| exit.exited_at.max(info.started_at))
    }

    /// Whether an endpoint is owed one request soon, to show that it is in use again.
    pub(super) fn probe_pending(&self, id: EndpointId) -> bool {
        self.exits.get(&id).is_some_and(|exit| exit.probe_pending)
    }

    /// Something is being sent to the endpoint.
    pub(super) fn mark_probed(&mut self, id: EndpointId) {
        self.exits.get_mut(&id).into_iter().for_each(|exit| exit.probe_pending = false);
    }

    /// Whether what was sent at this time tells of the endpoint as it was before its return.
    pub(super) fn was_sent_before_exit(&self, id: EndpointId, sent_at: Timestamp) -> bool {
        self.exits.get(&id).is_some_and(|exit| sent_at < exit.exited_at)
    }
}
