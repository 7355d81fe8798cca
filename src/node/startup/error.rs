//! Why a node cannot start.

use std::io;
use std::net::SocketAddr;

use mothspool::SettingsError;
use thiserror::Error;

use super::CONFIG_VARIABLE;
use crate::config::ConfigError;
use crate::net::inherited_listener::InheritedListenerError;

/// Why the node cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The socket that was passed on cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The runtime cannot be built.
    #[error("cannot start the runtime")]
    Runtime(#[source] io::Error),
    /// A signal cannot be handled.
    #[error("cannot handle {name}")]
    Signal {
        /// The signal's name.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// No configuration file is named.
    #[error("{CONFIG_VARIABLE} does not name a configuration file")]
    NoConfigFile,
    /// The configuration cannot be read, or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listener that was passed on cannot be registered.
    #[error("cannot use the inherited listener")]
    RegisterListener(#[source] io::Error),
    /// An address cannot be listened on.
    #[error("{field} {address}")]
    Listen {
        /// The configuration's field.
        field: &'static str,
        /// Its value.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The address of a listener is not known.
    #[error("no address of the listener {field}")]
    LocalAddress {
        /// The configuration's field.
        field: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The balancer does not work with these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
