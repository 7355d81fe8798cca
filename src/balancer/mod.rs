//! Every decision of a node. Its types, events and actions are in `src/api.rs`.
//! A tenant's label names a small pool of servers; of two random members the one with less of this node's
//! own work gets the request. `docs/design.md` says what was added to that and why.

mod endpoints;
mod interface;
mod retry;
mod state;
mod streaming;
mod time;

use std::collections::BTreeMap;
use std::time::Duration;

use self::endpoints::Maintenance;
pub use self::interface::*;
use self::state::*;
pub use self::time::Timestamp;
use self::time::{as_micros_f64, duration_from_micros_f64, whole_micros};

/// How many labels tenants are hashed to; few, so that pools keep room.
const LABELS: usize = 2;
/// The least that a label's pool takes while servers last.
const POOL_MIN: usize = 4;
/// The token of wake-ups that are about discovery; no request has such a number.
pub(crate) const ASK: u64 = u64::MAX;
/// The token of wake-ups that look at held requests again.
const LOOK: u64 = u64::MAX - 1;
/// The limit a server starts with, for the attempts of all nodes together; it never falls below this.
const LIMIT_START: f64 = 2.0;
/// Nor does it fall below this multiple of what served in-share work needs on idle servers.
const LIMIT_LEAST: f64 = 3.5;
/// The usual time may rise to this multiple of the shortest it was, before limits shrink.
const SLOWED: f64 = 1.1;
/// The part of a pool's room that work beyond a tenant's share may fill.
const SPARE: f64 = 0.8;
/// What a tenant may send at once at a node that has seen none of its work: few nodes see it evenly.
const DEPTH_LEAST: f64 = 4.0;
/// How many nodes a server of mean size is the first choice of.
const SHARED_BY: f64 = 6.0;
/// What a slice of a pool cannot take is spread over so many slices behind it, then over as many behind them.
const SPILL: f64 = 4.0;
/// How much less likely each of those is to be drawn.
const FAR: f64 = 1e-3;
/// How many times at most.
const FARTHEST: f64 = 60.0;
/// The golden ratio's fraction: its multiples fill the ring evenly however many there are.
const SPREAD: f64 = 0.618_033_988_749_895;
/// How quick and how slow a server can be against the usual time.
const PACES: (f64, f64) = (0.5, 4.0);
/// A pool helps another one while less than this part of its room is filled.
const LEND: f64 = 0.5;
/// An answer is counted on within this multiple of the usual time; half of all take longer than usual.
const TIMELY: f64 = 1.5;
/// A held request gives up its place after this part of its time: by half of it clients expect to hear so.
const PLACE: f64 = 0.45;
/// How far one outcome moves what is learned.
const STEP: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) now: Timestamp,
    pub(crate) actions: Vec<Action>,
    pub(crate) random: fastrand::Rng,
    salt: u64,
    pub(crate) endpoints: Vec<Endpoint>,
    ready: Vec<usize>,
    pub(crate) machine_type_sizes: BTreeMap<u8, f64>,
    pools: Vec<Vec<usize>>,
    /// How many first choices this node has in each pool.
    firsts: Vec<f64>,
    pub(crate) jobs: BTreeMap<RequestId, ActiveRequest>,
    held: Vec<Vec<QueuedRequest>>,
    shares: Vec<TokenBucket>,
    times: Vec<LatencyEstimator>,
    waits: QueueWaitEstimator,
    limit: f64,
    needed: DecayingCounter,
    pub(crate) failed_asks: u32,
    copies_win: f64,
    looking: bool,
    pub(crate) upkeep: Maintenance,
}

impl Balancer {
    /// Builds a node's module; its first event should be the list the node last held.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let times = settings
            .classes
            .iter()
            .map(|c| LatencyEstimator::guess(as_micros_f64(c.latency_objective) / 4.0))
            .collect();
        let part = |t: &Tenant| t.quota_per_second / f64::from(settings.node_count);
        let shares =
            settings.tenants.iter().map(|t| TokenBucket::full(part(t), part(t).max(DEPTH_LEAST))).collect();
        let mut balancer = Balancer {
            now: Timestamp::default(),
            actions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            salt: 0,
            endpoints: Vec::new(),
            ready: Vec::new(),
            machine_type_sizes: BTreeMap::new(),
            pools: Vec::new(),
            firsts: Vec::new(),
            jobs: BTreeMap::new(),
            held: vec![Vec::new(); LABELS + 1],
            shares,
            times,
            waits: QueueWaitEstimator::default(),
            limit: LIMIT_START,
            needed: DecayingCounter::default(),
            failed_asks: 0,
            copies_win: 0.0,
            looking: false,
            upkeep: Maintenance::default(),
            settings,
        };
        let heaviest = |s: &u64| (0..LABELS).map(|l| balancer.share(l, *s)).fold(0.0, f64::max);
        // Of a few salts, the one that spreads the tenants' shares most evenly over the labels.
        balancer.salt = (0..64).min_by(|a, b| heaviest(a).total_cmp(&heaviest(b))).unwrap_or(0);
        Ok(balancer)
    }

    /// Takes in what happened and appends what is to be done about it.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        // A clock that runs backwards must not wrap differences around.
        self.now = self.now.max(now);
        match event {
            Event::EndpointSnapshot(list) => self.list_changed(list, true),
            Event::EndpointDelta(list) => self.list_changed(list, false),
            Event::CachedSnapshot(list) => {
                self.list_changed(list, true);
                self.ask();
            }
            Event::DiscoveryFailed => self.ask_later(),
            Event::EnterMaintenance(id) => self.taken_out(id),
            Event::ExitMaintenance(id, at) => self.put_back(id, at),
            Event::RequestArrived(request) => self.arrived(request),
            Event::ClientDisconnected(id) => self.finish(id),
            Event::BodyForwarded(id) => self.body_passed_on(id),
            Event::BodyCompleted(id) => self.body_whole(id),
            Event::ResponseStarted(id, attempt) => self.stream_began(id, attempt),
            Event::AttemptEnded(ended) => self.attempt_ended(ended),
            Event::TimerFired(ASK) => self.ask(),
            Event::TimerFired(LOOK) => {
                self.looking = false;
                self.dispatch();
            }
            Event::TimerFired(id) => self.look_at(id),
        }
        actions.append(&mut self.actions);
    }

    /// How many requests are tracked: a gauge for the node that embeds the balancer.
    pub fn tracked_requests(&self) -> usize {
        self.jobs.len()
    }

    fn label(&self, tenant: u64, salt: u64) -> usize {
        (hash(tenant, salt) % LABELS as u64) as usize
    }

    /// The part of all shares that the tenants of this label hold.
    fn share(&self, label: usize, salt: u64) -> f64 {
        let tenants = self.settings.tenants.iter().enumerate();
        tenants.filter(|(i, _)| self.label(*i as u64, salt) == label).map(|(_, t)| t.share).sum()
    }

    /// Each label in turn takes its highest-ranking ready servers; the rest stay unlabelled. A label's
    /// size follows the shares of its tenants, and what no tenant has a share in stays unlabelled too.
    pub(crate) fn build_pools(&mut self) {
        let is_ready = |i: &usize| self.upkeep.takes_requests(&self.endpoints[*i].entry);
        self.ready = (0..self.endpoints.len()).filter(is_ready).collect();
        let stated = |i: &usize| self.stated_size(&self.endpoints[*i].entry);
        let mean = self.ready.iter().map(stated).sum::<f64>() / self.ready.len().max(1) as f64;
        for &i in &self.ready {
            let size = self.stated_size(&self.endpoints[i].entry);
            self.endpoints[i].size = if size > 0.0 { size / mean } else { 1.0 };
        }
        let (mut free, ready, mut share) = (self.ready.clone(), self.ready.len(), 0.0);
        self.pools.clear();
        for label in 0..LABELS {
            share += self.share(label, self.salt);
            let taken = ready - free.len();
            let size = ((ready as f64 * share.min(1.0)).round() as usize).saturating_sub(taken).max(POOL_MIN);
            let later = POOL_MIN * (LABELS - 1 - label);
            let size = size.min(free.len().saturating_sub(later).max(POOL_MIN)).min(free.len());
            free.sort_by_key(|i| std::cmp::Reverse(hash(label as u64, self.endpoints[*i].entry.id)));
            let rest = free.split_off(size);
            self.pools.push(std::mem::replace(&mut free, rest));
        }
        free.sort();
        self.pools.push(free);
        self.cut_slices();
    }

    /// Of many nodes each draws from a slice of a pool first: it meets those often enough for its own counts
    /// to tell of them, and connections last. Pools lie on a ring by size, and nodes are spread evenly over
    /// it, whichever ranks are up: each server gets its part of the work from the slices that overlap it.
    /// What goes elsewhere goes to the same few again, on connections that are there.
    fn cut_slices(&mut self) {
        self.firsts.clear();
        for pool in std::mem::take(&mut self.pools) {
            let ring: f64 = pool.iter().map(|i| self.endpoints[*i].size).sum();
            let part = (SHARED_BY / f64::from(self.settings.node_count)).min(1.0);
            let start = (f64::from(self.settings.node_index) * SPREAD).fract() * ring;
            let end = start + ring * part;
            let mut at = 0.0;
            for i in &pool {
                let size = self.endpoints[*i].size;
                let overlap = |from: f64| ((from + size).min(end) - from.max(start)).max(0.0);
                let behind = ((at - end).rem_euclid(ring) / (ring * part * SPILL)).floor();
                // Far out, the order is of no matter, but a share must not vanish.
                let spill = size * FAR.powf(1.0 + behind.min(FARTHEST));
                self.endpoints[*i].share = (overlap(at) + overlap(at + ring)).max(spill);
                at += size;
            }
            self.firsts.push((pool.len() as f64 * part).ceil());
            self.pools.push(pool);
        }
    }

    /// The pool's members; an empty pool borrows from all ready servers.
    fn members(&self, pool: usize) -> &[usize] {
        self.pools.get(pool).filter(|members| !members.is_empty()).unwrap_or(&self.ready)
    }

    fn arrived(&mut self, request: Request) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return self.actions.push(Action::Reject { request: request.id, retry_after: Duration::ZERO });
        };
        let stretch =
            request.expected_work.map_or(0.0, |work| as_micros_f64(work) * class.objective_per_work);
        let objective = class.latency_objective.saturating_add(duration_from_micros_f64(stretch));
        let aim_at = self.now + objective.min(class.deadline);
        let bucket = request.tenant.and_then(|t| self.shares.get_mut(t as usize));
        let in_share = bucket.is_none_or(|bucket| bucket.take(self.now));
        let ask = QueuedRequest { id: request.id, class: request.class, in_share, aim_at };
        let pool = request.tenant.map_or(LABELS, |t| self.label(t.into(), self.salt));
        let give_up_at =
            self.now + request.remaining.saturating_sub(self.settings.clock_granularity.saturating_mul(2));
        let place_until = self.now + duration_from_micros_f64(as_micros_f64(request.remaining) * PLACE);
        self.held[pool].push(ask);
        let job = ActiveRequest {
            ask,
            pool,
            key: request.key,
            give_up_at,
            place_until,
            held: true,
            ..ActiveRequest::default()
        };
        self.jobs.insert(request.id, job);
        // One that comes with no time left must not be sent: its answer would be late in any case.
        if give_up_at <= self.now || self.random.f64() >= self.admitted(&ask) {
            return self.give_up(request.id);
        }
        self.dispatch();
        self.look_at(request.id);
    }

    /// The part of such requests that is let in. A node of many sees an overload only in how long its few
    /// attempts wait; once that eats up what the aims leave, more work would make all of it late.
    fn admitted(&self, ask: &QueuedRequest) -> f64 {
        let wait = self.waits.now(self.now);
        let slack = |c: usize| as_micros_f64(self.settings.classes[c].latency_objective) - self.times[c].base;
        let least = (0..self.times.len()).map(slack).fold(f64::MAX, f64::min);
        // Shedding begins at a fifth of the aim's slack, but three quarters of a request's time is no load.
        let (from, span) = match ask.in_share {
            true => ((0.2 * slack(ask.class)).max(self.waits.typical * 0.75), 0.4 * slack(ask.class)),
            false => (0.1 * least, 0.2 * least),
        };
        1.0 - self.blindness() * ((wait - from) / span.max(1.0)).clamp(0.0, 1.0)
    }

    /// Whether sending it now would probably miss the aim.
    fn too_late(&self, ask: &QueuedRequest) -> bool {
        self.now.as_micros_f64() + TIMELY * self.times[ask.class].usual > ask.aim_at.as_micros_f64()
    }

    /// What answering a held request now would earn for the time it takes.
    fn merit(&self, ask: &QueuedRequest) -> f64 {
        let class = &self.settings.classes[ask.class];
        let share = if ask.in_share { 1.0 } else { self.settings.over_quota_weight };
        let timely = if self.too_late(ask) { class.late_weight } else { 1.0 };
        class.priority_weight * share * timely / self.times[ask.class].usual
    }

    /// Sends what is held, best first, while pools have room.
    pub(crate) fn dispatch(&mut self) {
        for pool in 0..self.held.len() {
            let mut blocked: Vec<QueuedRequest> = Vec::new();
            // A few that their classes tie to full servers must not stop the others.
            while let Some(at) = self.best_held(pool, &blocked) {
                let ask = self.held[pool][at];
                let lenders = self.lenders(pool, &ask);
                if lenders.is_empty() {
                    break;
                }
                self.held[pool].swap_remove(at);
                match lenders.into_iter().find_map(|from| self.pick(ask.id, from)) {
                    Some(endpoint) => self.send(ask.id, endpoint),
                    None => blocked.push(ask),
                }
            }
            self.held[pool].append(&mut blocked);
        }
        if !self.looking && self.held.iter().any(|h| !h.is_empty()) {
            self.looking = true;
            self.actions.push(Action::SetTimer {
                after: self.settings.clock_granularity.saturating_mul(2),
                token: LOOK,
            });
        }
    }

    /// The pool itself while it has room, then others whose own tenants leave over half of theirs free: what
    /// room is left in a pool may be that of servers which are avoided. Where a node sees little of the load,
    /// a smaller pool takes its part of such requests only: it looks free to each of many nodes.
    fn lenders(&self, pool: usize, ask: &QueuedRequest) -> Vec<usize> {
        let (part, size) = (if ask.in_share { 1.0 } else { SPARE }, self.members(pool).len() as f64);
        let warranted = |p: usize| unit(hash(ask.id, p as u64)) * size <= self.pools[p].len() as f64;
        let within = |p: usize| self.blindness() == 0.0 || warranted(p);
        let lends = |p: &usize| self.held[*p].is_empty() && self.has_room(*p, LEND) && within(*p);
        let others = (0..self.pools.len()).filter(|p| *p != pool && !self.pools[*p].is_empty());
        self.has_room(pool, part).then_some(pool).into_iter().chain(others.filter(lends)).collect()
    }

    /// Where the request with most merit is held that may not be blocked too; of several, the nearest aim's.
    fn best_held(&self, pool: usize, blocked: &[QueuedRequest]) -> Option<usize> {
        let free = |ask: &QueuedRequest| blocked.iter().filter(|b| b.class == ask.class).count() < 3;
        let priority =
            |(at, ask): (usize, &QueuedRequest)| free(ask).then(|| (self.merit(ask), ask.aim_at, at));
        let held = self.held[pool].iter().enumerate().filter_map(priority);
        held.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))).map(|best| best.2)
    }

    /// The part of its capacity that a starting server surely has.
    fn ramp(&self, entry: &EndpointInfo) -> f64 {
        let started = self.upkeep.started(entry);
        let long_ago = started == Timestamp::default();
        let age = if long_ago { u64::MAX as f64 } else { self.now.micros_since(started) };
        let warmed = (age / whole_micros(self.settings.slow_start_window).max(1) as f64).min(1.0);
        self.settings.slow_start_from + (1.0 - self.settings.slow_start_from) * warmed
    }

    /// Whether this part of the pool's room is not yet filled. One attempt always has room, at a node of many
    /// one for each of its first choices: its part of a limit that is not learned yet would be none.
    fn has_room(&self, pool: usize, part: f64) -> bool {
        let members = self.members(pool);
        let busy = f64::from(members.iter().map(|i| self.endpoints[*i].in_flight).sum::<u32>());
        let always = self.firsts.get(pool).map_or(1.0, |firsts| (firsts * self.blindness()).max(1.0));
        busy < always || busy < part * members.iter().map(|i| self.room(*i)).sum::<f64>()
    }

    /// How little own counts tell: a node whose part of a server is under half an attempt sees little load.
    fn blindness(&self) -> f64 {
        (1.0 - 2.0 * self.limit / f64::from(self.settings.node_count)).max(0.0)
    }

    /// The less loaded of two random members that have room.
    fn pick(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let chance = self.random.u64(..);
        let (now, job) = (self.now, &self.jobs[&id]);
        // A pool whose members all err on such requests is empty for them; if all servers do, none is worse.
        let errs = |i: &usize| self.endpoints[*i].errs(job.ask.class, now);
        let alike = self.ready.iter().all(errs);
        let own = self.members(pool);
        let members = if alike || !own.iter().all(errs) { own } else { &self.ready };
        let heed = members.iter().filter(|i| self.endpoints[**i].avoided(now)).count() * 2 <= members.len();
        let owed = |i: &usize| self.upkeep.owed_a_trial(self.endpoints[*i].entry.id);
        let fit = |i: &usize| {
            let s = &self.endpoints[*i];
            let reach = self.ramp(&s.entry) * (self.settings.overload_multiple / 2.0).max(1.0);
            (s.in_flight == 0 || f64::from(s.in_flight) < self.room(*i).ceil())
                // A cold server is in reach of few of all nodes' requests, half of what it bears: one attempt
                // from each node, or all that its neighbours cannot take, would push it over.
                && (reach >= 1.0 || owed(i) || unit(hash(id, s.entry.id)) <= reach)
                && !(heed && s.avoided(now))
                && !job.attempts.iter().any(|a| a.to.id == s.entry.id && a.fate == AttemptState::InFlight)
                && self.allowed(job, &s.entry)
        };
        let mut fits: Vec<usize> = members.iter().copied().filter(fit).collect();
        // A repeat may be tied to servers that all err.
        let tied = alike || !job.attempts.is_empty() && fits.iter().all(errs);
        fits.retain(|i| tied || !errs(i));
        if let Some(back) = fits.iter().copied().find(owed) {
            return Some(back);
        }
        // Each is as likely as it has capacity: most nodes hold nothing at either of the two, and comparing
        // sizes alone would send nearly all to the largest. Where servers are warm for keys they met, the
        // key draws in place of chance.
        let by = job.key.filter(|_| self.settings.key_affinity).unwrap_or(chance);
        let late = |i: usize| {
            let s = &self.endpoints[i];
            -unit(hash(by, s.entry.id)).ln() * s.pace_at(now) / s.share
        };
        let mut fits: Vec<(f64, usize)> = fits.into_iter().map(|i| (late(i), i)).collect();
        let second = 1.min(fits.len().checked_sub(1)?);
        fits.select_nth_unstable_by(second, |a, b| a.0.total_cmp(&b.0));
        let load = |fit: (f64, usize)| (self.load(fit.1, job.ask.class), fit.1);
        fits.into_iter().take(2).map(load).min_by(|a, b| a.0.total_cmp(&b.0)).map(|least| least.1)
    }

    /// A live weight is late and the same at all nodes: all would crowd what was idle a while ago.
    /// The largest weight seen of a kind is that of an idle machine, its size.
    fn stated_size(&self, entry: &EndpointInfo) -> f64 {
        match self.machine_type_sizes.get(&entry.machine_type) {
            Some(size) if self.settings.load_dependent_weights => *size,
            _ => entry.weight,
        }
    }

    fn room(&self, i: usize) -> f64 {
        let endpoint = &self.endpoints[i];
        let part = self.limit / f64::from(self.settings.node_count);
        part * endpoint.size * self.ramp(&endpoint.entry) / endpoint.pace_at(self.now)
    }

    /// Own requests in flight against what the server carries. Recent failures count as load: a server
    /// that errs quickly holds little and would win every comparison. The request to be sent counts where a
    /// node sees its servers; where all counts are 0, it would send nearly all to the largest.
    fn load(&self, i: usize, class: usize) -> f64 {
        let (s, own) = (&self.endpoints[i], f64::from(u8::from(self.blindness() == 0.0)));
        (f64::from(s.in_flight) + own + s.excess(class, self.now)) / self.room(i)
    }

    fn send(&mut self, id: RequestId, i: usize) {
        let begin_by = self.jobs.get(&id).and_then(|job| self.repeat_by(job));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let endpoint = &mut self.endpoints[i];
        endpoint.in_flight += 1;
        endpoint.last_sent = self.now;
        self.upkeep.tried(endpoint.entry.id);
        job.held = false;
        job.attempts.push(Attempt {
            to: endpoint.entry,
            sent_at: self.now,
            fate: AttemptState::InFlight,
            working: true,
        });
        let endpoint = endpoint.entry.id;
        self.actions.push(Action::Send { request: id, endpoint, begin_by });
        self.wake(id);
    }

    /// When an attempt is overdue: a copy would just come within the aim, even at twice the usual time.
    fn overdue_at(&self, job: &ActiveRequest) -> Option<Timestamp> {
        let usual = self.times[job.ask.class].usual;
        let last = job.attempts.iter().rev().find(|a| a.fate == AttemptState::InFlight)?;
        let age = (job.ask.aim_at.micros_since(last.sent_at) - 2.0 * usual).max(TIMELY * usual);
        Some(last.sent_at + duration_from_micros_f64(age))
    }

    /// Asks to be woken when the request next needs a look.
    fn wake(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let hopeless = job.ask.aim_at.as_micros_f64() - TIMELY * self.times[job.ask.class].usual;
        let hopeless = Timestamp::from_micros(hopeless as u64);
        let held = |at: Timestamp| job.held.then_some(at);
        let give_up_at = Some(job.give_up_at).filter(|_| !job.passed_on);
        let repeat_by = self.repeat_by(job).and_then(held);
        let times = [give_up_at, self.overdue_at(job), held(hopeless), held(job.place_until), repeat_by];
        let next = times.into_iter().flatten().filter(|t| *t > self.now).min().unwrap_or(self.now);
        if next > self.now && (job.wake_at <= self.now || next < job.wake_at) {
            self.actions
                .push(Action::SetTimer { after: next.saturating_duration_since(self.now), token: id });
            self.change(id, |job| job.wake_at = next);
        }
    }

    fn look_at(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.done || job.wake_at > self.now {
            return;
        }
        let worthless = !job.ask.in_share || self.settings.classes[job.ask.class].late_weight == 0.0;
        // To be told late that it was never sent costs a client more than a poor chance of a turn is worth.
        let waited = self.now >= job.place_until && job.not_executed();
        let late = self.too_late(&job.ask) && (worthless || waited);
        let forgotten = self.repeat_by(job).is_some_and(|by| by <= self.now);
        let hopeless = self.ready.is_empty() || late || forgotten || waited && !job.ask.in_share;
        if self.now >= job.give_up_at || job.held && hopeless {
            return self.give_up(id);
        }
        // A pausing server shows as an overdue attempt: a copy goes elsewhere if nothing waits. But copies of
        // long requests lose the race and fill servers: unless a tenth win, half the pool has to be free.
        let (pool, part) = (job.pool, if self.copies_win > 0.1 { 1.0 } else { LEND });
        let overdue = !job.held && self.overdue_at(job).is_some_and(|t| t <= self.now);
        if overdue && job.ask.in_share && self.held[pool].is_empty() && self.has_room(pool, part) {
            self.pick(id, pool).into_iter().for_each(|endpoint| self.send(id, endpoint));
        }
        self.wake(id);
    }

    fn attempt_ended(&mut self, end: AttemptResult) {
        let id = end.request;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let out = |a: &&mut Attempt| a.fate == AttemptState::InFlight;
        let Some(ended) = job.attempts.get_mut(usize::from(end.attempt)).filter(out) else { return };
        ended.fate =
            if end.outcome.not_executed() { AttemptState::NotExecuted } else { AttemptState::MaybeExecuted };
        job.done |= end.request_finished;
        let (ask, to, working) = (job.ask, ended.to, ended.working);
        if end.outcome == Outcome::Served && job.out() > 0 {
            self.copies_win += STEP * (f64::from(u8::from(end.attempt > 0)) - self.copies_win);
        }
        self.learn(ask, to.id, end, working);
        let job = &self.jobs[&id];
        if job.done {
            self.finish(id);
        } else if job.out() == 0 && !job.held {
            let some = self.members(job.pool).iter().any(|i| self.allowed(job, &self.endpoints[*i].entry));
            if !some || self.now >= job.give_up_at {
                return self.give_up(id);
            }
            self.held[job.pool].push(job.ask);
            self.change(id, |job| job.held = true);
            self.wake(id);
        }
        self.dispatch();
    }

    /// Learns from an outcome how much the server takes and how long the class usually needs.
    /// One that is not working on it any more, or not yet, is not slow.
    pub(crate) fn learn(&mut self, ask: QueuedRequest, to: EndpointId, end: AttemptResult, working: bool) {
        let (class, Ok(i)) = (ask.class, self.find(to)) else { return };
        let waiting = self.held.iter().flatten().any(|ask| ask.in_share);
        let endpoint = &mut self.endpoints[i];
        endpoint.in_flight -= u32::from(working);
        if end.outcome == Outcome::Served && !working
            || self.upkeep.was_before_return(to, self.now - end.elapsed)
        {
            return;
        }
        // One given up has waited too; but a few very slow servers must not look like an overload of all.
        let base = self.times[class].base;
        let slack = (as_micros_f64(self.settings.classes[class].latency_objective) - base).max(0.0);
        let waited = (as_micros_f64(end.elapsed) - base).min(1.2 * slack);
        if end.outcome == Outcome::Served || waited > self.waits.mean && !end.outcome.not_executed() {
            // Long requests vary by more than they wait: the short ones tell of waits best.
            let shortest = self.times.iter().map(|t| t.base).fold(f64::MAX, f64::min);
            self.waits.add(self.now, waited, base, shortest / base);
        }
        if end.outcome == Outcome::Served {
            let (times, elapsed) = (&mut self.times[class], as_micros_f64(end.elapsed));
            let slower = if elapsed > times.usual * endpoint.pace { 1.0 + STEP } else { 1.0 - STEP };
            endpoint.pace = (endpoint.pace * slower).clamp(PACES.0, PACES.1);
            times.answered(elapsed);
            let late = end.elapsed > self.settings.classes[class].latency_objective;
            // Late answers may come from pauses; while the usual time is up, more work only jams servers.
            let slowed = times.usual > times.base * SLOWED;
            let grown = if waiting && !late && !slowed { 1.0 + STEP / 10.0 } else { 1.0 };
            let factor = if late && slowed { 1.0 - STEP / 2.0 } else { grown };
            // Counting what arrives, not what is served, or a time that is a guess yet, would jam servers.
            let counts = ask.in_share && times.seen > 5.0;
            self.needed.add(self.now, if counts { times.base } else { 0.0 });
            // A slowdown of all servers makes every answer late; shrinking further would only serve fewer.
            let needed = self.needed.rate(self.now) * f64::from(self.settings.node_count)
                / self.ready.len().max(1) as f64;
            self.limit = (self.limit * factor).max(LIMIT_LEAST * needed).max(LIMIT_START);
        } else if !matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            // An error may be about its class alone, and tells of the server if any other serves that class.
            let error_of = (end.outcome == Outcome::Error).then_some(class);
            let alike = self.pools.iter().find(|pool| error_of.is_none() && pool.contains(&i));
            count_failure(&mut self.endpoints, i, alike.unwrap_or(&self.ready), error_of, self.now);
        }
    }

    pub(crate) fn cancel_others(&mut self, id: RequestId, but: Option<AttemptNumber>) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (n, attempt) in (0..).zip(&job.attempts) {
            if self.settings.cancellation && attempt.fate == AttemptState::InFlight && but != Some(n) {
                self.actions.push(Action::Cancel(id, n));
            }
        }
    }

    /// The final answer: turned away where that is true and harmless, else failed.
    fn give_up(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let harmless = match self.settings.classes[job.ask.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { group: IdempotencyScope::All, .. } => {
                true
            }
            _ => job.not_executed(),
        };
        // What would come back into the same crowd, and too late, is asked to stay away.
        let stay = !job.ask.in_share || job.not_executed() && self.too_late(&job.ask);
        let retry_after = if stay { self.settings.max_retry_after } else { Duration::ZERO };
        let refusal = Action::Reject { request: id, retry_after };
        self.actions.push(if harmless { refusal } else { Action::Fail(id) });
        self.finish(id);
    }

    /// Nothing more is owed: lets go of the request once none of its attempts is out.
    fn finish(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.done = true;
        if std::mem::take(&mut job.held) {
            self.held[job.pool].retain(|ask| ask.id != id);
        }
        if job.out() == 0 {
            self.jobs.remove(&id);
        }
        self.cancel_others(id, None);
    }

    pub(crate) fn change(&mut self, id: RequestId, how: impl FnOnce(&mut ActiveRequest)) {
        self.jobs.get_mut(&id).map(how);
    }
}
