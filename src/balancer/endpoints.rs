//! Which servers take requests: what discovery's list says of them, and what operators have taken out of it.
//! Part of the decisions, like `src/decide.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::interface::*;
use super::state::Endpoint;
use super::time::{Timestamp, whole_micros};
use super::{ASK, Balancer};

/// The longest first wait before discovery is asked again; it doubles with each failure.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A server that operators have put back.
struct Return {
    at: Timestamp,
    /// It was in use before and has not been sent anything since: chance might pass it over for long at a
    /// node with little traffic.
    owed_a_trial: bool,
}

/// What operators have done to servers.
#[derive(Default)]
pub(crate) struct Maintenance {
    /// Those taken out, whether the list names them or not.
    out: BTreeSet<EndpointId>,
    /// Those taken out that were in use at the time.
    used: BTreeSet<EndpointId>,
    back: BTreeMap<EndpointId, Return>,
}

impl Maintenance {
    /// Whether anything new may go there.
    pub(crate) fn takes_requests(&self, entry: &EndpointInfo) -> bool {
        entry.state == EndpointState::Ready && !self.out.contains(&entry.id)
    }

    /// When it last started. One that was put back counts as started then: discovery may not know yet.
    pub(crate) fn started(&self, entry: &EndpointInfo) -> Timestamp {
        self.back.get(&entry.id).map_or(entry.started_at, |back| back.at.max(entry.started_at))
    }

    pub(crate) fn owed_a_trial(&self, id: EndpointId) -> bool {
        self.back.get(&id).is_some_and(|back| back.owed_a_trial)
    }

    /// Something is being sent there.
    pub(crate) fn tried(&mut self, id: EndpointId) {
        if let Some(back) = self.back.get_mut(&id) {
            back.owed_a_trial = false;
        }
    }

    /// Whether what was sent at this time tells of the server as it was before it was put back.
    pub(crate) fn was_before_return(&self, id: EndpointId, sent_at: Timestamp) -> bool {
        self.back.get(&id).is_some_and(|back| sent_at < back.at)
    }
}

impl Balancer {
    /// An operator has taken a server out: nothing new goes there, whatever the list says.
    pub(crate) fn taken_out(&mut self, id: EndpointId) {
        if !self.upkeep.out.insert(id) {
            return;
        }
        let owed = self.upkeep.back.remove(&id).is_some_and(|back| back.owed_a_trial);
        if owed || self.find(id).is_ok_and(|i| self.endpoints[i].last_sent > Timestamp::default()) {
            self.upkeep.used.insert(id);
        }
        self.build_pools();
        self.dispatch();
    }

    /// An operator has put a server back, some time ago if another process was told: it is cold, and nothing
    /// learned of it holds any more.
    pub(crate) fn put_back(&mut self, id: EndpointId, at: Timestamp) {
        self.upkeep.out.remove(&id);
        let slow_start_window = self.settings.slow_start_window;
        self.upkeep.back.retain(|_, back| back.owed_a_trial || back.at + slow_start_window > self.now);
        let owed_a_trial = self.upkeep.used.remove(&id);
        self.upkeep.back.insert(id, Return { at: at.min(self.now), owed_a_trial });
        if let Ok(i) = self.find(id) {
            self.forget(i, self.endpoints[i].entry);
        }
        self.build_pools();
        self.dispatch();
    }

    /// Keeps of a server only what holds after its restart too.
    fn forget(&mut self, i: usize, entry: EndpointInfo) {
        let Endpoint { in_flight, share, size, .. } = self.endpoints[i];
        let fresh = Endpoint::new(entry, self.settings.classes.len());
        self.endpoints[i] = Endpoint { share, size, in_flight, ..fresh };
    }

    pub(crate) fn ask(&mut self) {
        let asked = self.settings.discovery != DiscoveryMode::Push;
        self.actions.extend(asked.then_some(Action::Subscribe));
    }

    /// Asks again after a wait that doubles and is drawn at random, so that nodes which failed together
    /// do not return together; never less often than the rules want.
    pub(crate) fn ask_later(&mut self) {
        let DiscoveryMode::Poll { every } = self.settings.discovery else { return };
        let longest =
            (whole_micros(ASK_AGAIN) << self.failed_asks.min(3)).min(whole_micros(every) / 2).max(2);
        self.failed_asks += 1;
        let after = Duration::from_micros(longest / 2 + self.random.u64(..longest / 2));
        self.actions.push(Action::SetTimer { after, token: ASK });
    }

    pub(crate) fn list_changed(&mut self, list: Vec<EndpointInfo>, whole: bool) {
        self.failed_asks = 0;
        let states = |of: &[Endpoint]| of.iter().map(|s| (s.entry.id, s.entry.state)).collect::<Vec<_>>();
        let before = states(&self.endpoints);
        self.endpoints.iter_mut().filter(|_| whole).for_each(|s| s.entry.state = EndpointState::Gone);
        for entry in list {
            let largest = self.machine_type_sizes.entry(entry.machine_type).or_insert(entry.weight);
            *largest = largest.max(entry.weight);
            match self.find(entry.id) {
                Err(i) => self.endpoints.insert(i, Endpoint::new(entry, self.settings.classes.len())),
                Ok(i) if self.endpoints[i].entry.started_at == entry.started_at => {
                    self.endpoints[i].entry = entry;
                }
                // A restarted server keeps its id, but nothing learned of it holds any more.
                Ok(i) => self.forget(i, entry),
            }
        }
        self.endpoints.retain(|s| s.entry.state != EndpointState::Gone || s.in_flight > 0);
        // Live weights come twice a second: new pools for each would take a node's CPU.
        if states(&self.endpoints) != before {
            self.build_pools();
        }
        self.dispatch();
    }

    pub(crate) fn find(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints.binary_search_by_key(&id, |s| s.entry.id)
    }
}
