//! The interface of the downstream module to the startup and the lifecycle of the node.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::body::BufferBudget;
use crate::config::Config;
use crate::downstream::connection::CLIENT_SEND_TIMEOUT;
use crate::downstream::connections::{ConnectionLimits, ConnectionTable};
use crate::downstream::handler::RequestHandler;
use crate::downstream::request_ids::RequestIds;
use crate::downstream::service::ConnectionService;
use crate::engine::EngineHandle;
use crate::lifecycle::{ClientConnections, Lifecycle};
use crate::state_store::SharedRequestIds;
use crate::upstream::{UpstreamPool, max_upstream_connections};

/// Interval at which connections that have been idle for too long or are stuck are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval at which idle connections are closed while all connections have to close.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which idle connections are closed in standby.
const STANDBY_SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a connection stays idle in standby. Until then, its client may still use it.
const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts clients' connections and serves their requests.
pub struct DownstreamServer {
    config: Rc<Config>,
    upstream: Rc<UpstreamPool>,
    lifecycle: Rc<Lifecycle>,
    connections: Rc<ConnectionTable>,
    request_ids: Rc<RequestIds>,
    service: Rc<ConnectionService>,
}

impl DownstreamServer {
    /// Creates a server without connections that hands requests to `engine`.
    pub fn new(
        config: Rc<Config>,
        engine: EngineHandle,
        upstream: Rc<UpstreamPool>,
        lifecycle: Rc<Lifecycle>,
        buffer_budget: Rc<BufferBudget>,
    ) -> DownstreamServer {
        let limits = ConnectionLimits::new(config.limits.max_connections, upstream.max_connections());
        let connections = Rc::new(ConnectionTable::new(limits));
        let request_ids = Rc::new(RequestIds::new(config.limits.memory));
        let handler = RequestHandler::new(
            config.clone(),
            engine,
            lifecycle.clone(),
            connections.clone(),
            buffer_budget,
            request_ids.clone(),
        );
        let service = ConnectionService::new(
            handler,
            connections.clone(),
            lifecycle.clone(),
            config.limits.connection_buffer,
        );
        let service = Rc::new(service);
        DownstreamServer { config, upstream, lifecycle, connections, request_ids, service }
    }

    pub(super) fn node_name(&self) -> &str {
        &self.config.name
    }

    pub(super) fn connections(&self) -> &Rc<ConnectionTable> {
        &self.connections
    }

    pub(super) fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    pub(super) fn upstream(&self) -> &UpstreamPool {
        &self.upstream
    }

    pub(super) fn service(&self) -> &Rc<ConnectionService> {
        &self.service
    }

    /// Closes connections that have been idle for [`STANDBY_IDLE_TIMEOUT`] while the node is in standby.
    /// Connections in use close with their responses.
    pub async fn run_standby_drain(&self) {
        loop {
            self.lifecycle.wait_for_standby().await;
            sleep(STANDBY_SWEEP_INTERVAL).await;
            if self.lifecycle.is_standby() {
                self.connections.close_idle(STANDBY_IDLE_TIMEOUT);
            }
        }
    }

    /// Closes connections that have been idle for [`CLIENT_SEND_TIMEOUT`], and aborts those that are stuck.
    pub async fn run_idle_sweep(&self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.connections.close_idle(CLIENT_SEND_TIMEOUT);
            self.connections.abort_stuck();
        }
    }
}

impl ClientConnections for DownstreamServer {
    fn set_hot_restart_limits(&self, active: bool) {
        let limits = &self.config.limits;
        let descriptors =
            if active { limits.max_connections_during_hot_restart } else { limits.max_connections };
        self.upstream.set_max_connections(max_upstream_connections(descriptors));
        self.connections.set_limits(ConnectionLimits::new(descriptors, self.upstream.max_connections()));
    }

    fn start_sharing_request_ids(&self, ids: SharedRequestIds) {
        self.request_ids.start_sharing(ids);
    }

    fn stop_sharing_request_ids(&self) {
        self.request_ids.stop_sharing();
    }

    fn exceeds_limit(&self) -> bool {
        self.connections.exceeds_limit()
    }

    async fn drain(&self) {
        while !self.connections.is_empty() {
            self.connections.close_idle(Duration::ZERO);
            self.connections.wait_for_removal(DRAIN_INTERVAL).await;
        }
    }
}
