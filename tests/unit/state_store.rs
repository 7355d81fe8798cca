use std::rc::Rc;

use mothspool::Timestamp;

use super::*;
use crate::unit_support::TempFolder;

/// A state file in format version 1, as the program up to commit dd85554 wrote it.
const STATE_FILE: &str = r#"{"version":1,"orders":{"starts":3,"standby":true,"maintenance":["s-0a1aeea2","s-5be2a07c"],"returned":{"s-77":1764680000000000}}}"#;

fn update(store: &StateStore, change: impl FnOnce(&mut AdminState)) -> Result<(), StateError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(store.update(change))
}

/// Records the states that a store has applied, and checks that none was left out between two of them.
#[derive(Clone, Default)]
struct Applied {
    states: Rc<RefCell<Vec<AdminState>>>,
    last: Rc<RefCell<AdminState>>,
}

impl Applied {
    /// Returns the uids in maintenance in each state that was applied since the last call.
    fn take_maintenance(&self) -> Vec<Vec<String>> {
        self.states.take().into_iter().map(|state| state.maintenance.into_iter().collect()).collect()
    }
}

impl StateObserver for Applied {
    fn on_state_change(&self, previous: &AdminState, current: &AdminState) {
        assert_ne!(previous, current);
        let last_applied = self.last.replace(current.clone());
        assert_eq!(*previous, last_applied, "a state was known and not applied");
        self.states.borrow_mut().push(current.clone());
    }
}

/// Opens the store of the node `n0`, and returns it with the states that it applies.
fn open(folder: &TempFolder) -> (StateStore, Applied) {
    let applied = Applied::default();
    (StateStore::open(&folder.0, "n0", applied.clone()), applied)
}

#[test]
fn keeps_the_stored_format() {
    let folder = TempFolder::new();
    fs::write(folder.0.join("dunelink-n0.json"), STATE_FILE).unwrap();
    let (store, applied) = open(&folder);
    let state = store.state();
    assert_eq!(*applied.states.borrow(), std::slice::from_ref(&state));
    assert_eq!((state.process_starts, state.standby), (3, true));
    assert!(state.maintenance.iter().eq(["s-0a1aeea2", "s-5be2a07c"]));
    assert!(state.exited_at.iter().eq([(&"s-77".to_string(), &1_764_680_000_000_000)]));
    update(&store, |_| {}).unwrap();
    assert_eq!(folder.read("dunelink-n0.json"), STATE_FILE);
    update(&store, |state| assert_eq!(state.register_process(), 4)).unwrap();
    assert_eq!(folder.read("dunelink-n0.json"), STATE_FILE.replace("\"starts\":3", "\"starts\":4"));
    store.release_descriptors(5);
    assert_eq!(folder.read("dunelink-n0.given-way"), "5");
    assert_eq!(folder.file_names(), ["dunelink-n0.given-way", "dunelink-n0.json", "dunelink-n0.lock"]);
}

#[test]
fn derives_the_file_name_from_the_node_name() {
    let folder = TempFolder::new();
    update(&StateStore::open(&folder.0, "n-0/../x y", Applied::default()), |_| {}).unwrap();
    assert_eq!(folder.file_names(), ["dunelink-n-0____x_y.json", "dunelink-n-0____x_y.lock"]);
    let empty = r#"{"version":1,"orders":{"starts":0,"standby":false,"maintenance":[],"returned":{}}}"#;
    assert_eq!(folder.read("dunelink-n-0____x_y.json"), empty);
}

#[test]
fn refresh_applies_a_change_by_another_process_once() {
    let folder = TempFolder::new();
    let [(store, applied), (other_store, other_applied)] = [0, 1].map(|_| open(&folder));
    update(&store, |state| state.enter_maintenance("a".into())).unwrap();
    assert_eq!(applied.take_maintenance(), [["a"]], "its own update is applied");
    other_store.refresh();
    other_store.refresh();
    assert_eq!(other_applied.take_maintenance(), [["a"]]);
    assert_eq!(other_store.state(), store.state());
    store.refresh();
    assert!(applied.take_maintenance().is_empty(), "its own write is not applied again");
    fs::remove_file(folder.0.join("dunelink-n0.json")).unwrap();
    other_store.refresh();
    assert!(other_applied.take_maintenance().is_empty());
    assert!(other_store.state().maintenance.contains("a"), "the last state stays valid without a file");
}

/// Guards against an order that is listed in the status of a process and never applied: an update read it
/// from the file and dropped it.
#[test]
fn an_update_applies_what_another_process_has_written_before() {
    let folder = TempFolder::new();
    let [(store, _), (other_store, other_applied)] = [0, 1].map(|_| open(&folder));
    update(&store, |state| state.enter_maintenance("a".into())).unwrap();
    update(&other_store, |state| state.process_starts += 1).unwrap();
    assert_eq!(other_applied.take_maintenance()[0], ["a"]);
}

/// Guards against the same loss when the update that has read the order cannot write the file.
#[test]
fn a_failed_update_applies_what_another_process_has_written_before() {
    let folder = TempFolder::new();
    let [(store, _), (other_store, other_applied)] = [0, 1].map(|_| open(&folder));
    update(&store, |state| state.enter_maintenance("a".into())).unwrap();
    fs::create_dir(folder.0.join("dunelink-n0.new")).unwrap();
    update(&other_store, |state| state.standby = true).unwrap_err();
    assert_eq!(other_applied.take_maintenance(), [["a"]]);
    assert!(!other_store.state().standby);
}

#[test]
fn a_failed_update_reports_its_cause_and_changes_nothing() {
    let folder = TempFolder::new();
    let (store, applied) = open(&folder);
    let lock = File::create(folder.0.join("dunelink-n0.lock")).unwrap();
    lock.lock().unwrap();
    let error = update(&store, |state| state.standby = true).unwrap_err();
    let path = folder.0.join("dunelink-n0.lock");
    let text = format!("{} is locked by another process; gave up after 400 ms", path.display());
    assert_eq!(error.to_string(), text);
    drop(lock);
    fs::create_dir(folder.0.join("dunelink-n0.new")).unwrap();
    let error = update(&store, |state| state.standby = true).unwrap_err();
    assert!(matches!(error, StateError::Write { .. }), "{error}");
    fs::remove_dir_all(&folder.0).unwrap();
    let error = update(&store, |state| state.standby = true).unwrap_err();
    assert!(matches!(error, StateError::Lock { .. }), "{error}");
    assert!(!store.state().standby && applied.states.borrow().is_empty());
}

/// Guards against an update that overwrites the orders in a file that it could not read.
#[test]
fn an_update_fails_if_the_file_cannot_be_read() {
    let folder = TempFolder::new();
    let (store, applied) = open(&folder);
    // A folder can't be read as a file.
    fs::create_dir(folder.0.join("dunelink-n0.json")).unwrap();
    store.refresh();
    let error = update(&store, |state| state.standby = true).unwrap_err();
    assert!(matches!(error, StateError::Read(_)), "{error}");
    assert!(applied.states.borrow().is_empty());
}

/// Guards against orders that are lost because the file that has them is overwritten.
#[test]
fn a_file_that_cannot_be_decoded_is_kept_when_it_is_replaced() {
    let folder = TempFolder::new();
    let path = |extension: &str| folder.0.join(format!("dunelink-n0.{extension}"));
    for (number, content) in [(1, &STATE_FILE[..STATE_FILE.len() / 2]), (2, ""), (3, "{\"version\":9}")] {
        fs::write(path("json"), content).unwrap();
        let (store, _) = open(&folder);
        update(&store, |state| state.standby = true).unwrap();
        let kept = fs::read_to_string(path(&format!("undecodable-{number}"))).unwrap();
        assert_eq!(kept, content);
        update(&store, |state| state.standby = false).unwrap();
        assert!(!path(&format!("undecodable-{}", number + 1)).exists());
    }
}

#[test]
fn reports_why_a_file_cannot_be_decoded() {
    let decode_error = |text: &str| admin_state::decode(text.as_bytes()).unwrap_err();
    for text in
        ["", "[]", "{\"version\":1,", "{\"version\":1}", "{\"orders\":{}}", "{\"version\":1,\"orders\":{}}"]
    {
        assert!(matches!(decode_error(text), StateError::Malformed(_)), "{text}");
    }
    let unknown_field = STATE_FILE.replace("\"standby\"", "\"more\":1,\"standby\"");
    assert!(matches!(decode_error(&unknown_field), StateError::Malformed(_)));
    // The version is checked first: the state of another version need not match this one's fields.
    let other_version = decode_error(r#"{"version":2,"orders":[]}"#);
    assert_eq!(
        other_version.to_string(),
        "the state file has format version 2, but only version 1 is supported"
    );
}

/// Returns a Unix time in seconds.
fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

#[test]
fn keeps_exit_times_for_the_retention_period() {
    let mut state = AdminState::default();
    for uid in ["a", "b"] {
        state.enter_maintenance(uid.into());
    }
    state.exit_maintenance("a", seconds(1000));
    state.exit_maintenance("a", seconds(1100));
    assert_eq!(state.exited_at["a"], 1_000_000_000, "a second exit changes nothing");
    state.exit_maintenance("b", seconds(1000 + 4200));
    assert!(state.exited_at.keys().eq(["b"]), "{state:?}");
    state.enter_maintenance("b".into());
    assert!(state.exited_at.is_empty() && state.maintenance.contains("b"));
}

/// Guards against an endpoint that a later process takes for warm, because a step of the wall clock by an
/// hour made its exit seem old.
#[test]
fn keeps_exit_times_over_a_step_of_the_wall_clock() {
    let mut state = AdminState::default();
    for uid in ["a", "b"] {
        state.enter_maintenance(uid.into());
    }
    state.exit_maintenance("a", seconds(1000));
    state.exit_maintenance("b", seconds(1000 + 3600 + 590));
    assert!(state.exited_at.keys().eq(["a", "b"]), "{state:?}");
}
