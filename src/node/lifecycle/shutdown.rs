//! Graceful shutdown, from SIGTERM to the exit of the process.
//!
//! 1. Each response closes its connection. This process accepts new connections for [`ACCEPT_GRACE_PERIOD`],
//!    unless the listener was inherited: then a successor is assumed, which accepts them.
//! 2. After this period, the process closes idle connections and, unless a successor is assumed, accepts the
//!    connections that remain in the backlog.
//! 3. At the shutdown deadline, requests that still wait for a response fail at once, and new requests are
//!    rejected.
//! 4. Responses that have begun may still be transferred. The process exits when the last connection is
//!    closed.
//!
//! The times that the constants below take from the protocol are in the section "Figures" of the protocol
//! page.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{ClientConnections, Lifecycle};

/// How long connections are accepted after SIGTERM. According to the protocol, new connections keep arriving
/// for 0.2 to 0.4 s.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Longest request deadline that the shutdown deadline allows for. According to the protocol, the time from
/// SIGTERM to SIGKILL is at least:
///
/// ```text
/// kill_delay = min(longest_deadline, REQUEST_DEADLINE_CAP) + 0.7 s
/// ```
///
/// `longest_deadline` is the longest deadline of all request classes.
const REQUEST_DEADLINE_CAP: Duration = Duration::from_secs(3);

/// The share of those 0.7 s in which requests may still wait for their responses. The remaining 0.3 s are for
/// responding to all requests that still wait at the shutdown deadline.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// How long responses that have begun may continue after the shutdown deadline, for clients that read slowly.
/// The protocol sets no limit; SIGKILL from the platform does.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(60);

/// The graceful shutdown of the process, which begins with [`GracefulShutdown::run`].
pub struct GracefulShutdown<C> {
    /// The lifecycle of the process.
    pub lifecycle: Rc<Lifecycle>,
    /// The downstream connections.
    pub connections: Rc<C>,
    /// The task that accepts downstream connections.
    pub accept_task: JoinHandle<()>,
    /// Tells `accept_task` to accept the connections in the backlog and to end.
    pub stop_accepting: Rc<Notify>,
    /// Whether the listening socket was inherited. A successor is then assumed, which has the socket or will
    /// get it.
    pub has_successor: bool,
    /// Longest deadline of a request.
    pub longest_deadline: Duration,
    /// Name of the node, for the log.
    pub node_name: String,
}

impl<C: ClientConnections> GracefulShutdown<C> {
    /// Shuts down, and returns when the process may exit.
    pub async fn run(mut self) {
        let time_to_deadline = self.longest_deadline.min(REQUEST_DEADLINE_CAP) + SHUTDOWN_MARGIN;
        let deadline = Instant::now() + time_to_deadline;
        tracing::info!(
            "{}: shutting down gracefully after SIGTERM; requests without a response fail in {:.2} s",
            self.node_name,
            time_to_deadline.as_secs_f64()
        );
        self.lifecycle.begin_shutdown(self.has_successor);
        if self.has_successor {
            // The successor accepts the connections in the backlog. Clients with an open connection reconnect
            // to the successor after their next response.
            self.accept_task.abort();
        }
        sleep(ACCEPT_GRACE_PERIOD).await;
        self.stop_accepting.notify_one();
        let mut drained = pin!(drain(&*self.connections, &mut self.accept_task));
        if timeout_at(deadline, drained.as_mut()).await.is_err() {
            self.lifecycle.expire_shutdown_deadline();
            // Clients that still read a response are not disconnected; the platform's SIGKILL bounds this.
            let _ = timeout(MAX_TRANSFER_TIME, drained).await;
        }
    }
}

/// Waits until all connections are closed, including those in the backlog.
async fn drain(connections: &impl ClientConnections, accept_task: &mut JoinHandle<()>) {
    connections.drain().await;
    // Connections that were in the backlog while the node was at its connection limit are accepted now.
    let _ = accept_task.await;
    connections.drain().await;
}
