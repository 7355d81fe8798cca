//! Pool of connections to all endpoints.

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
use crate::body::{BufferBudget, ResponseLengths};
use crate::config::Config;

/// Maximum idle time of a connection, as a fraction of the time after which endpoints close it. A request
/// that is sent while the endpoint closes the connection is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Interval at which expired idle connections are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Divisor of the number of descriptors for connections. The quotient is the maximum number of upstream
/// connections, the other descriptors are for downstream connections. Downstream needs more, because its
/// connections are in use while requests are queued, and upstream ones only during an attempt.
const UPSTREAM_DESCRIPTOR_DIVISOR: usize = 3;

/// Returns how many of the descriptors for connections may be used for upstream connections.
pub fn max_upstream_connections(descriptors: usize) -> usize {
    descriptors / UPSTREAM_DESCRIPTOR_DIVISOR
}

/// All endpoints that discovery has listed, and the connections to them.
pub struct UpstreamPool {
    endpoints: RefCell<EndpointDirectory>,
    connector: Connector,
    idle_timeout: IdleTimeoutPolicy,
    stale_connections: StaleConnectionEstimator,
    buffer_budget: Rc<BufferBudget>,
    /// Lengths of the responses of each class.
    response_lengths: Vec<Rc<ResponseLengths>>,
}

impl UpstreamPool {
    /// Creates a pool without endpoints. Buffered response bodies count towards `buffer_budget`.
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
            response_lengths: config.settings.classes.iter().map(|_| Rc::default()).collect(),
        }
    }

    /// Returns whether any endpoint list so far has contained this endpoint.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        self.endpoints.borrow().is_known(endpoint)
    }

    /// Returns whether any endpoint is listed as ready. It may be in maintenance.
    pub fn has_listed_ready_endpoint(&self) -> bool {
        self.endpoints.borrow().has_listed_ready()
    }

    /// Applies a snapshot of all endpoints. Closes idle connections to endpoints that have changed their
    /// address, have restarted or are not listed as ready.
    pub fn apply_snapshot(&self, list: impl Iterator<Item = ListedEndpoint>) {
        self.endpoints.borrow_mut().apply_snapshot(list);
    }

    /// Applies a delta, which lists only the endpoints that have changed. Closes the same idle connections as
    /// [`UpstreamPool::apply_snapshot`].
    pub fn apply_delta(&self, list: impl Iterator<Item = ListedEndpoint>) {
        self.endpoints.borrow_mut().apply_delta(list);
    }

    /// Puts an endpoint in maintenance: it gets no new requests, regardless of the endpoint list.
    pub fn enter_maintenance(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().enter_maintenance(endpoint);
    }

    /// Ends the maintenance of an endpoint: it gets requests again while it is listed as ready, but only on
    /// new connections.
    pub fn exit_maintenance(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().exit_maintenance(endpoint);
    }

    /// Returns the maximum number of open connections.
    pub fn max_connections(&self) -> usize {
        self.connector.permits().max()
    }

    /// Sets the maximum number of open connections, and closes idle connections that exceed it.
    pub fn set_max_connections(&self, max: usize) {
        let permits = self.connector.permits();
        permits.set_max(max);
        while permits.in_use() > max && self.evict_idle() {}
    }

    /// Closes the connection that has been idle for longest. Returns `false` if no connection is idle.
    pub fn evict_idle(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let oldest = endpoints.all_idle_mut().filter_map(|idle| Some((idle.oldest_idle_since()?, idle)));
        let Some((_, idle)) = oldest.min_by_key(|(idle_since, _)| *idle_since) else { return false };
        idle.evict_oldest();
        true
    }

    /// Closes expired idle connections periodically, well before the endpoints do. Never returns.
    pub async fn run_idle_sweep(&self) {
        loop {
            sleep(IDLE_SWEEP_INTERVAL).await;
            let max_idle = self.max_idle();
            self.endpoints.borrow_mut().all_idle_mut().for_each(|idle| idle.sweep(max_idle));
        }
    }

    /// Returns how long an idle connection is kept.
    fn max_idle(&self) -> Duration {
        self.idle_timeout.max_idle().min(self.stale_connections.max_idle(false))
    }
}

/// Operations that attempts use.
impl UpstreamPool {
    /// Returns the incarnation of an endpoint that requests may be sent to, or `None` if the endpoint is not
    /// listed as ready or is in maintenance.
    pub(super) fn available_incarnation(&self, endpoint: EndpointId) -> Option<Incarnation> {
        self.endpoints.borrow().available(endpoint)
    }

    /// Takes an idle connection on which a request may be sent, if there is one.
    ///
    /// When a connection breaks during a request it is unknown whether the request was executed. A
    /// non-idempotent request could then neither be retried nor rejected, so it gets a new connection instead
    /// of one that may be stale.
    pub(super) fn take_idle(
        self: &Rc<Self>,
        endpoint: EndpointId,
        non_idempotent: bool,
    ) -> Option<ConnectionLease> {
        let max_idle_for_request =
            if non_idempotent { self.stale_connections.max_idle(true) } else { Duration::MAX };
        let limits = ReuseLimits { max_idle: self.max_idle(), max_idle_for_request, non_idempotent };
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

    /// Keeps a connection for later attempts if it leads to the current incarnation of an available endpoint.
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

    /// Records that an endpoint has responded on a connection of this origin.
    pub(super) fn record_response(&self, endpoint: EndpointId, origin: ConnectionOrigin) {
        if let Some(idle) = self.endpoints.borrow_mut().idle_mut(endpoint) {
            idle.record_response();
        }
        self.stale_connections.record_response(origin);
    }

    /// Records that a connection of this origin broke during a request.
    pub(super) fn record_break(&self, origin: ConnectionOrigin) {
        self.stale_connections.record_break(origin);
    }

    /// Records that an endpoint has rejected a request on a connection of this origin, which the endpoint
    /// closes. Endpoints do so when they have too many connections.
    pub(super) fn record_connection_rejected(&self, origin: ConnectionOrigin) {
        match origin {
            ConnectionOrigin::New => self.idle_timeout.record_new_connection_rejected(),
            ConnectionOrigin::Reused { .. } => self.idle_timeout.record_reused_connection_rejected(),
        }
    }

    /// Closes the idle connections to an endpoint if it has been unresponsive since `sent_at`.
    pub(super) fn close_if_unresponsive(&self, endpoint: EndpointId, sent_at: Instant) {
        if let Some(idle) = self.endpoints.borrow_mut().idle_mut(endpoint) {
            idle.close_if_unresponsive(sent_at);
        }
    }

    /// Returns the lengths of the responses of a class.
    pub(super) fn response_lengths(&self, class: usize) -> Rc<ResponseLengths> {
        self.response_lengths[class].clone()
    }

    /// Returns the budget for buffered response bodies.
    pub(super) fn buffer_budget(&self) -> &Rc<BufferBudget> {
        &self.buffer_budget
    }
}

/// A connection in use by an attempt. Dropping the lease closes the connection.
pub(super) struct ConnectionLease {
    pool: Rc<UpstreamPool>,
    endpoint: EndpointId,
    /// The leased connection.
    pub connection: Connection,
    /// Origin of the connection.
    pub origin: ConnectionOrigin,
}

impl ConnectionLease {
    /// Returns the connection to the pool after a complete response.
    pub fn return_idle(self) {
        let ConnectionLease { pool, endpoint, connection, .. } = self;
        tokio::task::spawn_local(async move { pool.return_idle(endpoint, connection).await });
    }
}
