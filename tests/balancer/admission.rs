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
    for _ in 0..30 {
        record(&node.arrive(IDEMPOTENT, Some(0)).1, &mut sent);
    }
    node.now += 110 * MS;
    let (late, actions) = node.arrive(IDEMPOTENT, Some(0));
    record(&actions, &mut sent);
    for at in 0..12 {
        let actions = node.end_attempt(sent[at], 0, Outcome::Served, 20 * MS);
        record(&actions, &mut sent);
    }
    let position = |id| sent.iter().position(|s| *s == id);
    let over_quota = sent.iter().position(|id| (11..=30).contains(id));
    assert!(position(late).is_some() && over_quota.is_some(), "over-quota requests use spare capacity");
    assert!(position(late) < over_quota, "{sent:?}");
}

/// Immediate retries of rejected over-quota requests would add to the same overload, so these requests get a
/// Retry-After. Requests within quota may be retried at once.
#[test]
fn only_rejected_over_quota_requests_get_retry_after() {
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

/// When requests were queued until only half of their responses would still be in time, the other half was
/// late: in overload a fifth of all responses. These used capacity that was needed for requests whose
/// responses could still be in time.
#[test]
fn rejects_a_queued_request_before_half_of_the_responses_would_be_late() {
    let classes = vec![RequestClass { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut node = TestNode::new(Settings { classes, ..settings() }, endpoints(1..9));
    let arrivals = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0)));
    let id = arrivals.collect::<Vec<_>>().iter().find(|(id, a)| sends(a, *id).is_empty()).unwrap().0;
    // The initial guess of the median is a quarter of the objective, 75 ms: if sent at 225 ms, half of the
    // requests meet the objective of 300 ms.
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

/// Responses come so late that more requests would make all responses late: over-quota requests are no longer
/// admitted, and fewer of those within quota. If there are few nodes, a node queues requests instead.
#[test]
fn one_of_many_nodes_sheds_when_its_attempts_wait() {
    for (nodes, sheds) in [(200, true), (2, false)] {
        let mut node = TestNode::new(many_nodes(nodes, 0), endpoints(1..41));
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
        assert_eq!(rejections > 5, sheds, "{rejections} of 40 rejected at {nodes} nodes");
    }
}

/// An attempt whose response is lost has not waited at the endpoint. When the full time of such attempts
/// counted as wait, one lost response in six made one of many nodes reject half of the arriving requests
/// although the endpoints were idle.
#[test]
fn lost_responses_do_not_cause_shedding() {
    let mut node = TestNode::new(many_nodes(200, 0), endpoints(1..41));
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
    let mut node = TestNode::new(many_nodes(200, 0), endpoints(1..41));
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
