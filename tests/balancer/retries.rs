//! Retries: whether, where and until when a request is retried.

use mothspool::*;

use crate::support::*;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_was_not_executed() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let (id, _) = node.arrive(NON_IDEMPOTENT, Some(0));
    let actions = node.end_attempt(id, 0, Outcome::Rejected, MS);
    assert_eq!(sends(&actions, id).len(), 1);
    let actions = node.end_attempt(id, 1, Outcome::Reset, MS);
    assert!(failed(&actions, id) && sends(&actions, id).is_empty());
}

#[test]
fn a_keyed_request_is_retried_within_its_scope_and_window() {
    let mut node = TestNode::new(settings(), endpoints(1..41));
    let (id, first) = node.arrive(KEYED_BY_CELL, Some(0));
    let first = sends(&first, id)[0];
    let retry = node.end_attempt(id, 0, Outcome::Error, MS);
    let retry = sends(&retry, id);
    assert!(retry.len() == 1 && retry[0] % 3 == first % 3);
    let (id, _) = node.arrive(KEYED_BY_CELL, Some(0));
    node.now += 500 * MS;
    let actions = node.end_attempt(id, 0, Outcome::Error, 500 * MS);
    assert!(failed(&actions, id), "its idempotency window has ended");
}

/// The endpoint list may have no cells. Each endpoint then knows only its own keys, and loses them when it
/// restarts.
#[test]
fn a_keyed_request_without_cells_is_retried_only_at_the_same_endpoint() {
    for restarts in [false, true] {
        let without_cell = |endpoint: EndpointInfo| EndpointInfo { cell: None, ..endpoint };
        let list: Vec<EndpointInfo> = endpoints(1..41).into_iter().map(without_cell).collect();
        let mut node = TestNode::new(settings(), list);
        let (id, first) = node.arrive(KEYED_BY_CELL, Some(0));
        let first = sends(&first, id)[0];
        if restarts {
            let now = node.now;
            node.handle(Event::EndpointDelta(vec![EndpointInfo {
                started_at: now,
                ..without_cell(endpoint(first))
            }]));
        }
        let retry = node.end_attempt(id, 0, Outcome::Error, MS);
        let expected = if restarts { vec![] } else { vec![first] };
        assert_eq!((sends(&retry, id), failed(&retry, id)), (expected, restarts));
    }
}

/// Connections may take long to open, so the action that sends a retry has a deadline for its start. It is
/// 380 ms after the first attempt: the idempotency window of 400 ms less 20 ms for the retry to arrive.
#[test]
fn only_retries_of_keyed_requests_that_may_have_been_executed_have_a_deadline() {
    let begin_by = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::Send { begin_by, .. } = a { Some(*begin_by) } else { None })
    };
    for (class, has_deadline) in [(IDEMPOTENT, false), (KEYED_BY_CELL, true), (KEYED_BY_ALL, true)] {
        let mut node = TestNode::new(settings(), endpoints(1..41));
        let (id, first) = node.arrive(class, Some(0));
        assert_eq!(begin_by(&first), Some(None));
        node.now += 20 * MS;
        // A request that was not executed has no deadline, and its window counts from the next attempt.
        assert_eq!(begin_by(&node.end_attempt(id, 0, Outcome::ConnectFailed, 20 * MS)), Some(None));
        let sent = node.now;
        node.now += 30 * MS;
        let until = has_deadline.then_some(sent + 380 * MS);
        assert_eq!(begin_by(&node.end_attempt(id, 1, Outcome::Reset, 30 * MS)), Some(until));
        node.now += 30 * MS;
        assert_eq!(begin_by(&node.end_attempt(id, 2, Outcome::Rejected, 30 * MS)), Some(until));
    }
}

/// After the idempotency window the request can't be sent any more, and the client gets its answer at once
/// instead of at the deadline.
#[test]
fn a_queued_retry_fails_when_its_idempotency_window_ends() {
    let mut s = settings();
    s.classes[IDEMPOTENT].priority_weight = 5.0;
    let mut node = TestNode::new(s, endpoints(1..2));
    let (id, first) = node.arrive(KEYED_BY_CELL, None);
    assert_eq!(sends(&first, id), [1]);
    let (other, queued) = node.arrive(IDEMPOTENT, None);
    assert_eq!(sends(&queued, other), []);
    node.now += 20 * MS;
    // The request with the higher priority weight is sent.
    let actions = node.end_attempt(id, 0, Outcome::Reset, 20 * MS);
    assert_eq!((sends(&actions, other), sends(&actions, id)), (vec![1], vec![]));
    let mut after = 20 * MS;
    while !failed(&node.fire_timer(id, 5 * MS), id) {
        after += 5 * MS;
        assert!(after < 385 * MS, "queued after the end of its idempotency window");
    }
    assert!(after >= 370 * MS, "failed while it could still be sent: {after:?}");
}
