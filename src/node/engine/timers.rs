//! The balancer's timers.

use std::future::poll_fn;
use std::time::Duration;

use mothspool::{TimerToken, Timestamp};
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::{Expired, Key};

use crate::config::MAX_DEADLINE;

/// Maximum delay of a timer. [`DelayQueue`] panics on delays of more than about two years, and no request
/// waits longer than [`MAX_DEADLINE`]. A timer that fires too early does no harm: the balancer only
/// re-evaluates early.
const MAX_DELAY: Duration = MAX_DEADLINE;

/// The pending timer of a request.
pub(super) struct RequestTimer {
    key: Key,
    due_at: Timestamp,
}

impl RequestTimer {
    /// Returns whether the timer is due: it has fired or is about to fire.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.due_at <= now
    }
}

/// All pending timers.
#[derive(Default)]
pub(super) struct Timers {
    queue: DelayQueue<TimerToken>,
}

impl Timers {
    /// Returns whether no timer is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Waits for the next timer and returns its token. Returns `None` if no timer is pending.
    pub(super) async fn next(&mut self) -> Option<TimerToken> {
        poll_fn(|cx| self.queue.poll_expired(cx)).await.map(Expired::into_inner)
    }

    /// Sets a timer that belongs to no request.
    pub(super) fn set(&mut self, delay: Duration, token: TimerToken) {
        self.queue.insert(token, delay.min(MAX_DELAY));
    }

    /// Sets the timer of a request. A pending timer is moved: the balancer sets another one only for an
    /// earlier time, so one timer is enough. A timer that is already due still fires, in addition to the new
    /// one.
    pub(super) fn set_for_request(
        &mut self,
        timer: &mut Option<RequestTimer>,
        delay: Duration,
        token: TimerToken,
        now: Timestamp,
    ) {
        let delay = delay.min(MAX_DELAY);
        let due_at = now + delay;
        let key = match timer {
            Some(pending) if !pending.is_due(now) => {
                self.queue.reset(&pending.key, delay);
                pending.key
            }
            _ => self.queue.insert(token, delay),
        };
        *timer = Some(RequestTimer { key, due_at });
    }

    /// Cancels the timer of a request. Has no effect on a timer that has already fired.
    pub(super) fn cancel(&mut self, timer: &RequestTimer) {
        self.queue.try_remove(&timer.key);
    }
}
