//! The directory says which incarnation of an endpoint may be sent requests.

use mothspool::Timestamp;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(id: EndpointId, state: EndpointState, port: u16, started_at: u64) -> ListedEndpoint {
    let started_at = Timestamp::from_micros(started_at);
    let info = EndpointInfo { id, state, started_at, ..EndpointInfo::default() };
    ListedEndpoint { info, address: address(port) }
}

fn ready(id: EndpointId, port: u16, started_at: u64) -> ListedEndpoint {
    entry(id, EndpointState::Ready, port, started_at)
}

fn directory() -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.apply_snapshot([ready(1, 81, 10), ready(2, 82, 10)].into_iter());
    directory
}

#[test]
fn a_snapshot_removes_what_it_does_not_name_and_a_delta_does_not() {
    let mut directory = directory();
    directory.apply_delta([ready(3, 83, 10)].into_iter());
    assert!([1, 2, 3].iter().all(|id| directory.available(*id).is_some()));
    directory.apply_snapshot([ready(3, 83, 10)].into_iter());
    assert!([1, 2].iter().all(|id| directory.available(*id).is_none()));
    assert!([1, 2, 3].iter().all(|id| directory.is_known(*id)));
    assert!(directory.has_ready() && !directory.is_known(4));
}

#[test]
fn an_endpoint_that_drains_or_is_gone_is_not_available() {
    let mut directory = directory();
    directory.apply_delta([entry(1, EndpointState::Draining, 81, 10)].into_iter());
    assert!(directory.available(1).is_none() && directory.has_ready());
    directory.apply_delta([entry(2, EndpointState::Gone, 82, 10)].into_iter());
    assert!(directory.available(2).is_none() && !directory.has_ready());
}

#[test]
fn of_two_entries_for_one_endpoint_the_last_counts() {
    let mut directory = directory();
    let draining = entry(1, EndpointState::Draining, 81, 10);
    directory.apply_snapshot([draining, ready(1, 81, 10), ready(2, 82, 10), draining].into_iter());
    assert!(directory.available(1).is_none());
    let draining = entry(2, EndpointState::Draining, 82, 10);
    directory.apply_snapshot([draining, ready(2, 82, 10)].into_iter());
    assert!(directory.available(2).is_some());
}

#[test]
fn an_endpoint_that_moved_or_restarted_is_another_incarnation() {
    let mut directory = directory();
    let before = directory.available(1);
    directory.apply_delta([ready(1, 81, 10)].into_iter());
    assert!(directory.available(1) == before);
    directory.apply_delta([ready(1, 81, 11)].into_iter());
    let restarted = directory.available(1);
    assert!(restarted.is_some() && restarted != before);
    directory.apply_delta([ready(1, 91, 11)].into_iter());
    assert!(directory.available(1).is_some_and(|moved| moved.address == address(91)));
}

#[test]
fn maintenance_holds_whatever_lists_say_and_its_end_begins_another_incarnation() {
    let mut directory = directory();
    let (before, other) = (directory.available(1), directory.available(2));
    directory.enter_maintenance(1);
    directory.apply_snapshot([ready(1, 81, 10), ready(2, 82, 10)].into_iter());
    assert!(directory.available(1).is_none() && directory.has_ready());
    directory.exit_maintenance(1);
    let after = directory.available(1);
    assert!(after.is_some() && after != before);
    assert!(directory.available(2) == other);
    directory.apply_snapshot([ready(1, 81, 10), ready(2, 82, 10)].into_iter());
    assert!(directory.available(1) == after && directory.available(2) == other);
}
