//! Errors of the state store.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

/// The reason why the state cannot be read or changed.
#[derive(Debug, Error)]
pub enum StateError {
    /// The file cannot be read.
    #[error("cannot read the state file")]
    Read(#[source] io::Error),
    /// The file is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[error("the state file is malformed")]
    Malformed(#[source] serde_json::Error),
    /// The file has another version of the format.
    #[error("the state file has format version {found}, but only version {supported} is supported")]
    UnsupportedVersion {
        /// The version of the file.
        found: u32,
        /// The version that this program reads and writes.
        supported: u32,
    },
    /// The lock file cannot be created or locked.
    #[error("cannot lock {}", path.display())]
    Lock {
        /// The lock file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process holds the lock.
    #[error("{} is locked by another process; gave up after {} ms", path.display(), timeout.as_millis())]
    LockTimedOut {
        /// The lock file.
        path: PathBuf,
        /// How long the process waited for the lock.
        timeout: Duration,
    },
    /// The new state cannot be encoded as JSON.
    #[error("cannot encode the state as JSON")]
    Encode(#[source] serde_json::Error),
    /// The new file cannot be written, or cannot be renamed to the state file.
    #[error("cannot write {} or rename it to the state file", path.display())]
    Write {
        /// The new file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}
