//! The lifecycle of the process: serving, standby, graceful shutdown and hot restart.
//!
//! [`Lifecycle`] holds the state: the phase, readiness and the shutdown deadline. Connections, the health
//! check and the admin API read it. [`HotRestart`] and [`GracefulShutdown`] change it.

mod hot_restart;
mod shutdown;

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::state_store::SharedRequestIds;
use crate::upstream::UpstreamPool;

pub use hot_restart::HotRestart;
pub use shutdown::GracefulShutdown;

/// How the node treats its clients. Requests are served in all phases, in `Draining` until the shutdown
/// deadline. In all phases but `Serving`, each connection is closed with its next response.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// An operator drains the node: the health check fails, and idle connections are closed.
    Standby,
    /// The process shuts down. `successor` is present if the listening socket was inherited, so that a
    /// successor is assumed.
    Draining {
        successor: Option<Successor>,
    },
}

/// The process that is assumed to take over in a hot restart.
#[derive(Clone, Copy, PartialEq)]
struct Successor {
    /// Whether the node is in standby, which during the shutdown applies to the successor.
    standby: bool,
}

/// Progress of the start of the process.
#[derive(Clone, Copy, PartialEq)]
enum Readiness {
    /// The predecessor may still hold descriptors that this process needs.
    AwaitingDescriptors,
    /// No endpoint has been listed as ready yet.
    AwaitingEndpoint,
    /// The process has been able to serve requests. It stays ready from then on.
    Ready,
}

/// The operations on connections that the lifecycle needs.
pub trait ClientConnections {
    /// Limits downstream and upstream connections together to half of the node's descriptors if `active` is
    /// true, and to all of them otherwise. Connections above the limit are closed as soon as they are idle.
    fn set_hot_restart_limits(&self, active: bool);

    /// Shares the ids of requests that must not be executed twice with the other processes of the node.
    fn start_sharing_request_ids(&self, ids: SharedRequestIds);

    /// Releases all shared ids, and shares no more.
    fn stop_sharing_request_ids(&self);

    /// Returns whether there are more downstream connections than the limit. Those that are closing count.
    fn exceeds_limit(&self) -> bool;

    /// Closes each downstream connection as soon as it is idle, and waits until all are closed.
    async fn drain(&self);
}

/// The phase of the process, its readiness, and its shutdown deadline.
pub struct Lifecycle {
    upstream: Rc<UpstreamPool>,
    phase: Cell<Phase>,
    readiness: Cell<Readiness>,
    /// Notified whenever standby is switched on or off.
    standby_changed: Notify,
    /// Cancelled at the shutdown deadline.
    shutdown_deadline: CancellationToken,
}

impl Lifecycle {
    /// Creates the lifecycle of a process in the serving phase. It becomes ready once `upstream` has an
    /// endpoint that is listed as ready.
    pub fn new(upstream: Rc<UpstreamPool>) -> Lifecycle {
        Lifecycle {
            upstream,
            phase: Cell::new(Phase::Serving),
            readiness: Cell::new(Readiness::AwaitingEndpoint),
            standby_changed: Notify::new(),
            shutdown_deadline: CancellationToken::new(),
        }
    }

    /// Keeps a process that is not ready yet from becoming ready until
    /// [`Lifecycle::mark_descriptors_available`] is called.
    pub fn require_descriptors(&self) {
        if self.readiness.get() == Readiness::AwaitingEndpoint {
            self.readiness.set(Readiness::AwaitingDescriptors);
        }
    }

    /// Records that the process may use its share of the node's descriptors.
    pub fn mark_descriptors_available(&self) {
        if self.readiness.get() == Readiness::AwaitingDescriptors {
            self.readiness.set(Readiness::AwaitingEndpoint);
        }
    }

    /// Returns whether requests can be served, or could be served at an earlier time.
    pub fn is_ready(&self) -> bool {
        if self.readiness.get() == Readiness::AwaitingEndpoint && self.upstream.has_listed_ready_endpoint() {
            self.readiness.set(Readiness::Ready);
        }
        self.readiness.get() == Readiness::Ready
    }

    /// Returns whether health checks of the load balancer in front of the nodes succeed: this process is
    /// ready, and the node accepts new clients in it or in its successor.
    pub fn passes_health_check(&self) -> bool {
        let accepts_clients = match self.phase.get() {
            Phase::Serving | Phase::Draining { successor: Some(Successor { standby: false }) } => true,
            Phase::Standby | Phase::Draining { .. } => false,
        };
        self.is_ready() && accepts_clients
    }

    /// Returns whether connections stay open after a response.
    pub fn allows_keep_alive(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Returns whether the process is in the standby phase. During the shutdown it is not, even if the node
    /// is in standby.
    pub fn is_standby(&self) -> bool {
        self.phase.get() == Phase::Standby
    }

    /// Returns the name of the phase in the admin API.
    pub fn phase_name(&self) -> &'static str {
        match self.phase.get() {
            Phase::Serving => "serving",
            Phase::Standby => "standby",
            Phase::Draining { .. } => "leaving",
        }
    }

    /// Switches standby on or off. During the shutdown, this applies to the successor only.
    pub fn set_standby(&self, standby: bool) {
        self.phase.set(match self.phase.get() {
            Phase::Serving | Phase::Standby if standby => Phase::Standby,
            Phase::Serving | Phase::Standby => Phase::Serving,
            Phase::Draining { successor } => {
                Phase::Draining { successor: successor.map(|_| Successor { standby }) }
            }
        });
        self.standby_changed.notify_one();
    }

    /// Waits until the process is in the standby phase.
    pub async fn wait_for_standby(&self) {
        while !self.is_standby() {
            self.standby_changed.notified().await;
        }
    }

    /// Begins the graceful shutdown: each response closes its connection from now on. `has_successor` is true
    /// if the listening socket was inherited. A successor is then assumed, which accepts new connections.
    fn begin_shutdown(&self, has_successor: bool) {
        let standby = self.is_standby();
        self.phase.set(Phase::Draining { successor: has_successor.then_some(Successor { standby }) });
    }

    /// Marks the shutdown deadline as passed: requests that still wait for a response fail at once.
    fn expire_shutdown_deadline(&self) {
        self.shutdown_deadline.cancel();
    }

    /// Returns whether the shutdown deadline has passed.
    pub fn is_past_shutdown_deadline(&self) -> bool {
        self.shutdown_deadline.is_cancelled()
    }

    /// Returns a token that is cancelled at the shutdown deadline.
    pub fn shutdown_deadline(&self) -> CancellationToken {
        self.shutdown_deadline.clone()
    }

    /// Waits until the shutdown deadline has passed.
    pub async fn wait_for_shutdown_deadline(&self) {
        self.shutdown_deadline.cancelled().await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/lifecycle.rs"]
mod tests;
