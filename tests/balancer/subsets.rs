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
        let got = attempts_by_endpoint(&mut TestNode::new(many_nodes(200, node_index), endpoints(1..41)), 20);
        assert!(got.len() <= 3, "node {node_index} used {} endpoints", got.len());
        got.into_iter().for_each(|(to, n)| *all.entry(to).or_default() += n);
    }
    let (least, most) = (all.values().min().unwrap(), all.values().max().unwrap());
    assert!(all.len() >= 16 && most < &(least * 3), "{all:?}");
}

/// With no attempt in flight at either of two candidates, the larger one won every comparison of loads: the
/// largest endpoints were full while small ones were idle.
#[test]
fn many_nodes_select_idle_endpoints_by_size() {
    let sized =
        |s: EndpointInfo| EndpointInfo { weight: if s.id.is_multiple_of(2) { 3.0 } else { 1.0 }, ..s };
    let (mut large, mut small) = (0, 0);
    for node_index in 0..200 {
        let list: Vec<_> = endpoints(1..41).into_iter().map(sized).collect();
        for (to, n) in attempts_by_endpoint(&mut TestNode::new(many_nodes(200, node_index), list), 10) {
            *(if to % 2 == 0 { &mut large } else { &mut small }) += n;
        }
    }
    assert!(small * 2 < large && large < small * 6, "{large} to large endpoints, {small} to small ones");
}

/// An endpoint that has the node's only attempt in flight and does not respond is not selected again.
#[test]
fn does_not_select_an_unresponsive_endpoint_of_the_subset_again() {
    let mut node = TestNode::new(many_nodes(200, 3), endpoints(1..41));
    let (first, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    let silent = sends(&actions, first)[0];
    for _ in 0..20 {
        node.now += 100 * MS;
        let mut attempts = 0;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        for to in sends(&actions, id) {
            assert_ne!(to, silent);
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

/// Requests beyond the capacity of a node's subset went to a different endpoint of the pool each time. Each
/// of them left a connection that used up one of the few that the endpoint accepts and was not used again.
#[test]
fn requests_beyond_the_subset_spill_over_to_few_endpoints() {
    let subset: BTreeSet<EndpointId> =
        attempts_by_endpoint(&mut TestNode::new(many_nodes(200, 3), endpoints(1..201)), 100)
            .into_keys()
            .collect();
    let mut node = TestNode::new(many_nodes(200, 3), endpoints(1..201));
    let rejects = |to| if subset.contains(&to) { Outcome::Rejected } else { Outcome::Served };
    let served = &outcomes_by_endpoint(&mut node, 200, rejects)[&Outcome::Served];
    let often = served.values().filter(|n| **n > 2).count();
    assert!(served.values().sum::<usize>() >= 180 && often > 3, "{served:?}");
    assert!(served.len() <= 20, "{} of 200 endpoints: {served:?}", served.len());
}

/// All nodes share one concurrency limit. Before it was learned, a node's share of it allowed only one
/// attempt at a time for each pool, and nodes that had just started rejected one request in seven although
/// endpoints were idle.
#[test]
fn one_of_many_nodes_has_capacity_for_its_subset_from_the_start() {
    let mut node = TestNode::new(many_nodes(200, 3), endpoints(1..201));
    // Each endpoint is in the subsets of 6 nodes, so a node's subset of a pool of 100 has 3 endpoints. As
    // many are in its subset of the other pool, which requests spill over to.
    let sent = (0..30).map(|_| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        sends(&actions, id).len()
    });
    let sent: usize = sent.sum();
    assert!((6..=12).contains(&sent), "{sent} of 30 sent at once");
}

/// A small pool looks free to each of many nodes. The requests that the large pool had no capacity for were
/// sent by all nodes to the same few endpoints, some of which were in slow start.
#[test]
fn many_nodes_spill_over_to_a_small_pool_in_proportion_to_its_size() {
    let tenants = vec![Tenant { quota_per_second: 1_000.0, service_share: 0.005 }; 4];
    let settings_of = |node_index| Settings { tenants: tenants.clone(), ..many_nodes(200, node_index) };
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
    // Each endpoint of the large pool has about 6 attempts now. A random choice of endpoints would have sent
    // as many to each endpoint of the small pools.
    assert!((1..=16 * 8).contains(&spilled_over), "{spilled_over} attempts at eight endpoints");
}

/// The test uses as many nodes and endpoints as a deployment may have. Each node uses few endpoints, all
/// nodes together use the whole pool, and the cost of a request or of an endpoint list stays small.
#[test]
fn scales_to_1024_nodes_and_1024_endpoints() {
    let began = std::time::Instant::now();
    let mut used = BTreeSet::new();
    for node_index in (0..1024).step_by(4) {
        let mut node = TestNode::new(many_nodes(1024, node_index), endpoints(1..1025));
        let got = attempts_by_endpoint(&mut node, 8);
        assert_eq!(got.values().sum::<usize>(), 8, "node {node_index}");
        used.extend(got.into_keys());
    }
    // All requests are from one of four tenants, and so use one of the pools.
    let pool = used.len();
    assert!((300..800).contains(&pool), "{pool} endpoints of one label");
    let mut node = TestNode::new(many_nodes(1024, 5), endpoints(1..1025));
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
