//! The life cycle of the process: which phase it is in, and what that means for its clients.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::upstream::UpstreamPool;

/// What the node does with its clients. In all phases it serves those that come; in all but the first it closes each
/// connection with its next response.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Operators want the node empty: clients are to stay away, and idle connections are closed.
    Standby,
    /// It was told to shut down, and `successor` says whether another process has its listening socket.
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

/// The phase of the process, whether it is ready to serve, and its shutdown deadline.
pub struct Lifecycle {
    upstream: Rc<UpstreamPool>,
    phase: Cell<Phase>,
    /// Whether the process has been ready at some time; from then on it stays so.
    ready: Cell<bool>,
    /// Whether a predecessor may still hold the descriptors that this process needs.
    awaiting_descriptors: Cell<bool>,
    /// Notified whenever standby was switched on or off.
    standby_changed: Notify,
    /// Cancelled at the shutdown deadline.
    deadline: CancellationToken,
}

impl Lifecycle {
    /// A process that serves, and is ready once `upstream` has an endpoint to send to.
    pub fn new(upstream: Rc<UpstreamPool>) -> Lifecycle {
        Lifecycle {
            upstream,
            phase: Cell::new(Phase::Serving),
            ready: Cell::new(false),
            awaiting_descriptors: Cell::new(false),
            standby_changed: Notify::new(),
            deadline: CancellationToken::new(),
        }
    }

    /// Keeps the process from becoming ready until [`Lifecycle::descriptors_available`] is called.
    pub fn await_descriptors(&self) {
        self.awaiting_descriptors.set(true);
    }

    /// The process has its part of the node's descriptors.
    pub fn descriptors_available(&self) {
        self.awaiting_descriptors.set(false);
    }

    /// Whether requests can be served, now or once before.
    pub fn is_ready(&self) -> bool {
        let ready_now = || !self.awaiting_descriptors.get() && self.upstream.has_ready_endpoint();
        self.ready.set(self.ready.get() || ready_now());
        self.ready.get()
    }

    /// Whether the health check of the front is answered with success: the node takes new clients, in this process
    /// or in its successor.
    pub fn welcomes_clients(&self) -> bool {
        let welcome = match self.phase.get() {
            Phase::Serving | Phase::Draining { successor: Some(Successor { standby: false }) } => true,
            Phase::Standby | Phase::Draining { .. } => false,
        };
        self.is_ready() && welcome
    }

    /// Whether connections stay open after a response.
    pub fn keeps_connections(&self) -> bool {
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
    pub async fn standby(&self) {
        while !self.is_standby() {
            self.standby_changed.notified().await;
        }
    }

    /// Begins the graceful shutdown: from now on each response closes its connection. `has_successor` tells whether
    /// another process accepts new connections on the same listening socket.
    pub fn begin_shutdown(&self, has_successor: bool) {
        let standby = self.is_standby();
        self.phase.set(Phase::Draining { successor: has_successor.then_some(Successor { standby }) });
    }

    /// The shutdown deadline has come: whatever still waits for a response gets one at once.
    pub fn expire_shutdown_deadline(&self) {
        self.deadline.cancel();
    }

    /// Whether the shutdown deadline has passed.
    pub fn is_past_shutdown_deadline(&self) -> bool {
        self.deadline.is_cancelled()
    }

    /// Waits for the shutdown deadline.
    pub async fn shutdown_deadline(&self) {
        self.deadline.cancelled().await;
    }
}
