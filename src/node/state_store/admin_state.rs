//! What the state file holds, and its form as JSON.
//!
//! Processes of an older and a newer version of the program share one file during a hot restart: the keys,
//! their order and the version number are a format to keep.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mothspool::Timestamp;
use serde::{Deserialize, Serialize};

use super::error::StateError;

/// The version of the format. Nothing is known of files with another number.
const FORMAT_VERSION: u32 = 1;

/// How long the time of an endpoint's return is kept. No endpoint warms up for longer, so that the time says
/// nothing any more afterwards.
const RETURN_RETENTION: Duration = Duration::from_secs(600);

/// What operators have ordered for the node, and how many processes it has had.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminState {
    /// How many processes of the node have started. A process's start number is this count right after its
    /// own start; a higher one belongs to a successor.
    #[serde(rename = "starts")]
    pub process_starts: u64,
    /// Whether the node is in standby.
    pub standby: bool,
    /// The uids of the endpoints in maintenance.
    pub maintenance: BTreeSet<String>,
    /// By uid, when endpoints left maintenance, in microseconds of Unix time, for as long as they may be
    /// warming up.
    #[serde(rename = "returned")]
    pub returned_at: BTreeMap<String, u64>,
}

impl AdminState {
    /// Counts one more process of the node, and returns its start number.
    pub fn register_process(&mut self) -> u64 {
        self.process_starts += 1;
        self.process_starts
    }

    /// Puts an endpoint into maintenance.
    pub fn enter_maintenance(&mut self, uid: String) {
        self.returned_at.remove(&uid);
        self.maintenance.insert(uid);
    }

    /// Takes an endpoint out of maintenance at `now`, in Unix time. A second call changes nothing: the
    /// endpoint warms up from the first one on.
    pub fn exit_maintenance(&mut self, uid: &str, now: Timestamp) {
        if self.maintenance.remove(uid) {
            let age = |returned_at| now.saturating_duration_since(Timestamp::from_micros(returned_at));
            self.returned_at.retain(|_, returned_at| age(*returned_at) < RETURN_RETENTION);
            self.returned_at.insert(uid.to_string(), now.as_micros());
        }
    }
}

/// The content of the state file.
#[derive(Serialize, Deserialize)]
struct StateFile<T> {
    version: u32,
    #[serde(rename = "orders")]
    state: T,
}

/// Reads the content of a state file.
pub fn decode(text: &[u8]) -> Result<AdminState, StateError> {
    // The version comes first: the state of another one need not have the fields of this one.
    let file: StateFile<serde_json::Value> = serde_json::from_slice(text).map_err(StateError::Malformed)?;
    match file.version {
        FORMAT_VERSION => serde_json::from_value(file.state).map_err(StateError::Malformed),
        found => Err(StateError::UnsupportedVersion { found, supported: FORMAT_VERSION }),
    }
}

/// The content of a state file.
pub fn encode(state: &AdminState) -> Result<Vec<u8>, StateError> {
    serde_json::to_vec(&StateFile { version: FORMAT_VERSION, state }).map_err(StateError::Encode)
}
