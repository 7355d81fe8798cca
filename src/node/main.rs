//! The node: it accepts requests from clients, has the balancer choose an endpoint for each, and forwards the
//! responses of the endpoints.
#![deny(unsafe_code)]

mod admin;
mod body;
mod clock;
mod config;
mod discovery;
mod downstream;
mod engine;
mod lifecycle;
mod log;
mod net;
mod protocol;
mod reload;
mod startup;
mod state_store;
mod upstream;

#[cfg(test)]
#[path = "../../tests/unit/support.rs"]
mod unit_support;

use std::process::ExitCode;

use tokio::task::LocalSet;

use crate::log::ErrorChain;
use crate::net::inherited_listener;
use crate::startup::{Signals, StartError};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::init();
            tracing::error!("{}", ErrorChain(&error));
            ExitCode::FAILURE
        }
    }
}

/// Runs the node until it has shut down.
fn run() -> Result<(), StartError> {
    // This comes first: a descriptor that is opened earlier could get the number of the inherited one.
    let inherited = inherited_listener::from_environment()?;
    log::init();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(inherited))
}

/// Serves until SIGTERM, and then shuts down gracefully.
async fn serve(inherited: Option<std::net::TcpListener>) -> Result<(), StartError> {
    let Signals { sighup, mut sigterm } = Signals::install()?;
    let shutdown = startup::start(inherited, sighup).await?;
    sigterm.recv().await;
    shutdown.run().await;
    Ok(())
}
