//! Deterministic subsetting at one of many nodes.

use std::collections::{BTreeMap, BTreeSet};

use mothspool::*;

use crate::support::*;

/// If each of hundreds of nodes used the whole pool, a node would send a request to an endpoint once per
/// minute: its counts would not show the endpoint's load, and each request would open a connection.
#[test]
fn each_of_many_nodes_uses_a_small_subset_and_together_they_use_the_pool() {
    let mut all: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for node_index in 0..200 {
        let got =
            attempts_by_endpoint(&mut TestNode::new(settings_of_node(200, node_index), endpoints(1..41)), 20);
        assert!(got.len() <= 3, "node {node_index} used {} endpoints", got.len());
        got.into_iter().for_each(|(to, n)| *all.entry(to).or_default() += n);
    }
    let (least, most) = (all.values().min().unwrap(), all.values().max().unwrap());
    assert!(all.len() >= 16 && most < &(least * 3), "{all:?}");
}

/// If the larger of two candidates wins every comparison of loads while neither has an attempt in flight, the
/// largest endpoints are full while small ones are idle.
#[test]
fn many_nodes_select_idle_endpoints_in_proportion_to_size() {
    let sized = |endpoint: EndpointInfo| EndpointInfo {
        weight: if endpoint.id.is_multiple_of(2) { 3.0 } else { 1.0 },
        ..endpoint
    };
    let (mut large, mut small) = (0, 0);
    for node_index in 0..200 {
        let list: Vec<_> = endpoints(1..41).into_iter().map(sized).collect();
        for (to, n) in attempts_by_endpoint(&mut TestNode::new(settings_of_node(200, node_index), list), 10) {
            *(if to % 2 == 0 { &mut large } else { &mut small }) += n;
        }
    }
    assert!(small * 2 < large && large < small * 6, "{large} to large endpoints, {small} to small ones");
}

/// An endpoint that has the node's only attempt in flight and does not respond is not selected again.
#[test]
fn does_not_select_an_unresponsive_endpoint_of_the_subset_again() {
    let mut node = TestNode::new(settings_of_node(200, 3), endpoints(1..41));
    let (first, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    let unresponsive = sends(&actions, first)[0];
    for _ in 0..20 {
        node.now += 100 * MS;
        let mut attempts = 0;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        for to in sends(&actions, id) {
            assert_ne!(to, unresponsive);
            attempts += 1;
        }
        if attempts > 0 {
            node.end_attempt(id, 0, Outcome::Served, 20 * MS);
        }
    }
}

/// Sends requests of a tenant, 100 ms apart, and counts the attempts by outcome and endpoint.
fn outcomes_by_endpoint(
    node: &mut TestNode,
    requests: usize,
    outcome_at: impl Fn(EndpointId) -> Outcome,
) -> BTreeMap<Outcome, BTreeMap<EndpointId, usize>> {
    let mut ends: BTreeMap<Outcome, BTreeMap<EndpointId, usize>> = BTreeMap::new();
    for _ in 0..requests {
        node.now += 100 * MS;
        let (id, mut actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        let mut attempt = 0;
        while let [to] = sends(&actions, id)[..] {
            *ends.entry(outcome_at(to)).or_default().entry(to).or_default() += 1;
            actions = node.end_attempt(id, attempt, outcome_at(to), 20 * MS);
            attempt += 1;
        }
    }
    ends
}

/// If the requests beyond the capacity of a node's subset went to a different endpoint of the pool each time,
/// each of them would leave a connection that is not used again and uses up one of the few that the endpoint
/// accepts.
#[test]
fn requests_beyond_the_subset_spill_over_to_few_endpoints() {
    let subset: BTreeSet<EndpointId> =
        attempts_by_endpoint(&mut TestNode::new(settings_of_node(200, 3), endpoints(1..201)), 100)
            .into_keys()
            .collect();
    let mut node = TestNode::new(settings_of_node(200, 3), endpoints(1..201));
    let rejects = |to| if subset.contains(&to) { Outcome::Rejected } else { Outcome::Served };
    let served = &outcomes_by_endpoint(&mut node, 200, rejects)[&Outcome::Served];
    let often = served.values().filter(|n| **n > 2).count();
    assert!(served.values().sum::<usize>() >= 180 && often > 3, "{served:?}");
    assert!(served.len() <= 20, "{} of 200 endpoints: {served:?}", served.len());
}

/// All nodes share one concurrency limit. If a node's share of a limit that has not been learned yet allows
/// only one attempt at a time for each pool, nodes that have just started reject one request in seven
/// although endpoints are idle.
#[test]
fn one_of_many_nodes_has_capacity_for_its_subset_from_the_start() {
    let mut node = TestNode::new(settings_of_node(200, 3), endpoints(1..201));
    // Each endpoint is in the subsets of 6 nodes, so a node's subset of a pool of 100 has 3 endpoints. As
    // many are in its subset of the other pool, which requests spill over to.
    let sent = (0..30).map(|_| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        sends(&actions, id).len()
    });
    let sent: usize = sent.sum();
    assert!((6..=12).contains(&sent), "{sent} of 30 sent at once");
}

/// A small pool looks free to each of many nodes. If all nodes send it the requests that the large pool has
/// no capacity for, these requests overload its few endpoints, some of which may be in slow start.
#[test]
fn many_nodes_spill_over_to_a_small_pool_in_proportion_to_its_size() {
    let tenants = vec![Tenant { quota_per_second: 1_000.0, service_share: 0.005 }; 4];
    let settings_of = |node_index| Settings { tenants: tenants.clone(), ..settings_of_node(200, node_index) };
    let reached = |node: &mut TestNode, tenants: &[Option<u32>]| -> BTreeSet<EndpointId> {
        endpoints_reached(node, tenants).into_values().flatten().collect()
    };
    let mut labelled = BTreeSet::new();
    for node_index in (0..200).step_by(8) {
        labelled.extend(reached(
            &mut TestNode::new(settings_of(node_index), endpoints(1..201)),
            &[Some(0), Some(1), Some(2), Some(3)],
        ));
    }
    assert_eq!(labelled.len(), 8);
    let mut spilled_over = 0;
    for node_index in 0..200 {
        let mut node = TestNode::new(settings_of(node_index), endpoints(1..201));
        node.last_request = u64::from(node_index) * 100;
        for _ in 0..20 {
            let (id, actions) = node.arrive(IDEMPOTENT, None);
            spilled_over += sends(&actions, id).iter().filter(|endpoint| labelled.contains(endpoint)).count();
        }
    }
    // Each node sends 6 of its 20 requests to the 192 endpoints of the large pool, which then have about 6
    // attempts each. A fraction of 4 / 192 of the other 14 requests may spill over to each of the two small
    // pools of 4 endpoints: about 200 * 14 * 8 / 192 = 117 requests, or 15 for each of the 8 endpoints. The
    // bound is 16 for each.
    assert!((1..=16 * 8).contains(&spilled_over), "{spilled_over} attempts at eight endpoints");
}

/// A deployment may have 1024 nodes and 1024 endpoints. The test runs every fourth node: each uses few
/// endpoints, together they use 300 to 800 endpoints of one label, and the cost of a request or of an
/// endpoint list stays small.
#[test]
fn scales_to_1024_nodes_and_1024_endpoints() {
    let began = std::time::Instant::now();
    let mut used = BTreeSet::new();
    for node_index in (0..1024).step_by(4) {
        let mut node = TestNode::new(settings_of_node(1024, node_index), endpoints(1..1025));
        let got = attempts_by_endpoint(&mut node, 8);
        assert_eq!(got.values().sum::<usize>(), 8, "node {node_index}");
        used.extend(got.into_keys());
    }
    // All requests are from one of four tenants, and so use one of the pools.
    let pool = used.len();
    assert!((300..800).contains(&pool), "{pool} endpoints of one label");
    let mut node = TestNode::new(settings_of_node(1024, 5), endpoints(1..1025));
    assert!(attempts_by_endpoint(&mut node, 200).len() <= 16);
    for n in 0..200 {
        node.handle(Event::EndpointDelta(vec![EndpointInfo {
            state: EndpointState::Draining,
            ..endpoint(1 + n)
        }]));
    }
    // The bound allows for a build without optimization on a busy machine.
    assert!(began.elapsed().as_secs() < 60, "{:?}", began.elapsed());
}
