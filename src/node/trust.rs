//! How long connections to servers are to be trusted, learned from those that broke under a request.
//!
//! What stands between may drop a connection that has been idle for some time and say so only at its next
//! request. Others break whether they are kept or new; to open more of those helps nobody.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

/// Idle times are told apart from this on, by steps of half an octave; the last takes in all that are longer.
const FINEST: Duration = Duration::from_millis(5);
const STEPS: usize = 26;
/// How fast what was seen is forgotten; a time that is no longer trusted is then tried anew.
const MEMORY: Duration = Duration::from_secs(20);
/// Requests that count as gone well before any was seen; of those that must not run twice, fewer.
const HOPED: f64 = 4.0;
const HOPED_ONCE: f64 = 1.0;
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

    fn risk(&self, hoped: f64) -> f64 {
        let (used, broke) = self.now();
        broke / (used + hoped)
    }
}

/// What was seen of new connections and of kept ones by how long they had been idle.
pub struct Trust {
    fresh: RefCell<Tally>,
    kept: RefCell<[Tally; STEPS]>,
}

impl Trust {
    pub fn new() -> Trust {
        let none = Tally { used: 0.0, broke: 0.0, at: Instant::now() };
        Trust { fresh: RefCell::new(none), kept: RefCell::new([none; STEPS]) }
    }

    /// Takes in how a request fared on a connection: idle for how long, if it was a kept one.
    pub fn learn(&self, idle: Option<Duration>, broke: bool) {
        match idle {
            Some(idle) => self.kept.borrow_mut()[step(idle)].add(broke),
            None => self.fresh.borrow_mut().add(broke),
        }
    }

    /// For how long a connection may have been idle to be as good as a new one; `once` for a request that
    /// must not run twice. What breaks after some time breaks after a longer one too.
    pub fn idle_most(&self, once: bool) -> Duration {
        let (hoped, worth) = if once { (HOPED_ONCE, WORTH_A_REQUEST) } else { (HOPED, WORTH_A_HANDSHAKE) };
        let most = self.fresh.borrow().risk(HOPED) + worth;
        let kept = self.kept.borrow();
        let Some(mut step) = kept.iter().position(|tally| tally.risk(hoped) > most) else {
            return Duration::MAX;
        };
        // Others find out whether shorter times do.
        while once && step > 0 && kept[step - 1].now().0 < SEEN {
            step -= 1;
        }
        FINEST.mul_f64(2f64.powf(step as f64 / 2.0))
    }
}

fn step(idle: Duration) -> usize {
    let octaves = (idle.as_secs_f64() / FINEST.as_secs_f64()).max(1.0).log2();
    ((octaves * 2.0) as usize).min(STEPS - 1)
}
