//! The directory of endpoints: which endpoints may be sent requests, and their addresses.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use mothspool::{EndpointId, EndpointInfo, EndpointState};

use super::connection::Incarnation;
use super::idle::IdleConnections;

/// An endpoint as described by an endpoint list.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    /// Properties that the balancer uses.
    pub info: EndpointInfo,
    /// Address at which this node reaches the endpoint.
    pub address: SocketAddr,
}

/// An endpoint that is listed as ready. It may be in maintenance.
struct Endpoint {
    incarnation: Incarnation,
    idle: IdleConnections,
}

impl Endpoint {
    fn new(incarnation: Incarnation) -> Endpoint {
        Endpoint { incarnation, idle: IdleConnections::new() }
    }

    /// Returns whether the address and the start time are the same. The maintenance epoch is ignored, because
    /// it is not a property of the process.
    fn is_same_process(&self, other: &Incarnation) -> bool {
        (self.incarnation.address, self.incarnation.started_at) == (other.address, other.started_at)
    }
}

/// All endpoints that are listed as ready, with their idle connections, and the endpoints that operators have
/// put in maintenance.
#[derive(Default)]
pub struct EndpointDirectory {
    /// The endpoints that are listed as ready, including those in maintenance.
    ready: HashMap<EndpointId, Endpoint>,
    /// All endpoints that a list has ever named. Operators may end the maintenance of an endpoint that is
    /// gone.
    known: HashSet<EndpointId>,
    in_maintenance: HashSet<EndpointId>,
    /// Number of times that maintenance has ended, over all endpoints.
    maintenance_epoch: u64,
}

impl EndpointDirectory {
    /// Returns whether a list has ever named this endpoint.
    pub fn is_known(&self, id: EndpointId) -> bool {
        self.known.contains(&id)
    }

    /// Returns whether any endpoint is listed as ready. It may be in maintenance.
    pub fn has_listed_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Applies a snapshot of all endpoints. Endpoints that it does not name are gone.
    pub fn apply_snapshot(&mut self, list: impl Iterator<Item = ListedEndpoint>) {
        let unnamed = self.ready.keys().copied().collect();
        self.apply(list, unnamed);
    }

    /// Applies a delta of the endpoints that have changed.
    pub fn apply_delta(&mut self, list: impl Iterator<Item = ListedEndpoint>) {
        self.apply(list, HashSet::new());
    }

    /// Applies the entries of a list, and then removes the endpoints that are not listed as ready, because no
    /// requests are sent to them. `unready` contains the endpoints that are not ready unless the list says
    /// otherwise.
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

    /// Adds an endpoint, or replaces it and drops its connections if it has moved or restarted. An endpoint
    /// that restarts while it is unreachable does not know its old connections, and the node does not receive
    /// a close on them.
    fn update(&mut self, ListedEndpoint { info, address }: ListedEndpoint) {
        let incarnation =
            Incarnation { address, started_at: info.started_at, maintenance_epoch: self.maintenance_epoch };
        let endpoint = self.ready.entry(info.id).or_insert_with(|| Endpoint::new(incarnation));
        if !endpoint.is_same_process(&incarnation) {
            *endpoint = Endpoint::new(incarnation);
        }
    }

    /// Stops sending new requests to an endpoint, whatever endpoint lists say.
    pub fn enter_maintenance(&mut self, id: EndpointId) {
        self.in_maintenance.insert(id);
        if let Some(endpoint) = self.ready.get_mut(&id) {
            endpoint.idle.clear();
        }
    }

    /// Allows requests to an endpoint again if it is listed as ready, on new connections only.
    pub fn exit_maintenance(&mut self, id: EndpointId) {
        self.in_maintenance.remove(&id);
        self.maintenance_epoch += 1;
        if let Some(endpoint) = self.ready.get_mut(&id) {
            endpoint.incarnation.maintenance_epoch = self.maintenance_epoch;
            endpoint.idle.clear();
        }
    }

    /// Returns the incarnation to send requests to, if the endpoint is listed as ready and is not in
    /// maintenance.
    pub fn available(&self, id: EndpointId) -> Option<Incarnation> {
        let endpoint = self.ready.get(&id)?;
        (!self.in_maintenance.contains(&id)).then_some(endpoint.incarnation)
    }

    /// Returns the idle connections to an endpoint, if it is listed as ready.
    pub fn idle_mut(&mut self, id: EndpointId) -> Option<&mut IdleConnections> {
        self.ready.get_mut(&id).map(|endpoint| &mut endpoint.idle)
    }

    /// Returns the idle connections to each endpoint that is listed as ready.
    pub fn all_idle_mut(&mut self) -> impl Iterator<Item = &mut IdleConnections> {
        self.ready.values_mut().map(|endpoint| &mut endpoint.idle)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_directory.rs"]
mod tests;
