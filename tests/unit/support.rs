//! Helpers shared by the unit tests of the node.

use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::body::BufferBudget;
use crate::config::Config;
use crate::state_store::{AdminState, StateObserver};
use crate::upstream::UpstreamPool;

/// Observer of processes to which no state has to be applied.
pub struct IgnoreState;

impl StateObserver for IgnoreState {
    fn on_state_change(&self, _: &AdminState, _: &AdminState) {}
}

/// A temporary folder, initially empty. It is removed with its files when this value is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("mothspool-unit-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    /// Returns the sorted names of the files in the folder.
    pub fn file_names(&self) -> Vec<String> {
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

/// Returns a minimal configuration with one request class.
pub fn config() -> Rc<Config> {
    let class = r#"{"name":"view","idempotency":"pure","goal_time_us":100000,"deadline_us":1000000}"#;
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{{"services":[{class}]}}}}"#
    );
    let folder = TempFolder::new();
    let path = folder.0.join("config.json");
    fs::write(&path, text).unwrap();
    Rc::new(Config::read(path.to_str().unwrap()).unwrap())
}

/// Returns a pool of upstream connections without endpoints.
pub fn upstream_pool() -> Rc<UpstreamPool> {
    let config = config();
    Rc::new(UpstreamPool::new(&config, BufferBudget::new(config.limits.memory)))
}
