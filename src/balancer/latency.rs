//! Latency estimators: how long requests of a class take, and how slow an endpoint is relative to the others.

use super::interface::{RequestClass, as_micros_f64};

/// Minimum fraction by which one response moves the median, and minimum fraction of the difference by which
/// the baseline follows a lower median.
const MEDIAN_STEP: f64 = 0.02;
/// Factor by which the baseline grows with each response while the median is not below it, so that lower
/// latencies of the past are slowly forgotten.
const BASELINE_GROWTH: f64 = 1.00002;
/// Initial guess of the median and the baseline, as a fraction of the class's latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.25;
/// Expected latency of a response, as a multiple of the median. It is above 1 because half of all responses
/// take longer than the median.
const EXPECTED_LATENCY_MULTIPLE: f64 = 1.5;
/// Multiple of the baseline that the median may reach before responses count as slowed down.
const LATENCY_TOLERANCE: f64 = 1.1;
/// Number of samples, including the initial guess, up to which the baseline counts as a guess.
const MAX_GUESS_SAMPLES: f64 = 5.0;

/// Estimates of how long the responses of one class take.
pub(super) struct LatencyEstimator {
    /// Latency objective of the class in microseconds, without the share that grows with the expected work.
    pub(super) objective_us: f64,
    /// Recent median in microseconds. Each response above or below it raises or lowers it by the same ratio.
    pub(super) median_us: f64,
    /// Baseline latency in microseconds: an estimate of the latency without load, which follows the lowest
    /// median.
    pub(super) baseline_us: f64,
    /// Number of responses recorded, plus 1 for the initial guess.
    samples: f64,
}

impl LatencyEstimator {
    /// Returns an estimator without responses, which starts with a guess from the latency objective.
    pub(super) fn new(class: &RequestClass) -> LatencyEstimator {
        let objective_us = as_micros_f64(class.latency_objective);
        let guess = objective_us * INITIAL_OBJECTIVE_FRACTION;
        LatencyEstimator { objective_us, median_us: guess, baseline_us: guess, samples: 1.0 }
    }

    /// Records how long a response took. The first responses move the estimates by large steps, as the
    /// baseline has to be reached before the endpoints are loaded.
    ///
    /// ```text
    /// step     = max(1 / samples, MEDIAN_STEP)
    /// median   = median * (1 + step)   if the response took longer than the median
    ///            median / (1 + step)   otherwise
    /// baseline = baseline + step * (median - baseline)   if the median is below the baseline
    ///            baseline * BASELINE_GROWTH              otherwise
    /// ```
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

    /// Returns the expected latency in microseconds. A response that takes longer is overdue.
    pub(super) fn expected_latency_us(&self) -> f64 {
        EXPECTED_LATENCY_MULTIPLE * self.median_us
    }

    /// Returns the slack in microseconds: latency objective minus baseline; negative if the objective can't
    /// be met.
    pub(super) fn slack_us(&self) -> f64 {
        self.objective_us - self.baseline_us
    }

    /// Returns whether responses take longer than without load: the median exceeds `LATENCY_TOLERANCE` times
    /// the baseline.
    pub(super) fn is_slowed_down(&self) -> bool {
        self.median_us > self.baseline_us * LATENCY_TOLERANCE
    }

    /// Returns whether the baseline is still a guess because too few responses have been recorded.
    pub(super) fn is_baseline_guess(&self) -> bool {
        self.samples <= MAX_GUESS_SAMPLES
    }
}

/// Returns the lowest baseline of all classes, in microseconds.
pub(super) fn lowest_baseline_us(latencies: &[LatencyEstimator]) -> f64 {
    latencies.iter().map(|latency| latency.baseline_us).fold(f64::MAX, f64::min)
}

/// Fraction by which one response moves an endpoint's latency ratio.
const RATIO_STEP: f64 = 0.05;
/// Minimum latency ratio of an endpoint.
const MIN_RATIO: f64 = 0.5;
/// Maximum latency ratio of an endpoint. It lets a slow endpoint get some of the requests, so that its ratio
/// can recover.
const MAX_RATIO: f64 = 4.0;

/// Median latency of an endpoint relative to that of all endpoints, over all classes; 1 if nothing is known.
pub(super) struct LatencyRatio(pub(super) f64);

impl LatencyRatio {
    /// Records a response that took `elapsed_us`, for a class with a median of `median_us`.
    pub(super) fn record(&mut self, elapsed_us: f64, median_us: f64) {
        let step = if elapsed_us > median_us * self.0 { 1.0 + RATIO_STEP } else { 1.0 - RATIO_STEP };
        self.0 = (self.0 * step).clamp(MIN_RATIO, MAX_RATIO);
    }
}
