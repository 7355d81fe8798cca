//! The four rules of the protocol on random legal sequences, judged without the balancer's own bookkeeping.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mothspool::*;

use crate::support::*;
use crate::world::World;

#[test]
fn the_rules_hold_on_random_days() {
    let mut answers = 0;
    for seed in 0..150 {
        let world = World::run(seed, 600);
        assert!(world.all_answered(), "seed {seed}: a request got no answer");
        answers += world.answers;
    }
    assert!(answers > 1_000, "only {answers} final answers were put to the test");
}

#[test]
fn the_same_events_give_the_same_actions() {
    for seed in 0..10 {
        assert_eq!(World::run(seed, 400).log, World::run(seed, 400).log);
    }
}

#[test]
fn nothing_is_kept_of_requests_that_have_ended() {
    for seed in 0..20 {
        let world = World::run(seed, 600);
        assert_eq!(world.node.balancer.tracked_requests(), 0, "seed {seed}");
    }
}

/// Any window that the work of an endpoint that is warming up is counted over.
const WINDOW: Duration = Duration::from_secs(2);
/// The multiple of what it can do at which it fails; the settings state a lower one.
const FAILS_AT: f64 = 3.0;
/// How long each request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// When endpoint 3 starts, and what each endpoint was sent after that.
struct WarmUp {
    settings: Settings,
    started: Timestamp,
    ended: Timestamp,
    sent: BTreeMap<EndpointId, Vec<Timestamp>>,
}

/// A node of ten endpoints, a request each 5 ms for 20 s. One endpoint restarts after 5 s, or is put back
/// then by operators who took it out before, of which lists say nothing.
fn warm_up(seed: u64, maintenance: bool) -> WarmUp {
    let settings = settings();
    let mut dice = fastrand::Rng::with_seed(seed);
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
        let mut actions = node.arrive(IDEMPOTENT, Some(dice.u32(..4))).1;
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
    WarmUp { settings, started, ended: node.now, sent }
}

/// The budget of rule four: the part of an endpoint that is warming up in what warm endpoints of the same
/// node get, over any window, stays under the failing multiple of its capacity, here that at the window's
/// start.
#[test]
fn an_endpoint_that_is_warming_up_is_never_overloaded() {
    for (seed, maintenance) in (0..10).zip([false, true].into_iter().cycle()) {
        let WarmUp { settings: s, started, ended, sent } = warm_up(seed, maintenance);
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
            assert!(within <= FAILS_AT * capacity + 2.0, "seed {seed}: {within} against {capacity}");
        }
    }
}
