//! For how long idle connections are kept, learned from endpoints that reject new ones.
//!
//! Endpoints accept a limited number of connections and do not say how many. The idle connections of all
//! nodes together keep out the nodes that need one, whatever capacity the endpoints have for requests. So the
//! idle timeout `T` is halved with each new connection that is rejected, and doubles in [`DOUBLING_TIME`]
//! while none is:
//!
//! ```text
//! new connection rejected:     T = max(T / 2, MIN_IDLE_TIMEOUT)
//! reused connection rejected:  T = 2 T       (then connections are not what is short)
//! after t without a rejection: T 2^(t / DOUBLING_TIME)
//! ```
//!
//! and never exceeds the configured maximum.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// An idle connection is kept for this long in any case: requests that come again and again find it.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time in which the idle timeout doubles while no new connection is rejected.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
/// After so many doublings any timeout has reached its maximum; many more would overflow.
const MAX_DOUBLINGS: f64 = 32.0;

/// The idle timeout when it last changed.
#[derive(Clone, Copy)]
struct State {
    timeout: Duration,
    changed_at: Instant,
}

/// For how long idle connections are kept; see the module's documentation.
pub struct IdleTimeoutPolicy {
    state: Cell<State>,
    max: Duration,
}

impl IdleTimeoutPolicy {
    /// Keeps idle connections for `max` as long as no new one is rejected.
    pub fn new(max: Duration) -> IdleTimeoutPolicy {
        IdleTimeoutPolicy { state: Cell::new(State { timeout: max, changed_at: Instant::now() }), max }
    }

    /// An endpoint has rejected a request on a new connection, and closed that.
    pub fn record_new_connection_rejected(&self) {
        self.set((self.max_idle() / 2).max(MIN_IDLE_TIMEOUT));
    }

    /// An endpoint has rejected a request on a reused connection, and closed that.
    pub fn record_reused_connection_rejected(&self) {
        self.set(self.max_idle() * 2);
    }

    fn set(&self, timeout: Duration) {
        self.state.set(State { timeout: timeout.min(self.max), changed_at: Instant::now() });
    }

    /// For how long an idle connection may be kept now.
    pub fn max_idle(&self) -> Duration {
        let State { timeout, changed_at } = self.state.get();
        let doublings = changed_at.elapsed().as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        timeout.mul_f64(2f64.powf(doublings.min(MAX_DOUBLINGS))).min(self.max)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/idle_timeout.rs"]
mod tests;
