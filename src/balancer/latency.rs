//! Latency estimators: how long a class of requests takes, and how slow an endpoint is against others.

use super::interface::{RequestClass, as_micros_f64};

/// How far one response moves the median, and that the baseline, once many were seen.
const MEDIAN_STEP: f64 = 0.02;
/// Growth of the baseline with each response while the median is not below it: it slowly forgets better days.
const BASELINE_GROWTH: f64 = 1.00002;
/// The first guess at the median is this part of the class's latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// A response is counted on within this multiple of the median: half of all take longer than the median.
const LIKELY_MULTIPLE: f64 = 1.5;
/// The median may rise to this multiple of the baseline before responses count as slowed down.
const LATENCY_TOLERANCE: f64 = 1.1;
/// The baseline is a guess up to so many responses, the guess among them.
const MAX_GUESS_SAMPLES: f64 = 5.0;

/// How long the responses of one class take, in microseconds.
pub(super) struct LatencyEstimator {
    /// The latency objective of the class, without the part that grows with work.
    pub(super) objective_us: f64,
    /// The recent median: raised or lowered by a fixed ratio with each response above or below it.
    pub(super) median_us: f64,
    /// The lowest that the median was: the latency without load.
    pub(super) baseline_us: f64,
    /// Responses seen, and the first guess.
    samples: f64,
}

impl LatencyEstimator {
    /// An estimator that has seen no response: a guess from the latency objective.
    pub(super) fn new(class: &RequestClass) -> LatencyEstimator {
        let objective_us = as_micros_f64(class.latency_objective);
        let guess = objective_us * INITIAL_OBJECTIVE_FRACTION;
        LatencyEstimator { objective_us, median_us: guess, baseline_us: guess, samples: 1.0 }
    }

    /// Takes in a response; by large steps at first, as the baseline has to be met before endpoints fill.
    pub(super) fn record(&mut self, elapsed_us: f64) {
        self.samples += 1.0;
        let step = (1.0 / self.samples).max(MEDIAN_STEP);
        self.median_us *= if elapsed_us > self.median_us { 1.0 + step } else { 1.0 / (1.0 + step) };
        if self.median_us < self.baseline_us {
            self.baseline_us += step * (self.median_us - self.baseline_us);
        } else {
            self.baseline_us *= BASELINE_GROWTH;
        }
    }

    /// The time within which a response may be counted on.
    pub(super) fn likely_us(&self) -> f64 {
        LIKELY_MULTIPLE * self.median_us
    }

    /// What the latency objective leaves beyond the baseline; negative if it can't be met.
    pub(super) fn slack_us(&self) -> f64 {
        self.objective_us - self.baseline_us
    }

    /// Whether responses take clearly longer than without load.
    pub(super) fn is_slowed_down(&self) -> bool {
        self.median_us > self.baseline_us * LATENCY_TOLERANCE
    }

    /// Whether too few responses were seen for the baseline to be more than a guess.
    pub(super) fn is_baseline_guess(&self) -> bool {
        self.samples <= MAX_GUESS_SAMPLES
    }
}

/// The lowest baseline of all classes, in microseconds.
pub(super) fn shortest_baseline_us(latencies: &[LatencyEstimator]) -> f64 {
    latencies.iter().map(|latency| latency.baseline_us).fold(f64::MAX, f64::min)
}

/// How far one response moves an endpoint's latency ratio.
const RATIO_STEP: f64 = 0.05;
/// The least latency ratio that an endpoint can have.
const MIN_RATIO: f64 = 0.5;
/// The largest: a slow endpoint still gets a part of the work, and so the chance to improve.
const MAX_RATIO: f64 = 4.0;

/// The median latency of an endpoint against that of all, over all classes; 1 where nothing is known.
pub(super) struct LatencyRatio(pub(super) f64);

impl LatencyRatio {
    /// Takes in a response that took so long where the median of its class is `median_us`.
    pub(super) fn record(&mut self, elapsed_us: f64, median_us: f64) {
        let step = if elapsed_us > median_us * self.0 { 1.0 + RATIO_STEP } else { 1.0 - RATIO_STEP };
        self.0 = (self.0 * step).clamp(MIN_RATIO, MAX_RATIO);
    }
}
