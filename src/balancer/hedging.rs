//! Hedging: a second attempt at another endpoint if the endpoint of the first one seems to have paused.

use super::interface::{Timestamp, duration_from_micros_f64};
use super::latency::LatencyEstimator;
use super::requests::ActiveRequest;

/// Time that a hedge is given to meet the latency objective, as a multiple of the class's median latency.
const HEDGE_MEDIAN_MULTIPLE: f64 = 2.0;
/// Weight of the latest race between two attempts in the win rate.
const WIN_RATE_STEP: f64 = 0.05;
/// Win rate above which hedges may use a pool's full capacity, like first attempts. Otherwise they use only
/// its spare capacity.
const MIN_WIN_RATE: f64 = 0.1;

/// How often a hedge wins: it is served while another attempt of the request is still in flight.
#[derive(Default)]
pub(super) struct HedgeStatistics {
    win_rate: f64,
}

impl HedgeStatistics {
    /// Records the end of a race: one attempt was served while another was in flight.
    pub(super) fn record(&mut self, hedge_won: bool) {
        self.win_rate += WIN_RATE_STEP * (f64::from(u8::from(hedge_won)) - self.win_rate);
    }

    /// Returns whether hedges win often enough to compete with first attempts. Hedges of long requests mostly
    /// lose, and only add load to endpoints.
    pub(super) fn are_effective(&self) -> bool {
        self.win_rate > MIN_WIN_RATE
    }
}

/// Returns the time at which a request should be hedged: as late as the hedge can still meet the latency
/// objective, but not before the response to the last attempt is overdue. Returns `None` if no attempt is in
/// flight.
///
/// ```text
/// hedge time = sent + max(objective - sent - HEDGE_MEDIAN_MULTIPLE * median, expected)
/// expected   = EXPECTED_LATENCY_MULTIPLE * median
///
/// sent       time at which the last attempt in flight was sent, in microseconds
/// objective  time by which a response meets the latency objective, in microseconds
/// median     median latency of the class in microseconds
/// expected   expected latency of a response, in microseconds; the response is overdue after this time
/// ```
///
/// `EXPECTED_LATENCY_MULTIPLE` is the constant of [`LatencyEstimator::expected_latency_us`].
pub(super) fn hedge_time(request: &ActiveRequest, latency: &LatencyEstimator) -> Option<Timestamp> {
    let last = request.in_flight().next_back()?;
    let objective_us = request.entry.objective_at.micros_since(last.sent_at);
    let delay_us =
        (objective_us - HEDGE_MEDIAN_MULTIPLE * latency.median_us).max(latency.expected_latency_us());
    Some(last.sent_at + duration_from_micros_f64(delay_us))
}
