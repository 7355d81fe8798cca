//! The lifecycle of a request, polling of discovery, invalid settings and unusual input.

use std::time::Duration;

use mothspool::*;

use crate::support::*;

#[test]
fn answers_every_request_in_time_and_rejects_only_those_that_clients_may_retry() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    for (class, rejectable) in
        [(IDEMPOTENT, true), (NON_IDEMPOTENT, false), (KEYED_BY_CELL, false), (KEYED_BY_ALL, true)]
    {
        let (id, _) = node.arrive(class, Some(1));
        let actions = node.fire_timer(id, 995 * MS);
        assert_eq!((rejected(&actions, id), failed(&actions, id)), (rejectable, !rejectable));
    }
}

#[test]
fn nothing_is_sent_after_the_client_has_disconnected() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(node.handle(Event::ClientDisconnected(id)), [Action::Cancel(id, 0)]);
    assert_eq!(sends(&node.end_attempt(id, 0, Outcome::Cancelled, MS), id), []);
    assert_eq!(
        node.end_attempt(id, 0, Outcome::Cancelled, MS),
        [],
        "the outcome of an unknown request is ignored"
    );
}

#[test]
fn polls_discovery_at_startup_and_after_a_failure() {
    let mut polling = settings();
    polling.discovery = DiscoveryMode::Poll { interval: 10 * S };
    let mut node = TestNode::new(polling, vec![]);
    assert_eq!(node.handle(Event::CachedSnapshot(endpoints(1..3))), [Action::Subscribe]);
    for _ in 0..10 {
        let actions = node.handle(Event::DiscoveryFailed);
        let [Action::SetTimer { after, token }] = actions[..] else { panic!("{actions:?}") };
        assert!((100 * MS..=10 * S).contains(&after));
        assert_eq!(node.handle(Event::TimerFired(token)), [Action::Subscribe]);
    }
}

#[test]
fn rejects_invalid_settings() {
    type Invalidate = fn(&mut Settings);
    let cases: [(Invalidate, &str); 9] = [
        (|s| s.classes.clear(), "services is empty, so there are no request classes"),
        (|s| s.node_count = 0, "balancers is 0"),
        (|s| s.node_index = 2, "rank is 2, but must be below balancers, which is 2"),
        (|s| s.max_attempts = 0, "allowed.max_attempts is 0"),
        (|s| s.slow_start_from = f64::NAN, "obligations.cold_from is NaN"),
        (|s| s.overload_multiple = -1.0, "obligations.fall_multiple is -1"),
        (|s| s.tenants[3].service_share = f64::INFINITY, "parties.3.share is inf"),
        (|s| s.classes[1].deadline = Duration::ZERO, "services.1.deadline_us is 0ns"),
        (|s| s.classes[2].late_weight = -0.5, "services.2.late_value is -0.5"),
    ];
    for (invalidate, expected) in cases {
        let mut s = settings();
        invalidate(&mut s);
        let message = Balancer::new(s, 1).err().expect(expected).to_string();
        assert!(message.starts_with("settings: ") && message.contains(expected), "{message}");
    }
}

/// Requests may have a class that the settings do not contain or no time left, events may name requests or
/// attempts that do not exist, and endpoint lists may repeat endpoints and have start times in the future.
#[test]
fn rejects_requests_that_cannot_be_sent_and_ignores_events_for_unknown_requests() {
    let mut node = TestNode::new(settings(), endpoints(1..5));
    // The node's clock runs backwards by 5 s.
    node.now = START + 5 * S;
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    node.handle(Event::EndpointDelta(vec![
        endpoint(2),
        endpoint(2),
        EndpointInfo { started_at: Timestamp::MAX, ..endpoint(3) },
    ]));
    node.now = START + 20 * S;
    node.end_attempt(id, 0, Outcome::Served, MS);
    node.end_attempt(id, 7, Outcome::Error, MS);
    let request = Request {
        id: 900,
        class: 99,
        remaining: Duration::ZERO,
        expected_work: None,
        affinity_key: None,
        tenant: Some(77),
    };
    assert!(rejected(&node.handle(Event::RequestArrived(request)), 900), "a request of an unknown class");
    let request = Request {
        id: 901,
        class: IDEMPOTENT,
        expected_work: Some(Duration::from_micros(u64::MAX)),
        ..request
    };
    assert!(rejected(&node.handle(Event::RequestArrived(request)), 901), "a request with no time left");
    node.handle(Event::ResponseStarted(12_345, 3));
    node.handle(Event::ClientDisconnected(12_345));
    node.handle(Event::TimerFired(TimerToken::Request(12_345)));
    assert_eq!(node.balancer.tracked_requests(), 0);
    let mut unlisted = Balancer::new(settings(), 1).unwrap();
    let mut actions = Vec::new();
    unlisted.handle(
        START + S,
        Event::RequestArrived(Request { id: 1, class: IDEMPOTENT, remaining: S, ..request }),
        &mut actions,
    );
    assert!(rejected(&actions, 1), "a request before the first endpoint list");
}
