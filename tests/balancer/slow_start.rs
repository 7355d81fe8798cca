//! Endpoints that are warming up.

use mothspool::*;

use crate::support::*;

#[test]
fn an_endpoint_that_is_warming_up_gets_little() {
    let mut list = endpoints(1..9);
    list[0].started_at = START + 10 * S;
    let mut node = TestNode::new(settings(), list);
    let mut warming_up = 0;
    for _ in 0..400 {
        node.now += 5 * MS;
        let (id, actions) = node.arrive(IDEMPOTENT, Some((node.last_request % 4) as u32));
        warming_up += u32::from(sends(&actions, id) == [1]);
        node.end_attempt(id, 0, Outcome::Served, 5 * MS);
    }
    assert!(warming_up <= 400 / 8, "{warming_up} of 400 went to the endpoint that is warming up");
}

/// One attempt from each of hundreds of nodes at once overloaded every restarted endpoint.
#[test]
fn an_endpoint_that_is_warming_up_gets_a_small_part_in_sum_over_many_nodes() {
    let mut warming_up = 0;
    for node_index in 0..200 {
        let mut list = endpoints(1..41);
        list.iter_mut().filter(|s| s.id % 4 == 0).for_each(|s| s.started_at = START + 10 * S);
        let got = attempts_by_endpoint(&mut TestNode::new(many_nodes(200, node_index), list), 5);
        warming_up += got.iter().filter(|(to, _)| *to % 4 == 0).map(|(_, n)| n).sum::<usize>();
    }
    assert!(
        warming_up > 0 && warming_up < 1_000 / 4 / 2,
        "{warming_up} of 1000 requests to a quarter of the endpoints, all warming up"
    );
}
