//! The pool of connections to all endpoints.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mothspool::EndpointId;
use tokio::time::{Instant, sleep};

use super::connect::{ConnectError, Connector};
use super::connection::{Connection, ConnectionOrigin, Incarnation};
use super::endpoints::{EndpointDirectory, ListedEndpoint};
use super::idle::ReuseLimits;
use super::idle_timeout::IdleTimeoutPolicy;
use super::request::UpstreamRequest;
use super::stale_connections::StaleConnectionEstimator;
use crate::body::BufferBudget;
use crate::config::Config;

/// An idle connection is closed after this fraction of the time for which endpoints keep it: a request that
/// crosses the endpoint's close is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// How often idle connections are swept.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// One in so many of the descriptors for connections is for upstream ones. A downstream connection is in use
/// while its request is queued, an upstream one only while an attempt is under way: downstream needs more.
const DESCRIPTORS_PER_UPSTREAM_CONNECTION: usize = 3;

/// How many of `descriptors` may be used for upstream connections.
pub fn max_upstream_connections(descriptors: usize) -> usize {
    descriptors / DESCRIPTORS_PER_UPSTREAM_CONNECTION
}

/// All endpoints that discovery has listed, and the connections to them.
pub struct UpstreamPool {
    endpoints: RefCell<EndpointDirectory>,
    connector: Connector,
    idle_timeout: IdleTimeoutPolicy,
    stale_connections: StaleConnectionEstimator,
    buffer_budget: Rc<BufferBudget>,
}

impl UpstreamPool {
    /// A pool without endpoints. `buffer_budget` is what response bodies are buffered in.
    pub fn new(config: &Config, buffer_budget: Rc<BufferBudget>) -> UpstreamPool {
        let max_idle = config.keepalive.mul_f64(IDLE_TIMEOUT_FRACTION);
        let max_connections = max_upstream_connections(config.limits.max_connections);
        let connector =
            Connector::new(max_connections, config.connect_timeout, config.limits.connection_buffer);
        UpstreamPool {
            endpoints: RefCell::default(),
            connector,
            idle_timeout: IdleTimeoutPolicy::new(max_idle),
            stale_connections: StaleConnectionEstimator::new(),
            buffer_budget,
        }
    }

    /// Whether an endpoint list has ever named this endpoint.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        self.endpoints.borrow().is_known(endpoint)
    }

    /// Whether there is any endpoint to send to.
    pub fn has_ready_endpoint(&self) -> bool {
        self.endpoints.borrow().has_ready()
    }

    /// Takes in a snapshot of all endpoints. Idle connections to endpoints that have moved, restarted or are
    /// not ready are closed.
    pub fn apply_snapshot(&self, list: impl Iterator<Item = ListedEndpoint>) {
        self.endpoints.borrow_mut().apply_snapshot(list);
    }

    /// Takes in the endpoints that have changed, as [`UpstreamPool::apply_snapshot`] does.
    pub fn apply_delta(&self, list: impl Iterator<Item = ListedEndpoint>) {
        self.endpoints.borrow_mut().apply_delta(list);
    }

    /// Sends an endpoint nothing new from now on, whatever lists say.
    pub fn enter_maintenance(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().enter_maintenance(endpoint);
    }

    /// Sends an endpoint requests again if lists name it ready, on new connections.
    pub fn exit_maintenance(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().exit_maintenance(endpoint);
    }

    /// How many connections may be open.
    pub fn max_connections(&self) -> usize {
        self.connector.permits().max()
    }

    /// Sets how many connections may be open, and closes idle ones beyond.
    pub fn set_max_connections(&self, max: usize) {
        let permits = self.connector.permits();
        permits.set_max(max);
        while permits.in_use() > max && self.evict_idle() {}
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub fn evict_idle(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let oldest = endpoints.all_idle_mut().filter_map(|idle| Some((idle.oldest_idle_since()?, idle)));
        let Some((_, idle)) = oldest.min_by_key(|(idle_since, _)| *idle_since) else { return false };
        idle.evict_oldest();
        true
    }

    /// Closes idle connections well before the endpoints do, for as long as the process runs.
    pub async fn run_idle_sweep(&self) {
        loop {
            sleep(IDLE_SWEEP_INTERVAL).await;
            let max_idle = self.max_idle();
            self.endpoints.borrow_mut().all_idle_mut().for_each(|idle| idle.sweep(max_idle));
        }
    }

    /// For how long an idle connection is kept.
    fn max_idle(&self) -> Duration {
        self.idle_timeout.max_idle().min(self.stale_connections.max_idle(false))
    }
}

/// What an attempt needs of the pool.
impl UpstreamPool {
    /// The incarnation to send requests to, if the endpoint is available.
    pub(super) fn available_incarnation(&self, endpoint: EndpointId) -> Option<Incarnation> {
        self.endpoints.borrow().available(endpoint)
    }

    /// Takes an idle connection, if a request may be sent on one.
    ///
    /// When a connection breaks under a request it is unknown whether the request was executed. A
    /// non-idempotent one could then neither be retried nor rejected, so it gets a new connection rather than
    /// one that may be stale.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        endpoint: EndpointId,
        non_idempotent: bool,
    ) -> Option<ConnectionLease> {
        let max_idle_for_request =
            if non_idempotent { self.stale_connections.max_idle(true) } else { Duration::MAX };
        let limits = ReuseLimits { max_idle: self.max_idle(), max_idle_for_request };
        let connection = self.endpoints.borrow_mut().idle_mut(endpoint)?.take(limits)?;
        let origin = ConnectionOrigin::Reused { idle_for: connection.idle_for() };
        Some(ConnectionLease { pool: self.clone(), endpoint, connection, origin })
    }

    /// Opens a connection for a request.
    pub(super) async fn connect(
        self: &Rc<Self>,
        endpoint: EndpointId,
        incarnation: Incarnation,
        request: &UpstreamRequest,
    ) -> Result<ConnectionLease, ConnectError> {
        let evict_idle = || {
            self.evict_idle();
        };
        let connection = self.connector.connect(incarnation, request, evict_idle).await?;
        Ok(ConnectionLease { pool: self.clone(), endpoint, connection, origin: ConnectionOrigin::New })
    }

    /// Keeps a connection for the next attempt, if the endpoint still takes any.
    async fn return_idle(&self, endpoint: EndpointId, mut connection: Connection) {
        if !connection.become_idle().await
            || self.available_incarnation(endpoint) != Some(connection.incarnation())
        {
            return;
        }
        if let Some(idle) = self.endpoints.borrow_mut().idle_mut(endpoint) {
            idle.add(connection);
        }
    }

    /// Notes that an endpoint has responded, on a connection of this origin.
    pub(super) fn record_response(&self, endpoint: EndpointId, origin: ConnectionOrigin) {
        if let Some(idle) = self.endpoints.borrow_mut().idle_mut(endpoint) {
            idle.record_response();
        }
        self.stale_connections.record_response(origin);
    }

    /// Notes that a connection of this origin broke under a request.
    pub(super) fn record_break(&self, origin: ConnectionOrigin) {
        self.stale_connections.record_break(origin);
    }

    /// Notes that an endpoint rejected a request and closed its connection, as one does that has too many.
    pub(super) fn record_connection_rejected(&self, origin: ConnectionOrigin) {
        match origin {
            ConnectionOrigin::New => self.idle_timeout.record_new_connection_rejected(),
            ConnectionOrigin::Reused { .. } => self.idle_timeout.record_reused_connection_rejected(),
        }
    }

    /// Closes the idle connections to an endpoint that has been unresponsive since `sent_at`.
    pub(super) fn close_if_unresponsive(&self, endpoint: EndpointId, sent_at: Instant) {
        if let Some(idle) = self.endpoints.borrow_mut().idle_mut(endpoint) {
            idle.close_if_unresponsive(sent_at);
        }
    }

    /// What response bodies are buffered in.
    pub(super) fn buffer_budget(&self) -> &Rc<BufferBudget> {
        &self.buffer_budget
    }
}

/// A connection that an attempt uses. Dropping it closes the connection.
pub(super) struct ConnectionLease {
    pool: Rc<UpstreamPool>,
    endpoint: EndpointId,
    /// The connection itself.
    pub connection: Connection,
    /// Where it came from.
    pub origin: ConnectionOrigin,
}

impl ConnectionLease {
    /// Gives the connection back to the pool after a complete response.
    pub fn return_idle(self) {
        let ConnectionLease { pool, endpoint, connection, .. } = self;
        tokio::task::spawn_local(async move { pool.return_idle(endpoint, connection).await });
    }
}
