//! The adaptive concurrency limit.

use std::time::Duration;

use mothspool::*;

use crate::support::*;

/// All endpoints take four times as long as before, and every response is late: the limit must not collapse.
#[test]
fn the_limit_does_not_collapse_when_all_endpoints_slow_down() {
    let mut node = TestNode::new(settings(), endpoints(1..9));
    let mut in_flight: Vec<(Timestamp, RequestId)> = Vec::new();
    let mut sent = [0, 0];
    for step in 0..4_000 {
        let slow = usize::from(step >= 2_000);
        node.now += 5 * MS;
        let mut actions = node.arrive(IDEMPOTENT, Some((step % 4) as u32)).1;
        let due: Vec<_> = in_flight.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        in_flight.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end_attempt(
                id,
                0,
                Outcome::Served,
                if slow == 1 { 400 * MS } else { 100 * MS },
            ));
        }
        for action in actions {
            if let Action::Send { request, .. } = action {
                in_flight.push((node.now + if slow == 1 { 400 * MS } else { 100 * MS }, request));
                sent[slow] += 1;
            }
        }
    }
    assert!(sent[1] * 3 > sent[0], "{} sent before, {} while slow", sent[0], sent[1]);
}

/// Once all endpoints are full, those of three times the size have three times as many attempts in flight.
#[test]
fn capacity_follows_weight() {
    let sized = |endpoint: EndpointInfo| EndpointInfo {
        weight: if endpoint.id.is_multiple_of(2) { 30.0 } else { 10.0 },
        ..endpoint
    };
    let list: Vec<_> = endpoints(1..13).into_iter().map(sized).collect();
    let mut node = TestNode::new(Settings { node_count: 1, ..settings() }, list);
    let mut in_flight = [0, 0];
    for n in 0..200 {
        let (id, actions) = node.arrive(IDEMPOTENT, Some(n % 4));
        sends(&actions, id).iter().for_each(|endpoint| in_flight[(endpoint % 2) as usize] += 1);
    }
    let [large, small] = in_flight;
    assert!(small > 0 && large >= small * 2, "{large} at six large endpoints, {small} at six small ones");
}

/// Responses take five times as long as without load, but are in time, while more requests are queued than
/// there is capacity for: a higher limit would only overload the endpoints.
#[test]
fn the_limit_at_most_doubles_while_endpoints_are_slowed_down() {
    let mut node = TestNode::new(settings(), endpoints(1..9));
    // The node learns that responses take 10 ms without load.
    endpoints_reached(&mut node, &[Some(0), Some(1), Some(2), Some(3)]);
    let (mut in_flight, mut peak_in_flight) = (Vec::<(Timestamp, RequestId)>::new(), [0, 0]);
    for step in 0..600 {
        node.now += 5 * MS;
        let mut actions = node.arrive(IDEMPOTENT, Some(step % 4)).1;
        actions.extend(node.arrive(IDEMPOTENT, Some(step % 4)).1);
        let due: Vec<_> = in_flight.iter().filter(|(at, _)| *at <= node.now).map(|(_, id)| *id).collect();
        in_flight.retain(|(at, _)| *at > node.now);
        for id in due {
            actions.extend(node.end_attempt(id, 0, Outcome::Served, 50 * MS));
        }
        for action in actions {
            match action {
                Action::Send { request, .. } => in_flight.push((node.now + 50 * MS, request)),
                Action::SetTimer { token, .. } if !matches!(token, TimerToken::Request(_)) => {
                    drop(node.handle(Event::TimerFired(token)));
                }
                _ => {}
            }
        }
        // The first 100 steps are the reference.
        let phase = usize::from(step >= 100);
        peak_in_flight[phase] = in_flight.len().max(peak_in_flight[phase]);
    }
    assert!(
        peak_in_flight[1] <= peak_in_flight[0] * 2,
        "at most {} in flight at first, then {}",
        peak_in_flight[0],
        peak_in_flight[1]
    );
}

/// Sends `requests_per_step` requests every 2 ms for 2 s to eight endpoints that execute one at a time;
/// returns how many are in flight at the end. With `stops_responding`, no endpoint responds in the last
/// 600 ms.
fn in_flight_after(requests_per_step: usize, work: Duration, stops_responding: bool) -> usize {
    let mut node = TestNode::new(Settings { node_count: 1, ..settings() }, endpoints(1..9));
    let mut in_flight: Vec<(Timestamp, Timestamp, RequestId)> = Vec::new();
    let mut free_at = [START; 9];
    for step in 0..1_000 {
        node.now += 2 * MS;
        let mut actions = Vec::new();
        for _ in 0..requests_per_step {
            actions.extend(node.arrive(IDEMPOTENT, Some(step % 4)).1);
        }
        let due = |attempt: &(Timestamp, Timestamp, RequestId)| {
            attempt.0 <= node.now && !(stops_responding && step >= 700)
        };
        let (ended, remaining): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(due);
        in_flight = remaining;
        for (_, sent_at, id) in ended {
            actions.extend(node.end_attempt(
                id,
                0,
                Outcome::Served,
                node.now.saturating_duration_since(sent_at),
            ));
        }
        for action in actions {
            if let Action::Send { request, endpoint, .. } = action {
                let endpoint_free_at = &mut free_at[endpoint as usize];
                *endpoint_free_at = node.now.max(*endpoint_free_at) + work;
                in_flight.push((*endpoint_free_at, node.now, request));
            }
        }
    }
    in_flight.len()
}

/// A node that has just started has few samples, but derives the rate from the time that they cover: it does
/// not queue the requests of the first seconds.
#[test]
fn the_limit_covers_the_demand_soon_after_the_start() {
    let in_flight = in_flight_after(1, 14 * MS, true);
    assert!(
        in_flight > 20,
        "{in_flight} in flight, expected more than 20: the arriving requests alone keep 7 endpoints busy"
    );
}

/// The baseline latency of a class without responses is a guess. If the guess counts as demand, the first
/// responses raise the limit tenfold.
#[test]
fn a_guessed_baseline_latency_does_not_raise_the_limit() {
    let classes =
        vec![RequestClass { latency_objective: 40 * S, deadline: 50 * S, ..class(Idempotency::Idempotent) }];
    let mut node = TestNode::new(Settings { classes, node_count: 1, ..settings() }, endpoints(1..9));
    for _ in 0..3 {
        let id = node.arrive(IDEMPOTENT, Some(0)).0;
        node.now += 10 * MS;
        node.end_attempt(id, 0, Outcome::Served, 10 * MS);
    }
    let arrivals = (0..100).map(|n| node.arrive(IDEMPOTENT, Some(n % 4)));
    let sent = arrivals.filter(|(id, actions)| !sends(actions, *id).is_empty()).count();
    assert!((8..=24).contains(&sent), "{sent} in flight at eight endpoints, expected 8 to 24");
}

/// More requests arrive within all quotas than the endpoints can serve: the limit follows the requests that
/// they serve.
#[test]
fn the_limit_stays_low_when_demand_exceeds_capacity() {
    let in_flight = in_flight_after(4, 10 * MS, false);
    assert!(in_flight <= 80, "{in_flight} in flight at eight endpoints that execute one at a time");
}
