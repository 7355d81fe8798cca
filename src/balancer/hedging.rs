//! Hedging: a second attempt at another endpoint once the first seems to have met a pausing one.

use super::interface::{Timestamp, duration_from_micros_f64};
use super::latency::LatencyEstimator;
use super::requests::ActiveRequest;

/// A hedge is sent while it would meet the latency objective even at this multiple of the median.
const HEDGE_MEDIAN_MULTIPLE: f64 = 2.0;
/// How far one race moves the win rate.
const WIN_RATE_STEP: f64 = 0.05;
/// Hedges may fill a pool like first attempts while they win more than this part of their races; else only
/// the part that is spare.
const MIN_WIN_RATE: f64 = 0.1;

/// How often the later attempt wins where one is served while another is in flight.
#[derive(Default)]
pub(super) struct HedgeStatistics {
    win_rate: f64,
}

impl HedgeStatistics {
    /// A race of two attempts has ended.
    pub(super) fn record(&mut self, hedge_won: bool) {
        self.win_rate += WIN_RATE_STEP * (f64::from(u8::from(hedge_won)) - self.win_rate);
    }

    /// Whether hedges win often enough to compete with first attempts. Those of long requests mostly lose,
    /// and only fill endpoints.
    pub(super) fn are_effective(&self) -> bool {
        self.win_rate > MIN_WIN_RATE
    }
}

/// When a request is to be hedged: as late as a hedge would still meet the latency objective, but not before
/// the response to its last attempt is overdue. `sent + max(objective - sent - 2 * median, 1.5 * median)`;
/// none if no attempt is in flight.
pub(super) fn hedge_time(request: &ActiveRequest, latency: &LatencyEstimator) -> Option<Timestamp> {
    let last = request.in_flight().next_back()?;
    let objective_us = request.entry.objective_at.micros_since(last.sent_at);
    let delay_us = (objective_us - HEDGE_MEDIAN_MULTIPLE * latency.median_us).max(latency.likely_us());
    Some(last.sent_at + duration_from_micros_f64(delay_us))
}
