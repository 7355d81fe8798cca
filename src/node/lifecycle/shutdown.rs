//! Graceful shutdown: what happens between SIGTERM and the end of the process.
//!
//! 1. New connections are accepted for a while, unless a successor accepts them, and then those that wait
//!    in the kernel. Each response closes its connection, and idle connections are closed.
//! 2. At the shutdown deadline, what still waits for a response gets one at once, and new requests are
//!    rejected.
//! 3. Responses that have begun may still be transferred. The process ends with the last connection.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{ClientConnections, Lifecycle};

/// How long after SIGTERM connections are accepted: "new connections keep arriving for 0.2 to 0.4 s"
/// (protocol, Figures).
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// The longest request deadline that the shutdown deadline allows for: "SIGKILL arrives no earlier than the
/// longest deadline (taken as 3 s where it is longer) plus 0.7 s after SIGTERM" (protocol, Figures).
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// The part of those 0.7 s that requests may still wait for their responses in. The last 0.3 s are for
/// responding to all that still wait then.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// How long after the shutdown deadline responses that have begun may go on to clients that read slowly. The
/// protocol sets no end to this; the platform's SIGKILL does.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(60);

/// All that has to come to an end before the process does.
pub struct GracefulShutdown<C> {
    /// The phase of the process.
    pub lifecycle: Rc<Lifecycle>,
    /// Clients' connections.
    pub connections: Rc<C>,
    /// The task that accepts them.
    pub accept_task: JoinHandle<()>,
    /// Tells that task to accept what waits in the kernel and to end.
    pub stop_accepting: Rc<Notify>,
    /// Whether another process of the node has the listening socket.
    pub has_successor: bool,
    /// The longest that a client may wait for a response.
    pub longest_deadline: Duration,
    /// The node's name, for the log.
    pub node_name: String,
}

impl<C: ClientConnections> GracefulShutdown<C> {
    /// Shuts down, beginning now; returns when the process may end.
    pub async fn run(mut self) {
        let deadline = Instant::now() + self.longest_deadline.min(MAX_REQUEST_DEADLINE) + SHUTDOWN_MARGIN;
        log!("{} shuts down", self.node_name);
        self.lifecycle.begin_shutdown(self.has_successor);
        if self.has_successor {
            // The successor accepts what waits in the kernel. Clients with an open connection move there
            // after their next response.
            self.accept_task.abort();
        }
        sleep(ACCEPT_GRACE_PERIOD).await;
        self.stop_accepting.notify_one();
        let mut drained = pin!(drain(&*self.connections, &mut self.accept_task));
        if timeout_at(deadline, drained.as_mut()).await.is_err() {
            self.lifecycle.expire_shutdown_deadline();
            // Clients that still read a response are not cut off; the platform ends the process in time.
            let _ = timeout(MAX_TRANSFER_TIME, drained).await;
        }
    }
}

/// Waits until all connections are closed, those that wait in the kernel included.
async fn drain(connections: &impl ClientConnections, accept_task: &mut JoinHandle<()>) {
    connections.drain().await;
    // While the node was at its connection limit, others may have waited in the kernel: they are accepted
    // now.
    let _ = accept_task.await;
    connections.drain().await;
}
