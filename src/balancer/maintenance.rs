//! What operators have done to endpoints, whether listed or not: taken out of use, put back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::{EndpointId, EndpointInfo, Timestamp};

/// An endpoint's return from maintenance.
struct Return {
    at: Timestamp,
    /// It was in use before and was sent nothing since: with little traffic, chance might pass it over for
    /// long.
    probe_pending: bool,
}

/// Maintenance of endpoints, as operators ordered it.
#[derive(Default)]
pub(super) struct Maintenance {
    /// Endpoints that are out of use.
    pub(super) ongoing: BTreeSet<EndpointId>,
    /// Those of them that were in use when it began.
    were_in_use: BTreeSet<EndpointId>,
    returns: BTreeMap<EndpointId, Return>,
}

impl Maintenance {
    /// Takes an endpoint out of use; false if it was already.
    pub(super) fn enter(&mut self, id: EndpointId, in_use: bool) -> bool {
        if !self.ongoing.insert(id) {
            return false;
        }
        if self.returns.remove(&id).is_some_and(|returned| returned.probe_pending) || in_use {
            self.were_in_use.insert(id);
        }
        true
    }

    /// Puts an endpoint back as of `at`; forgets returns that are older than the slow start.
    pub(super) fn exit(&mut self, id: EndpointId, at: Timestamp, now: Timestamp, slow_start: Duration) {
        self.ongoing.remove(&id);
        self.returns.retain(|_, returned| returned.probe_pending || returned.at + slow_start > now);
        let probe_pending = self.were_in_use.remove(&id);
        self.returns.insert(id, Return { at: at.min(now), probe_pending });
    }

    /// When an endpoint last started. A return counts as a start: discovery may not know of it yet.
    pub(super) fn started_at(&self, info: &EndpointInfo) -> Timestamp {
        self.returns.get(&info.id).map_or(info.started_at, |returned| returned.at.max(info.started_at))
    }

    /// Whether an endpoint is owed one request soon, to show that it is in use again.
    pub(super) fn probe_pending(&self, id: EndpointId) -> bool {
        self.returns.get(&id).is_some_and(|returned| returned.probe_pending)
    }

    /// Something is being sent to the endpoint.
    pub(super) fn probed(&mut self, id: EndpointId) {
        self.returns.get_mut(&id).into_iter().for_each(|returned| returned.probe_pending = false);
    }

    /// Whether what was sent at this time tells of the endpoint as it was before its return.
    pub(super) fn is_before_return(&self, id: EndpointId, sent_at: Timestamp) -> bool {
        self.returns.get(&id).is_some_and(|returned| sent_at < returned.at)
    }
}
