//! The form of endpoint lists, as discovery sends them and the configuration holds one. Here its fields
//! have the names that the code uses; on the wire they keep those of the protocol.

use std::net::SocketAddr;

use mothspool::EndpointId;
use serde::Deserialize;
use serde::de::{Deserializer, Error};

/// Names the fields in errors, as the wire does.
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

/// One endpoint list: a snapshot, or the changes since the revision before.
#[derive(Default, Deserialize)]
#[serde(expecting = "an endpoint list")]
pub struct EndpointList {
    /// The revision of the list that these entries lead to; it grows with each change.
    #[serde(rename = "rev", deserialize_with = "field::rev")]
    pub revision: u64,
    /// Whether it names all endpoints. Otherwise it is a delta: the endpoints that have changed.
    #[serde(rename = "all", deserialize_with = "field::all")]
    pub is_snapshot: bool,
    /// The entries, one for each endpoint.
    #[serde(rename = "targets", deserialize_with = "field::targets")]
    pub records: Vec<EndpointRecord>,
}

/// One entry of an endpoint list.
#[derive(Deserialize)]
#[serde(expecting = "an endpoint")]
pub struct EndpointRecord {
    /// The endpoint's name, the same at each node and after the endpoint's restart.
    #[serde(deserialize_with = "field::uid")]
    pub uid: String,
    /// Where this node reaches it.
    #[serde(rename = "endpoint", deserialize_with = "endpoint_address")]
    pub address: SocketAddr,
    /// Its zone; empty if unknown.
    #[serde(default, rename = "az", deserialize_with = "field::az")]
    pub zone: String,
    /// What kind of machine it runs on; empty if unknown.
    #[serde(default, rename = "model", deserialize_with = "field::model")]
    pub machine_type: String,
    /// The cell of endpoints that know each other's idempotency keys.
    #[serde(default, rename = "pod_group", deserialize_with = "field::pod_group")]
    pub cell: Option<u16>,
    /// Whether it takes requests.
    #[serde(deserialize_with = "field::state")]
    pub state: RecordState,
    /// Its size relative to other endpoints; 0 if unknown.
    #[serde(default, rename = "capacity_hint", deserialize_with = "field::capacity_hint")]
    pub weight: f64,
    /// When it was last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default, rename = "boot_ms", deserialize_with = "field::boot_ms")]
    pub started_at_ms: u64,
}

/// The state of an endpoint, as an endpoint list spells it.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It no longer exists.
    Gone,
}

/// The id of the endpoint with this uid. The hash is fixed: every node, and this one after a restart, must
/// build the same pools.
pub fn endpoint_id(uid: &str) -> EndpointId {
    xxhash_rust::xxh3::xxh3_64(uid.as_bytes())
}

/// An address in the field `endpoint`; an error names the field and the address.
fn endpoint_address<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
    let address: String = String::deserialize(deserializer)
        .map_err(|error| D::Error::custom(format_args!("endpoint: {error}")))?;
    address.parse().map_err(|error| D::Error::custom(format_args!("endpoint: {address:?}: {error}")))
}
