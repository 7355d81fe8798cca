//! Reloads the configuration on SIGHUP.

use std::net::SocketAddr;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::Config;
use crate::log::ErrorChain;

/// Reloads the configuration at `path` on each SIGHUP, for as long as the process runs. Only the address of
/// discovery can change while a node runs; it is sent to `discovery_address`. An invalid file changes
/// nothing.
pub async fn reload_on_sighup(
    path: String,
    mut sighup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while sighup.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                tracing::info!(
                    "{path}: configuration reloaded; discovery is now {}, other changes need a restart",
                    config.discovery
                );
                discovery_address.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery) != config.discovery
                });
            }
            Err(error) => tracing::warn!("configuration not reloaded: {}", ErrorChain(&error)),
        }
    }
}
