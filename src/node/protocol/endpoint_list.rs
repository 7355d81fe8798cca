//! The form of endpoint lists, as discovery sends them and the configuration holds one. The fields have the field's
//! names here; on the wire they keep those of the protocol.

use std::net::SocketAddr;

use mothspool::EndpointId;
use serde::Deserialize;

/// One endpoint list: a snapshot, or the changes since the revision before.
#[derive(Default, Deserialize)]
pub struct EndpointList {
    /// The revision of the list that these entries lead to; it grows with each change.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether it names all endpoints. Otherwise it is a delta: the endpoints that have changed.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries, one for each endpoint.
    #[serde(rename = "targets")]
    pub records: Vec<EndpointRecord>,
}

/// One entry of an endpoint list.
#[derive(Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name, the same at each node and after the endpoint's restart.
    pub uid: String,
    /// Where this node reaches it.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its zone; empty if unknown.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// What kind of machine it runs on; empty if unknown.
    #[serde(default, rename = "model")]
    pub machine_type: String,
    /// The cell of endpoints that know each other's idempotency keys.
    #[serde(default, rename = "pod_group")]
    pub cell: Option<u16>,
    /// Whether it takes requests.
    pub state: RecordState,
    /// Its size relative to other endpoints; 0 if unknown.
    #[serde(default, rename = "capacity_hint")]
    pub weight: f64,
    /// When it was last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default, rename = "boot_ms")]
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

/// The id of the endpoint with this uid. The hash is fixed: every node, and this one after a restart, must build the
/// same pools.
pub fn id_of(uid: &str) -> EndpointId {
    xxhash_rust::xxh3::xxh3_64(uid.as_bytes())
}
