//! Reads the configuration again at SIGHUP.

use std::net::SocketAddr;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::Config;
use crate::log::ErrorChain;

/// Reads the configuration at `path` at each `hang_up` signal, for as long as the process runs. Only
/// discovery's address changes while a node runs; it is sent to `discovery_address`. A file that is invalid
/// changes nothing.
pub async fn reload_on_sighup(
    path: String,
    mut hang_up: Signal,
    discovery_address: watch::Sender<SocketAddr>,
) {
    while hang_up.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                log!("{path} was read again; discovery is at {}", config.discovery);
                discovery_address.send_if_modified(|address| {
                    std::mem::replace(address, config.discovery) != config.discovery
                });
            }
            Err(error) => log!("{}; the configuration stays as it was", ErrorChain(&error)),
        }
    }
}
