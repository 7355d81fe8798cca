//! An HTTP/1.1 connection to an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use mothspool::Timestamp;
use tokio::time::{Instant, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::body::OutboundBody;
use crate::net::{UpstreamIo, UpstreamSocket};

/// Maximum time after a response until hyper accepts the next request on the connection.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// The properties by which the node distinguishes incarnations of an endpoint. Connections to an earlier
/// incarnation are no longer used.
#[derive(Clone, Copy, PartialEq)]
pub struct Incarnation {
    /// Address at which the endpoint accepts connections.
    pub address: SocketAddr,
    /// Start time of the endpoint's process, as stated by the endpoint list.
    pub started_at: Timestamp,
    /// Number of times that maintenance had ended, over all endpoints, when this incarnation began.
    pub maintenance_epoch: u64,
}

/// Origin of the connection of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionOrigin {
    /// Opened for the attempt.
    New,
    /// Taken from the idle connections.
    Reused {
        /// How long the connection had been idle.
        idle_for: Duration,
    },
}

impl ConnectionOrigin {
    /// Returns whether the connection was opened for the attempt.
    pub fn is_new(self) -> bool {
        self == ConnectionOrigin::New
    }
}

/// A connection to an endpoint, closed when dropped.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    socket: Rc<UpstreamSocket>,
    incarnation: Incarnation,
    idle_since: Instant,
    /// The hyper task that reads and writes the socket.
    _driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Sets up HTTP/1.1 on a connected socket. hyper buffers at most `max_buffer_size` bytes in each
    /// direction.
    pub async fn handshake(
        socket: UpstreamSocket,
        incarnation: Incarnation,
        max_buffer_size: usize,
    ) -> hyper::Result<Connection> {
        let socket = Rc::new(socket);
        let io = TokioIo::new(UpstreamIo(socket.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(max_buffer_size).handshake(io).await?;
        let task = tokio::task::spawn_local(async move {
            // The error is ignored here: the attempt gets it from `send` or from the body of the response.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            socket,
            incarnation,
            idle_since: Instant::now(),
            _driver: AbortOnDropHandle::new(task),
        })
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(&mut self, request: Request<OutboundBody>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }

    /// Returns the socket, which tracks what hyper writes and reads.
    pub fn socket(&self) -> &Rc<UpstreamSocket> {
        &self.socket
    }

    /// Returns the incarnation of the endpoint that the connection was opened to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the time since which the connection has been idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Returns how long the connection has been idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns whether hyper has noticed that the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the endpoint has sent bytes since the last response.
    pub fn has_surplus(&self) -> bool {
        self.socket.has_surplus()
    }

    /// Returns whether another request can be sent on the connection. A connection on which the endpoint has
    /// sent bytes since the last response cannot be reused: they would be read as the response to the next
    /// request.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_receive_queue_empty()
    }

    /// Waits until hyper has read the end of the response and accepts another request, and starts the idle
    /// time. Returns whether hyper was ready within [`READY_TIMEOUT`].
    pub async fn become_idle(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        self.socket.end_exchange();
        self.idle_since = Instant::now();
        matches!(ready, Ok(Ok(())))
    }
}
