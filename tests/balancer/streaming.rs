//! Request and response bodies that pass through.

use mothspool::*;

use crate::support::*;

#[test]
fn a_started_response_cancels_the_hedge_and_ends_the_deadline() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let (id, _) = node.arrive(IDEMPOTENT, Some(0));
    let hedge = node.fire_timer(id, 250 * MS);
    assert_eq!(sends(&hedge, id).len(), 1);
    assert_eq!(
        node.handle(Event::ResponseStarted(id, 0)),
        [Action::Cancel(id, 1)],
        "its hedge is not needed"
    );
    assert_eq!(node.fire_timer(id, 5 * S), [], "its deadline does not count any more");
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
        // However long it takes, the request is not failed for that; nor can it be hedged.
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
    // Bodies that are still coming do not fill the endpoint.
    let uploads: Vec<RequestId> = (0..50)
        .map(|_| {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            assert_eq!(sends(&actions, id), [1]);
            node.handle(Event::BodyForwarded(id));
            id
        })
        .collect();
    // Complete ones do, until the response begins.
    let (complete, incomplete) = uploads.split_at(20);
    complete.iter().for_each(|id| drop(node.handle(Event::BodyCompleted(*id))));
    let (queued, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, queued), [], "it is full");
    node.now += 20 * MS;
    let actions: Vec<Action> =
        complete.iter().flat_map(|id| node.handle(Event::ResponseStarted(*id, 0))).collect();
    assert_eq!(sends(&actions, queued), [1], "it has capacity again");
    node.end_attempt(queued, 0, Outcome::Served, 20 * MS);
    // How long the clients then take does not make the endpoint slow, nor does one that disconnects.
    node.now += 60 * S;
    for id in complete {
        node.end_attempt(*id, 0, if id % 2 == 0 { Outcome::Served } else { Outcome::Cancelled }, 60 * S);
    }
    incomplete.iter().for_each(|id| drop(node.end_attempt(*id, 0, Outcome::Cancelled, 60 * S)));
    let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [1]);
}
