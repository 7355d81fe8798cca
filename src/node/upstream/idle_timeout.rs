//! Adaptive timeout of idle connections, based on rejections of new connections by endpoints.
//!
//! Endpoints accept a limited number of connections and do not say how many. The idle connections of all
//! nodes together can use up this limit, so that nodes that need a new connection do not get one although
//! the endpoints have capacity for requests. Each rejection of a new connection therefore halves the idle
//! timeout, which doubles every [`DOUBLING_TIME`] while none is rejected. A connection counts as rejected if
//! the endpoint rejects a request on it and closes it:
//!
//! ```text
//! T = min(T_0 2^(t / DOUBLING_TIME), T_max)
//!
//! new connection rejected:     T_0 := min(max(T / 2, MIN_IDLE_TIMEOUT), T_max)
//! reused connection rejected:  T_0 := min(2 T, T_max)
//!
//! T      idle timeout, before the rejection in the two rules for T_0 (s)
//! T_0    idle timeout immediately after the last rejection, T_max before the first one (s)
//! T_max  configured maximum of the idle timeout (s)
//! t      time since the last rejection (s)
//! ```
//!
//! A rejection on a reused connection shows that the endpoint's limit on connections is not the cause.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum idle timeout, so that frequent requests can always reuse connections.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the idle timeout doubles while no new connection is rejected.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
/// Maximum number of doublings. After these, any timeout has reached its maximum; many more would overflow.
const MAX_DOUBLINGS: f64 = 32.0;

/// The idle timeout after its last change.
#[derive(Clone, Copy)]
struct State {
    timeout: Duration,
    changed_at: Instant,
}

/// Determines how long idle connections are kept; see the module's documentation.
pub struct IdleTimeoutPolicy {
    state: Cell<State>,
    max: Duration,
}

impl IdleTimeoutPolicy {
    /// Creates a policy that keeps idle connections for `max` until a new connection is rejected.
    pub fn new(max: Duration) -> IdleTimeoutPolicy {
        IdleTimeoutPolicy { state: Cell::new(State { timeout: max, changed_at: Instant::now() }), max }
    }

    /// Records that an endpoint has rejected a request on a new connection, which the endpoint closes.
    pub fn record_new_connection_rejected(&self) {
        self.set((self.max_idle() / 2).max(MIN_IDLE_TIMEOUT));
    }

    /// Records that an endpoint has rejected a request on a reused connection, which the endpoint closes.
    pub fn record_reused_connection_rejected(&self) {
        self.set(self.max_idle() * 2);
    }

    fn set(&self, timeout: Duration) {
        self.state.set(State { timeout: timeout.min(self.max), changed_at: Instant::now() });
    }

    /// Returns how long an idle connection may be kept at present.
    pub fn max_idle(&self) -> Duration {
        let State { timeout, changed_at } = self.state.get();
        let doublings = changed_at.elapsed().as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        timeout.mul_f64(2f64.powf(doublings.min(MAX_DOUBLINGS))).min(self.max)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/idle_timeout.rs"]
mod tests;
