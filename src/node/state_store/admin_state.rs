//! The state in the state file, and its encoding as JSON.
//!
//! Processes of an older and a newer version of the program share one file during a hot restart, so the keys,
//! their order and the version number must not change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mothspool::Timestamp;
use serde::{Deserialize, Serialize};

use super::error::StateError;

/// Version of the format. Files of other versions are ignored, since their fields are unknown.
const FORMAT_VERSION: u32 = 1;

/// Minimum time for which the time of an endpoint's exit from maintenance is kept. That time has no effect
/// after the slow start. This assumes that no slow start lasts longer than 600 s, which the settings do not
/// bound, and that the wall clock is stepped by no more than an hour.
const EXIT_TIME_RETENTION: Duration = Duration::from_secs(600 + 3600);

/// The state that operators have set through the admin API, and the number of process starts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminState {
    /// Number of processes of the node that have started. The start number of a process is this count right
    /// after its own start; its successors have higher start numbers.
    #[serde(rename = "starts")]
    pub process_starts: u64,
    /// Whether the node is in standby.
    pub standby: bool,
    /// The uids of the endpoints in maintenance.
    pub maintenance: BTreeSet<String>,
    /// The times at which endpoints exited maintenance, by uid, in microseconds of Unix time. Times that are
    /// at least [`EXIT_TIME_RETENTION`] old are removed when an endpoint exits maintenance.
    #[serde(rename = "returned")]
    pub exited_at: BTreeMap<String, u64>,
}

impl AdminState {
    /// Registers the start of a process, and returns its start number.
    pub fn register_process(&mut self) -> u64 {
        self.process_starts += 1;
        self.process_starts
    }

    /// Registers that an endpoint enters maintenance.
    pub fn enter_maintenance(&mut self, uid: String) {
        self.exited_at.remove(&uid);
        self.maintenance.insert(uid);
    }

    /// Registers that an endpoint exits maintenance at `now`, in Unix time. A second call changes nothing:
    /// the slow start of the endpoint begins with the first one.
    pub fn exit_maintenance(&mut self, uid: &str, now: Timestamp) {
        if self.maintenance.remove(uid) {
            let age = |exited_at| now.saturating_duration_since(Timestamp::from_micros(exited_at));
            self.exited_at.retain(|_, exited_at| age(*exited_at) < EXIT_TIME_RETENTION);
            self.exited_at.insert(uid.to_string(), now.as_micros());
        }
    }
}

/// Top level of the state file.
#[derive(Serialize, Deserialize)]
struct StateFile<T> {
    version: u32,
    #[serde(rename = "orders")]
    state: T,
}

/// Decodes the content of a state file.
pub fn decode(text: &[u8]) -> Result<AdminState, StateError> {
    // The version is checked before the state is decoded: in other versions, the state may have other fields.
    let file: StateFile<serde_json::Value> = serde_json::from_slice(text).map_err(StateError::Malformed)?;
    match file.version {
        FORMAT_VERSION => serde_json::from_value(file.state).map_err(StateError::Malformed),
        found => Err(StateError::UnsupportedVersion { found, supported: FORMAT_VERSION }),
    }
}

/// Encodes the content of a state file.
pub fn encode(state: &AdminState) -> Result<Vec<u8>, StateError> {
    serde_json::to_vec(&StateFile { version: FORMAT_VERSION, state }).map_err(StateError::Encode)
}
