//! Outlier detection: an endpoint that fails more often than its peers is ejected for a limited time.

use super::decay::DecayingCounter;
use super::interface::{Timestamp, duration_from_micros_f64};

/// Ejection time for each excess failure, in microseconds. An endpoint that continues to fail is ejected for
/// longer each time.
const EJECTION_PER_FAILURE_US: f64 = 100_000.0;

/// Kind of a failure, by the requests that it is expected to affect.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FailureKind {
    /// An error response to a request of this class: it may affect this class alone.
    ClassError(usize),
    /// A connection that failed or broke, an invalid or stalled response, a rejection or a timeout: it may
    /// affect requests of any class.
    AnyClass,
}

impl FailureKind {
    /// Returns the number of failures that is normal among peers with these counts: the mean of the counts.
    /// For errors of a class it is the lower quartile, as most peers may return errors for one class while
    /// the others serve it.
    pub(super) fn normal_failures(self, mut counts: Vec<f64>) -> f64 {
        counts.sort_by(f64::total_cmp);
        match self {
            FailureKind::ClassError(_) => counts.get(counts.len() / 4).copied().unwrap_or(0.0),
            FailureKind::AnyClass => counts.iter().sum::<f64>() / counts.len().max(1) as f64,
        }
    }
}

/// Counts of the failures of one kind at one endpoint, and the ejection for them.
#[derive(Clone, Copy, Default)]
pub(super) struct OutlierDetector {
    /// Recent failures, decaying.
    pub(super) recent: DecayingCounter,
    /// Number of recent failures that is normal among the endpoint's peers, decaying.
    pub(super) normal_failures: DecayingCounter,
    ejected_until: Timestamp,
}

impl OutlierDetector {
    /// Returns the number of recent failures beyond what is normal among the endpoint's peers. Failures that
    /// all peers have alike say nothing about one endpoint.
    ///
    /// ```text
    /// excess failures = max(recent - normal_failures, 0)
    /// ```
    fn excess_failures(&self, now: Timestamp) -> f64 {
        (self.recent.value_at(now) - self.normal_failures.value_at(now)).max(0.0)
    }

    /// Ejects the endpoint for a time in proportion to its excess failures. Afterwards, it is tried again.
    ///
    /// ```text
    /// ejection time = excess failures * EJECTION_PER_FAILURE_US
    /// ```
    pub(super) fn eject(&mut self, now: Timestamp) {
        let ejection_us = self.excess_failures(now) * EJECTION_PER_FAILURE_US;
        self.ejected_until = now + duration_from_micros_f64(ejection_us);
    }
}

/// Failures of all kinds at one endpoint.
#[derive(Default)]
pub(super) struct EndpointOutliers {
    /// Failures that may affect requests of any class.
    any_class: OutlierDetector,
    /// Errors by class: an endpoint that returns errors for one class may serve the others well.
    class_errors: Vec<OutlierDetector>,
}

impl EndpointOutliers {
    pub(super) fn new(class_count: usize) -> EndpointOutliers {
        EndpointOutliers {
            any_class: OutlierDetector::default(),
            class_errors: vec![OutlierDetector::default(); class_count],
        }
    }

    /// Returns the detector that counts failures of a kind.
    pub(super) fn detector(&mut self, kind: FailureKind) -> &mut OutlierDetector {
        match kind {
            FailureKind::ClassError(class) => &mut self.class_errors[class],
            FailureKind::AnyClass => &mut self.any_class,
        }
    }

    /// Returns the number of recent excess failures that may affect a request of this class.
    pub(super) fn excess_failures(&self, class: usize, now: Timestamp) -> f64 {
        self.any_class.excess_failures(now) + self.class_errors[class].excess_failures(now)
    }

    /// Returns whether the endpoint is ejected for all classes.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.any_class.ejected_until > now
    }

    /// Returns whether the endpoint is ejected for this class because of its errors.
    pub(super) fn is_ejected_for_class(&self, class: usize, now: Timestamp) -> bool {
        self.class_errors[class].ejected_until > now
    }
}
