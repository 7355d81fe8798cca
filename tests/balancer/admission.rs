//! Quotas, the order of the queue, and load shedding.

use std::time::Duration;

use mothspool::*;

use crate::support::*;

#[test]
fn work_within_quota_goes_before_work_beyond_it() {
    let mut tight = settings();
    tight.tenants = vec![Tenant { quota_per_second: 20.0, service_share: 1.0 }];
    let mut node = TestNode::new(tight, endpoints(1..5));
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
    assert!(position(late).is_some() && over_quota.is_some(), "spare capacity goes to work beyond the quota");
    assert!(position(late) < over_quota, "{sent:?}");
}

/// Retries of rejected over-quota work return into the same overload; work within quota may return at once.
#[test]
fn only_rejected_over_quota_work_gets_retry_advice() {
    let mut tight = Settings { max_retry_after: 2 * S, ..settings() };
    tight.tenants = vec![Tenant { quota_per_second: 4.0, service_share: 1.0 }];
    let mut node = TestNode::new(tight, endpoints(1..5));
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

/// Queued to the last moment at which half of the responses still came in time, the other half was late and
/// had taken capacity from work that could be in time: in overload a fifth of all responses.
#[test]
fn queued_work_is_rejected_while_its_response_might_just_be_in_time() {
    let classes = vec![RequestClass { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut node = TestNode::new(Settings { classes, ..settings() }, endpoints(1..9));
    let arrivals = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0)));
    let id = arrivals.collect::<Vec<_>>().iter().find(|(id, a)| sends(a, *id).is_empty()).unwrap().0;
    // A quarter of the objective is the first guess at the median: half of the objectives are met if sent at
    // 225 ms.
    assert!(!rejected(&node.fire_timer(id, 180 * MS), id));
    assert!(rejected(&node.fire_timer(id, 10 * MS), id));
}

/// A rejection late in a request's time, with nothing ever sent for it, leaves its client no time for
/// anything.
#[test]
fn what_was_never_sent_is_rejected_within_half_of_its_time_with_retry_advice() {
    let has_advice =
        |actions: &[Action], id| actions.contains(&Action::Reject { request: id, retry_after: 2 * S });
    let queued = |node: &mut TestNode| {
        let arrivals: Vec<_> = (0..100).map(|_| node.arrive(IDEMPOTENT, Some(0))).collect();
        arrivals.iter().rev().find(|(id, a)| sends(a, *id).is_empty() && !rejected(a, *id)).unwrap().0
    };
    let mut node = TestNode::new(Settings { max_retry_after: 2 * S, ..settings() }, endpoints(1..9));
    let id = queued(&mut node);
    // It may still be in time; then it is too late for its objective, but not yet for its client.
    assert!(!rejected(&node.fire_timer(id, 200 * MS), id));
    assert!(!rejected(&node.fire_timer(id, 100 * MS), id));
    assert!(has_advice(&node.fire_timer(id, 151 * MS), id));
    // Beyond its tenant's quota it does not wait for a miss of the objective.
    let tenants = vec![Tenant { quota_per_second: 4.0, service_share: 1.0 }];
    let classes = vec![RequestClass { latency_objective: 800 * MS, ..class(Idempotency::Idempotent) }];
    let tight = Settings { max_retry_after: 2 * S, tenants, classes, ..settings() };
    let mut node = TestNode::new(tight, endpoints(1..9));
    let id = queued(&mut node);
    assert!(!rejected(&node.fire_timer(id, 400 * MS), id));
    assert!(has_advice(&node.fire_timer(id, 51 * MS), id));
}

/// Responses come so late that more work would make all of it late: work beyond a quota is admitted no more,
/// and work within it less. One of few nodes queues requests instead.
#[test]
fn a_node_of_many_sheds_when_its_attempts_wait() {
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

/// An attempt whose response is lost has not waited for its turn. Counted in full, one in six of them made a
/// node of many reject half of what arrived, with idle endpoints.
#[test]
fn lost_responses_do_not_look_like_load() {
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

/// Waits are forgotten: a node that has shed all work would otherwise never learn that the overload is over.
#[test]
fn shedding_ends_by_itself() {
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
