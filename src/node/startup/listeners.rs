//! The listening sockets of the node.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::StartError;
use crate::config::Config;

/// The listening sockets of the node.
pub struct Listeners {
    /// Listener for clients.
    pub downstream: TcpListener,
    /// Listener for the admin API, if the configuration has an address for it.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Opens the listeners. An `inherited` listener is used for clients instead of the address in the
    /// configuration.
    pub async fn open(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Listeners, StartError> {
        let downstream = match inherited {
            Some(listener) => TcpListener::from_std(listener).map_err(StartError::RegisterListener)?,
            None => bind("listen", config.listen).await?,
        };
        let admin = match config.admin {
            Some(address) => Some(bind("operator", address).await?),
            None => None,
        };
        Ok(Listeners { downstream, admin })
    }
}

/// Listens on `address`. `field` is the field of the configuration for this address, for the error.
async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}

/// Returns the local address of a listener. `field` is the field of the configuration for its address, for
/// the error.
pub fn local_address(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::LocalAddress { field, source })
}
