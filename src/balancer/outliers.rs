//! Outlier detection: an endpoint that fails more than its peers is ejected for a while.

use super::decay::DecayingCounter;
use super::interface::{Timestamp, duration_from_micros_f64};

/// Ejection time for each excess failure, in microseconds: an endpoint that goes on failing is ejected for
/// longer each time.
const EJECTION_PER_FAILURE_US: f64 = 100_000.0;

/// What a failure tells of the endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FailureKind {
    /// An error response: it may be about its class alone.
    ClassError(usize),
    /// A break, a rejection or silence: whatever the request was.
    AnyClass,
}

impl FailureKind {
    /// What counts as normal among peers with these counts: the mean. Of errors it is the lower quartile, as
    /// most peers may err on one class while the others serve it.
    pub(super) fn baseline(self, mut counts: Vec<f64>) -> f64 {
        counts.sort_by(f64::total_cmp);
        match self {
            FailureKind::ClassError(_) => counts.get(counts.len() / 4).copied().unwrap_or(0.0),
            FailureKind::AnyClass => counts.iter().sum::<f64>() / counts.len().max(1) as f64,
        }
    }
}

/// Failures of one kind at one endpoint.
#[derive(Clone, Copy, Default)]
pub(super) struct OutlierDetector {
    /// Its recent failures, decaying.
    pub(super) recent: DecayingCounter,
    /// How many of them are normal among its peers.
    pub(super) baseline: DecayingCounter,
    ejected_until: Timestamp,
}

impl OutlierDetector {
    /// Recent failures beyond the baseline: what happens to all peers alike tells nothing of one.
    fn excess_failures(&self, now: Timestamp) -> f64 {
        (self.recent.value_at(now) - self.baseline.value_at(now)).max(0.0)
    }

    /// Ejects the endpoint for as long as its excess failures warrant; then it is tried again.
    pub(super) fn eject(&mut self, now: Timestamp) {
        let ejection_us = self.excess_failures(now) * EJECTION_PER_FAILURE_US;
        self.ejected_until = now + duration_from_micros_f64(ejection_us);
    }
}

/// All failures of one endpoint.
#[derive(Default)]
pub(super) struct EndpointOutliers {
    /// Failures that may befall any request.
    any_class: OutlierDetector,
    /// Errors by class: an endpoint that errs on one may serve the others well.
    class_errors: Vec<OutlierDetector>,
}

impl EndpointOutliers {
    pub(super) fn new(class_count: usize) -> EndpointOutliers {
        EndpointOutliers {
            any_class: OutlierDetector::default(),
            class_errors: vec![OutlierDetector::default(); class_count],
        }
    }

    /// The detector that counts failures of a kind.
    pub(super) fn detector(&mut self, kind: FailureKind) -> &mut OutlierDetector {
        match kind {
            FailureKind::ClassError(class) => &mut self.class_errors[class],
            FailureKind::AnyClass => &mut self.any_class,
        }
    }

    /// Recent failures that a request of this class has to expect.
    pub(super) fn excess_failures(&self, class: usize, now: Timestamp) -> f64 {
        self.any_class.excess_failures(now) + self.class_errors[class].excess_failures(now)
    }

    /// Whether the endpoint is ejected for all classes.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.any_class.ejected_until > now
    }

    /// Whether the endpoint is ejected for its errors on this class.
    pub(super) fn is_ejected_for_class(&self, class: usize, now: Timestamp) -> bool {
        self.class_errors[class].ejected_until > now
    }
}
