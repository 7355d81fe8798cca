//! The persistent state of the node, in one small file that its processes share.
//!
//! The process that receives an admin command writes the file: it holds a lock and renames a new file over
//! the old one, so that readers see either the old or the new content. The other processes read the file
//! again when it has changed.

mod admin_state;
mod error;
mod shared_request_ids;

use std::cell::{Cell, RefCell};
use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::{Instant, sleep};

pub use admin_state::AdminState;
pub use error::StateError;
pub use shared_request_ids::{REQUEST_ID_RETENTION, SharedRequestIds};

use crate::log::ErrorChain;

/// Interval at which each process checks whether another one has written the file.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the file names. It is the former name of the program, since processes of older versions have to
/// find the same files.
const FILE_PREFIX: &str = "dunelink";

/// Maximum number of state files that are kept because they cannot be decoded.
const MAX_UNDECODABLE_FILES: u32 = 100;

/// How long to wait for the lock. Other processes hold it for the duration of one write.
const LOCK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// File metadata that differs after each write.
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

/// Applies the state of the node to this process.
pub trait StateObserver {
    /// Called whenever the state that this process knows has changed, before the read or the update that
    /// changed it returns.
    fn on_state_change(&self, previous: &AdminState, current: &AdminState);
}

/// The state file of a node, and the state that was last read from it or written to it.
///
/// Whoever reads the file, the observer learns of what was read: no state is known without being applied.
pub struct StateStore {
    path: PathBuf,
    state: RefCell<AdminState>,
    observer: Box<dyn StateObserver>,
    /// The version of the file that was last read, even if it could not be decoded.
    last_read: Cell<Option<FileVersion>>,
    /// Whether the last refresh could not read the file.
    read_failed: Cell<bool>,
    /// Whether the version that was last read could not be decoded.
    is_undecodable: Cell<bool>,
}

impl StateStore {
    /// Opens the state file of the node `name` in `folder`, and reads it. If the file does not exist, or
    /// cannot be read or decoded, the state is the default one. `observer` is called with every change,
    /// beginning with that from the default state to what is read here.
    pub fn open(folder: &Path, name: &str, observer: impl StateObserver + 'static) -> StateStore {
        let replace_special_char = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let file_name: String = name.chars().map(replace_special_char).collect();
        let store = StateStore {
            path: folder.join(format!("{FILE_PREFIX}-{file_name}.json")),
            state: RefCell::default(),
            observer: Box::new(observer),
            last_read: Cell::new(None),
            read_failed: Cell::new(false),
            is_undecodable: Cell::new(false),
        };
        store.refresh();
        store
    }

    /// Returns the state that was last read or written.
    pub fn state(&self) -> AdminState {
        self.state.borrow().clone()
    }

    /// Reads the file if it was written since the last read. A file that cannot be read or decoded is logged
    /// once and leaves the state unchanged. Without a known state, it is the default one. One that cannot be
    /// read is read again by the next refresh, one that cannot be decoded when it is written. The latter is
    /// kept under another name when the state is next written.
    pub fn refresh(&self) {
        match self.read_if_changed() {
            Ok(()) => self.read_failed.set(false),
            Err(error) if self.read_failed.replace(true) => drop(error),
            Err(error) => self.log_unusable_file(&error),
        }
    }

    /// Reads the file if it was written since the last read. A file that cannot be decoded is logged.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, for example because no descriptor is left.
    fn read_if_changed(&self) -> Result<(), StateError> {
        // If the file is missing, the last state stays valid: the file existed before, and may reappear.
        let Ok(version) = FileVersion::of(&self.path) else { return Ok(()) };
        if self.last_read.get() == Some(version) {
            return Ok(());
        }
        let text = fs::read(&self.path).map_err(StateError::Read)?;
        self.last_read.set(Some(version));
        let decoded = admin_state::decode(&text);
        self.is_undecodable.set(decoded.is_err());
        match decoded {
            Ok(state) => self.set_state(state),
            Err(error) => self.log_unusable_file(&error),
        }
        Ok(())
    }

    fn log_unusable_file(&self, error: &StateError) {
        tracing::warn!(
            "cannot use state file {}, keeping the last known standby and maintenance state: {}",
            self.path.display(),
            ErrorChain(error)
        );
    }

    /// Replaces the known state, and has the observer apply it. Nothing else changes the known state.
    fn set_state(&self, state: AdminState) {
        let previous = self.state.replace(state.clone());
        if previous != state {
            self.observer.on_state_change(&previous, &state);
        }
    }

    /// Applies `change` to the state and writes the result to the file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be locked within 400 ms, or cannot be read or written, or if it cannot be
    /// decoded and cannot be kept. `change` has no effect in that case.
    pub async fn update(&self, change: impl FnOnce(&mut AdminState)) -> Result<(), StateError> {
        let _lock = self.lock().await?;
        // There is no await from here to the rename, and the lock is held: no other task and no other process
        // can change the state between the read and the write.
        self.read_if_changed()?;
        let mut state = self.state();
        change(&mut state);
        if self.is_undecodable.get() {
            self.keep_undecodable_file()?;
        }
        self.write(&state)?;
        self.is_undecodable.set(false);
        self.set_state(state);
        Ok(())
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

    /// Gives the state file a second name, under which it stays when the state file is replaced: the orders
    /// in it may still be wanted.
    fn keep_undecodable_file(&self) -> Result<(), StateError> {
        let mut number = 1;
        loop {
            let path = self.path.with_extension(format!("undecodable-{number}"));
            match fs::hard_link(&self.path, &path) {
                Ok(()) => {
                    tracing::warn!("kept the state file that cannot be decoded as {}", path.display());
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
                Err(error)
                    if error.kind() == io::ErrorKind::AlreadyExists && number < MAX_UNDECODABLE_FILES =>
                {
                    number += 1;
                }
                Err(source) => return Err(StateError::Write { path, source }),
            }
        }
    }

    /// Writes a new file next to the state file, and renames it to the state file.
    fn write(&self, state: &AdminState) -> Result<(), StateError> {
        let text = admin_state::encode(state)?;
        let path = self.path.with_extension("new");
        write_and_sync(&path, &text)
            .and_then(|()| fs::rename(&path, &self.path))
            .map_err(|source| StateError::Write { path, source })
    }
}

/// Writes a file, and returns once its content is on the disk. A file system may report only then that it
/// could not be written.
fn write_and_sync(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(content)?;
    file.sync_all()
}

/// The release of descriptors to a successor is recorded in a separate file: older versions of the program,
/// which have no field for it, have to be able to read the state file.
impl StateStore {
    fn release_path(&self) -> PathBuf {
        self.path.with_extension("given-way")
    }

    /// Records that this process has released descriptors to the process with this start number.
    pub fn release_descriptors(&self, start_number: u64) {
        // If this fails, the successor stops waiting after a timeout.
        let _ = fs::write(self.release_path(), start_number.to_string());
    }

    /// Returns whether descriptors were released to the process with this start number or to a later one.
    pub fn were_descriptors_released(&self, start_number: u64) -> bool {
        fs::read_to_string(self.release_path())
            .is_ok_and(|text| text.parse().is_ok_and(|released: u64| released >= start_number))
    }
}

/// Request ids are shared in a folder next to the state file.
impl StateStore {
    /// Returns the request ids that the processes of the node share.
    pub fn shared_request_ids(&self) -> SharedRequestIds {
        SharedRequestIds::new(self.path.with_extension("ids"))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/state_store.rs"]
mod tests;
