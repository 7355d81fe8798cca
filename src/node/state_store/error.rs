//! What can fail with the state file.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

/// Why the state could not be read or changed.
#[derive(Debug, Error)]
pub enum StateError {
    /// The file cannot be read.
    #[error("cannot read the state file")]
    Read(#[source] io::Error),
    /// The file is not JSON, or lacks a field, or has one that is not known.
    #[error("the state file is malformed")]
    Malformed(#[source] serde_json::Error),
    /// The file was written in another version of the format.
    #[error("the state file has version {found}, supported is {supported}")]
    UnsupportedVersion {
        /// The version that the file names.
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
    /// Another process has kept the lock.
    #[error("{} was still locked by another process after {} ms", path.display(), timeout.as_millis())]
    LockTimedOut {
        /// The lock file.
        path: PathBuf,
        /// How long was waited for the lock.
        timeout: Duration,
    },
    /// The new state cannot be written as JSON.
    #[error("cannot encode the state")]
    Encode(#[source] serde_json::Error),
    /// The new state cannot be written to disk, or not renamed to the state file.
    #[error("cannot write {}", path.display())]
    Write {
        /// The file that was to be written.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}
