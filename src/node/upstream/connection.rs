//! One HTTP/1.1 connection to an endpoint.

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

/// How long hyper may take, after a response, until it accepts the next request on the connection.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// One incarnation of an endpoint, as far as it can be told from outside. Connections that were opened to an
/// earlier one are not used any more.
#[derive(Clone, Copy, PartialEq)]
pub struct Incarnation {
    /// Where the endpoint accepts connections.
    pub address: SocketAddr,
    /// When its process started, as the endpoint list states it.
    pub started_at: Timestamp,
    /// How many times, over all endpoints, maintenance had ended when this incarnation began.
    pub maintenance_epoch: u64,
}

/// Where an attempt's connection came from.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionOrigin {
    /// Opened for the attempt.
    New,
    /// Taken from the idle connections.
    Reused {
        /// How long it had been idle.
        idle_for: Duration,
    },
}

impl ConnectionOrigin {
    /// Whether the connection was opened for the attempt.
    pub fn is_new(self) -> bool {
        self == ConnectionOrigin::New
    }
}

/// A connection to an endpoint. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<OutboundBody>,
    socket: Rc<UpstreamSocket>,
    incarnation: Incarnation,
    idle_since: Instant,
    /// hyper's task, which reads and writes the socket.
    _driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Sets up HTTP/1.1 on a connected socket. hyper buffers up to `max_buffer_size` bytes in each direction.
    pub async fn handshake(
        socket: UpstreamSocket,
        incarnation: Incarnation,
        max_buffer_size: usize,
    ) -> hyper::Result<Connection> {
        let socket = Rc::new(socket);
        let io = TokioIo::new(UpstreamIo(socket.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(max_buffer_size).handshake(io).await?;
        let task = tokio::task::spawn_local(async move {
            // Its errors are reported to the attempts.
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

    /// The socket, which counts what hyper writes and reads.
    pub fn socket(&self) -> &Rc<UpstreamSocket> {
        &self.socket
    }

    /// The incarnation that it was opened to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Since when it has been idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// How long it has been idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Whether the peer has closed it, as far as hyper has noticed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether a request can be sent on it. Whatever the peer has sent since the last response would be read
    /// as the response to the next request, so such a connection is of no use.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_receive_queue_empty()
    }

    /// Waits until hyper has found the end of the response and accepts another request, and starts the idle
    /// time. Returns whether that succeeded.
    pub async fn become_idle(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        self.idle_since = Instant::now();
        matches!(ready, Ok(Ok(())))
    }
}
