//! Ejection of endpoints that fail.

use mothspool::*;

use crate::support::*;

#[test]
fn endpoints_that_fail_quickly_get_few_requests() {
    let mut node = TestNode::new(settings(), endpoints(1..9));
    let (mut failing, mut all) = (0, 0);
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        let to = sends(&actions, id)[0];
        all += 1;
        failing += u32::from(to % 4 == 1);
        node.end_attempt(id, 0, if to % 4 == 1 { Outcome::Error } else { Outcome::Served }, 5 * MS);
    }
    assert!(failing * 10 < all, "{failing} of {all} went to endpoints that fail");
}

/// If most of the endpoints fail, none is ejected: the few others would be overloaded.
#[test]
fn failing_endpoints_are_ejected_only_while_they_are_at_most_half_of_the_pool() {
    for (failing, ejected) in [(1, true), (3, false)] {
        let (mut node, pool) = pool_of_four();
        // The node learns which endpoints fail.
        count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Reset, 100);
        let later = count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Reset, 40);
        assert_eq!(later == 0, ejected, "{failing} of 4 fail");
    }
}

/// Errors may be limited to one class: most endpoints of a pool may return errors for it and serve the other
/// classes well. If all four endpoints of the pool return errors for it, its requests are sent to endpoints
/// of other pools.
#[test]
fn endpoints_that_return_errors_for_a_class_are_ejected_for_that_class_only() {
    for failing in 1..=4 {
        let (mut node, pool) = pool_of_four();
        // The node learns which endpoints return errors for the class.
        count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Error, 100);
        let seen = count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Error, 20);
        assert!(
            seen <= failing,
            "{seen} of 20 went to the {failing} endpoints that return errors; each is tried again at times"
        );
        let others = count_requests_to(&mut node, IDEMPOTENT, &pool[..failing], Outcome::Served, 40);
        assert!(others > 0, "none of 40 went to the {failing} of 4 endpoints that serve them");
    }
}

/// The capacity of ejected endpoints can't be used: a pool is full once its other endpoints are.
#[test]
fn a_pool_spills_over_if_its_endpoints_with_capacity_are_ejected() {
    let (mut node, pool) = pool_of_four();
    assert!(count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..1], Outcome::Reset, 30) > 0);
    let to: Vec<EndpointId> = (0..30)
        .flat_map(|_| {
            let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
            sends(&actions, id)
        })
        .collect();
    assert!(to.iter().any(|endpoint| !pool.contains(endpoint)), "{to:?} all went to {pool:?}");
}

/// Requests that wait for the few endpoints that do not return errors for their class must not block
/// requests of other classes.
#[test]
fn a_class_with_errors_on_most_endpoints_does_not_block_other_classes() {
    let (mut node, pool) = pool_of_four();
    // The node learns which endpoints return errors for the class.
    count_requests_to(&mut node, NON_IDEMPOTENT, &pool[..3], Outcome::Error, 100);
    let open: Vec<_> = (0..30).map(|_| node.arrive(NON_IDEMPOTENT, Some(0)).0).collect();
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(
        sends(&actions, id).len(),
        1,
        "not sent while {} requests of the other class are queued or in flight",
        open.len()
    );
}

/// If all endpoints return errors alike, ejecting each for its share of the errors would only cost capacity.
#[test]
fn an_endpoint_is_not_ejected_for_errors_that_all_endpoints_return() {
    let mut node = TestNode::new(settings(), endpoints(1..9));
    let send_one = |node: &mut TestNode, outcome| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        node.now += MS;
        node.end_attempt(id, 0, outcome, MS);
        sends(&actions, id)[0]
    };
    for _ in 0..20 {
        send_one(&mut node, Outcome::Error);
    }
    node.now += S;
    let last = send_one(&mut node, Outcome::Error);
    node.now += 200 * MS;
    let open: Vec<_> = (0..12).map(|_| node.arrive(NON_IDEMPOTENT, Some(0))).collect();
    // The endpoint that returned the last error still gets requests.
    assert!(open.iter().any(|(id, actions)| sends(actions, *id).contains(&last)));
}
