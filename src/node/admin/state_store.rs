//! What operators have asked of the node, in one small file that outlives its processes.
//!
//! Written by whichever process an operator calls, under a lock and by renaming, so that readers see the old
//! file or the new one; read again by the others when it has changed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

/// What the file's name begins with: the program's former name, since a process of an older version has to find the
/// same file.
const FILE_PREFIX: &str = "dunelink";
/// Of files with another number nothing is known.
const VERSION: u32 = 1;
/// How long another process may hold the lock, and how often that is looked at. It is held for one write.
const LOCK_WITHIN: Duration = Duration::from_millis(400);
const LOCK_LOOK: Duration = Duration::from_millis(5);

/// What operators have asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminState {
    /// How many processes of this node have started; a higher number than one's own is a successor's.
    pub starts: u64,
    /// Whether the node is to be empty.
    pub standby: bool,
    /// The uids of servers that are taken out.
    pub maintenance: BTreeSet<String>,
    /// When others were put back, in Unix microseconds, for as long as they may be cold.
    pub returned: BTreeMap<String, u64>,
}

#[derive(Serialize, Deserialize)]
struct Stored<T> {
    version: u32,
    orders: T,
}

/// Tells one writing of the file from another.
type FileVersion = (u64, i64, i64, u64);

/// The file, and the orders as it last held them.
pub struct StateStore {
    path: PathBuf,
    held: RefCell<AdminState>,
    stamp: Cell<Option<FileVersion>>,
}

impl StateStore {
    /// The file of the node with this name, as it is; without one, or if nothing can be made of it, no orders.
    pub fn open(folder: &Path, name: &str) -> StateStore {
        let safe = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let path = folder.join(format!("{FILE_PREFIX}-{}.json", name.chars().map(safe).collect::<String>()));
        let shared = StateStore { path, held: RefCell::default(), stamp: Cell::new(None) };
        shared.read();
        shared
    }

    /// The orders as last read or written.
    pub fn orders(&self) -> AdminState {
        self.held.borrow().clone()
    }

    /// Reads the file if it was written since; tells whether the orders are others now.
    pub fn read(&self) -> bool {
        // Without a file what is held still holds: it was written by another, and may be again.
        let Ok(stamp) = fs::metadata(&self.path).map(|m| (m.ino(), m.mtime(), m.mtime_nsec(), m.size()))
        else {
            return false;
        };
        if self.stamp.replace(Some(stamp)) == Some(stamp) {
            return false;
        }
        let orders =
            match fs::read(&self.path).map_err(|error| error.to_string()).and_then(|text| parse(&text)) {
                Ok(orders) => orders,
                Err(error) => {
                    log!("{}: {error}; ignored until it is written anew", self.path.display());
                    return false;
                }
            };
        self.held.replace(orders.clone()) != orders
    }

    /// Changes the orders and writes them. If that fails, all is as it was.
    pub async fn change(&self, change: impl FnOnce(&mut AdminState)) -> io::Result<()> {
        let lock = File::create(self.path.with_extension("lock"))?;
        let by = Instant::now() + LOCK_WITHIN;
        while let Err(error) = lock.try_lock() {
            match error {
                TryLockError::WouldBlock if Instant::now() < by => sleep(LOCK_LOOK).await,
                TryLockError::WouldBlock => return Err(io::ErrorKind::TimedOut.into()),
                TryLockError::Error(error) => return Err(error),
            }
        }
        // From here to the renaming nothing is waited for: neither this process nor another comes between.
        self.read();
        let mut orders = self.orders();
        change(&mut orders);
        let text = serde_json::to_vec(&Stored { version: VERSION, orders: &orders })?;
        let new = self.path.with_extension("new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &self.path))?;
        *self.held.borrow_mut() = orders;
        Ok(())
    }
}

impl StateStore {
    /// Beside the orders, which an older version of the program has to read too.
    fn release_path(&self) -> PathBuf {
        self.path.with_extension("given-way")
    }

    /// Tells the process that started as this one that it has its part of the descriptors.
    pub fn release_descriptors(&self, start: u64) {
        // Unless it hears so in time it takes them anyway.
        let _ = fs::write(self.release_path(), start.to_string());
    }

    /// Whether the process that started as this one was told so.
    pub fn were_descriptors_released(&self, start: u64) -> bool {
        fs::read_to_string(self.release_path())
            .is_ok_and(|text| text.parse().is_ok_and(|told: u64| told >= start))
    }
}

fn parse(text: &[u8]) -> Result<AdminState, String> {
    let stored: Stored<serde_json::Value> =
        serde_json::from_slice(text).map_err(|error| error.to_string())?;
    match stored.version {
        VERSION => serde_json::from_value(stored.orders).map_err(|error| error.to_string()),
        other => Err(format!("its version is {other}, not {VERSION}")),
    }
}
