//! Accepts connections until the node stops listening.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::downstream::connection::Connection;
use crate::downstream::server::DownstreamServer;
use crate::net::{DownstreamSocket, is_descriptor_limit};

/// Pause after a failed accept, for example when no descriptor is left. While no further connection is
/// allowed, also the maximum time until the connections are checked again.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Time without a new connection after which the backlog counts as empty, once accepting has to stop.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Time without capacity for another connection after which the node logs what its connections are used for.
const FULL_TABLE_LOG_DELAY: Duration = Duration::from_secs(1);

impl DownstreamServer {
    /// Accepts connections until `stop` is notified, and then those that are left in the kernel's backlog.
    /// The kernel has already accepted these, so they count as connections of this node.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: Rc<Notify>) {
        let mut stopping = false;
        loop {
            self.wait_for_capacity().await;
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = sleep(LAST_ACCEPT_TIMEOUT), if stopping => return,
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    self.serve(stream);
                }
                Err(error) => {
                    if is_descriptor_limit(&error) {
                        self.connections().close_longest_idle();
                        self.upstream().evict_idle();
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until another connection is allowed. Until then, new connections stay in the kernel's backlog.
    /// Accepting one and dropping it would lose a request.
    async fn wait_for_capacity(&self) {
        let mut log_at = Some(Instant::now() + FULL_TABLE_LOG_DELAY);
        while !self.connections().has_capacity() {
            if log_at.take_if(|log_at| *log_at <= Instant::now()).is_some() {
                self.log_full_table();
            }
            // During a shutdown, clients may still send the rest of requests that they have begun.
            let may_evict = self.lifecycle().allows_keep_alive();
            if !self.connections().close_longest_idle() && may_evict {
                self.connections().evict_longest_paused();
            }
            self.connections().wait_for_removal(ACCEPT_BACKOFF).await;
        }
    }

    /// Logs that no connection has been accepted for [`FULL_TABLE_LOG_DELAY`].
    fn log_full_table(&self) {
        let usage = self.connections().usage();
        tracing::warn!("{} accepts no more connections from clients: {usage}", self.node_name());
    }

    /// Serves a new connection in a task of its own.
    pub fn serve(&self, stream: TcpStream) -> Rc<Connection> {
        // A failure is ignored: without `TCP_NODELAY` the connection is slower, but still correct.
        let _ = stream.set_nodelay(true);
        let (socket, observer) = DownstreamSocket::new(stream);
        let connection = Rc::new(Connection::new(observer));
        let entry = self.connections().insert(connection.clone());
        let (service, served) = (self.service().clone(), connection.clone());
        tokio::task::spawn_local(async move {
            service.serve(&served, socket).await;
            drop(entry);
        });
        connection
    }
}
