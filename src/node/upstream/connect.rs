//! Opening connections, within the limits of the node's permits and the machine's descriptors.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothspool::Outcome;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::connection::{Connection, Incarnation};
use super::request::UpstreamRequest;
use crate::net::{ConnectionPermit, ConnectionPermits, UpstreamSocket, is_descriptor_limit};

/// How long to wait for a descriptor until the next try.
const DESCRIPTOR_RETRY_BACKOFF: Duration = Duration::from_millis(10);

/// Why no connection was opened.
#[derive(Clone, Copy)]
pub enum ConnectError {
    /// No permit or no descriptor became free in time. Says nothing about the endpoint.
    NoCapacity,
    /// Meanwhile the request may no longer be sent.
    RequestWithdrawn,
    /// The endpoint did not accept the connection in time.
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
    /// How many bytes a connection may buffer in each direction.
    max_buffer_size: usize,
}

impl Connector {
    /// A connector that has `max_connections` connections open at most.
    pub fn new(max_connections: usize, connect_timeout: Duration, max_buffer_size: usize) -> Connector {
        let permits = Rc::new(ConnectionPermits::new(max_connections));
        Connector { permits, connect_timeout, max_buffer_size }
    }

    /// The permits of the open connections.
    pub fn permits(&self) -> &ConnectionPermits {
        &self.permits
    }

    /// Opens a connection for a request. Where permits or descriptors are short, `evict_idle` is called to
    /// close an idle connection.
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

    /// Opens a socket once there are a permit and a descriptor for it. The machine may have fewer descriptors
    /// than the configuration says.
    ///
    /// Both are waited for no longer than for an endpoint. The other endpoints could be reached no better,
    /// and trying them at once would use up the attempts of the request.
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
            // The permit may be free because the client of this request has disconnected.
            if !request.may_begin() {
                return Err(ConnectError::RequestWithdrawn);
            }
            match timeout(self.connect_timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    stream.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
                    return Ok(UpstreamSocket::new(stream, permit));
                }
                Ok(Err(error)) if is_descriptor_limit(&error) => {}
                _ => return Err(ConnectError::Unreachable),
            }
            if Instant::now() >= deadline {
                return Err(ConnectError::NoCapacity);
            }
            drop(permit);
            evict_idle();
            sleep(DESCRIPTOR_RETRY_BACKOFF).await;
        }
    }

    /// Waits for a permit; each time that there is none an idle connection is closed.
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
