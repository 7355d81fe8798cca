//! The directory of endpoints: which ones may be sent requests, and where they are.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use mothspool::{EndpointId, EndpointInfo, EndpointState};

use super::connection::Incarnation;
use super::idle::IdleConnections;

/// An endpoint as a list names it.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    /// What the balancer decides by.
    pub info: EndpointInfo,
    /// Where this node reaches it.
    pub address: SocketAddr,
}

/// An endpoint that the endpoint list says is ready.
struct Endpoint {
    incarnation: Incarnation,
    idle: IdleConnections,
}

impl Endpoint {
    fn new(incarnation: Incarnation) -> Endpoint {
        Endpoint { incarnation, idle: IdleConnections::new() }
    }

    /// Whether it has the same address and start time. The maintenance epoch does not matter: it is no
    /// property of the process.
    fn is_same_process(&self, other: &Incarnation) -> bool {
        (self.incarnation.address, self.incarnation.started_at) == (other.address, other.started_at)
    }
}

/// All ready endpoints, with their idle connections, and what operators have ordered about endpoints.
#[derive(Default)]
pub struct EndpointDirectory {
    ready: HashMap<EndpointId, Endpoint>,
    /// All that a list has ever named. Operators may end the maintenance of one that is gone.
    known: HashSet<EndpointId>,
    in_maintenance: HashSet<EndpointId>,
    /// How many times maintenance has ended for any endpoint.
    maintenance_epoch: u64,
}

impl EndpointDirectory {
    /// Whether a list has ever named this endpoint.
    pub fn is_known(&self, id: EndpointId) -> bool {
        self.known.contains(&id)
    }

    /// Whether any endpoint is ready.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes in a snapshot of all endpoints: those that it does not name are gone.
    pub fn apply_snapshot(&mut self, list: impl Iterator<Item = ListedEndpoint>) {
        let unnamed = self.ready.keys().copied().collect();
        self.apply(list, unnamed);
    }

    /// Takes in the endpoints that have changed.
    pub fn apply_delta(&mut self, list: impl Iterator<Item = ListedEndpoint>) {
        self.apply(list, HashSet::new());
    }

    /// Takes in the entries of a list. Of an endpoint that is not ready then nothing is kept, as it is sent
    /// nothing; `unready` are those that are not unless the list says otherwise.
    fn apply(&mut self, list: impl Iterator<Item = ListedEndpoint>, mut unready: HashSet<EndpointId>) {
        for endpoint in list {
            let info = endpoint.info;
            self.known.insert(info.id);
            self.update(endpoint);
            if info.state == EndpointState::Ready {
                unready.remove(&info.id);
            } else {
                unready.insert(info.id);
            }
        }
        self.ready.retain(|id, _| !unready.contains(id));
    }

    /// Adds an endpoint, or replaces it if it has moved or restarted: an endpoint that was unreachable and is
    /// back does not know its old connections, and nothing on them would show that.
    fn update(&mut self, ListedEndpoint { info, address }: ListedEndpoint) {
        let incarnation =
            Incarnation { address, started_at: info.started_at, maintenance_epoch: self.maintenance_epoch };
        let endpoint = self.ready.entry(info.id).or_insert_with(|| Endpoint::new(incarnation));
        if !endpoint.is_same_process(&incarnation) {
            *endpoint = Endpoint::new(incarnation);
        }
    }

    /// Sends an endpoint nothing new from now on, whatever lists say.
    pub fn enter_maintenance(&mut self, id: EndpointId) {
        self.in_maintenance.insert(id);
        if let Some(endpoint) = self.ready.get_mut(&id) {
            endpoint.idle.clear();
        }
    }

    /// Sends an endpoint requests again if it is ready, on new connections only.
    pub fn exit_maintenance(&mut self, id: EndpointId) {
        self.in_maintenance.remove(&id);
        self.maintenance_epoch += 1;
        if let Some(endpoint) = self.ready.get_mut(&id) {
            endpoint.incarnation.maintenance_epoch = self.maintenance_epoch;
            endpoint.idle.clear();
        }
    }

    /// The incarnation to send requests to, if the endpoint is ready and not in maintenance.
    pub fn available(&self, id: EndpointId) -> Option<Incarnation> {
        let endpoint = self.ready.get(&id)?;
        (!self.in_maintenance.contains(&id)).then_some(endpoint.incarnation)
    }

    /// The idle connections to an endpoint, if it is ready.
    pub fn idle_mut(&mut self, id: EndpointId) -> Option<&mut IdleConnections> {
        self.ready.get_mut(&id).map(|endpoint| &mut endpoint.idle)
    }

    /// The idle connections to each endpoint.
    pub fn all_idle_mut(&mut self) -> impl Iterator<Item = &mut IdleConnections> {
        self.ready.values_mut().map(|endpoint| &mut endpoint.idle)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_directory.rs"]
mod tests;
