//! Random legal sequences against the four rules, judged without the module's own bookkeeping.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::*;
use mothspool::*;

/// What the world knows of one attempt.
struct Sent {
    to: EndpointInfo,
    at: Timestamp,
    outcome: Option<Outcome>,
}

/// What the world knows of one request.
struct Asked {
    class: usize,
    give_up_at: Timestamp,
    closed: bool,
    sent: Vec<Sent>,
    /// Whether its body is gone.
    passed_on: bool,
}

/// A world that draws what happens next, and judges every action.
struct World {
    settings: Settings,
    node: Node,
    dice: fastrand::Rng,
    told: BTreeMap<EndpointId, EndpointInfo>,
    /// Those that operators have taken out.
    out: BTreeSet<EndpointId>,
    asked: BTreeMap<RequestId, Asked>,
    wakes: BTreeSet<(Timestamp, TimerToken)>,
    answers: usize,
    cold: BTreeMap<EndpointId, Vec<Timestamp>>,
    warm_sends: usize,
    log: Vec<Vec<Action>>,
}

/// A duration of whole microseconds from a range.
fn drawn(dice: &mut fastrand::Rng, range: std::ops::Range<Duration>) -> Duration {
    Duration::from_micros(dice.u64(range.start.as_micros() as u64..range.end.as_micros() as u64))
}

fn drawn_settings(dice: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.cancellation = dice.bool();
    s.hedging = dice.bool();
    s.max_attempts = dice.u16(1..5);
    s.node_count = if dice.bool() { dice.u32(1..4) } else { dice.u32(1..400) };
    s.node_index = dice.u32(..s.node_count);
    // Any effects, however short their windows, and any times.
    for class in &mut s.classes {
        let scope =
            *dice.choice(&[IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Cell]).unwrap();
        let window = match dice.u8(..8) > 0 {
            true => drawn(dice, Duration::ZERO..600 * MS),
            false => Duration::from_micros(u64::MAX),
        };
        if dice.bool() {
            class.idempotency = *dice
                .choice(&[
                    Idempotency::Idempotent,
                    Idempotency::NonIdempotent,
                    Idempotency::IdempotentWithKey { scope, window },
                ])
                .unwrap();
        }
        class.latency_objective = drawn(dice, 10 * MS..S);
        class.late_weight = dice.f64() * f64::from(u8::from(dice.bool()));
    }
    (s.key_affinity, s.load_dependent_weights) = (dice.bool(), dice.bool());
    s.clock_granularity = drawn(dice, MS..20 * MS);
    s.max_retry_after = drawn(dice, Duration::ZERO..2 * S);
    s.tenants.truncate(dice.usize(..5));
    s.tenants.iter_mut().for_each(|t| t.quota_per_second = 20.0);
    if dice.bool() {
        s.discovery = DiscoveryMode::Poll { interval: 10 * S };
    }
    s
}

impl World {
    fn new(seed: u64) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let settings = drawn_settings(&mut dice);
        let mut list = endpoints(1..dice.u64(1..14));
        if dice.u8(..4) == 0 {
            list.iter_mut().for_each(|s| s.cell = None);
        }
        let node =
            Node { balancer: Balancer::new(settings.clone(), seed).unwrap(), now: START + 50 * S, next: 0 };
        let mut world = World {
            settings,
            node,
            dice,
            told: BTreeMap::new(),
            out: BTreeSet::new(),
            asked: BTreeMap::new(),
            wakes: BTreeSet::new(),
            answers: 0,
            cold: BTreeMap::new(),
            warm_sends: 0,
            log: Vec::new(),
        };
        world.told = list.iter().map(|s| (s.id, *s)).collect();
        world.tell(Event::CachedSnapshot(list));
        world
    }

    fn tell(&mut self, event: Event) {
        let actions = self.node.tell(event);
        for action in &actions {
            self.judge(action);
        }
        self.log.push(actions);
    }

    fn judge(&mut self, action: &Action) {
        let (now, s) = (self.node.now, &self.settings);
        match *action {
            Action::Send { request, endpoint, begin_by: by } => {
                let asked = self.asked.get_mut(&request).expect("a request that was asked");
                assert!(!asked.closed, "sent after its end");
                assert!(!asked.passed_on, "sent without its body");
                let to = self.told[&endpoint];
                assert_eq!(to.state, EndpointState::Ready, "sent to a server that drains or is gone");
                assert!(!self.out.contains(&endpoint), "sent to a server that was taken out");
                let out = asked.sent.iter().filter(|a| a.outcome.is_none()).count();
                assert!(out == 0 || s.hedging, "a second copy where there may be none");
                assert!(asked.sent.len() < usize::from(s.max_attempts), "too many attempts");
                for earlier in &asked.sent {
                    if earlier.outcome.is_some_and(Outcome::not_executed) {
                        continue;
                    }
                    let harmless = match s.classes[asked.class].idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => false,
                        Idempotency::IdempotentWithKey { scope, window } => {
                            by.is_some_and(|by| now < by && by + 20 * MS <= earlier.at + window)
                                && match scope {
                                    IdempotencyScope::All => true,
                                    IdempotencyScope::Zone => earlier.to.zone == to.zone,
                                    IdempotencyScope::Cell if to.cell.is_some() => earlier.to.cell == to.cell,
                                    IdempotencyScope::Cell => {
                                        (earlier.to.id, earlier.to.started_at) == (to.id, to.started_at)
                                    }
                                }
                        }
                    };
                    assert!(harmless, "an effect could happen twice");
                }
                asked.sent.push(Sent { to, at: now, outcome: None });
                if to.started_at == START
                    || now.saturating_duration_since(to.started_at) >= s.slow_start_window
                {
                    self.warm_sends += 1;
                } else {
                    self.cold.entry(endpoint).or_default().push(now);
                }
            }
            Action::Reject { request, .. } | Action::Fail(request) => {
                let asked = self.asked.get_mut(&request).expect("a request that was asked");
                assert!(!asked.closed, "answered twice");
                assert!(now <= asked.give_up_at, "answered too late");
                let unrun = asked.sent.iter().all(|a| a.outcome.is_some_and(Outcome::not_executed));
                let class = asked.class;
                if matches!(action, Action::Reject { .. }) {
                    let harmless = matches!(
                        s.classes[class].idempotency,
                        Idempotency::Idempotent
                            | Idempotency::IdempotentWithKey { scope: IdempotencyScope::All, .. }
                    );
                    assert!(unrun || harmless, "called harmless what may have run");
                }
                asked.closed = true;
                self.answers += 1;
            }
            Action::Cancel(request, attempt) => {
                assert!(s.cancellation, "cancelled where that is not allowed");
                assert!(
                    self.asked[&request].sent.len() > usize::from(attempt),
                    "cancelled what was never sent"
                );
            }
            Action::SetTimer { after, token } => {
                self.wakes.insert((now + after, token));
            }
            Action::Subscribe => {}
        }
    }

    /// Lets time pass up to `until`, with every wake-up at its time.
    fn pass(&mut self, until: Timestamp) {
        while let Some(&(at, token)) = self.wakes.first().filter(|(at, _)| *at <= until) {
            self.wakes.remove(&(at, token));
            self.node.now = self.node.now.max(at);
            self.tell(Event::TimerFired(token));
        }
        self.node.now = until;
        let late = self.asked.values().find(|a| !a.closed && a.give_up_at < until);
        assert!(late.is_none(), "a request was not answered before its client gave up");
    }

    fn arrive(&mut self) {
        self.node.next += 1;
        let id = self.node.next;
        let (class, remaining) = (self.dice.usize(..4), drawn(&mut self.dice, 20 * MS..S));
        let tenant = self.dice.bool().then(|| self.dice.u32(..6));
        let asked = Asked {
            class,
            give_up_at: self.node.now + remaining,
            closed: false,
            sent: Vec::new(),
            passed_on: false,
        };
        self.asked.insert(id, asked);
        let request =
            Request { id, class, remaining, expected_work: None, affinity_key: Some(id % 7), tenant };
        self.tell(Event::RequestArrived(request));
    }

    /// Ends a random attempt that is out.
    fn end_one(&mut self) -> bool {
        let out: Vec<(RequestId, usize)> = self
            .asked
            .iter()
            .flat_map(|(id, a)| a.sent.iter().enumerate().map(move |(n, s)| (*id, n, s)))
            .filter(|(_, _, s)| s.outcome.is_none())
            .map(|(id, n, _)| (id, n))
            .collect();
        let Some(&(request, n)) = self.dice.choice(&out) else { return false };
        let outcomes = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
        ];
        let outcome = *self.dice.choice(&outcomes).unwrap();
        let now = self.node.now;
        let asked = self.asked.get_mut(&request).unwrap();
        asked.sent[n].outcome = Some(outcome);
        asked.closed |= outcome == Outcome::Served;
        let (elapsed, request_finished) = (now.saturating_duration_since(asked.sent[n].at), asked.closed);
        let attempt = n as AttemptNumber;
        self.tell(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
        }));
        true
    }

    fn change_list(&mut self) {
        let id = self.dice.u64(1..16);
        let state = *self
            .dice
            .choice(&[
                EndpointState::Ready,
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Gone,
            ])
            .unwrap();
        let old = self.told.get(&id).map_or(START, |s| s.started_at);
        let started_at = if self.dice.bool() { old } else { self.node.now };
        let zone = (id % 2) as u8;
        let entry = EndpointInfo { state, started_at, zone, ..endpoint(id) };
        self.told.insert(id, entry);
        if self.dice.bool() {
            self.tell(Event::EndpointDelta(vec![entry]));
        } else {
            let list = self.told.values().copied().filter(|s| s.state != EndpointState::Gone).collect();
            self.tell(Event::EndpointSnapshot(list));
        }
    }

    /// Lets the body or the answer of a request with one attempt out pass through.
    fn stream(&mut self) {
        let one =
            |(_, a): &(&RequestId, &Asked)| !a.closed && a.sent.len() == 1 && a.sent[0].outcome.is_none();
        let open: Vec<RequestId> = self.asked.iter().filter(one).map(|(id, _)| *id).collect();
        let Some(&id) = self.dice.choice(&open) else { return };
        let asked = self.asked.get_mut(&id).unwrap();
        if !asked.passed_on {
            asked.passed_on = true;
            asked.give_up_at = Timestamp::MAX;
            self.tell(Event::BodyForwarded(id));
            if self.dice.bool() {
                self.tell(Event::BodyCompleted(id));
            }
        } else {
            asked.closed = true;
            self.tell(Event::ResponseStarted(id, 0));
        }
    }

    /// Takes a server out or puts it back, perhaps one that no list names.
    fn order(&mut self) {
        let id = self.dice.u64(1..18);
        if self.dice.bool() {
            self.out.insert(id);
            self.tell(Event::EnterMaintenance(id));
        } else {
            self.out.remove(&id);
            self.tell(Event::ExitMaintenance(id, self.node.now));
        }
    }

    fn run(seed: u64, steps: usize) -> World {
        let mut world = World::new(seed);
        // Every third world is quiet, with servers that take their time: attempts are copied there.
        let (arrive, end) = if seed.is_multiple_of(3) { (25, 35) } else { (50, 85) };
        for _ in 0..steps {
            match world.dice.u32(..100) {
                drawn if drawn < arrive => world.arrive(),
                drawn if drawn < end => drop(world.end_one()),
                85..88 => world.change_list(),
                88 => world.tell(Event::DiscoveryFailed),
                89..91 => {
                    let id = world.dice.u64(..world.node.next + 2);
                    if let Some(asked) = world.asked.get_mut(&id) {
                        asked.closed = true;
                    }
                    world.tell(Event::ClientDisconnected(id));
                }
                91..93 => world.order(),
                93..95 => world.stream(),
                _ => {
                    let until = world.node.now + drawn(&mut world.dice, Duration::ZERO..40 * MS);
                    world.pass(until);
                }
            }
        }
        world.pass(world.node.now + 2 * S);
        while world.end_one() {}
        world
    }
}

#[test]
fn the_rules_hold_on_random_days() {
    let mut answers = 0;
    for seed in 0..150 {
        let world = World::run(seed, 600);
        assert!(world.asked.values().all(|a| a.closed), "seed {seed}: a request got no answer");
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

/// The budget of rule four: a cold server's part of what warm servers of the same node get, over any
/// window, stays under the fall's multiple of the ramp at the window's end.
#[test]
fn a_cold_server_is_never_pushed_over() {
    const WINDOW: Duration = Duration::from_secs(2);
    const FALLS_AT: f64 = 3.0;
    // One that starts, and one that operators take out and put back, of which lists say nothing.
    for (seed, put_back) in (0..10).zip([false, true].into_iter().cycle()) {
        let s = settings();
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut node = Node::new(s.clone(), endpoints(1..11));
        let mut sent: BTreeMap<EndpointId, Vec<Timestamp>> = BTreeMap::new();
        let mut due: BTreeSet<(Timestamp, RequestId)> = BTreeSet::new();
        let started = node.now + 5 * S;
        for step in 0..4_000 {
            node.now += 5 * MS;
            if step == 600 && put_back {
                node.tell(Event::EnterMaintenance(3));
            }
            if step == 1_000 && put_back {
                node.tell(Event::ExitMaintenance(3, started));
            } else if step == 1_000 {
                node.tell(Event::EndpointDelta(vec![EndpointInfo { started_at: started, ..endpoint(3) }]));
            }
            let mut actions = node.arrive(SAFE, Some(dice.u32(..4))).1;
            while let Some(&(at, id)) = due.first().filter(|(at, _)| *at <= node.now) {
                due.remove(&(at, id));
                actions.extend(node.end(id, 0, Outcome::Served, 20 * MS));
            }
            for action in actions {
                if let Action::Send { request, endpoint, .. } = action {
                    sent.entry(endpoint).or_default().push(node.now);
                    due.insert((node.now + 20 * MS, request));
                }
            }
        }
        let all: usize = sent.values().map(|times| times.iter().filter(|t| **t >= started).count()).sum();
        let spell = node.now.saturating_duration_since(started).as_micros() as f64;
        let warm_rate = all as f64 / spell / 10.0;
        let cold: Vec<Timestamp> = sent[&3].iter().copied().filter(|t| *t >= started).collect();
        assert!(!cold.is_empty(), "a cold server is tried");
        for &from in &cold {
            let within = cold.iter().filter(|t| (from..from + WINDOW).contains(t)).count() as f64;
            let age = from.saturating_duration_since(started).as_micros() as f64
                / s.slow_start_window.as_micros() as f64;
            let able = warm_rate
                * WINDOW.as_micros() as f64
                * (s.slow_start_from + (1.0 - s.slow_start_from) * age.min(1.0));
            assert!(within <= FALLS_AT * able + 2.0, "seed {seed}: {within} against {able}");
        }
    }
}
