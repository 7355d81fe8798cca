//! The idle connections to one endpoint.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;

/// How long a connection has to be idle before it is used again. Endpoints were seen to send stray bytes up
/// to 7 ms behind a response; these have to arrive before the next request is written, or would be read as
/// its response.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);
/// An endpoint that has responded to nothing for this long may be unreachable.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a connection may have been idle to be used for a request.
#[derive(Clone, Copy)]
pub struct ReuseLimits {
    /// A connection that has been idle for longer is closed.
    pub max_idle: Duration,
    /// A connection that has been idle for longer is left to other requests, and this one gets a new
    /// connection.
    pub max_idle_for_request: Duration,
}

/// The idle connections to one incarnation of an endpoint, and when it last responded.
pub struct IdleConnections {
    /// Those that became idle last are at the end.
    connections: Vec<Connection>,
    last_response_at: Instant,
}

impl IdleConnections {
    /// No connections, to an endpoint that is assumed to respond.
    pub fn new() -> IdleConnections {
        IdleConnections { connections: Vec::new(), last_response_at: Instant::now() }
    }

    /// Takes the connection that became idle last, among those that have settled and can be reused. Closes
    /// those that it finds to be broken or too old.
    pub fn take(&mut self, limits: ReuseLimits) -> Option<Connection> {
        let is_idle_long_enough = |c: &Connection| c.idle_for() >= MIN_IDLE_BEFORE_REUSE;
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

    /// Adds a connection that has just become idle.
    pub fn add(&mut self, connection: Connection) {
        self.connections.push(connection);
    }

    /// Closes all of them.
    pub fn clear(&mut self) {
        self.connections.clear();
    }

    /// Since when the oldest has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(Connection::idle_since)
    }

    /// Closes the oldest.
    pub fn evict_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// Closes those that have been idle for `max_idle` or were closed by the endpoint.
    pub fn sweep(&mut self, max_idle: Duration) {
        self.connections.retain(|c| c.idle_for() < max_idle && !c.is_closed());
    }

    /// Notes that the endpoint has responded.
    pub fn record_response(&mut self) {
        self.last_response_at = Instant::now();
    }

    /// Closes all connections if the endpoint has responded to nothing since `sent_at`, at least
    /// [`UNRESPONSIVE_TIMEOUT`] ago.
    pub fn close_if_unresponsive(&mut self, sent_at: Instant) {
        if sent_at.elapsed() >= UNRESPONSIVE_TIMEOUT && self.last_response_at < sent_at {
            self.clear();
        }
    }
}
