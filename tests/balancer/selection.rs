//! Selection of an endpoint of a pool.

use std::collections::BTreeSet;

use mothspool::*;

use crate::support::*;

#[test]
fn one_key_uses_at_most_two_endpoints_only_with_key_affinity() {
    for (key_affinity, keeps_to_two) in [(true, true), (false, false)] {
        let mut node = TestNode::new(Settings { key_affinity, ..settings() }, endpoints(1..11));
        let mut seen = BTreeSet::new();
        for id in 1..=200 {
            let request = Request {
                id,
                class: IDEMPOTENT,
                remaining: S,
                expected_work: None,
                affinity_key: Some(9),
                tenant: Some(0),
            };
            seen.extend(sends(&node.handle(Event::RequestArrived(request)), id));
            node.now += 10 * MS;
            node.end_attempt(id, 0, Outcome::Served, 10 * MS);
        }
        assert_eq!(seen.len() <= 2, keeps_to_two, "key affinity {key_affinity}: {seen:?}");
    }
}

/// If a node filled the endpoints of its own zone first, these would respond later than those of other zones,
/// by more than the network latency between zones.
#[test]
fn spreads_requests_over_zones_despite_a_cross_zone_price() {
    let list: Vec<_> = endpoints(1..11)
        .into_iter()
        .map(|endpoint| EndpointInfo { zone: (endpoint.id % 2) as u8, ..endpoint })
        .collect();
    // These settings of the operators give a small price for crossing zones.
    let stated = settings_format::parse_settings(b"zone=0\nprices.cross_zone=0.01\n").unwrap();
    let Settings { classes, tenants, .. } = settings();
    let mut node = TestNode::new(Settings { classes, tenants, ..stated }, list);
    let mut in_flight = std::collections::VecDeque::new();
    let mut to_first_zone = 0;
    for _ in 0..200 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(0));
        to_first_zone += usize::from(sends(&actions, id)[0].is_multiple_of(2));
        in_flight.push_back(id);
        if in_flight.len() > 3 {
            node.now += 10 * MS;
            node.end_attempt(in_flight.pop_front().unwrap(), 0, Outcome::Served, 10 * MS);
        }
    }
    assert!((50..150).contains(&to_first_zone), "{to_first_zone} of 200 went to one of two zones");
}

#[test]
fn uses_all_endpoints_if_no_weight_is_known() {
    let list: Vec<_> =
        endpoints(1..9).into_iter().map(|endpoint| EndpointInfo { weight: 0.0, ..endpoint }).collect();
    let mut node = TestNode::new(Settings { node_count: 1, ..settings() }, list);
    let arrivals = (0..100).map(|n| node.arrive(IDEMPOTENT, Some(n % 4)));
    let used: BTreeSet<_> = arrivals.flat_map(|(id, actions)| sends(&actions, id)).collect();
    assert_eq!(used.len(), 8);
}

/// All nodes get the same weights, one second late. If they selected by these, they would all overload the
/// endpoints that were idle a second ago.
#[test]
fn load_dependent_weights_do_not_change_which_endpoints_a_node_uses() {
    let settings = Settings { load_dependent_weights: true, ..settings_of_node(200, 5) };
    let mut node = TestNode::new(settings, endpoints(1..41));
    let before = attempts_by_endpoint(&mut node, 50);
    let busy: Vec<_> = endpoints(1..41)
        .into_iter()
        .map(|endpoint| EndpointInfo { weight: 1.0 / endpoint.id as f64, ..endpoint })
        .collect();
    node.handle(Event::EndpointDelta(busy));
    let after = attempts_by_endpoint(&mut node, 50);
    assert_eq!(before.keys().collect::<Vec<_>>(), after.keys().collect::<Vec<_>>());
}
