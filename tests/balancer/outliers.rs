//! Ejection of endpoints that fail.

use mothspool::*;

use crate::support::*;

#[test]
fn an_endpoint_that_fails_quickly_does_not_win_the_comparisons() {
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

/// Where most endpoints fail, ejecting them would leave the few others to be crowded: then none is ejected.
#[test]
fn failing_endpoints_are_ejected_only_while_they_are_at_most_half_of_the_pool() {
    for (failing, ejected) in [(1, true), (3, false)] {
        let (mut node, pool) = pool_of_four();
        count_failures(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Reset, 100);
        let later = count_failures(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Reset, 40);
        assert_eq!(later == 0, ejected, "{failing} of 4 fail");
    }
}

/// Errors may be about one class: most of a pool may err on it and serve the others well.
#[test]
fn endpoints_that_err_on_a_class_are_ejected_for_that_class_alone_however_many_they_are() {
    for failing in 1..=4 {
        let (mut node, pool) = pool_of_four();
        count_failures(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Error, 100);
        let seen = count_failures(&mut node, NON_IDEMPOTENT, &pool[..failing], Outcome::Error, 20);
        assert!(
            seen <= failing,
            "{seen} of 20 met one of {failing} endpoints that err: each is tried again now and then"
        );
        let others = count_failures(&mut node, IDEMPOTENT, &pool[..failing], Outcome::Served, 40);
        assert!(others > 0, "none of 40 went to the {failing} of 4 endpoints that serve them");
    }
}

/// The capacity of ejected endpoints is of no use: where the others are full, the pool is.
#[test]
fn a_pool_whose_free_endpoints_are_ejected_spills_over() {
    let (mut node, pool) = pool_of_four();
    assert!(count_failures(&mut node, NON_IDEMPOTENT, &pool[..1], Outcome::Reset, 30) > 0);
    let to: Vec<EndpointId> = (0..30)
        .flat_map(|_| {
            let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
            sends(&actions, id)
        })
        .collect();
    assert!(to.iter().any(|endpoint| !pool.contains(endpoint)), "{to:?} all went to {pool:?}");
}

/// Requests that wait for the few endpoints which do not err on them must not block those of other classes.
#[test]
fn a_class_that_most_endpoints_err_on_does_not_block_the_others() {
    let (mut node, pool) = pool_of_four();
    count_failures(&mut node, NON_IDEMPOTENT, &pool[..3], Outcome::Error, 100);
    let open: Vec<_> = (0..30).map(|_| node.arrive(NON_IDEMPOTENT, Some(0)).0).collect();
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id).len(), 1, "{} are queued or in flight", open.len());
}

/// Where all endpoints err alike, to eject each for its part of the errors would only cost capacity.
#[test]
fn failures_that_all_endpoints_share_eject_none() {
    let mut node = TestNode::new(settings(), endpoints(1..9));
    let one = |node: &mut TestNode, outcome| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        node.now += MS;
        node.end_attempt(id, 0, outcome, MS);
        sends(&actions, id)[0]
    };
    for _ in 0..20 {
        one(&mut node, Outcome::Error);
    }
    node.now += S;
    let last = one(&mut node, Outcome::Error);
    node.now += 200 * MS;
    let open: Vec<_> = (0..12).map(|_| node.arrive(NON_IDEMPOTENT, Some(0))).collect();
    assert!(open.iter().any(|(id, actions)| sends(actions, *id).contains(&last)));
}
