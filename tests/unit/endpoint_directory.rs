//! The directory of endpoints: which incarnation of an endpoint may be sent requests.

use mothspool::Timestamp;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn listed_endpoint(id: EndpointId, state: EndpointState, port: u16, started_at: u64) -> ListedEndpoint {
    let started_at = Timestamp::from_micros(started_at);
    let info = EndpointInfo { id, state, started_at, ..EndpointInfo::default() };
    ListedEndpoint { info, address: address(port) }
}

fn ready_endpoint(id: EndpointId, port: u16, started_at: u64) -> ListedEndpoint {
    listed_endpoint(id, EndpointState::Ready, port, started_at)
}

fn directory_with_two_endpoints() -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.apply_snapshot([ready_endpoint(1, 81, 10), ready_endpoint(2, 82, 10)].into_iter());
    directory
}

#[test]
fn a_snapshot_removes_missing_endpoints_and_a_delta_keeps_them() {
    let mut directory = directory_with_two_endpoints();
    directory.apply_delta([ready_endpoint(3, 83, 10)].into_iter());
    assert!([1, 2, 3].iter().all(|id| directory.available(*id).is_some()));
    directory.apply_snapshot([ready_endpoint(3, 83, 10)].into_iter());
    assert!([1, 2].iter().all(|id| directory.available(*id).is_none()));
    assert!([1, 2, 3].iter().all(|id| directory.is_known(*id)));
    assert!(directory.has_listed_ready() && !directory.is_known(4));
}

#[test]
fn a_draining_or_gone_endpoint_is_not_available() {
    let mut directory = directory_with_two_endpoints();
    directory.apply_delta([listed_endpoint(1, EndpointState::Draining, 81, 10)].into_iter());
    assert!(directory.available(1).is_none() && directory.has_listed_ready());
    directory.apply_delta([listed_endpoint(2, EndpointState::Gone, 82, 10)].into_iter());
    assert!(directory.available(2).is_none() && !directory.has_listed_ready());
}

#[test]
fn applies_the_last_entry_of_an_endpoint() {
    let mut directory = directory_with_two_endpoints();
    let draining = listed_endpoint(1, EndpointState::Draining, 81, 10);
    directory.apply_snapshot(
        [draining, ready_endpoint(1, 81, 10), ready_endpoint(2, 82, 10), draining].into_iter(),
    );
    assert!(directory.available(1).is_none());
    let draining = listed_endpoint(2, EndpointState::Draining, 82, 10);
    directory.apply_snapshot([draining, ready_endpoint(2, 82, 10)].into_iter());
    assert!(directory.available(2).is_some());
}

#[test]
fn a_moved_or_restarted_endpoint_is_a_new_incarnation() {
    let mut directory = directory_with_two_endpoints();
    let before = directory.available(1);
    directory.apply_delta([ready_endpoint(1, 81, 10)].into_iter());
    assert!(directory.available(1) == before);
    directory.apply_delta([ready_endpoint(1, 81, 11)].into_iter());
    let restarted = directory.available(1);
    assert!(restarted.is_some() && restarted != before);
    directory.apply_delta([ready_endpoint(1, 91, 11)].into_iter());
    assert!(directory.available(1).is_some_and(|moved| moved.address == address(91)));
}

#[test]
fn maintenance_overrides_endpoint_lists_and_its_end_starts_a_new_incarnation() {
    let mut directory = directory_with_two_endpoints();
    let (before, other) = (directory.available(1), directory.available(2));
    directory.enter_maintenance(1);
    directory.apply_snapshot([ready_endpoint(1, 81, 10), ready_endpoint(2, 82, 10)].into_iter());
    assert!(directory.available(1).is_none() && directory.has_listed_ready());
    directory.exit_maintenance(1);
    let after = directory.available(1);
    assert!(after.is_some() && after != before);
    assert!(directory.available(2) == other);
    directory.apply_snapshot([ready_endpoint(1, 81, 10), ready_endpoint(2, 82, 10)].into_iter());
    assert!(directory.available(1) == after && directory.available(2) == other);
}
