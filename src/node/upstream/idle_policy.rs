//! How long connections to servers are to be trusted, learned from those that broke under a request.
//!
//! What stands between may drop a connection that has been idle for some time and say so only at its next
//! request. Others break whether they are kept or new; to open more of those helps nobody.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::time::Instant;

/// Idle times are told apart from this on, by steps of half an octave; the last takes in all that are longer.
const FINEST: Duration = Duration::from_millis(5);
const STEPS: usize = 26;
/// How fast what was seen is forgotten; a time that is no longer trusted is then tried anew.
const MEMORY: Duration = Duration::from_secs(20);
/// Requests that count as seen before any was, one of them broken: connections break everywhere at times.
const PRIOR: f64 = 20.0;
/// How much likelier (as a logarithm) it has to be that rests of some length do harm than that chance does. A
/// node of many sees a few requests a second, and a single break proves nothing to it.
const SURE: f64 = 4.0;
/// An idle time is known once so many requests were seen after it.
const SEEN: f64 = 0.5;
/// What part more may break on a kept connection than on a new one, which costs a handshake.
const WORTH_A_HANDSHAKE: f64 = 0.2;
/// The same for a request that must not run twice and is lost with its connection.
const WORTH_A_REQUEST: f64 = 0.05;

/// Requests on connections of a kind, and those that broke.
#[derive(Clone, Copy)]
struct Tally {
    used: f64,
    broke: f64,
    at: Instant,
}

impl Tally {
    fn add(&mut self, broke: bool) {
        let (used, before) = self.now();
        let broke = before + f64::from(u8::from(broke));
        *self = Tally { used: used + 1.0, broke, at: Instant::now() };
    }

    /// How many were used lately, and how many of them broke.
    fn now(&self) -> (f64, f64) {
        let kept = (-self.at.elapsed().as_secs_f64() / MEMORY.as_secs_f64()).exp();
        (self.used * kept, self.broke * kept)
    }
}

/// What was seen of new connections and of kept ones by how long they had been idle.
pub struct StaleConnectionEstimator {
    fresh: RefCell<Tally>,
    kept: RefCell<[Tally; STEPS]>,
}

impl StaleConnectionEstimator {
    pub fn new() -> StaleConnectionEstimator {
        let none = Tally { used: 0.0, broke: 0.0, at: Instant::now() };
        StaleConnectionEstimator { fresh: RefCell::new(none), kept: RefCell::new([none; STEPS]) }
    }

    /// Takes in how a request fared on a connection: idle for how long, if it was a kept one.
    pub fn learn(&self, idle: Option<Duration>, broke: bool) {
        match idle {
            Some(idle) => self.kept.borrow_mut()[step(idle)].add(broke),
            None => self.fresh.borrow_mut().add(broke),
        }
    }

    /// For how long a connection may have been idle to be as good as a new one; `non_idempotent` for a request that
    /// must not run twice. What breaks after some time breaks after a longer one too: the time is the one that
    /// best tells those that break from all others, if any does.
    pub fn max_idle(&self, non_idempotent: bool) -> Duration {
        let priority_weight = if non_idempotent { WORTH_A_REQUEST } else { WORTH_A_HANDSHAKE };
        let kept = self.kept.borrow().map(|tally| tally.now());
        let mut shorter = self.fresh.borrow().now();
        let mut found: Option<(f64, usize)> = None;
        for (step, (used, broke)) in kept.into_iter().enumerate() {
            let usual = (shorter.1 + 1.0) / (shorter.0 + PRIOR);
            // Added up anew: what subtraction left over of nothing would tell with great certainty.
            let longer = kept[step..].iter().fold((0.0, 0.0), |sum, t| (sum.0 + t.0, sum.1 + t.1));
            let sure = evidence(longer, usual);
            if longer.1 > (usual + priority_weight) * longer.0 && sure >= found.map_or(SURE, |(most, _)| most)
            {
                found = Some((sure, step));
            }
            shorter = (shorter.0 + used, shorter.1 + broke);
        }
        let Some((_, mut step)) = found else { return Duration::MAX };
        // Others find out whether shorter times do.
        while non_idempotent && step > 0 && kept[step - 1].0 < SEEN {
            step -= 1;
        }
        FINEST.mul_f64(2f64.powf(step as f64 / 2.0))
    }
}

/// How much likelier (as a logarithm) these came of a risk of their own than of the usual one.
fn evidence((used, broke): (f64, f64), usual: f64) -> f64 {
    let of = |part: f64, usual: f64| if part > 0.0 { part * (part / used / usual).ln() } else { 0.0 };
    of(broke, usual) + of(used - broke, 1.0 - usual)
}

/// An idle connection is kept for this long in any case: what comes again and again finds it.
const KEPT_LEAST: Duration = Duration::from_secs(1);
/// The time for which idle ones are kept doubles in this time while no server turns new ones away.
const KEPT_DOUBLES: Duration = Duration::from_secs(5);

/// For how long idle connections may be kept, learned from servers that turn new ones away.
///
/// Servers keep only so many connections and do not say how many. What all nodes together hold idle shuts out
/// those that need one, whatever room the servers have for work.
pub struct IdleTimeoutPolicy {
    /// As of when it last changed.
    kept: Cell<(Duration, Instant)>,
    longest: Duration,
}

impl IdleTimeoutPolicy {
    /// Keeps idle ones for up to `longest` while none is turned away.
    pub fn new(longest: Duration) -> IdleTimeoutPolicy {
        IdleTimeoutPolicy { kept: Cell::new((longest, Instant::now())), longest }
    }

    /// A request was turned away, and its connection with it. Where kept connections fare no better, it is
    /// not connections that are short.
    pub fn connection_rejected(&self, new: bool) {
        let kept = self.max_idle();
        let kept = if new { (kept / 2).max(KEPT_LEAST) } else { kept * 2 };
        self.kept.set((kept.min(self.longest), Instant::now()));
    }

    pub fn max_idle(&self) -> Duration {
        let (kept, since) = self.kept.get();
        let doublings = since.elapsed().as_secs_f64() / KEPT_DOUBLES.as_secs_f64();
        // Far more than enough doublings would overflow.
        kept.mul_f64(2f64.powf(doublings.min(32.0))).min(self.longest)
    }
}

fn step(idle: Duration) -> usize {
    let octaves = (idle.as_secs_f64() / FINEST.as_secs_f64()).max(1.0).log2();
    ((octaves * 2.0) as usize).min(STEPS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Requests after these rests, in milliseconds, each so often; one in so many breaks.
    fn seen(trust: &StaleConnectionEstimator, rests: &[u64], times: usize, one_in: usize) {
        for n in 0..times * rests.len() {
            trust.learn(Some(Duration::from_millis(rests[n % rests.len()])), n % one_in == one_in - 1);
        }
    }

    #[test]
    fn breaks_that_befall_new_and_kept_connections_alike_tell_of_neither() {
        let trust = StaleConnectionEstimator::new();
        (0..40).for_each(|n| trust.learn(None, n % 20 == 0));
        seen(&trust, &[6, 20, 60, 300, 900, 3000], 5, 11);
        assert_eq!((trust.max_idle(true), trust.max_idle(false)), (Duration::MAX, Duration::MAX));
    }

    #[test]
    fn idle_connections_are_given_up_while_new_ones_are_turned_away() {
        let thrift = IdleTimeoutPolicy::new(Duration::from_secs(40));
        (0..4).for_each(|_| thrift.connection_rejected(true));
        let kept = thrift.max_idle().as_secs_f64();
        assert!((2.5..4.0).contains(&kept), "{kept}");
        (0..9).for_each(|_| thrift.connection_rejected(true));
        assert!(thrift.max_idle() < 2 * KEPT_LEAST);
        assert!(thrift.max_idle() >= KEPT_LEAST);
    }

    #[test]
    fn where_kept_connections_are_turned_away_too_none_is_given_up() {
        let thrift = IdleTimeoutPolicy::new(Duration::from_secs(40));
        (0..20).for_each(|n| thrift.connection_rejected(n % 4 == 0));
        assert_eq!(thrift.max_idle(), Duration::from_secs(40));
    }

    #[test]
    fn one_break_after_a_rest_that_is_rare_proves_nothing() {
        let trust = StaleConnectionEstimator::new();
        seen(&trust, &[6, 20, 60], 5, 100);
        trust.learn(Some(Duration::from_secs(3)), true);
        assert_eq!(trust.max_idle(true), Duration::MAX);
    }

    #[test]
    fn the_rest_after_which_connections_break_is_found_among_shorter_ones() {
        let trust = StaleConnectionEstimator::new();
        (0..40).for_each(|n| trust.learn(None, n % 20 == 0));
        seen(&trust, &[6, 20, 60, 120], 10, 15);
        seen(&trust, &[200, 300, 900], 2, 2);
        for non_idempotent in [true, false] {
            let most = trust.max_idle(non_idempotent);
            assert!(most > Duration::from_millis(120) && most <= Duration::from_millis(200), "{most:?}");
        }
    }
}
