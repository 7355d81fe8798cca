//! Whether, where and until when a request may be sent once more. Part of the decisions, like `src/decide.rs`.

use std::time::Duration;

use super::Balancer;
use super::interface::*;
use super::state::{ActiveRequest, AttemptState};
use super::time::Timestamp;

/// For how long a repeat may be on its way. It counts once its last byte has arrived, and on a new connection that takes
/// some round trips and the server's work.
const ON_ITS_WAY: Duration = Duration::from_millis(20);

impl Balancer {
    pub(crate) fn allowed(&self, job: &ActiveRequest, to: &EndpointInfo) -> bool {
        let again = |to_before: &EndpointInfo| match self.settings.classes[job.ask.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { group: IdempotencyScope::All, .. } => {
                true
            }
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotentWithKey { group: IdempotencyScope::Zone, .. } => to_before.zone == to.zone,
            Idempotency::IdempotentWithKey { group: IdempotencyScope::Cell, .. } => {
                match (to_before.cell, to.cell) {
                    // One that has started anew remembers nothing.
                    (None, None) => (to_before.id, to_before.started_at) == (to.id, to.started_at),
                    (before, now) => before == now,
                }
            }
        };
        !job.passed_on
            && job.attempts.len() < usize::from(self.settings.max_attempts)
            && (job.out() == 0 || self.settings.hedging)
            && self.repeat_by(job).is_none_or(|by| self.now < by)
            && job.attempts.iter().all(|a| a.fate == AttemptState::NotExecuted || again(&a.to))
    }

    /// When servers begin to forget the request, if they do: what sets out from then on may run again.
    pub(crate) fn repeat_by(&self, job: &ActiveRequest) -> Option<Timestamp> {
        let Idempotency::IdempotentWithKey { window, .. } = self.settings.classes[job.ask.class].idempotency
        else {
            return None;
        };
        let first = job.attempts.iter().find(|a| a.fate != AttemptState::NotExecuted)?;
        Some(first.sent_at + window - self.settings.clock_granularity.max(ON_ITS_WAY))
    }
}
