//! The fields of the configuration file, which is JSON.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::error::{AddressError, FileError};
use crate::protocol::endpoint_list::EndpointList;

/// Deserializers that add the name of a field to its errors.
mod field {
    crate::protocol::named_field::named_fields!(
        name, listen, discovery, operator, seed, limits, known, settings, sockets, memory_mb
    );
}

/// Contents of the configuration file.
#[derive(Deserialize)]
#[serde(expecting = "a configuration")]
pub(super) struct ConfigFile {
    /// Name of the node.
    #[serde(deserialize_with = "field::name")]
    pub(super) name: String,
    /// Address on which the node accepts connections from clients.
    #[serde(deserialize_with = "field::listen")]
    listen: String,
    /// Address of discovery.
    #[serde(deserialize_with = "field::discovery")]
    discovery: String,
    /// Address of the admin API, if the file has one.
    #[serde(default, deserialize_with = "field::operator")]
    operator: Option<String>,
    /// Seed of random numbers, in hexadecimal. If it is absent or not hexadecimal, the node generates a seed.
    #[serde(default, deserialize_with = "field::seed")]
    pub(super) seed: String,
    /// Descriptors and memory that the node may use.
    #[serde(default, deserialize_with = "field::limits")]
    pub(super) limits: MachineLimits,
    /// Last known endpoint list.
    #[serde(default, deserialize_with = "field::known")]
    pub(super) known: EndpointList,
    /// Settings of the balancer and of connections, as a nested object.
    #[serde(deserialize_with = "field::settings")]
    pub(super) settings: Value,
}

/// Descriptors and memory that the node may use.
#[derive(Default, Deserialize)]
#[serde(default, expecting = "limits")]
pub(super) struct MachineLimits {
    /// Number of descriptors, if the file limits them.
    #[serde(deserialize_with = "field::sockets")]
    pub(super) sockets: Option<usize>,
    /// Memory in MiB, if the file limits it.
    #[serde(deserialize_with = "field::memory_mb")]
    pub(super) memory_mb: Option<usize>,
}

/// Parsed addresses of the configuration file.
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

    /// Parses the fields that contain addresses.
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
