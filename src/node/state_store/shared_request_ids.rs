//! Request ids that the processes of a node share during a hot restart, as empty files in one folder.
//!
//! The name of a file is a hash of the id, since an id may contain any visible character. Creating a file
//! fails if it exists, so of two processes that claim an id at the same time only one succeeds.

use std::fs::{self, File};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

/// How long the id of a non-idempotent request that may have been executed is retained after its client left.
pub const REQUEST_ID_RETENTION: Duration = Duration::from_secs(60);

/// The request ids that all processes of a node have claimed since they began to share them.
pub struct SharedRequestIds {
    /// Exists once an id has been claimed.
    folder: PathBuf,
}

impl SharedRequestIds {
    /// Returns the ids in `folder`.
    pub(super) fn new(folder: PathBuf) -> SharedRequestIds {
        SharedRequestIds { folder }
    }

    fn path(&self, id: &str) -> PathBuf {
        self.folder.join(format!("{:032x}", xxh3_128(id.as_bytes())))
    }

    /// Claims an id, and returns whether no process had claimed it. An id whose file can't be created for any
    /// other reason counts as claimed: requests are not rejected for lack of space.
    pub fn claim(&self, id: &str) -> bool {
        match self.create_file(id) {
            Ok(()) => true,
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => false,
            Err(error) => {
                tracing::warn!(
                    "cannot share a request id with another process in {}: {error}",
                    self.folder.display()
                );
                true
            }
        }
    }

    fn create_file(&self, id: &str) -> io::Result<()> {
        let path = self.path(id);
        match File::create_new(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                fs::create_dir_all(&self.folder)?;
                File::create_new(&path).map(drop)
            }
            created => created.map(drop),
        }
    }

    /// Releases an id that this process has claimed.
    pub fn release(&self, id: &str) {
        // If this fails, requests with the same id are rejected until the ids are no longer shared.
        let _ = fs::remove_file(self.path(id));
    }

    /// Releases all ids, also those that a process has left behind which is gone.
    pub fn clear(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
