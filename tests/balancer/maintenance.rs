//! Maintenance of endpoints by operators.

use mothspool::*;

use crate::support::*;

#[test]
fn an_endpoint_in_maintenance_is_not_ready_whatever_discovery_reports() {
    let mut node = TestNode::new(settings(), endpoints(1..3));
    // The node sends requests to both endpoints before the maintenance.
    endpoints_reached(&mut node, &[None, Some(0)]);
    node.handle(Event::EnterMaintenance(1));
    let lists = [
        Event::EndpointDelta(vec![EndpointInfo { state: EndpointState::Draining, ..endpoint(1) }]),
        Event::EndpointDelta(vec![EndpointInfo { state: EndpointState::Gone, ..endpoint(1) }]),
        Event::EndpointDelta(vec![EndpointInfo { started_at: node.now, ..endpoint(1) }]),
        Event::EndpointSnapshot(endpoints(1..3)),
    ];
    for list in lists {
        node.handle(list);
        let seen = endpoints_reached(&mut node, &[None, Some(0)]);
        assert!(seen.values().flatten().all(|id| *id == 2), "{seen:?}");
        // Only endpoint 2 is left: the request is not hedged at endpoint 1, and may be retried only at
        // endpoint 2.
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        assert_eq!(sends(&actions, id), [2]);
        assert_eq!(sends(&node.fire_timer(id, 290 * MS), id), []);
        assert!(sends(&node.end_attempt(id, 0, Outcome::Reset, 290 * MS), id).iter().all(|to| *to == 2));
        node.handle(Event::ClientDisconnected(id));
        node.end_attempt(id, 1, Outcome::Cancelled, MS);
    }
    node.handle(Event::EnterMaintenance(2));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert!(rejected(&actions, id), "none is ready");
    // Endpoint 1 entered maintenance twice; exiting it once is enough.
    node.handle(Event::EnterMaintenance(1));
    node.handle(Event::ExitMaintenance(1, node.now));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [1], "{actions:?}");
}

#[test]
fn an_endpoint_after_maintenance_is_probed_at_once_and_then_goes_through_slow_start() {
    let mut node = TestNode::new(settings(), endpoints(1..5));
    // Only an endpoint that has been sent requests before its maintenance is probed afterwards.
    endpoints_reached(&mut node, &[Some(0)]);
    node.handle(Event::EnterMaintenance(3));
    node.now += 5 * S;
    node.handle(Event::ExitMaintenance(3, node.now));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [3], "the first request shows that it is in use again");
    node.end_attempt(id, 0, Outcome::Served, 20 * MS);
    let mut to_endpoint = 0;
    for _ in 0..400 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        to_endpoint += usize::from(sends(&actions, id) == [3]);
        node.now += MS;
        node.end_attempt(id, 0, Outcome::Served, 20 * MS);
    }
    assert!(to_endpoint < 40, "{to_endpoint} of 400 are more than the share of an endpoint in slow start");
}

#[test]
fn maintenance_resets_what_was_learned_about_an_endpoint() {
    let (mut node, pool) = pool_of_four();
    let failing = pool[0];
    // An attempt from before the maintenance is still in flight; its outcome says nothing about the endpoint
    // now.
    let late = loop {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        if sends(&actions, id) == [failing] {
            break id;
        }
        node.end_attempt(id, 0, Outcome::Served, MS);
    };
    // The node ejects the endpoint. Non-idempotent requests that fail are not queued again, and so not sent
    // to the endpoint later.
    count_requests_to(&mut node, NON_IDEMPOTENT, &[failing], Outcome::Reset, 100);
    assert_eq!(
        count_requests_to(&mut node, NON_IDEMPOTENT, &[failing], Outcome::Reset, 40),
        0,
        "it is ejected"
    );
    node.handle(Event::EnterMaintenance(failing));
    node.now += MS;
    node.handle(Event::ExitMaintenance(failing, node.now));
    let retry = node.end_attempt(late, 0, Outcome::Reset, 200 * MS);
    assert_eq!(sends(&retry, late), [failing]);
}
