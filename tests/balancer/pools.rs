//! Labels and pools of tenants, and what overflows them.

use std::collections::BTreeSet;

use mothspool::*;

use crate::support::*;

#[test]
fn tenants_keep_to_disjoint_pools_of_four_or_more() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let seen = endpoints_reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let pools: BTreeSet<_> = seen.values().cloned().collect();
    assert!(pools.len() > 1, "all tenants share one pool");
    for pool in &pools {
        assert!(pool.len() >= 4);
        assert!(pools.iter().all(|other| other == pool || other.is_disjoint(pool)));
    }
}

#[test]
fn requests_without_tenant_keep_to_unlabelled_endpoints() {
    let mut half = settings();
    half.tenants.iter_mut().for_each(|t| t.service_share = 0.15);
    let mut node = TestNode::new(half, endpoints(1..21));
    let seen = endpoints_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    let labelled: BTreeSet<_> = seen.iter().filter(|(t, _)| t.is_some()).flat_map(|(_, s)| s).collect();
    assert!(seen[&None].len() >= 4 && seen[&None].iter().all(|s| !labelled.contains(s)));
}

#[test]
fn an_empty_pool_falls_back_to_all_ready_endpoints() {
    let mut node = TestNode::new(settings(), endpoints(1..4));
    let seen = endpoints_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    assert!(seen.values().all(|endpoints| endpoints.len() == 3));
}

#[test]
fn rejects_for_lack_of_endpoints_only_when_none_is_ready() {
    let mut node = TestNode::new(settings(), endpoints(1..2));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [1]);
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    node.handle(Event::EndpointDelta(vec![draining]));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert!(rejected(&actions, id) && sends(&actions, id).is_empty());
}

#[test]
fn overflow_goes_only_to_a_pool_that_is_half_free() {
    let pools = |node: &mut TestNode| endpoints_reached(node, &[Some(0), Some(1), Some(2), Some(3)]);
    let mut quiet = TestNode::new(settings(), endpoints(1..11));
    let own = pools(&mut quiet);
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let mut overflow = 0;
    for _ in 0..30 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        overflow += sends(&actions, id).iter().filter(|s| !own[&Some(0)].contains(s)).count();
    }
    let other = own.iter().find(|(_, pool)| **pool != own[&Some(0)]).unwrap();
    assert!(overflow > 0, "the idle pool takes overflow");
    assert!(
        overflow * 2 <= other.1.len() + 1,
        "{overflow} attempts went to {} endpoints of another pool",
        other.1.len()
    );
    let (id, actions) = node.arrive(IDEMPOTENT, *other.0);
    assert_eq!(sends(&actions, id).len(), 1, "its own tenants still find capacity");
}

/// One endpoint joins, then leaves again: few tenants' endpoints change.
#[test]
fn pools_change_little_when_the_list_changes() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let ten = endpoints_reached(&mut TestNode::new(settings(), endpoints(1..11)), &tenants);
    let eleven = endpoints_reached(&mut TestNode::new(settings(), endpoints(1..12)), &tenants);
    for tenant in tenants {
        let lost = ten[&tenant].difference(&eleven[&tenant]).count();
        assert!(lost <= 2, "tenant {tenant:?} lost {lost} endpoints to one that joined");
    }
}
