//! The four rules of the protocol on random legal sequences, judged without the balancer's own bookkeeping.

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
        assert!(scenario.all_answered(), "seed {seed}: a request got no answer");
        final_answers += scenario.final_answers;
    }
    assert!(final_answers > 1_000, "only {final_answers} final answers were put to the test");
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

/// Any window that the work of an endpoint that is warming up is counted over.
const WINDOW: Duration = Duration::from_secs(2);
/// The multiple of what it can do at which it fails; the settings state a lower one.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// How long each request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// When endpoint 3 starts, and what each endpoint was sent after that.
struct SlowStartRun {
    settings: Settings,
    started: Timestamp,
    ended: Timestamp,
    sent: BTreeMap<EndpointId, Vec<Timestamp>>,
}

/// A node of ten endpoints, a request each 5 ms for 20 s. One endpoint restarts after 5 s, or is put back
/// then by operators who took it out before, of which lists say nothing.
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

/// The budget of rule four: the part of an endpoint that is warming up in what warm endpoints of the same
/// node get, over any window, stays under the failing multiple of its capacity, here that at the window's
/// start.
#[test]
fn an_endpoint_in_slow_start_is_never_overloaded() {
    for (seed, maintenance) in (0..10).zip([false, true].into_iter().cycle()) {
        let SlowStartRun { settings: s, started, ended, sent } = run_slow_start(seed, maintenance);
        let micros = |duration: Duration| duration.as_micros() as f64;
        let all: usize = sent.values().map(Vec::len).sum();
        let warm_rate = all as f64 / micros(ended.saturating_duration_since(started)) / 10.0;
        let warming_up = &sent[&3];
        assert!(!warming_up.is_empty(), "an endpoint that is warming up is tried");
        for &from in warming_up {
            let within = warming_up.iter().filter(|at| (from..from + WINDOW).contains(at)).count() as f64;
            let age = micros(from.saturating_duration_since(started)) / micros(s.slow_start_window);
            let capacity =
                warm_rate * micros(WINDOW) * (s.slow_start_from + (1.0 - s.slow_start_from) * age.min(1.0));
            assert!(within <= OVERLOAD_MULTIPLE * capacity + 2.0, "seed {seed}: {within} against {capacity}");
        }
    }
}
