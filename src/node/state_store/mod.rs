//! The state of the node that outlives its processes, in one small file that they share.
//!
//! It is written by whichever process an operator calls, under a lock and by renaming, so that readers find
//! the old content or the new one. The other processes read it again when it has changed.

mod admin_state;
mod error;

use std::cell::{Cell, RefCell};
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::{Instant, sleep};

pub use admin_state::AdminState;
pub use error::StateError;

use crate::log::ErrorChain;

/// How often each process checks whether another one has written the file.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the files' names begin with: the program's former name, since a process of an older version has to
/// find the same files.
const FILE_PREFIX: &str = "dunelink";

/// How long to wait for the lock. Other processes hold it for one write.
const LOCK_TIMEOUT: Duration = Duration::from_millis(400);

/// How often to try for the lock meanwhile.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Tells one writing of the file from another.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    length: u64,
}

impl FileVersion {
    fn of(path: &Path) -> io::Result<FileVersion> {
        let metadata = fs::metadata(path)?;
        Ok(FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            length: metadata.size(),
        })
    }
}

/// The state file of a node, and the state that it held when it was last read or written.
pub struct StateStore {
    path: PathBuf,
    state: RefCell<AdminState>,
    /// The version of the file that was last read, whether or not it could be decoded.
    last_read: Cell<Option<FileVersion>>,
}

impl StateStore {
    /// Opens the state file of the node `name` in `folder`. Without a file, or where it cannot be read, the
    /// state is the default one.
    pub fn open(folder: &Path, name: &str) -> StateStore {
        let file_name_char = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let file_name: String = name.chars().map(file_name_char).collect();
        let store = StateStore {
            path: folder.join(format!("{FILE_PREFIX}-{file_name}.json")),
            state: RefCell::default(),
            last_read: Cell::new(None),
        };
        store.refresh();
        store
    }

    /// The state as last read or written.
    pub fn state(&self) -> AdminState {
        self.state.borrow().clone()
    }

    /// Reads the file if it was written since the last time. Returns whether the state has changed. A file
    /// that cannot be read or decoded is logged once and changes nothing.
    pub fn refresh(&self) -> bool {
        // Without a file the last state still holds: the file was there when it was read, and may come back.
        let Ok(version) = FileVersion::of(&self.path) else { return false };
        if self.last_read.replace(Some(version)) == Some(version) {
            return false;
        }
        match self.load() {
            Ok(state) => self.state.replace(state.clone()) != state,
            Err(error) => {
                log!("{}: {}; ignored until it is written again", self.path.display(), ErrorChain(&error));
                false
            }
        }
    }

    /// Changes the state and writes it to the file.
    ///
    /// # Errors
    ///
    /// If the file cannot be locked within 400 ms or cannot be written; nothing is changed then.
    pub async fn update(&self, change: impl FnOnce(&mut AdminState)) -> Result<(), StateError> {
        let _lock = self.lock().await?;
        // No await from here to the renaming: neither this process nor another one comes between reading and
        // writing.
        self.refresh();
        let mut state = self.state();
        change(&mut state);
        self.write(&state)?;
        *self.state.borrow_mut() = state;
        Ok(())
    }

    fn load(&self) -> Result<AdminState, StateError> {
        let text = fs::read(&self.path).map_err(StateError::Read)?;
        admin_state::decode(&text)
    }

    /// Locks the state file against other writers until the returned file is dropped.
    async fn lock(&self) -> Result<File, StateError> {
        let path = self.path.with_extension("lock");
        let lock_error = |source| StateError::Lock { path: path.clone(), source };
        let file = File::create(&path).map_err(lock_error)?;
        let deadline = Instant::now() + LOCK_TIMEOUT;
        while let Err(error) = file.try_lock() {
            match error {
                TryLockError::WouldBlock if Instant::now() < deadline => sleep(LOCK_RETRY_INTERVAL).await,
                TryLockError::WouldBlock => {
                    return Err(StateError::LockTimedOut { path, timeout: LOCK_TIMEOUT });
                }
                TryLockError::Error(source) => return Err(lock_error(source)),
            }
        }
        Ok(file)
    }

    /// Writes a new file beside the old one and renames it.
    fn write(&self, state: &AdminState) -> Result<(), StateError> {
        let text = admin_state::encode(state)?;
        let path = self.path.with_extension("new");
        fs::write(&path, text)
            .and_then(|()| fs::rename(&path, &self.path))
            .map_err(|source| StateError::Write { path, source })
    }
}

/// The release of descriptors to a successor stands in a file beside the state: an older version of the
/// program, which does not know of it, has to be able to read the state.
impl StateStore {
    fn release_path(&self) -> PathBuf {
        self.path.with_extension("given-way")
    }

    /// Records that the process with this start number has its part of the node's descriptors.
    pub fn release_descriptors(&self, start_number: u64) {
        // Where this fails, the successor stops waiting for it after a while.
        let _ = fs::write(self.release_path(), start_number.to_string());
    }

    /// Whether the process with this start number, or a later one, was given its part of the node's
    /// descriptors.
    pub fn were_descriptors_released(&self, start_number: u64) -> bool {
        fs::read_to_string(self.release_path())
            .is_ok_and(|text| text.parse().is_ok_and(|released: u64| released >= start_number))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/state_store.rs"]
mod tests;
