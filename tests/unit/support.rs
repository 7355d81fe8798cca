//! What unit tests of the node share.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// An empty folder, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("mothspool-unit-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    /// The names of the files in it, sorted.
    pub fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        let mut names: Vec<String> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
