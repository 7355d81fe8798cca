//! The life cycle of the process: serving, standby, graceful shutdown and hot restart.
//!
//! [`Lifecycle`] is the state: the phase, readiness and the shutdown deadline. Connections, the health check
//! and the admin API go by it. [`HotRestart`] and [`GracefulShutdown`] drive it.

mod hot_restart;
mod shutdown;

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::upstream::UpstreamPool;

pub use hot_restart::HotRestart;
pub use shutdown::GracefulShutdown;

/// What the node does with its clients. In all phases it serves those that come; in all but the first it
/// closes each connection with its next response.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Operators want the node empty: clients are to stay away, and idle connections are closed.
    Standby,
    /// The process shuts down. `successor` says whether another process has its listening socket.
    Draining {
        successor: Option<Successor>,
    },
}

/// The process that takes over in a hot restart.
#[derive(Clone, Copy, PartialEq)]
struct Successor {
    /// Whether operators want the node empty all the same.
    standby: bool,
}

/// How far the start of the process has come.
#[derive(Clone, Copy, PartialEq)]
enum Readiness {
    /// A predecessor may still hold the descriptors that this process needs.
    AwaitingDescriptors,
    /// No endpoint is ready yet.
    AwaitingEndpoint,
    /// The process has been able to serve at some time; from then on it stays ready.
    Ready,
}

/// The connections of clients, as the life cycle drives them.
pub trait ClientConnections {
    /// Keeps to half of the node's descriptors while `shared`, to all of them otherwise. Connections beyond
    /// the limit are closed as soon as they are idle.
    fn share_descriptors(&self, shared: bool);

    /// Whether there are more connections than the limit, those that are about to close included.
    fn exceeds_limit(&self) -> bool;

    /// Closes connections as soon as they are idle, and waits until all are closed.
    async fn drain(&self);
}

/// The phase of the process, whether it is ready to serve, and its shutdown deadline.
pub struct Lifecycle {
    upstream: Rc<UpstreamPool>,
    phase: Cell<Phase>,
    readiness: Cell<Readiness>,
    /// Notified whenever standby was switched on or off.
    standby_changed: Notify,
    /// Cancelled at the shutdown deadline.
    shutdown_deadline: CancellationToken,
}

impl Lifecycle {
    /// A process that serves, and is ready once `upstream` has an endpoint to send to.
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

    /// The process has its part of the node's descriptors.
    pub fn mark_descriptors_available(&self) {
        if self.readiness.get() == Readiness::AwaitingDescriptors {
            self.readiness.set(Readiness::AwaitingEndpoint);
        }
    }

    /// Whether requests can be served, now or once before.
    pub fn is_ready(&self) -> bool {
        if self.readiness.get() == Readiness::AwaitingEndpoint && self.upstream.has_ready_endpoint() {
            self.readiness.set(Readiness::Ready);
        }
        self.readiness.get() == Readiness::Ready
    }

    /// Whether the health check of the front is answered with success: the node takes new clients, in this
    /// process or in its successor.
    pub fn passes_health_check(&self) -> bool {
        let accepts_clients = match self.phase.get() {
            Phase::Serving | Phase::Draining { successor: Some(Successor { standby: false }) } => true,
            Phase::Standby | Phase::Draining { .. } => false,
        };
        self.is_ready() && accepts_clients
    }

    /// Whether connections stay open after a response.
    pub fn allows_keep_alive(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Whether the node is in standby.
    pub fn is_standby(&self) -> bool {
        self.phase.get() == Phase::Standby
    }

    /// The phase's name in the admin API.
    pub fn phase_name(&self) -> &'static str {
        match self.phase.get() {
            Phase::Serving => "serving",
            Phase::Standby => "standby",
            Phase::Draining { .. } => "leaving",
        }
    }

    /// Switches standby on or off.
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

    /// Waits until the node is in standby.
    pub async fn wait_for_standby(&self) {
        while !self.is_standby() {
            self.standby_changed.notified().await;
        }
    }

    /// Begins the graceful shutdown: from now on each response closes its connection. `has_successor` tells
    /// whether another process accepts new connections on the same listening socket.
    fn begin_shutdown(&self, has_successor: bool) {
        let standby = self.is_standby();
        self.phase.set(Phase::Draining { successor: has_successor.then_some(Successor { standby }) });
    }

    /// The shutdown deadline has come: whatever still waits for a response gets one at once.
    fn expire_shutdown_deadline(&self) {
        self.shutdown_deadline.cancel();
    }

    /// Whether the shutdown deadline has passed.
    pub fn is_past_shutdown_deadline(&self) -> bool {
        self.shutdown_deadline.is_cancelled()
    }

    /// Waits for the shutdown deadline.
    pub async fn wait_for_shutdown_deadline(&self) {
        self.shutdown_deadline.cancelled().await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/lifecycle.rs"]
mod tests;
