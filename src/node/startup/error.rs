//! Errors that prevent the start of the node.

use std::io;
use std::net::SocketAddr;

use mothspool::SettingsError;
use thiserror::Error;

use super::CONFIG_VARIABLE;
use crate::config::ConfigError;
use crate::net::inherited_listener::InheritedListenerError;

/// An error that prevents the start of the node.
#[derive(Debug, Error)]
pub enum StartError {
    /// The inherited socket cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The async runtime cannot be built.
    #[error("cannot build the async runtime")]
    Runtime(#[source] io::Error),
    /// The handler of a signal cannot be installed.
    #[error("cannot install a handler for {name}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The environment variable for the path of the configuration file is not set or is not UTF-8.
    #[error("{CONFIG_VARIABLE} is not set or is not UTF-8; it has to be the path of the configuration file")]
    NoConfigFile,
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The inherited listener cannot be registered with the runtime.
    #[error("cannot register the inherited listener with the async runtime")]
    RegisterListener(#[source] io::Error),
    /// The node cannot listen on an address.
    #[error("cannot listen on {address} (configuration field {field})")]
    Listen {
        /// Field of the configuration for this address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The local address of a listener cannot be determined.
    #[error("cannot determine the local address of the listener (configuration field {field})")]
    LocalAddress {
        /// Field of the configuration for the listener's address.
        field: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The balancer cannot be created with these settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
