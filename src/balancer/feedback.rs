//! Feedback from finished attempts to the statistics of endpoints, classes and overall load.

use std::time::Duration;

use super::Balancer;
use super::concurrency::LimitSample;
use super::interface::{Outcome, as_micros_f64};
use super::outliers::FailureKind;
use super::requests::{Attempt, QueuedRequest};

impl Balancer {
    /// Updates the statistics with the outcome of an attempt.
    ///
    /// Every attempt stops counting as executing at its endpoint. Apart from that, the statistics ignore two
    /// kinds of attempts:
    ///
    /// - A served attempt that the endpoint is no longer executing, as its response has already begun, or not
    ///   yet, as the request is incomplete. The elapsed time does not show the endpoint's speed.
    /// - An attempt that was sent before the endpoint exited maintenance. It does not show the endpoint's
    ///   present state.
    pub(super) fn record_outcome(
        &mut self,
        entry: &QueuedRequest,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let Ok(i) = self.table.find(attempt.endpoint.id) else { return };
        self.table.endpoints[i].executing -= u32::from(attempt.executing);
        let (served, elapsed_us) = (outcome == Outcome::Served, as_micros_f64(elapsed));
        let sent_at = self.now - elapsed;
        if served && !attempt.executing
            || self.table.maintenance.was_sent_before_exit(attempt.endpoint.id, sent_at)
        {
            return;
        }
        if !outcome.not_executed() {
            let queue_wait = &mut self.admission.queue_wait;
            queue_wait.record(self.now, &self.latencies, entry.class, elapsed_us, served);
        }
        match outcome {
            Outcome::Served => self.record_latency(entry, i, elapsed_us),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Error => self.record_failure(i, FailureKind::ClassError(entry.class)),
            _ => self.record_failure(i, FailureKind::AnyClass),
        }
    }

    /// Updates the latency estimates and the concurrency limit with a served attempt.
    fn record_latency(&mut self, entry: &QueuedRequest, endpoint_index: usize, elapsed_us: f64) {
        let latency = &mut self.latencies[entry.class];
        self.table.endpoints[endpoint_index].latency_ratio.record(elapsed_us, latency.median_us);
        latency.record(elapsed_us);
        let has_queue = self.queues.iter().flatten().any(|request| request.within_quota);
        let sample = LimitSample { latency, elapsed_us, within_quota: entry.within_quota, has_queue };
        self.concurrency.record(self.now, &sample, self.table.ready.len());
    }

    /// Counts a failure of an endpoint and compares it with its peers: all ready endpoints for an error
    /// response, else the endpoints of its pool.
    fn record_failure(&mut self, endpoint_index: usize, kind: FailureKind) {
        let is_peer = |pool: &&[usize]| kind == FailureKind::AnyClass && pool.contains(&endpoint_index);
        let peers = self.pools.iter().map(|pool| &pool.members[..]).find(is_peer);
        self.table.record_failure(endpoint_index, peers, kind, self.now);
    }
}
