//! A world that draws what happens to a node: settings, lists, requests, ends of attempts, operators' orders.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use mothspool::*;

use crate::support::*;

/// What the world knows of one attempt.
pub struct SentAttempt {
    pub endpoint: EndpointInfo,
    pub at: Timestamp,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

/// What the world knows of one request.
pub struct SentRequest {
    pub class: usize,
    pub abandon_at: Timestamp,
    /// No answer is owed any more.
    pub closed: bool,
    pub attempts: Vec<SentAttempt>,
    /// Its body is being forwarded, and can't be sent again.
    pub body_forwarded: bool,
}

/// A node, what has happened to it, and what it did. Each action is judged as it comes.
pub struct World {
    pub settings: Settings,
    pub node: TestNode,
    dice: fastrand::Rng,
    /// The endpoint list as the node was last notified of it.
    pub listed: BTreeMap<EndpointId, EndpointInfo>,
    pub under_maintenance: BTreeSet<EndpointId>,
    pub requests: BTreeMap<RequestId, SentRequest>,
    pub timers: BTreeSet<(Timestamp, TimerToken)>,
    /// Final answers that the node gave without a response.
    pub answers: usize,
    /// The actions after each event.
    pub log: Vec<Vec<Action>>,
}

/// A duration of whole microseconds from a range.
fn drawn(dice: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_micros(dice.u64(range.start.as_micros() as u64..range.end.as_micros() as u64))
}

/// Any idempotency, however short its window, or that of the class as it was.
fn drawn_idempotency(dice: &mut fastrand::Rng, unchanged: Idempotency) -> Idempotency {
    let scopes = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Cell];
    let scope = *dice.choice(&scopes).unwrap();
    let window = match dice.u8(..8) > 0 {
        true => drawn(dice, Duration::ZERO..600 * MS),
        false => Duration::from_micros(u64::MAX),
    };
    if !dice.bool() {
        return unchanged;
    }
    let keyed = Idempotency::IdempotentWithKey { scope, window };
    *dice.choice(&[Idempotency::Idempotent, Idempotency::NonIdempotent, keyed]).unwrap()
}

fn drawn_settings(dice: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.cancellation = dice.bool();
    s.hedging = dice.bool();
    s.max_attempts = dice.u16(1..5);
    s.node_count = if dice.bool() { dice.u32(1..4) } else { dice.u32(1..400) };
    s.node_index = dice.u32(..s.node_count);
    for class in &mut s.classes {
        class.idempotency = drawn_idempotency(dice, class.idempotency);
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
    /// Draws a world, and lets so many things happen to it. All attempts have ended then.
    pub fn run(seed: u64, steps: usize) -> World {
        let mut world = World::new(seed);
        // Every third world is quiet, with endpoints that take their time: attempts are hedged there.
        let (arrive, end) = if seed.is_multiple_of(3) { (25, 35) } else { (50, 85) };
        for _ in 0..steps {
            match world.dice.u32(..100) {
                drawn if drawn < arrive => world.request_arrives(),
                drawn if drawn < end => drop(world.attempt_ends()),
                85..88 => world.list_changes(),
                88 => world.handle(Event::DiscoveryFailed),
                89..91 => world.client_disconnects(),
                91..93 => world.operator_orders(),
                93..95 => world.body_streams(),
                _ => {
                    let until = world.node.now + drawn(&mut world.dice, Duration::ZERO..40 * MS);
                    world.time_passes(until);
                }
            }
        }
        world.time_passes(world.node.now + 2 * S);
        while world.attempt_ends() {}
        world
    }

    fn new(seed: u64) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let settings = drawn_settings(&mut dice);
        let mut list = endpoints(1..dice.u64(1..14));
        if dice.u8(..4) == 0 {
            list.iter_mut().for_each(|endpoint| endpoint.cell = None);
        }
        let balancer = Balancer::new(settings.clone(), seed).unwrap();
        let mut world = World {
            settings,
            node: TestNode { balancer, now: START + 50 * S, last_request: 0 },
            dice,
            listed: list.iter().map(|endpoint| (endpoint.id, *endpoint)).collect(),
            under_maintenance: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            answers: 0,
            log: Vec::new(),
        };
        world.handle(Event::CachedSnapshot(list));
        world
    }

    /// Whether no request is owed an answer any more.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|request| request.closed)
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(event);
        for action in &actions {
            self.judge(action);
        }
        self.log.push(actions);
    }

    /// Lets time pass up to `until`, with every timer at its time.
    fn time_passes(&mut self, until: Timestamp) {
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= until) {
            self.timers.remove(&(at, token));
            self.node.now = self.node.now.max(at);
            self.handle(Event::TimerFired(token));
        }
        self.node.now = until;
        let late = self.requests.values().find(|request| !request.closed && request.abandon_at < until);
        assert!(late.is_none(), "a request was not answered before its client stopped waiting");
    }

    fn request_arrives(&mut self) {
        self.node.last_request += 1;
        let id = self.node.last_request;
        let (class, remaining) = (self.dice.usize(..4), drawn(&mut self.dice, 20 * MS..S));
        let tenant = self.dice.bool().then(|| self.dice.u32(..6));
        let sent = SentRequest {
            class,
            abandon_at: self.node.now + remaining,
            closed: false,
            attempts: Vec::new(),
            body_forwarded: false,
        };
        self.requests.insert(id, sent);
        let affinity_key = Some(id % 7);
        let request = Request { id, class, remaining, expected_work: None, affinity_key, tenant };
        self.handle(Event::RequestArrived(request));
    }

    /// A random attempt in flight ends; false if there is none.
    fn attempt_ends(&mut self) -> bool {
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for (id, request) in &self.requests {
            let numbered = request.attempts.iter().enumerate();
            in_flight.extend(numbered.filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| (*id, n)));
        }
        let Some(&(request, n)) = self.dice.choice(&in_flight) else { return false };
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
        let sent = self.requests.get_mut(&request).unwrap();
        sent.attempts[n].outcome = Some(outcome);
        sent.closed |= outcome == Outcome::Served;
        let result = AttemptResult {
            request,
            attempt: n as AttemptNumber,
            outcome,
            elapsed: self.node.now.saturating_duration_since(sent.attempts[n].at),
            request_finished: sent.closed,
        };
        self.handle(Event::AttemptEnded(result));
        true
    }

    fn list_changes(&mut self) {
        let id = self.dice.u64(1..16);
        let states =
            [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];
        let state = *self.dice.choice(&states).unwrap();
        let old = self.listed.get(&id).map_or(START, |endpoint| endpoint.started_at);
        let started_at = if self.dice.bool() { old } else { self.node.now };
        let zone = (id % 2) as u8;
        let entry = EndpointInfo { state, started_at, zone, ..endpoint(id) };
        self.listed.insert(id, entry);
        if self.dice.bool() {
            self.handle(Event::EndpointDelta(vec![entry]));
        } else {
            let there = |endpoint: &EndpointInfo| endpoint.state != EndpointState::Gone;
            self.handle(Event::EndpointSnapshot(self.listed.values().copied().filter(there).collect()));
        }
    }

    fn client_disconnects(&mut self) {
        let id = self.dice.u64(..self.node.last_request + 2);
        if let Some(request) = self.requests.get_mut(&id) {
            request.closed = true;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    /// The body or the response of a request with one attempt in flight passes through.
    fn body_streams(&mut self) {
        let has_one = |request: &SentRequest| {
            !request.closed && request.attempts.len() == 1 && request.attempts[0].outcome.is_none()
        };
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| has_one(request)).map(|(id, _)| *id).collect();
        let Some(&id) = self.dice.choice(&open) else { return };
        let request = self.requests.get_mut(&id).unwrap();
        if request.body_forwarded {
            request.closed = true;
            return self.handle(Event::ResponseStarted(id, 0));
        }
        request.body_forwarded = true;
        request.abandon_at = Timestamp::MAX;
        self.handle(Event::BodyForwarded(id));
        if self.dice.bool() {
            self.handle(Event::BodyCompleted(id));
        }
    }

    /// Operators take an endpoint out of use or put it back, perhaps one that no list names.
    fn operator_orders(&mut self) {
        let id = self.dice.u64(1..18);
        if self.dice.bool() {
            self.under_maintenance.insert(id);
            self.handle(Event::EnterMaintenance(id));
        } else {
            self.under_maintenance.remove(&id);
            self.handle(Event::ExitMaintenance(id, self.node.now));
        }
    }
}
