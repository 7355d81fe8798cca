//! Deterministic subsetting at one of many nodes.

use std::collections::{BTreeMap, BTreeSet};

use mothspool::*;

use crate::support::*;

/// Spread over a whole pool, a node of hundreds met an endpoint once a minute: its counts showed nothing, and
/// each request opened a connection.
#[test]
fn a_node_of_many_has_a_small_subset_and_all_nodes_together_use_all_endpoints() {
    let mut all: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for node_index in 0..200 {
        let got = attempts_by_endpoint(&mut TestNode::new(many_nodes(200, node_index), endpoints(1..41)), 20);
        assert!(got.len() <= 3, "node {node_index} used {} endpoints", got.len());
        got.into_iter().for_each(|(to, n)| *all.entry(to).or_default() += n);
    }
    let (least, most) = (all.values().min().unwrap(), all.values().max().unwrap());
    assert!(all.len() >= 16 && most < &(least * 3), "{all:?}");
}

/// With nothing in flight at either of two members, the larger won every comparison: the largest machines
/// were full while small ones idled.
#[test]
fn idle_endpoints_are_drawn_by_size_at_many_nodes() {
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

/// The endpoint that has a node's only attempt in flight, and does not answer, is not chosen again.
#[test]
fn a_silent_endpoint_of_the_subset_is_passed_over() {
    let mut node = TestNode::new(many_nodes(200, 3), endpoints(1..41));
    let (first, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    let silent = sends(&actions, first)[0];
    for _ in 0..20 {
        node.now += 100 * MS;
        let mut at = 0;
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        for to in sends(&actions, id) {
            assert_ne!(to, silent);
            at += 1;
        }
        if at > 0 {
            node.end_attempt(id, 0, Outcome::Served, 20 * MS);
        }
    }
}

/// Sends a tenant's requests, a tenth of a second apart, and counts by endpoint the attempts that end so.
fn outcomes_by_endpoint(
    node: &mut TestNode,
    requests: usize,
    how: impl Fn(EndpointId) -> Outcome,
) -> BTreeMap<Outcome, BTreeMap<EndpointId, usize>> {
    let mut ends: BTreeMap<Outcome, BTreeMap<EndpointId, usize>> = BTreeMap::new();
    for _ in 0..requests {
        node.now += 100 * MS;
        let (id, mut actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        let mut attempt = 0;
        while let [to] = sends(&actions, id)[..] {
            *ends.entry(how(to)).or_default().entry(to).or_default() += 1;
            actions = node.end_attempt(id, attempt, how(to), 20 * MS);
            attempt += 1;
        }
    }
    ends
}

/// What a node's subset could not take went to any endpoint of the pool, each time to another one, and
/// left a connection there that took one of the endpoint's few and was not used again.
#[test]
fn what_the_subset_cannot_take_goes_to_few_others() {
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

/// The limit is one for all nodes together. Until it is learned, a node's part of it left each pool one
/// attempt at a time, and a fleet that had just started rejected one request in seven beside idle endpoints.
#[test]
fn a_node_of_many_has_capacity_for_its_subset_from_the_start() {
    let mut node = TestNode::new(many_nodes(200, 3), endpoints(1..201));
    // An endpoint is in six nodes' subsets: of a pool of a hundred a node has three, and as many of overflow
    // pools.
    let sent = (0..30).map(|_| {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        sends(&actions, id).len()
    });
    let sent: usize = sent.sum();
    assert!((6..=12).contains(&sent), "{sent} of 30 sent at once");
}

/// A small pool looks free to each of many nodes: what the large one could not take at any of them went to
/// the same few endpoints, some of them warming up.
#[test]
fn a_small_pool_takes_its_part_of_the_overflow_of_a_large_one_at_many_nodes() {
    let tenants = vec![Tenant { quota_per_second: 1_000.0, service_share: 0.005 }; 4];
    let few = |node_index| Settings { tenants: tenants.clone(), ..many_nodes(200, node_index) };
    let of = |node: &mut TestNode, tenants: &[Option<u32>]| -> BTreeSet<EndpointId> {
        endpoints_reached(node, tenants).into_values().flatten().collect()
    };
    let mut labelled = BTreeSet::new();
    for node_index in (0..200).step_by(8) {
        labelled.extend(of(
            &mut TestNode::new(few(node_index), endpoints(1..201)),
            &[Some(0), Some(1), Some(2), Some(3)],
        ));
    }
    assert_eq!(labelled.len(), 8);
    let mut overflow = 0;
    for node_index in 0..200 {
        let mut node = TestNode::new(few(node_index), endpoints(1..201));
        node.last_request = u64::from(node_index) * 100;
        for _ in 0..20 {
            let (id, actions) = node.arrive(IDEMPOTENT, None);
            overflow += sends(&actions, id).iter().filter(|endpoint| labelled.contains(endpoint)).count();
        }
    }
    // Each endpoint of the large pool has some six attempts now, and so many would have come here by chance.
    assert!((1..=16 * 8).contains(&overflow), "{overflow} attempts at eight endpoints");
}

/// As many nodes and endpoints as a deployment may have: each node keeps to few, together they use all, and
/// what a request or a list costs stays small.
#[test]
fn a_thousand_nodes_share_a_thousand_endpoints() {
    let began = std::time::Instant::now();
    let mut used = BTreeSet::new();
    for node_index in (0..1024).step_by(4) {
        let mut node = TestNode::new(many_nodes(1024, node_index), endpoints(1..1025));
        let got = attempts_by_endpoint(&mut node, 8);
        assert_eq!(got.values().sum::<usize>(), 8, "node {node_index}");
        used.extend(got.into_keys());
    }
    // One of four tenants, and so one of the pools.
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
    // Without optimisation, on a busy machine.
    assert!(began.elapsed().as_secs() < 60, "{:?}", began.elapsed());
}
