//! The listeners of a node.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::StartError;
use crate::config::Config;

/// The sockets that the node listens on.
pub struct Listeners {
    /// For clients.
    pub downstream: TcpListener,
    /// For operators, if the configuration names an address for them.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Opens them; the `inherited` one stands for the one that the configuration names.
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

/// Listens on an address, the value of the configuration's `field`.
async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}

/// The address of the listener that the configuration's `field` stands for.
pub fn local_address(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::LocalAddress { field, source })
}
