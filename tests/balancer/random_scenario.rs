//! Random legal sequences of events at a node: endpoint lists, requests, ends of attempts, maintenance.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use mothspool::*;

use crate::support::*;

/// The scenario's own record of an attempt.
pub struct AttemptRecord {
    pub endpoint: EndpointInfo,
    pub sent_at: Timestamp,
    /// Whether its response has begun, and is passed on by the deadline of the request at the latest.
    pub response_began: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

/// The scenario's own record of a request.
pub struct RequestRecord {
    pub class: usize,
    pub deadline: Timestamp,
    /// Whether the request has been answered or its client has disconnected.
    pub finished: bool,
    pub attempts: Vec<AttemptRecord>,
    /// Whether its body is being streamed, so that it can't be sent again.
    pub body_forwarded: bool,
}

/// A node, and a record of its events and actions. Each action is checked as soon as the node returns it.
pub struct RandomScenario {
    pub settings: Settings,
    pub node: TestNode,
    rng: fastrand::Rng,
    /// The endpoint list that the node was last notified of.
    pub listed: BTreeMap<EndpointId, EndpointInfo>,
    pub in_maintenance: BTreeSet<EndpointId>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub timers: BTreeSet<(Timestamp, TimerToken)>,
    /// Number of final answers that the node gave without a response.
    pub final_answers: usize,
    /// The actions in response to each event.
    pub action_log: Vec<Vec<Action>>,
}

/// Returns a random duration from the range, in whole microseconds.
fn random_duration(rng: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_micros(rng.u64(range.start.as_micros() as u64..range.end.as_micros() as u64))
}

/// Returns a random idempotency, possibly with a very short or endless window, or the given one.
fn random_idempotency(rng: &mut fastrand::Rng, unchanged: Idempotency) -> Idempotency {
    let scopes = [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Cell];
    let scope = *rng.choice(&scopes).unwrap();
    let window = match rng.u8(..8) > 0 {
        true => random_duration(rng, Duration::ZERO..600 * MS),
        false => Duration::from_micros(u64::MAX),
    };
    if !rng.bool() {
        return unchanged;
    }
    let keyed = Idempotency::IdempotentWithKey { scope, window };
    *rng.choice(&[Idempotency::Idempotent, Idempotency::NonIdempotent, keyed]).unwrap()
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let mut s = settings();
    s.cancellation = rng.bool();
    s.hedging = rng.bool();
    s.max_attempts = rng.u16(1..5);
    s.node_count = if rng.bool() { rng.u32(1..4) } else { rng.u32(1..400) };
    s.node_index = rng.u32(..s.node_count);
    for class in &mut s.classes {
        class.idempotency = random_idempotency(rng, class.idempotency);
        class.latency_objective = random_duration(rng, 10 * MS..S);
        class.late_weight = rng.f64() * f64::from(u8::from(rng.bool()));
    }
    (s.key_affinity, s.load_dependent_weights) = (rng.bool(), rng.bool());
    s.clock_granularity = random_duration(rng, MS..20 * MS);
    s.max_retry_after = random_duration(rng, Duration::ZERO..2 * S);
    s.tenants.truncate(rng.usize(..5));
    s.tenants.iter_mut().for_each(|t| t.quota_per_second = 20.0);
    if rng.bool() {
        s.discovery = DiscoveryMode::Poll { interval: 10 * S };
    }
    s
}

impl RandomScenario {
    /// Runs a random scenario of `steps` events and then ends all attempts that are still in flight.
    pub fn run(seed: u64, steps: usize) -> RandomScenario {
        let mut scenario = RandomScenario::new(seed);
        // Every third scenario has little traffic and slow endpoints, so that attempts are hedged.
        let (arrivals_below, ends_below) = if seed.is_multiple_of(3) { (25, 35) } else { (50, 85) };
        for _ in 0..steps {
            match scenario.rng.u32(..100) {
                n if n < arrivals_below => scenario.add_request(),
                n if n < ends_below => drop(scenario.end_attempt()),
                85..88 => scenario.change_list(),
                88 => scenario.handle(Event::DiscoveryFailed),
                89..91 => scenario.disconnect_client(),
                91..93 => scenario.change_maintenance(),
                93 => scenario.stream_body(),
                94 => scenario.begin_or_stall_response(),
                _ => {
                    let until =
                        scenario.node.now + random_duration(&mut scenario.rng, Duration::ZERO..40 * MS);
                    scenario.advance_to(until);
                }
            }
        }
        scenario.advance_to(scenario.node.now + 2 * S);
        while scenario.end_attempt() {}
        scenario
    }

    fn new(seed: u64) -> RandomScenario {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let mut list = endpoints(1..rng.u64(1..14));
        if rng.u8(..4) == 0 {
            list.iter_mut().for_each(|endpoint| endpoint.cell = None);
        }
        let balancer = Balancer::new(settings.clone(), seed).unwrap();
        let mut scenario = RandomScenario {
            settings,
            node: TestNode { balancer, now: START + 50 * S, last_request: 0 },
            rng,
            listed: list.iter().map(|endpoint| (endpoint.id, *endpoint)).collect(),
            in_maintenance: BTreeSet::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            final_answers: 0,
            action_log: Vec::new(),
        };
        scenario.handle(Event::CachedSnapshot(list));
        scenario
    }

    /// Returns whether all requests have been answered.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|request| request.finished)
    }

    fn handle(&mut self, event: Event) {
        let actions = self.node.handle(event);
        for action in &actions {
            self.check_action(action);
        }
        self.action_log.push(actions);
    }

    /// Advances the clock to `until`, and fires every timer at its time.
    fn advance_to(&mut self, until: Timestamp) {
        loop {
            let due_timer = self.timers.first().copied().filter(|(at, _)| *at <= until);
            let due_response = self.next_due_response().filter(|(at, _)| *at <= until);
            match (due_timer, due_response) {
                (Some((at, token)), response) if response.is_none_or(|(due_at, _)| at <= due_at) => {
                    self.timers.remove(&(at, token));
                    self.node.now = self.node.now.max(at);
                    self.handle(Event::TimerFired(token));
                }
                (_, Some((at, (request, attempt)))) => {
                    self.node.now = self.node.now.max(at);
                    self.start_response(request, attempt);
                }
                _ => break,
            }
        }
        self.node.now = until;
        // Rule 1 of the module `rules`.
        let overdue = self.requests.values().find(|request| !request.finished && request.deadline < until);
        assert!(overdue.is_none(), "a request was not answered before its client stopped waiting");
    }

    /// Returns the response that has begun and has to be passed on next, and the deadline of its request.
    fn next_due_response(&self) -> Option<(Timestamp, (RequestId, AttemptNumber))> {
        let begun = |attempt: &AttemptRecord| attempt.response_began && attempt.outcome.is_none();
        let unfinished = self.requests.iter().filter(|(_, request)| !request.finished);
        let due = unfinished.filter_map(|(id, request)| {
            let attempt = request.attempts.iter().position(begun)?;
            Some((request.deadline, (*id, attempt as AttemptNumber)))
        });
        due.min()
    }

    /// Passes a response on to its client, which is the final answer.
    fn start_response(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.requests.get_mut(&id).unwrap().finished = true;
        self.handle(Event::ResponseStarted(id, attempt));
    }

    /// Has the response to a random attempt in flight begin, or stall.
    fn begin_or_stall_response(&mut self) {
        let mut open: Vec<(RequestId, usize)> = Vec::new();
        for (id, request) in self.requests.iter().filter(|(_, request)| !request.finished) {
            let numbered = request.attempts.iter().enumerate();
            open.extend(numbered.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(n, _)| (*id, n)));
        }
        let Some(&(id, n)) = self.rng.choice(&open) else { return };
        if self.rng.bool() {
            self.requests.get_mut(&id).unwrap().attempts[n].response_began = true;
            self.handle(Event::ResponseBegan(id, n as AttemptNumber));
        }
        if self.rng.bool() {
            self.handle(Event::ResponseStalled(id, n as AttemptNumber));
        }
    }

    fn add_request(&mut self) {
        self.node.last_request += 1;
        let id = self.node.last_request;
        let (class, remaining) = (self.rng.usize(..4), random_duration(&mut self.rng, 20 * MS..S));
        let tenant = self.rng.bool().then(|| self.rng.u32(..6));
        let record = RequestRecord {
            class,
            deadline: self.node.now + remaining,
            finished: false,
            attempts: Vec::new(),
            body_forwarded: false,
        };
        self.requests.insert(id, record);
        let affinity_key = Some(id % 7);
        let request = Request { id, class, remaining, expected_work: None, affinity_key, tenant };
        self.handle(Event::RequestArrived(request));
    }

    /// Ends a random attempt in flight; returns false if there is none.
    fn end_attempt(&mut self) -> bool {
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for (id, request) in &self.requests {
            let numbered = request.attempts.iter().enumerate();
            in_flight.extend(numbered.filter(|(_, a)| a.outcome.is_none()).map(|(n, _)| (*id, n)));
        }
        let Some(&(request, n)) = self.rng.choice(&in_flight) else { return false };
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
        let outcome = *self.rng.choice(&outcomes).unwrap();
        let record = self.requests.get_mut(&request).unwrap();
        record.attempts[n].outcome = Some(outcome);
        record.finished |= outcome == Outcome::Served;
        let result = AttemptResult {
            request,
            attempt: n as AttemptNumber,
            outcome,
            elapsed: self.node.now.saturating_duration_since(record.attempts[n].sent_at),
            request_finished: record.finished,
        };
        self.handle(Event::AttemptEnded(result));
        true
    }

    fn change_list(&mut self) {
        let id = self.rng.u64(1..16);
        let states =
            [EndpointState::Ready, EndpointState::Ready, EndpointState::Draining, EndpointState::Gone];
        let state = *self.rng.choice(&states).unwrap();
        let old_start = self.listed.get(&id).map_or(START, |endpoint| endpoint.started_at);
        let started_at = if self.rng.bool() { old_start } else { self.node.now };
        let zone = (id % 2) as u8;
        let entry = EndpointInfo { state, started_at, zone, ..endpoint(id) };
        self.listed.insert(id, entry);
        if self.rng.bool() {
            self.handle(Event::EndpointDelta(vec![entry]));
        } else {
            let is_listed = |endpoint: &EndpointInfo| endpoint.state != EndpointState::Gone;
            self.handle(Event::EndpointSnapshot(self.listed.values().copied().filter(is_listed).collect()));
        }
    }

    fn disconnect_client(&mut self) {
        let id = self.rng.u64(..self.node.last_request + 2);
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
        self.handle(Event::ClientDisconnected(id));
    }

    /// Starts to stream the body of a request with one attempt in flight, or its response if the body is
    /// streamed already.
    fn stream_body(&mut self) {
        let has_one_in_flight = |request: &RequestRecord| {
            !request.finished && request.attempts.len() == 1 && request.attempts[0].outcome.is_none()
        };
        let open: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| has_one_in_flight(request))
            .map(|(id, _)| *id)
            .collect();
        let Some(&id) = self.rng.choice(&open) else { return };
        let request = self.requests.get_mut(&id).unwrap();
        if request.body_forwarded {
            return self.start_response(id, 0);
        }
        request.body_forwarded = true;
        request.deadline = Timestamp::MAX;
        self.handle(Event::BodyForwarded(id));
        if self.rng.bool() {
            self.handle(Event::BodyCompleted(id));
        }
    }

    /// Starts or ends the maintenance of a random endpoint, possibly one that no endpoint list contains.
    fn change_maintenance(&mut self) {
        let id = self.rng.u64(1..18);
        if self.rng.bool() {
            self.in_maintenance.insert(id);
            self.handle(Event::EnterMaintenance(id));
        } else {
            self.in_maintenance.remove(&id);
            self.handle(Event::ExitMaintenance(id, self.node.now));
        }
    }
}
