//! The format of endpoint lists, which discovery sends and the configuration file contains. The fields have
//! the names that the code uses, and are mapped to the names of the protocol.

use std::net::SocketAddr;

use mothspool::EndpointId;
use serde::Deserialize;
use serde::de::{Deserializer, Error};

/// Deserializers that name the field in errors, by its name on the wire.
mod field {
    crate::protocol::named_field::named_fields!(
        rev,
        all,
        targets,
        uid,
        az,
        model,
        pod_group,
        state,
        capacity_hint,
        boot_ms
    );
}

/// An endpoint list: a snapshot, or the changes since the previous revision.
#[derive(Default, Deserialize)]
#[serde(expecting = "an endpoint list")]
pub struct EndpointList {
    /// Revision of the endpoint list after these entries are applied; increases with each change.
    #[serde(rename = "rev", deserialize_with = "field::rev")]
    pub revision: u64,
    /// Whether the list names all endpoints. Otherwise it is a delta, which names the changed endpoints.
    #[serde(rename = "all", deserialize_with = "field::all")]
    pub is_snapshot: bool,
    /// Entries of the list, one for each endpoint.
    #[serde(rename = "targets", deserialize_with = "field::targets")]
    pub entries: Vec<EndpointEntry>,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
#[serde(expecting = "an endpoint")]
pub struct EndpointEntry {
    /// Name of the endpoint, the same at each node and after a restart of the endpoint.
    #[serde(deserialize_with = "field::uid")]
    pub uid: String,
    /// Address at which this node reaches the endpoint.
    #[serde(rename = "endpoint", deserialize_with = "endpoint_address")]
    pub address: SocketAddr,
    /// Zone of the endpoint; empty if unknown.
    #[serde(default, rename = "az", deserialize_with = "field::az")]
    pub zone: String,
    /// Type of the machine on which the endpoint runs; empty if unknown.
    #[serde(default, rename = "model", deserialize_with = "field::model")]
    pub machine_type: String,
    /// Cell of the endpoint: a set of endpoints that know each other's idempotency keys.
    #[serde(default, rename = "pod_group", deserialize_with = "field::pod_group")]
    pub cell: Option<u16>,
    /// Whether the endpoint accepts requests.
    #[serde(deserialize_with = "field::state")]
    pub state: EntryState,
    /// Size of the endpoint relative to other endpoints; 0 if unknown.
    #[serde(default, rename = "capacity_hint", deserialize_with = "field::capacity_hint")]
    pub weight: f64,
    /// Time of the last start, as Unix time in milliseconds; 0 for long ago.
    #[serde(default, rename = "boot_ms", deserialize_with = "field::boot_ms")]
    pub started_at_ms: u64,
}

/// State of an endpoint in an endpoint list.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests and should get no new ones.
    Draining,
    /// The endpoint no longer exists.
    Gone,
}

/// Returns the id of the endpoint with this uid. The hash function must not change, because every node, and
/// this one after a restart, must build the same pools.
pub fn endpoint_id(uid: &str) -> EndpointId {
    xxhash_rust::xxh3::xxh3_64(uid.as_bytes())
}

/// Deserializes the address in the field `endpoint`. Errors name the field and the address.
fn endpoint_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    let address: String = String::deserialize(deserializer)
        .map_err(|error| D::Error::custom(format_args!("endpoint: {error}")))?;
    address.parse().map_err(|error| D::Error::custom(format_args!("endpoint: {address:?}: {error}")))
}
