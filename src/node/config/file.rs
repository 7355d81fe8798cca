//! The form of the configuration file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::error::{AddressError, FileError};
use crate::protocol::endpoint_list::EndpointList;

/// Names the fields in errors.
mod field {
    crate::protocol::named_field::named_fields!(
        name, listen, discovery, operator, seed, limits, known, settings, sockets, memory_mb
    );
}

/// The configuration file, as it is written.
#[derive(Deserialize)]
#[serde(expecting = "a configuration")]
pub(super) struct ConfigFile {
    /// The node's name.
    #[serde(deserialize_with = "field::name")]
    pub(super) name: String,
    /// The address for clients.
    #[serde(deserialize_with = "field::listen")]
    listen: String,
    /// The address of discovery.
    #[serde(deserialize_with = "field::discovery")]
    discovery: String,
    /// The address of the admin API, if the node has one.
    #[serde(default, deserialize_with = "field::operator")]
    operator: Option<String>,
    /// A hexadecimal number; anything else stands for a random one.
    #[serde(default, deserialize_with = "field::seed")]
    pub(super) seed: String,
    /// What the node may use of its machine.
    #[serde(default, deserialize_with = "field::limits")]
    pub(super) limits: MachineLimits,
    /// The endpoint list as it was last known.
    #[serde(default, deserialize_with = "field::known")]
    pub(super) known: EndpointList,
    /// The settings of the deployment, nested.
    #[serde(deserialize_with = "field::settings")]
    pub(super) settings: Value,
}

/// What the node may use of its machine.
#[derive(Default, Deserialize)]
#[serde(default, expecting = "limits")]
pub(super) struct MachineLimits {
    /// Descriptors.
    #[serde(deserialize_with = "field::sockets")]
    pub(super) sockets: Option<usize>,
    /// Memory in MiB.
    #[serde(deserialize_with = "field::memory_mb")]
    pub(super) memory_mb: Option<usize>,
}

/// The addresses in the file.
pub(super) struct Addresses {
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) admin: Option<SocketAddr>,
}

impl ConfigFile {
    /// Reads the file at `path`.
    pub(super) fn read(path: &str) -> Result<ConfigFile, FileError> {
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    }

    /// Parses the addresses.
    pub(super) fn parse_addresses(&self) -> Result<Addresses, FileError> {
        let admin = self.operator.as_deref().map(|value| parse_address_field("operator", value));
        Ok(Addresses {
            listen: parse_address_field("listen", &self.listen)?,
            discovery: parse_address_field("discovery", &self.discovery)?,
            admin: admin.transpose()?,
        })
    }
}

fn parse_address_field(field: &'static str, value: &str) -> Result<SocketAddr, FileError> {
    parse_address(value).map_err(|source| FileError::Address { field, source })
}

/// Parses an IP address with a port.
pub(super) fn parse_address(value: &str) -> Result<SocketAddr, AddressError> {
    value.parse().map_err(|source| AddressError { value: value.into(), source })
}
