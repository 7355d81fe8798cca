//! Opening of connections within the limits on connection permits and descriptors.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothspool::Outcome;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::connection::{Connection, Incarnation};
use super::request::UpstreamRequest;
use crate::net::{
    ConnectionPermit, ConnectionPermits, UpstreamSocket, is_descriptor_limit, is_local_shortage,
};

/// Delay before a connection that failed for lack of something on this machine is tried again.
const SHORTAGE_RETRY_BACKOFF: Duration = Duration::from_millis(10);

/// Reason why no connection was opened.
#[derive(Clone, Copy)]
pub enum ConnectError {
    /// No permit became available in time, or this machine lacked something else for a connection. This is
    /// not a failure of the endpoint.
    NoCapacity,
    /// The request may no longer be sent. This changed while it waited for a permit or a descriptor.
    RequestWithdrawn,
    /// The connection failed, or the endpoint did not accept it in time.
    Unreachable,
}

impl From<ConnectError> for Outcome {
    fn from(error: ConnectError) -> Outcome {
        match error {
            ConnectError::NoCapacity | ConnectError::RequestWithdrawn => Outcome::NotSent,
            ConnectError::Unreachable => Outcome::ConnectFailed,
        }
    }
}

/// Opens connections to endpoints.
pub struct Connector {
    permits: Rc<ConnectionPermits>,
    connect_timeout: Duration,
    /// Maximum number of bytes that a connection buffers in each direction.
    max_buffer_size: usize,
}

impl Connector {
    /// Creates a connector that keeps at most `max_connections` connections open.
    pub fn new(max_connections: usize, connect_timeout: Duration, max_buffer_size: usize) -> Connector {
        let permits = Rc::new(ConnectionPermits::new(max_connections));
        Connector { permits, connect_timeout, max_buffer_size }
    }

    /// Returns the permits for open connections.
    pub fn permits(&self) -> &ConnectionPermits {
        &self.permits
    }

    /// Opens a connection for a request. Calls `evict_idle` to close an idle connection when there is no
    /// permit or no descriptor.
    pub async fn connect(
        &self,
        incarnation: Incarnation,
        request: &UpstreamRequest,
        evict_idle: impl Fn(),
    ) -> Result<Connection, ConnectError> {
        let socket = self.open_socket(incarnation.address, request, evict_idle).await?;
        let handshake = Connection::handshake(socket, incarnation, self.max_buffer_size).await;
        handshake.map_err(|_| ConnectError::Unreachable)
    }

    /// Opens a socket once a permit and all that it takes on this machine are available. Descriptors can run
    /// out before permits, because the machine may have fewer of them than the configuration says.
    ///
    /// The wait for them is limited to the connect timeout. It would not help to fail immediately: the
    /// shortage affects the connections to all endpoints, and immediate retries would use up the attempts of
    /// the request.
    async fn open_socket(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
        evict_idle: impl Fn(),
    ) -> Result<UpstreamSocket, ConnectError> {
        let deadline = Instant::now() + self.connect_timeout;
        loop {
            let permit = timeout_at(deadline, self.acquire_permit(&evict_idle)).await;
            let permit = permit.map_err(|_| ConnectError::NoCapacity)?;
            // The permit may have become available because the client of this request has disconnected.
            if !request.may_begin() {
                return Err(ConnectError::RequestWithdrawn);
            }
            let shortage = match timeout(self.connect_timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    // A failure is ignored: without `TCP_NODELAY` the connection is slower, but correct.
                    let _ = stream.set_nodelay(true);
                    return Ok(UpstreamSocket::new(stream, permit));
                }
                Ok(Err(error)) if is_local_shortage(&error) => error,
                _ => return Err(ConnectError::Unreachable),
            };
            if Instant::now() >= deadline {
                return Err(ConnectError::NoCapacity);
            }
            drop(permit);
            if is_descriptor_limit(&shortage) {
                evict_idle();
            }
            sleep(SHORTAGE_RETRY_BACKOFF).await;
        }
    }

    /// Waits for a permit, and closes an idle connection each time that none is available.
    async fn acquire_permit(&self, evict_idle: impl Fn()) -> ConnectionPermit {
        loop {
            if let Some(permit) = self.permits.try_acquire() {
                return permit;
            }
            evict_idle();
            self.permits.released().await;
        }
    }
}
