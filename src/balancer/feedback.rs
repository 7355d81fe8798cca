//! What the end of an attempt teaches: of its endpoint, its class and the load of all.

use std::time::Duration;

use super::Balancer;
use super::concurrency::LimitSample;
use super::interface::{Outcome, as_micros_f64};
use super::outliers::FailureKind;
use super::requests::{Attempt, QueuedRequest};

impl Balancer {
    /// Learns from the end of an attempt. The response of an endpoint that was not executing it any more, or
    /// not yet, does not tell how fast the endpoint is; nor does what was sent before its return from
    /// maintenance.
    pub(super) fn learn(&mut self, entry: &QueuedRequest, end: Attempt, outcome: Outcome, elapsed: Duration) {
        let Ok(i) = self.table.find(end.endpoint.id) else { return };
        self.table.endpoints[i].in_flight -= u32::from(end.executing);
        let (served, elapsed_us) = (outcome == Outcome::Served, as_micros_f64(elapsed));
        let sent_at = self.now - elapsed;
        if served && !end.executing || self.table.maintenance.was_sent_before_exit(end.endpoint.id, sent_at) {
            return;
        }
        if !outcome.not_executed() {
            let queue_wait = &mut self.admission.queue_wait;
            queue_wait.record(self.now, &self.latencies, entry.class, elapsed_us, served);
        }
        match outcome {
            Outcome::Served => self.learn_latency(entry, i, elapsed_us),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Error => self.learn_failure(i, FailureKind::ClassError(entry.class)),
            _ => self.learn_failure(i, FailureKind::AnyClass),
        }
    }

    fn learn_latency(&mut self, entry: &QueuedRequest, i: usize, elapsed_us: f64) {
        let latency = &mut self.latencies[entry.class];
        self.table.endpoints[i].latency_ratio.record(elapsed_us, latency.median_us);
        latency.record(elapsed_us);
        let queued = self.queues.iter().flatten().any(|queued| queued.within_quota);
        let sample = LimitSample { latency, elapsed_us, within_quota: entry.within_quota, queued };
        self.concurrency.record(self.now, &sample, self.table.ready.len());
    }

    /// The peers are the endpoints of its pool; for an error, all that are ready.
    fn learn_failure(&mut self, i: usize, kind: FailureKind) {
        let is_peer = |pool: &&[usize]| kind == FailureKind::AnyClass && pool.contains(&i);
        let peers = self.pools.iter().map(|pool| &pool.members[..]).find(is_peer);
        self.table.record_failure(i, peers, kind, self.now);
    }
}
