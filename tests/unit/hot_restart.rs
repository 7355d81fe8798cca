use std::cell::Cell;

use super::*;
use crate::unit_support::{TempFolder, upstream_pool};

/// Connections that the test sets a number for.
#[derive(Default)]
struct Connections {
    shared: Cell<bool>,
    exceed_limit: Cell<bool>,
}

impl ClientConnections for Connections {
    fn share_descriptors(&self, shared: bool) {
        self.shared.set(shared);
    }

    fn exceeds_limit(&self) -> bool {
        self.exceed_limit.get()
    }

    async fn drain(&self) {}
}

/// The processes of a node with its state in `folder`, each registered after the one before.
fn processes<const N: usize>(folder: &TempFolder) -> [HotRestart<Connections>; N] {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let register = |()| {
        let lifecycle = Rc::new(Lifecycle::new(upstream_pool()));
        let store = Rc::new(StateStore::open(&folder.0, "n0"));
        runtime.block_on(HotRestart::register(store, lifecycle, Rc::default()))
    };
    [(); N].map(register)
}

/// What a poll of the state file does at this time.
fn poll(process: &mut HotRestart<Connections>, now: Instant) {
    process.store.refresh();
    process.step(now);
}

#[test]
fn a_process_alone_has_all_descriptors_at_once() {
    let folder = TempFolder::new();
    let [mut alone] = processes(&folder);
    let now = Instant::now();
    poll(&mut alone, now);
    assert!(!alone.connections.shared.get() && alone.has_own_descriptors(now));
}

#[test]
fn two_processes_share_descriptors_for_a_while() {
    let folder = TempFolder::new();
    let mut both = processes::<2>(&folder);
    assert!(both.iter().map(|process| process.own_start).eq([1, 2]));
    let now = Instant::now();
    for process in &mut both {
        poll(process, now);
        assert!(process.connections.shared.get());
        poll(process, now + SHARING_TIME - Duration::from_millis(100));
        assert!(process.connections.shared.get());
        poll(process, now + SHARING_TIME);
        assert!(!process.connections.shared.get());
    }
}

#[test]
fn descriptors_are_released_once_connections_are_within_the_limit() {
    let folder = TempFolder::new();
    let [mut older, mut younger] = processes(&folder);
    let now = Instant::now();
    older.connections.exceed_limit.set(true);
    poll(&mut older, now);
    assert!(!younger.has_own_descriptors(now));
    older.connections.exceed_limit.set(false);
    poll(&mut older, now + Duration::from_millis(50));
    assert!(younger.has_own_descriptors(now));
    poll(&mut younger, now);
    assert_eq!((older.released_to, younger.released_to), (2, 2), "the younger one has no successor");
}

#[test]
fn neither_process_waits_for_the_other_for_long() {
    let folder = TempFolder::new();
    let [mut older, younger] = processes(&folder);
    let now = Instant::now();
    older.connections.exceed_limit.set(true);
    poll(&mut older, now);
    let late = younger.started_at + AWAIT_RELEASE_TIMEOUT;
    assert!(!younger.has_own_descriptors(late - Duration::from_millis(1)));
    assert!(younger.has_own_descriptors(late));
    poll(&mut older, now + RELEASE_TIMEOUT);
    assert!(younger.has_own_descriptors(now));
}
