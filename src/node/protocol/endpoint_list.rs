//! The form of endpoint lists, as discovery sends them and the configuration holds one.

use std::net::SocketAddr;

use mothspool::EndpointId;
use serde::Deserialize;

/// What discovery says on one line.
#[derive(Default, Deserialize)]
pub struct EndpointList {
    pub rev: u64,
    /// Whether it is the whole list, not changes.
    pub all: bool,
    pub targets: Vec<EndpointRecord>,
}

#[derive(Deserialize)]
pub struct EndpointRecord {
    pub uid: String,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub az: String,
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub pod_group: Option<u16>,
    pub state: State,
    #[serde(default)]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// A fixed hash of the uid: every node, and this one after a restart, must build the same pools.
pub fn id_of(uid: &str) -> EndpointId {
    xxhash_rust::xxh3::xxh3_64(uid.as_bytes())
}
