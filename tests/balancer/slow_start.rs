//! Slow start of endpoints.

use mothspool::*;

use crate::support::*;

#[test]
fn an_endpoint_in_slow_start_gets_few_requests() {
    let mut list = endpoints(1..9);
    list[0].started_at = START + 10 * S;
    let mut node = TestNode::new(settings(), list);
    let mut to_slow_start = 0;
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(IDEMPOTENT, Some((node.last_request % 4) as u32));
        to_slow_start += u32::from(sends(&actions, id) == [1]);
        node.end_attempt(id, 0, Outcome::Served, 5 * MS);
    }
    assert!(to_slow_start <= 400 / 8, "{to_slow_start} of 400 went to the endpoint in slow start");
}

/// If each of hundreds of nodes has one attempt at the same time at a restarted endpoint, the endpoint is
/// overloaded.
#[test]
fn endpoints_in_slow_start_get_few_requests_in_total_over_many_nodes() {
    let mut to_slow_start = 0;
    for node_index in 0..200 {
        let mut list = endpoints(1..41);
        list.iter_mut()
            .filter(|endpoint| endpoint.id % 4 == 0)
            .for_each(|endpoint| endpoint.started_at = START + 10 * S);
        let got = attempts_by_endpoint(&mut TestNode::new(settings_of_node(200, node_index), list), 5);
        to_slow_start += got.iter().filter(|(to, _)| *to % 4 == 0).map(|(_, n)| n).sum::<usize>();
    }
    assert!(
        to_slow_start > 0 && to_slow_start < 1_000 / 4 / 2,
        "{to_slow_start} of 1000 went to the endpoints in slow start, expected some but less than half of 250"
    );
}
