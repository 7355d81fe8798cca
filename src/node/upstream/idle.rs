//! The idle connections to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;

/// Minimum idle time before a connection is reused. Endpoints have been observed to send stray bytes up to
/// 7 ms after a response. These have to arrive before the next request is written, or they would be read as
/// its response.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);
/// The same for an endpoint that has sent surplus bytes. Its kernel may hold them back until the response is
/// acknowledged, which takes up to 40 ms and the way there and back.
const MIN_IDLE_AFTER_SURPLUS: Duration = Duration::from_millis(100);
/// How long an endpoint counts as one that sends surplus bytes.
const SURPLUS_MEMORY: Duration = Duration::from_secs(60);
/// Time since the sending of a request after which the endpoint counts as unresponsive, if it has sent no
/// response at all since then. Such an endpoint may be unreachable.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on the idle time of a connection that is reused for a request.
#[derive(Clone, Copy)]
pub struct ReuseLimits {
    /// Maximum idle time of any connection. Connections that have been idle for longer are closed.
    pub max_idle: Duration,
    /// Maximum idle time for this request. Connections that have been idle for longer are left to other
    /// requests, and this one gets a new connection.
    pub max_idle_for_request: Duration,
    /// Whether this request must not be executed twice.
    pub non_idempotent: bool,
}

/// The idle connections to one incarnation of an endpoint, and the time of its last response.
pub struct IdleConnections {
    /// Ordered by the time at which they became idle, the oldest first.
    connections: Vec<Connection>,
    last_response_at: Instant,
    /// When the endpoint was last found to have sent surplus bytes.
    surplus_at: Option<Instant>,
}

impl IdleConnections {
    /// Creates an empty set of connections. The endpoint counts as having responded just now.
    pub fn new() -> IdleConnections {
        IdleConnections { connections: Vec::new(), last_response_at: Instant::now(), surplus_at: None }
    }

    /// Takes the connection that became idle last, among those that have been idle for long enough and can be
    /// reused. Closes the broken and expired connections that it finds. Returns none for a request that must
    /// not be executed twice if the endpoint sends surplus bytes: after a surplus rejection it would be sent
    /// again.
    pub fn take(&mut self, limits: ReuseLimits) -> Option<Connection> {
        self.notice_surplus();
        if limits.non_idempotent && self.sends_surplus() {
            return None;
        }
        let min_idle = if self.sends_surplus() { MIN_IDLE_AFTER_SURPLUS } else { MIN_IDLE_BEFORE_REUSE };
        let is_idle_long_enough = |c: &Connection| c.idle_for() >= min_idle;
        while let Some(position) = self.connections.iter().rposition(is_idle_long_enough) {
            if self.connections[position].idle_for() >= limits.max_idle_for_request {
                return None;
            }
            let connection = self.connections.remove(position);
            if connection.idle_for() < limits.max_idle && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Records whether surplus bytes have arrived on any of the connections.
    fn notice_surplus(&mut self) {
        if self.connections.iter().any(Connection::has_surplus) {
            self.surplus_at = Some(Instant::now());
        }
    }

    /// Returns whether the endpoint has sent surplus bytes lately.
    fn sends_surplus(&self) -> bool {
        self.surplus_at.is_some_and(|at| at.elapsed() < SURPLUS_MEMORY)
    }

    /// Adds a connection that has just become idle.
    pub fn add(&mut self, connection: Connection) {
        self.connections.push(connection);
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }

    /// Returns the time since which the oldest connection has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(Connection::idle_since)
    }

    /// Closes the connection that has been idle for longest.
    pub fn evict_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// Closes the connections that have been idle for `max_idle` or were closed by the endpoint.
    pub fn sweep(&mut self, max_idle: Duration) {
        self.notice_surplus();
        self.connections.retain(|c| c.idle_for() < max_idle && !c.is_closed());
    }

    /// Records that the endpoint has responded.
    pub fn record_response(&mut self) {
        self.last_response_at = Instant::now();
    }

    /// Closes all connections if `sent_at` is at least [`UNRESPONSIVE_TIMEOUT`] ago and the endpoint has not
    /// responded to any request since.
    pub fn close_if_unresponsive(&mut self, sent_at: Instant) {
        if sent_at.elapsed() >= UNRESPONSIVE_TIMEOUT && self.last_response_at < sent_at {
            self.clear();
        }
    }
}
