//! The decision whether and when a response that is not complete is passed on to its client.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::body::pacing::time_at_minimum_rate;
use crate::body::response_lengths::ResponseLengths;

/// Time without data after which a response counts as silent.
const SILENCE: Duration = Duration::from_millis(300);
/// Rate below which a response in small pieces is not taken for a long one, in bytes per second: 64 KiB
/// would take a minute.
const MIN_LONG_RESPONSE_RATE: f64 = 1000.0;
/// Interval of the checks of the request's other attempts while a response is held back.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a response is streamed before its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamingCause {
    /// More of it has been received than is buffered, or than memory is available for.
    Large,
    /// Its length is unknown, and it is received at the minimum rate.
    SteadyRate,
    /// Its client's time is nearly over.
    Deadline,
    /// The shutdown deadline has passed.
    Shutdown,
}

impl fmt::Display for StreamingCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StreamingCause::Large => "it is too large to be buffered",
            StreamingCause::SteadyRate => "its length is unknown and it arrives at the minimum rate",
            StreamingCause::Deadline => "its client's time is nearly over",
            StreamingCause::Shutdown => "the shutdown deadline has passed",
        })
    }
}

/// What is done with a response that is not complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EarlyDecision {
    /// It is passed on as far as it was received, and then streamed.
    Stream(StreamingCause),
    /// It is given up, so that its client gets another final answer in time.
    GiveUp,
}

/// The times at which an incomplete response is decided on.
#[derive(Clone, Copy)]
pub struct DecisionTimes {
    /// Time from which on a response that is shown to be long is streamed if it keeps to the minimum rate.
    pub stream_from: Instant,
    /// Time from which on any response is streamed that is shown to be long, shortly before the client's
    /// deadline.
    pub stream_by: Instant,
    /// Time at which any response is either streamed or given up, so long after the client's deadline as a
    /// final answer still counts.
    pub decide_by: Instant,
}

/// Decides when a response is streamed or given up although it is not complete, and its length is unknown or
/// over what is buffered.
///
/// A short response is useful only once it is complete, and one that is buffered can still be dropped, its
/// request retried, or answered as failed. Of a long response the first bytes have to reach the client in
/// time, and all of it as long as the endpoint gives it. While the length is unknown the response may be
/// either. It is streamed before the client's deadline if it is shown to be long: by its length, by what was
/// received of it, or by a silence that a short one would not have, if responses of its class may be long.
/// Any other is held back past the deadline, since a short one would be complete or broken soon.
pub struct EarlyStreaming {
    times: DecisionTimes,
    lengths: Rc<ResponseLengths>,
    /// Number of attempts of the request that may still complete and have not stalled.
    live_attempts: Rc<Cell<usize>>,
    /// Cancelled at the shutdown deadline, when any response is decided on.
    shutdown_deadline: CancellationToken,
    /// Whether the stated length is over what is buffered.
    is_known_long: bool,
    /// Number of bytes of the body that were received.
    received: u64,
    /// Number of pieces in which they were received.
    pieces: u32,
    /// Time at which the first piece of the body was received. The rate counts from then on, because a head
    /// may be sent long before the body is ready.
    first_piece_at: Instant,
    /// Time at which the head or the last piece was received.
    last_data_at: Instant,
}

impl EarlyStreaming {
    /// Creates the state for a response whose head was received at `began_at`.
    pub fn new(
        began_at: Instant,
        times: DecisionTimes,
        lengths: Rc<ResponseLengths>,
        live_attempts: Rc<Cell<usize>>,
        shutdown_deadline: CancellationToken,
    ) -> EarlyStreaming {
        EarlyStreaming {
            times,
            lengths,
            live_attempts,
            shutdown_deadline,
            is_known_long: false,
            received: 0,
            pieces: 0,
            first_piece_at: began_at,
            last_data_at: began_at,
        }
    }

    /// Records that the stated length is over what is buffered.
    pub fn set_known_long(&mut self) {
        self.is_known_long = true;
    }

    /// Returns the lengths of the responses of the class.
    pub fn lengths(&self) -> &Rc<ResponseLengths> {
        &self.lengths
    }

    /// Records that a piece of the body was received at `now`. `received` is the number of bytes of the body
    /// so far.
    pub fn on_piece(&mut self, received: u64, now: Instant) {
        if self.pieces == 0 {
            self.first_piece_at = now;
        }
        self.pieces += 1;
        self.received = received;
        self.last_data_at = now;
    }

    /// Waits until the response is decided on if no more of its body is received.
    pub async fn decided(&self) -> EarlyDecision {
        loop {
            let now = Instant::now();
            if let Some(decision) = self.decide(now) {
                return decision;
            }
            tokio::select! {
                () = sleep_until(self.next_check(now)) => {}
                () = self.shutdown_deadline.cancelled() => {
                    return self.decide_finally(Instant::now(), StreamingCause::Shutdown);
                }
            }
        }
    }

    /// Returns what is done with the response at `now`, or `None` if it is held back.
    fn decide(&self, now: Instant) -> Option<EarlyDecision> {
        let DecisionTimes { stream_from, stream_by, decide_by } = self.times;
        if now >= stream_from && self.is_shown_long() && self.keeps_minimum_rate(now) {
            return Some(EarlyDecision::Stream(StreamingCause::SteadyRate));
        }
        if now >= stream_by && (self.is_shown_long() || self.may_be_paused(now)) {
            return Some(EarlyDecision::Stream(StreamingCause::Deadline));
        }
        (now >= decide_by).then(|| self.decide_finally(now, StreamingCause::Deadline))
    }

    /// Returns what is done with the response if it can't be held back any longer.
    fn decide_finally(&self, now: Instant, cause: StreamingCause) -> EarlyDecision {
        let may_be_long = self.lengths.may_be_long() && !self.trickles(now);
        match self.is_shown_long() || may_be_long {
            true => EarlyDecision::Stream(cause),
            false => EarlyDecision::GiveUp,
        }
    }

    /// Returns the next time at which the decision may change although no more is received.
    fn next_check(&self, now: Instant) -> Instant {
        let DecisionTimes { stream_from, stream_by, decide_by } = self.times;
        let hold_check = now.max(stream_by) + HOLD_CHECK_INTERVAL;
        let times = [stream_from, stream_by, decide_by, hold_check];
        times.into_iter().filter(|time| *time > now).min().unwrap_or(now)
    }

    fn is_shown_long(&self) -> bool {
        self.is_known_long || self.received >= self.lengths.min_long_bytes()
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_data_at) >= SILENCE
    }

    /// Returns whether the response may be a long one that has paused, and the request has no other attempt
    /// that may show this.
    fn may_be_paused(&self, now: Instant) -> bool {
        self.is_silent(now) && self.lengths.may_be_long() && self.live_attempts.get() == 0
    }

    /// Returns whether the response arrives in pieces, and too slowly for a long one.
    fn trickles(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.first_piece_at).as_secs_f64();
        self.pieces > 1 && !self.is_silent(now) && (self.received as f64) < MIN_LONG_RESPONSE_RATE * elapsed
    }

    /// Returns whether the body was received at the minimum rate since its first piece, which alone says
    /// nothing of the rate.
    fn keeps_minimum_rate(&self, now: Instant) -> bool {
        self.pieces > 1 && self.first_piece_at + time_at_minimum_rate(self.received) >= now
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/early_streaming.rs"]
mod tests;
