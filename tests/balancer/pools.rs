//! Labels and pools of tenants, and spilling over to other pools.

use std::collections::BTreeSet;

use mothspool::*;

use crate::support::*;

#[test]
fn tenants_have_the_same_or_disjoint_pools_of_at_least_four_endpoints() {
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
fn requests_without_a_tenant_use_only_unlabelled_endpoints() {
    // The tenants' shares add up to 0.6, so 8 of the 20 endpoints stay unlabelled.
    let mut limited_shares = settings();
    limited_shares.tenants.iter_mut().for_each(|t| t.service_share = 0.15);
    let mut node = TestNode::new(limited_shares, endpoints(1..21));
    let seen = endpoints_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    let labelled: BTreeSet<_> =
        seen.iter().filter(|(t, _)| t.is_some()).flat_map(|(_, endpoints)| endpoints).collect();
    assert!(seen[&None].len() >= 4 && seen[&None].iter().all(|endpoint| !labelled.contains(endpoint)));
}

#[test]
fn an_empty_pool_falls_back_to_all_ready_endpoints() {
    let mut node = TestNode::new(settings(), endpoints(1..4));
    let seen = endpoints_reached(&mut node, &[None, Some(0), Some(1), Some(2), Some(3)]);
    assert!(seen.values().all(|endpoints| endpoints.len() == 3));
}

#[test]
fn rejects_for_lack_of_endpoints_only_if_none_is_ready() {
    let mut node = TestNode::new(settings(), endpoints(1..2));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert_eq!(sends(&actions, id), [1]);
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    node.handle(Event::EndpointDelta(vec![draining]));
    let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
    assert!(rejected(&actions, id) && sends(&actions, id).is_empty());
}

#[test]
fn spills_over_only_to_a_pool_with_half_of_its_capacity_free() {
    let learn_pools = |node: &mut TestNode| endpoints_reached(node, &[Some(0), Some(1), Some(2), Some(3)]);
    let mut quiet = TestNode::new(settings(), endpoints(1..11));
    let pools_by_tenant = learn_pools(&mut quiet);
    let own_pool = &pools_by_tenant[&Some(0)];
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let mut spilled_over = 0;
    for _ in 0..30 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        spilled_over += sends(&actions, id).iter().filter(|endpoint| !own_pool.contains(endpoint)).count();
    }
    let (other_tenant, other_pool) = pools_by_tenant.iter().find(|(_, pool)| *pool != own_pool).unwrap();
    assert!(spilled_over > 0, "requests spill over to the idle pool");
    assert!(
        spilled_over * 2 <= other_pool.len() + 1,
        "{spilled_over} attempts went to {} endpoints of another pool",
        other_pool.len()
    );
    let (id, actions) = node.arrive(IDEMPOTENT, *other_tenant);
    assert_eq!(sends(&actions, id).len(), 1, "the other pool still has capacity for its own tenants");
}

/// When an endpoint joins, only few of each tenant's endpoints change.
#[test]
fn pools_change_little_when_an_endpoint_joins() {
    let tenants = [Some(0), Some(1), Some(2), Some(3)];
    let ten = endpoints_reached(&mut TestNode::new(settings(), endpoints(1..11)), &tenants);
    let eleven = endpoints_reached(&mut TestNode::new(settings(), endpoints(1..12)), &tenants);
    for tenant in tenants {
        let lost = ten[&tenant].difference(&eleven[&tenant]).count();
        assert!(lost <= 2, "tenant {tenant:?} lost {lost} endpoints to one that joined");
    }
}
