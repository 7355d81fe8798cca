//! Quotas, the order of the queue, and load shedding.

use std::time::Duration;

use mothspool::*;

use crate::support::*;

#[test]
fn dispatches_requests_within_quota_before_requests_over_quota() {
    let mut limited = settings();
    limited.tenants = vec![Tenant { quota_per_second: 20.0, service_share: 1.0 }];
    let mut node = TestNode::new(limited, endpoints(1..5));
    let mut sent: Vec<RequestId> = Vec::new();
    let record = |actions: &[Action], sent: &mut Vec<RequestId>| {
        sent.extend(actions.iter().filter_map(|a| match a {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        }));
    };
    // Each of the two nodes has half of the quota: 10 requests per second, with a burst of 10. Requests 1 to
    // 10 are within quota, and requests 11 to 30 are over quota.
    for _ in 0..30 {
        record(&node.arrive(IDEMPOTENT, Some(0)).1, &mut sent);
    }
    // After 110 ms, the quota covers one more request.
    node.now += 110 * MS;
    let (within_quota_again, actions) = node.arrive(IDEMPOTENT, Some(0));
    record(&actions, &mut sent);
    for at in 0..12 {
        let actions = node.end_attempt(sent[at], 0, Outcome::Served, 20 * MS);
        record(&actions, &mut sent);
    }
    let position = |id| sent.iter().position(|s| *s == id);
    let over_quota = sent.iter().position(|id| (11..=30).contains(id));
    assert!(
        position(within_quota_again).is_some() && over_quota.is_some(),
        "over-quota requests use spare capacity"
    );
    assert!(position(within_quota_again) < over_quota, "{sent:?}");
}

/// Immediate retries of over-quota requests would add to the same overload. A request within quota that was
/// sent may be retried at once.
#[test]
fn an_over_quota_request_gets_retry_after_and_a_sent_request_within_quota_does_not() {
    let mut limited = Settings { max_retry_after: 2 * S, ..settings() };
    limited.tenants = vec![Tenant { quota_per_second: 4.0, service_share: 1.0 }];
    let mut node = TestNode::new(limited, endpoints(1..5));
    (0..20).for_each(|_| drop(node.arrive(IDEMPOTENT, Some(0))));
    let retry_after = |actions: &[Action], id| {
        actions.iter().find_map(|a| match a {
            Action::Reject { request, retry_after } if *request == id => Some(*retry_after),
            _ => None,
        })
    };
    node.now += 295 * MS;
    assert_eq!(retry_after(&node.handle(Event::TimerFired(TimerToken::Request(20))), 20), Some(2 * S));
    node.now += 695 * MS;
    assert_eq!(retry_after(&node.handle(Event::TimerFired(TimerToken::Request(1))), 1), Some(Duration::ZERO));
}

/// If requests are queued until only half of their responses would still be in time, the other half is late:
/// in overload a fifth of all responses. These use capacity that is needed for requests whose responses can
/// still be in time.
#[test]
fn rejects_a_queued_request_once_its_response_would_probably_be_late() {
    let classes = vec![RequestClass { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut node = TestNode::new(Settings { classes, ..settings() }, endpoints(1..9));
    let arrivals = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0)));
    let id = arrivals.collect::<Vec<_>>().iter().find(|(id, a)| sends(a, *id).is_empty()).unwrap().0;
    // The initial guess of the median is a quarter of the objective, 75 ms. A response is expected within 1.5
    // medians, 112.5 ms: if the request is sent after 300 - 112.5 = 187.5 ms, its response is probably late.
    // A late response of this class earns nothing.
    assert!(!rejected(&node.fire_timer(id, 180 * MS), id));
    assert!(rejected(&node.fire_timer(id, 10 * MS), id));
}

/// If a request that was never sent is rejected shortly before its deadline, its client has no time left to
/// do anything else.
#[test]
fn rejects_a_never_sent_request_within_half_of_its_time_with_retry_after() {
    let has_retry_after =
        |actions: &[Action], id| actions.contains(&Action::Reject { request: id, retry_after: 2 * S });
    let queue_one = |node: &mut TestNode| {
        let arrivals: Vec<_> = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0))).collect();
        arrivals.iter().rev().find(|(id, a)| sends(a, *id).is_empty() && !rejected(a, *id)).unwrap().0
    };
    let mut node = TestNode::new(Settings { max_retry_after: 2 * S, ..settings() }, endpoints(1..9));
    let id = queue_one(&mut node);
    // At 200 ms, the response may still be in time. At 300 ms, it is too late for the latency objective, but
    // not yet for the client.
    assert!(!rejected(&node.fire_timer(id, 200 * MS), id));
    assert!(!rejected(&node.fire_timer(id, 100 * MS), id));
    assert!(has_retry_after(&node.fire_timer(id, 151 * MS), id));
    // An over-quota request is rejected even though it could still meet the latency objective.
    let tenants = vec![Tenant { quota_per_second: 4.0, service_share: 1.0 }];
    let classes = vec![RequestClass { latency_objective: 800 * MS, ..class(Idempotency::Idempotent) }];
    let limited = Settings { max_retry_after: 2 * S, tenants, classes, ..settings() };
    let mut node = TestNode::new(limited, endpoints(1..9));
    let id = queue_one(&mut node);
    assert!(!rejected(&node.fire_timer(id, 400 * MS), id));
    assert!(has_retry_after(&node.fire_timer(id, 51 * MS), id));
}

/// If responses come so late that more requests would make all responses late, one of many nodes sheds some
/// of the arriving requests. One of two nodes sees the load in its own counts, and would queue requests
/// instead.
#[test]
fn one_of_many_nodes_sheds_requests_while_its_attempts_wait_and_one_of_two_does_not() {
    for (node_count, sheds) in [(200, true), (2, false)] {
        let mut node = TestNode::new(settings_of_node(node_count, 0), endpoints(1..41));
        // The node learns that responses take 20 ms without load.
        attempts_by_endpoint(&mut node, 30);
        let mut rejections = 0;
        for _ in 0..40 {
            let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
            if rejected(&actions, id) {
                rejections += 1;
                continue;
            }
            node.now += 290 * MS;
            node.end_attempt(id, 0, Outcome::Served, 290 * MS);
        }
        assert_eq!(rejections > 5, sheds, "{rejections} of 40 rejected at one of {node_count} nodes");
    }
}

/// An attempt whose response is lost has not waited at the endpoint. If the full time of such attempts counts
/// as wait, one lost response in six makes one of many nodes reject half of the arriving requests although
/// the endpoints are idle.
#[test]
fn lost_responses_do_not_cause_shedding() {
    let mut node = TestNode::new(settings_of_node(200, 0), endpoints(1..41));
    // The node learns that responses take 20 ms without load.
    attempts_by_endpoint(&mut node, 30);
    let mut rejections = 0;
    for n in 0..300 {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        rejections += usize::from(rejected(&actions, id));
        let (outcome, elapsed) = if n % 6 == 5 { (Outcome::TimedOut, S) } else { (Outcome::Served, 25 * MS) };
        node.now += elapsed;
        node.end_attempt(id, 0, outcome, elapsed);
    }
    assert!(rejections <= 3, "{rejections} of 300 rejected");
}

/// The mean wait decays without attempts: a node that sheds all requests would otherwise never learn that the
/// overload is over.
#[test]
fn shedding_ends_after_a_time_without_attempts() {
    let mut node = TestNode::new(settings_of_node(200, 0), endpoints(1..41));
    // The node learns that responses take 20 ms without load.
    attempts_by_endpoint(&mut node, 30);
    for _ in 0..40 {
        let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
        if !rejected(&actions, id) {
            node.now += 290 * MS;
            node.end_attempt(id, 0, Outcome::Served, 290 * MS);
        }
    }
    node.now += 4 * S;
    let (id, actions) = node.arrive(NON_IDEMPOTENT, Some(0));
    assert!(!rejected(&actions, id));
}
