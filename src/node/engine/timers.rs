//! The balancer's timers.

use std::future::poll_fn;
use std::time::Duration;

use mothspool::{TimerToken, Timestamp};
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::{Expired, Key};

use crate::config::MAX_DEADLINE;

/// The longest delay of a timer. The queue panics at delays of more than about two years, and no request
/// waits longer than the longest deadline. A timer that fires early makes the balancer re-evaluate early,
/// which does no harm.
const MAX_DELAY: Duration = MAX_DEADLINE;

/// The one pending timer of a request.
pub(super) struct RequestTimer {
    key: Key,
    due_at: Timestamp,
}

impl RequestTimer {
    /// Whether it is due, and so has fired or is about to.
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
    /// Whether no timer is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Waits for the next timer; `None` if there is none.
    pub(super) async fn next(&mut self) -> Option<TimerToken> {
        poll_fn(|cx| self.queue.poll_expired(cx)).await.map(Expired::into_inner)
    }

    /// Sets a timer that belongs to no request.
    pub(super) fn set(&mut self, delay: Duration, token: TimerToken) {
        self.queue.insert(token, delay.min(MAX_DELAY));
    }

    /// Sets the timer of a request. Its pending one is moved: the balancer sets another one only for an
    /// earlier time, so one timer is enough. One that is due already still fires, besides the new one.
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

    /// Cancels a request's timer; one that has fired needs no cancelling.
    pub(super) fn cancel(&mut self, timer: &RequestTimer) {
        self.queue.try_remove(&timer.key);
    }
}
