//! Accepting connections, and stopping to.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::downstream::connection::Connection;
use crate::downstream::server::DownstreamServer;
use crate::net::{DownstreamSocket, is_descriptor_limit};

/// How long accepting pauses when there are no descriptors left, or no connection may be opened.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Once accepting is to stop, the kernel counts as having no more connections after this long without one.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

impl DownstreamServer {
    /// Accepts connections until `stop` is notified, then those that the kernel has accepted already: they
    /// count as the node's.
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

    /// Waits until another connection may be opened. Until then connections wait in the kernel: to accept and
    /// drop one would lose a request.
    async fn wait_for_capacity(&self) {
        while !self.connections().has_capacity() {
            self.connections().close_longest_idle();
            self.connections().wait_for_removal(ACCEPT_BACKOFF).await;
        }
    }

    /// Serves a new connection in a task of its own.
    pub fn serve(&self, stream: TcpStream) -> Rc<Connection> {
        // Without it the connection is slower, and no less correct.
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
