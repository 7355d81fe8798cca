use std::cell::Cell;

use super::*;
use crate::state_store::SharedRequestIds;
use crate::unit_support::{IgnoreState, TempFolder, upstream_pool};

/// Stand-in for the connections. The test sets whether they exceed their limit.
#[derive(Default)]
struct FakeConnections {
    /// Whether descriptors are shared, as last set by the process.
    shared: Cell<bool>,
    exceeds_limit: Cell<bool>,
    shares_request_ids: Cell<bool>,
}

impl ClientConnections for FakeConnections {
    fn set_hot_restart_limits(&self, active: bool) {
        self.shared.set(active);
    }

    fn start_sharing_request_ids(&self, _: SharedRequestIds) {
        self.shares_request_ids.set(true);
    }

    fn stop_sharing_request_ids(&self) {
        self.shares_request_ids.set(false);
    }

    fn exceeds_limit(&self) -> bool {
        self.exceeds_limit.get()
    }

    async fn drain(&self) {}
}

/// Registers processes of one node with its state file in `folder`, one after the other.
fn register_processes<const N: usize>(folder: &TempFolder) -> [HotRestart<FakeConnections>; N] {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let register = |()| {
        let lifecycle = Rc::new(Lifecycle::new(upstream_pool()));
        let store = Rc::new(StateStore::open(&folder.0, "n0", IgnoreState));
        runtime.block_on(HotRestart::register(store, lifecycle, Rc::default()))
    };
    [(); N].map(register)
}

/// Polls the state file once, and performs the actions that are due at `now`.
fn poll(process: &mut HotRestart<FakeConnections>, now: Instant) {
    process.store.refresh();
    process.step(now);
}

#[test]
fn a_single_process_uses_all_descriptors_without_waiting() {
    let folder = TempFolder::new();
    let [mut process] = register_processes(&folder);
    let now = Instant::now();
    poll(&mut process, now);
    assert!(!process.connections.shared.get() && process.are_descriptors_available(now));
}

#[test]
fn two_processes_share_descriptors_for_the_sharing_period() {
    let folder = TempFolder::new();
    let mut both = register_processes::<2>(&folder);
    assert!(both.iter().map(|process| process.start_number).eq([1, 2]));
    let now = Instant::now();
    for process in &mut both {
        poll(process, now);
        assert!(process.connections.shared.get());
        poll(process, now + DESCRIPTOR_SHARING_PERIOD - Duration::from_millis(100));
        assert!(process.connections.shared.get());
        poll(process, now + DESCRIPTOR_SHARING_PERIOD);
        assert!(!process.connections.shared.get());
    }
}

#[test]
fn request_ids_are_shared_until_the_last_one_of_the_predecessor_expires() {
    let folder = TempFolder::new();
    let [mut single] = register_processes(&folder);
    let now = Instant::now();
    poll(&mut single, now);
    assert!(!single.connections.shares_request_ids.get());
    let [mut newer] = register_processes(&folder);
    for process in [&mut single, &mut newer] {
        poll(process, now);
        assert!(process.connections.shares_request_ids.get());
        // The ids are shared before the descriptors are released.
        assert_eq!(process.released_to, 2);
        let end = process.latest_start_observed_at + DESCRIPTOR_SHARING_PERIOD + REQUEST_ID_RETENTION;
        poll(process, end - Duration::from_millis(100));
        assert!(process.connections.shares_request_ids.get());
        poll(process, end);
        assert!(!process.connections.shares_request_ids.get());
    }
}

#[test]
fn descriptors_are_released_once_connections_are_within_the_limit() {
    let folder = TempFolder::new();
    let [mut older, mut newer] = register_processes(&folder);
    let now = Instant::now();
    older.connections.exceeds_limit.set(true);
    poll(&mut older, now);
    assert!(!newer.are_descriptors_available(now));
    older.connections.exceeds_limit.set(false);
    poll(&mut older, now + Duration::from_millis(50));
    assert!(newer.are_descriptors_available(now));
    poll(&mut newer, now);
    assert_eq!((older.released_to, newer.released_to), (2, 2), "the newer process has no successor");
}

#[test]
fn each_process_stops_waiting_for_the_other_after_a_timeout() {
    let folder = TempFolder::new();
    let [mut older, newer] = register_processes(&folder);
    let now = Instant::now();
    older.connections.exceeds_limit.set(true);
    poll(&mut older, now);
    let timed_out_at = newer.started_at + AWAIT_RELEASE_TIMEOUT;
    assert!(!newer.are_descriptors_available(timed_out_at - Duration::from_millis(1)));
    assert!(newer.are_descriptors_available(timed_out_at));
    poll(&mut older, now + RELEASE_TIMEOUT);
    assert!(newer.are_descriptors_available(now));
}
