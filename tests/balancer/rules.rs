//! The four rules of the protocol on random legal sequences of events, checked independently of the
//! balancer's own records:
//!
//! 1. Each request gets one final answer, before its client stops waiting.
//! 2. No request is executed twice unless its class allows it. One that may have been executed is sent again
//!    only if it is idempotent, or to an endpoint that knows its idempotency key. It is rejected only if its
//!    client may safely retry it.
//! 3. No request is sent to an endpoint that is draining, gone or in maintenance.
//! 4. An endpoint in slow start is not overloaded.
//!
//! The module `rule_checks` checks the first three.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mothspool::*;

use crate::random_scenario::RandomScenario;
use crate::support::*;

#[test]
fn the_protocol_rules_hold_on_random_event_sequences() {
    let mut final_answers = 0;
    for seed in 0..150 {
        let scenario = RandomScenario::run(seed, 600);
        // Rule 1.
        assert!(scenario.all_answered(), "seed {seed}: a request got no answer");
        final_answers += scenario.final_answers;
    }
    assert!(final_answers > 1_000, "only {final_answers} final answers were checked");
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 0..10 {
        assert_eq!(RandomScenario::run(seed, 400).action_log, RandomScenario::run(seed, 400).action_log);
    }
}

#[test]
fn finished_requests_are_not_tracked() {
    for seed in 0..20 {
        let scenario = RandomScenario::run(seed, 600);
        assert_eq!(scenario.node.balancer.tracked_requests(), 0, "seed {seed}");
    }
}

/// Window over which the attempts at an endpoint in slow start are counted.
const WINDOW: Duration = Duration::from_secs(2);
/// Multiple of its current capacity at which an endpoint in slow start fails. The settings state a lower one.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Duration of each attempt.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Start time of endpoint 3, and the times of the attempts at each endpoint since then.
struct SlowStartRun {
    settings: Settings,
    started: Timestamp,
    ended: Timestamp,
    sent: BTreeMap<EndpointId, Vec<Timestamp>>,
}

/// Runs a node with ten endpoints and one request every 5 ms for 20 s. After 5 s, endpoint 3 restarts or
/// exits maintenance. The endpoint list does not show the maintenance.
fn run_slow_start(seed: u64, maintenance: bool) -> SlowStartRun {
    let settings = settings();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut node = TestNode::new(settings.clone(), endpoints(1..11));
    let mut sent: BTreeMap<EndpointId, Vec<Timestamp>> = BTreeMap::new();
    let mut due: BTreeSet<(Timestamp, RequestId)> = BTreeSet::new();
    let started = node.now + 5 * S;
    for step in 0..4_000 {
        node.now += 5 * MS;
        if step == 600 && maintenance {
            node.handle(Event::EnterMaintenance(3));
        }
        if step == 1_000 && maintenance {
            node.handle(Event::ExitMaintenance(3, started));
        } else if step == 1_000 {
            node.handle(Event::EndpointDelta(vec![EndpointInfo { started_at: started, ..endpoint(3) }]));
        }
        let mut actions = node.arrive(IDEMPOTENT, Some(rng.u32(..4))).1;
        while let Some(&(at, id)) = due.first().filter(|(at, _)| *at <= node.now) {
            due.remove(&(at, id));
            actions.extend(node.end_attempt(id, 0, Outcome::Served, SERVICE_TIME));
        }
        for action in actions {
            if let Action::Send { request, endpoint, .. } = action {
                sent.entry(endpoint).or_default().push(node.now);
                due.insert((node.now + SERVICE_TIME, request));
            }
        }
    }
    sent.values_mut().for_each(|times| times.retain(|at| *at >= started));
    SlowStartRun { settings, started, ended: node.now, sent }
}

/// Rule 4 limits the load of an endpoint in slow start. For the window that starts with each of its attempts:
///
/// ```text
/// attempts <= OVERLOAD_MULTIPLE * capacity + 2
/// capacity  = mean attempts * (slow_start_from + (1 - slow_start_from) * min(age / slow_start_window, 1))
///
/// attempts            number of attempts at the endpoint within WINDOW
/// mean attempts       mean number of attempts at one of the ten endpoints within WINDOW
/// slow_start_from     Settings::slow_start_from
/// slow_start_window   Settings::slow_start_window, in microseconds
/// age                 time from the endpoint's start to the start of the window, in microseconds
/// ```
#[test]
fn an_endpoint_in_slow_start_is_never_overloaded() {
    for (seed, maintenance) in (0..10).zip([false, true].into_iter().cycle()) {
        let SlowStartRun { settings: s, started, ended, sent } = run_slow_start(seed, maintenance);
        let micros = |duration: Duration| duration.as_micros() as f64;
        let all: usize = sent.values().map(Vec::len).sum();
        // Attempts per microsecond at one of the ten endpoints.
        let mean_rate = all as f64 / micros(ended.saturating_duration_since(started)) / 10.0;
        let slow_start_sends = &sent[&3];
        assert!(!slow_start_sends.is_empty(), "an endpoint in slow start got no attempts");
        for &from in slow_start_sends {
            let within =
                slow_start_sends.iter().filter(|at| (from..from + WINDOW).contains(at)).count() as f64;
            let age = micros(from.saturating_duration_since(started)) / micros(s.slow_start_window);
            let capacity =
                mean_rate * micros(WINDOW) * (s.slow_start_from + (1.0 - s.slow_start_from) * age.min(1.0));
            // Two attempts more than the multiple of the capacity are tolerated.
            assert!(
                within <= OVERLOAD_MULTIPLE * capacity + 2.0,
                "seed {seed}: {within} attempts at a capacity of {capacity}"
            );
        }
    }
}
