//! Streaming of request and response bodies.

use mothspool::*;

use crate::support::*;

#[test]
fn a_started_response_cancels_the_hedge_and_ends_the_deadline() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    let hedge = node.fire_timer(id, 250 * MS);
    assert_eq!(sends(&hedge, id).len(), 1);
    assert_eq!(node.handle(Event::ResponseStarted(id, 0)), [Action::Cancel(id, 1)], "the hedge is cancelled");
    assert_eq!(node.fire_timer(id, 5 * S), [], "the deadline no longer applies");
    node.end_attempt(id, 1, Outcome::Cancelled, S);
    node.end_attempt(id, 0, Outcome::Served, 5 * S);
    assert_eq!(node.balancer.tracked_requests(), 0);
}

#[test]
fn a_request_with_a_forwarded_body_is_not_retried_or_hedged() {
    for outcome in [Outcome::Reset, Outcome::Rejected, Outcome::TimedOut] {
        let mut node = TestNode::new(settings(), endpoints(1..11));
        let (id, _) = node.arrive(KEYED_BY_ALL, Some(0));
        assert_eq!(node.handle(Event::BodyForwarded(id)), []);
        // The request is neither failed nor hedged, however long its body takes.
        assert_eq!(node.fire_timer(id, 290 * MS), []);
        assert_eq!(node.fire_timer(id, 10 * S), []);
        node.handle(Event::BodyCompleted(id));
        let over = node.end_attempt(id, 0, outcome, 100 * MS);
        assert!(sends(&over, id).is_empty() && rejected(&over, id), "{outcome:?}: {over:?}");
        assert_eq!(node.balancer.tracked_requests(), 0);
    }
}

#[test]
fn an_attempt_counts_as_load_from_the_last_request_byte_to_the_first_response_byte() {
    let mut node = TestNode::new(settings(), endpoints(1..2));
    // Requests whose bodies are incomplete don't use the endpoint's capacity.
    let uploads: Vec<RequestId> = (0..50)
        .map(|_| {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            assert_eq!(sends(&actions, id), [1]);
            node.handle(Event::BodyForwarded(id));
            id
        })
        .collect();
    // Complete requests use it until their responses begin.
    let (complete, incomplete) = uploads.split_at(20);
    complete.iter().for_each(|id| drop(node.handle(Event::BodyCompleted(*id))));
    let (queued, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, queued), [], "the endpoint is full");
    node.now += 20 * MS;
    let actions: Vec<Action> =
        complete.iter().flat_map(|id| node.handle(Event::ResponseStarted(*id, 0))).collect();
    assert_eq!(sends(&actions, queued), [1], "the endpoint has capacity again");
    node.end_attempt(queued, 0, Outcome::Served, 20 * MS);
    // Neither clients that read slowly nor clients that disconnect make the endpoint count as slow.
    node.now += 60 * S;
    for id in complete {
        node.end_attempt(*id, 0, if id % 2 == 0 { Outcome::Served } else { Outcome::Cancelled }, 60 * S);
    }
    incomplete.iter().for_each(|id| drop(node.end_attempt(*id, 0, Outcome::Cancelled, 60 * S)));
    let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [1]);
}
