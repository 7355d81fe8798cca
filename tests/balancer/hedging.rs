//! Hedging of attempts that get no response in time.

use mothspool::*;

use crate::support::*;

#[test]
fn a_request_without_a_response_is_hedged_at_another_endpoint() {
    let mut node = TestNode::new(settings(), endpoints(1..11));
    let (id, first) = node.arrive(IDEMPOTENT, Some(0));
    let unresponsive = sends(&first, id)[0];
    let hedge = node.fire_timer(id, 250 * MS);
    assert!(sends(&hedge, id).len() == 1 && sends(&hedge, id)[0] != unresponsive);
}

/// Hedges of long requests lose the race and add load to endpoints. Hedges of attempts at unresponsive
/// endpoints win.
#[test]
fn hedges_use_more_than_half_of_a_pool_only_while_some_of_them_win() {
    for winner in [0, 1] {
        let mut node = TestNode::new(Settings { node_count: 1, ..settings() }, endpoints(1..11));
        for _ in 0..20 {
            endpoints_reached(&mut node, &[Some(0)]);
            let (id, _) = node.arrive(IDEMPOTENT, Some(0));
            assert_eq!(
                sends(&node.fire_timer(id, 290 * MS), id).len(),
                1,
                "an idle pool has capacity for a hedge"
            );
            node.end_attempt(id, winner, Outcome::Served, 250 * MS);
            node.end_attempt(id, 1 - winner, Outcome::Cancelled, 250 * MS);
        }
        let ids: Vec<_> = (0..7).map(|_| node.arrive(IDEMPOTENT, Some(0)).0).collect();
        let hedged = !sends(&node.fire_timer(ids[0], 290 * MS), ids[0]).is_empty();
        assert_eq!(hedged, winner == 1, "attempt {winner} had won the races");
    }
}
