//! The listening sockets of the node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use super::StartError;
use crate::config::Config;
use crate::net::is_local_shortage;

/// How long a socket that cannot be opened is tried again. A process has to be ready within 6 s.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which it is tried again.
const SHORTAGE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

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

/// Listens on `address`, and tries again for a while if the machine lacks something for a socket. `field` is
/// the field of the configuration for this address, for the error.
async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let deadline = Instant::now() + SHORTAGE_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if is_momentary(&error) && Instant::now() < deadline => {
                sleep(SHORTAGE_RETRY_INTERVAL).await;
            }
            bound => return bound.map_err(|source| StartError::Listen { field, address, source }),
        }
    }
}

/// Returns whether a socket may be opened a moment later. An address that is not available stays so: it is
/// not one of this machine.
fn is_momentary(error: &io::Error) -> bool {
    is_local_shortage(error) && error.kind() != io::ErrorKind::AddrNotAvailable
}

/// Returns the local address of a listener. `field` is the field of the configuration for its address, for
/// the error.
pub fn local_address(field: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::LocalAddress { field, source })
}
