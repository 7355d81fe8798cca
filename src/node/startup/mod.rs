//! Starts the node: reads the configuration, opens the listeners, creates the components and starts their
//! tasks.

mod error;
mod listeners;

use std::rc::Rc;
use std::time::Duration;

use mothspool::Balancer;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::listeners::{Listeners, local_address};
use crate::admin::{self, AdminService, StateApplier};
use crate::body::BufferBudget;
use crate::clock::{Clock, WallClock};
use crate::config::Config;
use crate::discovery;
use crate::downstream::DownstreamServer;
use crate::engine::{Engine, EngineHandle};
use crate::lifecycle::{GracefulShutdown, HotRestart, Lifecycle};
use crate::reload;
use crate::state_store::StateStore;
use crate::upstream::UpstreamPool;

pub use error::StartError;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// Interval at which a process with an inherited listener checks whether it is ready to accept connections.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The signals that the node handles.
pub struct Signals {
    /// SIGHUP, which reloads the configuration.
    pub sighup: Signal,
    /// SIGTERM, which starts the graceful shutdown.
    pub sigterm: Signal,
}

impl Signals {
    /// Installs handlers of the signals. Without them, each of the signals ends the process.
    pub fn install() -> Result<Signals, StartError> {
        let install = |name, kind| signal(kind).map_err(|source| StartError::Signal { name, source });
        Ok(Signals {
            sighup: install("SIGHUP", SignalKind::hangup())?,
            sigterm: install("SIGTERM", SignalKind::terminate())?,
        })
    }
}

/// Starts the node, on the `inherited` listener if there is one, and returns its graceful shutdown, which has
/// not begun. The tasks of the node run on the current [`tokio::task::LocalSet`].
pub async fn start(
    inherited: Option<std::net::TcpListener>,
    sighup: Signal,
) -> Result<GracefulShutdown<DownstreamServer>, StartError> {
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| StartError::NoConfigFile)?;
    let config = Rc::new(Config::read(&path)?);
    let shares_listener = inherited.is_some();
    let listeners = Listeners::open(&config, inherited).await?;
    // With an inherited socket, the process accepts connections only once it is ready.
    tracing::info!(
        "{} listens for clients on {}",
        config.name,
        local_address("listen", &listeners.downstream)?
    );
    let node = Node::build(config, shares_listener, path, sighup)?;
    if let Some(listener) = listeners.admin {
        node.start_admin(listener)?;
    }
    let downstream = node.downstream.clone();
    spawn_local(async move { downstream.run_idle_sweep().await });
    Ok(node.start_accepting(listeners.downstream))
}

/// The components of the node that are needed to start serving its listeners.
struct Node {
    config: Rc<Config>,
    /// Whether the listener was inherited, so that another process of the node may have it as well, now or
    /// later.
    shares_listener: bool,
    lifecycle: Rc<Lifecycle>,
    downstream: Rc<DownstreamServer>,
    engine: EngineHandle,
    wall_clock: Rc<WallClock>,
}

impl Node {
    /// Creates the components, and starts the tasks that need no listener.
    fn build(
        config: Rc<Config>,
        shares_listener: bool,
        path: String,
        sighup: Signal,
    ) -> Result<Node, StartError> {
        let budget = BufferBudget::new(config.limits.memory);
        let upstream = Rc::new(UpstreamPool::new(&config, budget.clone()));
        let subscribe = Rc::new(Notify::new());
        let (engine_handle, events) = EngineHandle::new(config.seed, upstream.clone());
        let lifecycle = Rc::new(Lifecycle::new(upstream.clone()));
        let balancer = Balancer::new(config.settings.clone(), config.seed)?;
        let clock = Clock::start();
        let wall_clock = Rc::new(WallClock::new(clock));
        let followed_clock = wall_clock.clone();
        spawn_local(async move { followed_clock.run_checks().await });
        let engine = Engine::new(balancer, clock, upstream.clone(), engine_handle.clone(), subscribe.clone());
        spawn_local(engine.run(events));
        let pool = upstream.clone();
        spawn_local(async move { pool.run_idle_sweep().await });
        let (address_sender, address_receiver) = watch::channel(config.discovery);
        spawn_local(reload::reload_on_sighup(path, sighup, address_sender));
        spawn_local(discovery::follow(
            config.clone(),
            address_receiver,
            engine_handle.clone(),
            subscribe,
            wall_clock.clone(),
        ));
        let downstream = Rc::new(DownstreamServer::new(
            config.clone(),
            engine_handle.clone(),
            upstream,
            lifecycle.clone(),
            budget,
        ));
        Ok(Node { config, shares_listener, lifecycle, downstream, engine: engine_handle, wall_clock })
    }

    /// Starts the admin API, and the tasks that depend on the state that it writes.
    fn start_admin(&self, listener: TcpListener) -> Result<(), StartError> {
        tracing::info!(
            "{} serves the admin API on {}",
            self.config.name,
            local_address("operator", &listener)?
        );
        let applier = StateApplier::new(self.lifecycle.clone(), self.engine.clone(), self.wall_clock.clone());
        let store = Rc::new(StateStore::open(&std::env::temp_dir(), &self.config.name, applier));
        if self.shares_listener {
            self.lifecycle.require_descriptors();
        }
        let service = Rc::new(AdminService::new(
            store.clone(),
            self.lifecycle.clone(),
            self.engine.clone(),
            self.wall_clock.clone(),
        ));
        let (lifecycle, connections) = (self.lifecycle.clone(), self.downstream.clone());
        spawn_local(async move {
            HotRestart::register(store, lifecycle, connections).await.run().await;
        });
        let downstream = self.downstream.clone();
        spawn_local(async move { downstream.run_standby_drain().await });
        spawn_local(admin::listen(listener, service));
        Ok(())
    }

    /// Starts accepting connections from clients.
    fn start_accepting(self, listener: TcpListener) -> GracefulShutdown<DownstreamServer> {
        let stop_accepting = Rc::new(Notify::new());
        let stop_signal = stop_accepting.clone();
        let (lifecycle, downstream) = (self.lifecycle.clone(), self.downstream.clone());
        let accept_task = spawn_local(async move {
            // Until this process can serve requests, the other process accepts the connections.
            while self.shares_listener && !lifecycle.is_ready() {
                sleep(READY_POLL_INTERVAL).await;
            }
            downstream.accept(listener, stop_signal).await;
        });
        GracefulShutdown {
            lifecycle: self.lifecycle,
            connections: self.downstream,
            accept_task,
            stop_accepting,
            has_successor: self.shares_listener,
            longest_deadline: self.config.longest_deadline(),
            node_name: self.config.name.clone(),
        }
    }
}
