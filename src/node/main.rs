//! One node: it takes requests from clients, asks the decision module where each goes, and passes
//! on the servers' answers.
#![deny(unsafe_code)]

#[macro_use]
mod log;

mod admin;
mod body;
mod config;
mod discovery;
mod downstream;
mod engine;
mod lifecycle;
mod net;
mod protocol;
mod upstream;

use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use mothspool::Balancer;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::admin::AdminService;
use crate::admin::state_store::StateStore;
use crate::body::BufferBudget;
use crate::config::Config;
use crate::downstream::DownstreamServer;
use crate::engine::{Engine, EngineHandle};
use crate::lifecycle::Lifecycle;
use crate::log::ErrorChain;
use crate::upstream::UpstreamPool;

/// For how long after SIGTERM connections are taken in: new ones come for up to 0.4 s.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
/// SIGKILL may come so long after SIGTERM as the longest deadline is, taken as 3 s where it is longer, and 0.7 s
/// more. All has to be answered by then, and what comes in the last 0.3 s is not begun.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
const LAST_CALL: Duration = Duration::from_millis(400);
/// For how long answers that have begun may still go to their clients.
const TRANSFERS_MOST: Duration = Duration::from_secs(60);
/// How often a node that waits for its first servers looks for them.
const ABLE_LOOK: Duration = Duration::from_millis(10);

async fn run(passed: Option<std::net::TcpListener>) -> Result<(), Box<dyn Error>> {
    // From the first moment: unhandled, both signals end the process.
    let (hang_up, mut terminate) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG does not name a configuration file")?;
    let config = Rc::new(Config::read(&path)?);
    let handed_over = passed.is_some();
    let listener = match passed {
        Some(listener) => TcpListener::from_std(listener)?,
        None => TcpListener::bind(config.listen).await?,
    };
    let operators = match config.admin {
        Some(address) => {
            Some(TcpListener::bind(address).await.map_err(|error| format!("{address}: {error}"))?)
        }
        None => None,
    };
    log!("{} listens on {}", config.name, listener.local_addr()?);
    let room = BufferBudget::new(config.limits.memory);
    let (servers, subscribe) = (Rc::new(UpstreamPool::new(&config, room.clone())), Rc::new(Notify::new()));
    let (mailbox, inbox) = EngineHandle::new(config.seed, servers.clone());
    let lifecycle = Rc::new(Lifecycle::new(servers.clone()));
    let balancer = Balancer::new(config.settings.clone(), config.seed)?;
    let engine = Engine::new(balancer, servers.clone(), mailbox.clone(), subscribe.clone());
    spawn_local(engine.run(inbox));
    let swept = servers.clone();
    spawn_local(async move { swept.run_idle_sweep().await });
    let (moved, address) = watch::channel(config.discovery);
    spawn_local(reread(path, hang_up, moved));
    spawn_local(discovery::follow(config.clone(), address, mailbox.clone(), subscribe));
    let clients =
        Rc::new(DownstreamServer::new(config.clone(), mailbox.clone(), servers, lifecycle.clone(), room));
    if let Some(listener) = operators {
        log!("{} hears operators on {}", config.name, listener.local_addr()?);
        let shared = StateStore::open(&std::env::temp_dir(), &config.name);
        if handed_over {
            lifecycle.await_descriptors();
        }
        let desk = Rc::new(AdminService::new(shared, clients.clone(), lifecycle.clone(), mailbox));
        let (following, emptying) = (desk.clone(), clients.clone());
        spawn_local(async move { following.follow().await });
        spawn_local(async move { emptying.run_standby_drain().await });
        spawn_local(admin::listen(listener, desk));
    }
    let watched = clients.clone();
    spawn_local(async move { watched.run_idle_sweep().await });
    let stop = Rc::new(Notify::new());
    let (starting, accepting_clients, accepted) = (lifecycle.clone(), clients.clone(), stop.clone());
    let accepting = spawn_local(async move {
        // While another process may serve, what this one could not serve is that one's.
        while handed_over && !starting.is_ready() {
            sleep(ABLE_LOOK).await;
        }
        accepting_clients.accept(listener, accepted).await;
    });

    terminate.recv().await;
    let shutdown_deadline = Instant::now() + config.longest_deadline().min(DEADLINE_MOST) + LAST_CALL;
    log!("{} is leaving", config.name);
    lifecycle.begin_shutdown(handed_over);
    if handed_over {
        // The successor takes what waits in the kernel. Clients in the midst of things move with their answers.
        accepting.abort();
    }
    sleep(STILL_ACCEPT).await;
    stop.notify_one();
    let mut gone = pin!(async {
        clients.drain().await;
        // Where there was no room to the last, the kernel may hold others still: those are taken too.
        let _ = accepting.await;
        clients.drain().await;
    });
    if timeout_at(shutdown_deadline, gone.as_mut()).await.is_err() {
        lifecycle.expire_shutdown_deadline();
        // What still passes through to a client is not cut off; the platform ends the process in time.
        let _ = timeout(TRANSFERS_MOST, gone).await;
    }
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. Only discovery moves while the node runs; a file that is
/// wrong changes nothing.
async fn reread(path: String, mut hang_up: Signal, moved: watch::Sender<SocketAddr>) {
    while hang_up.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                log!("{path} read anew; discovery is at {}", config.discovery);
                moved.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(error) => log!("{}; the configuration stays as it was", ErrorChain(&error)),
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    // First of all, while no other descriptor can have its number.
    let passed = net::inherited_listener::listener()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(passed))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{}", ErrorChain(&*error));
            ExitCode::FAILURE
        }
    }
}
