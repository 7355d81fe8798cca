//! Whether, where and until when a request may be sent once more. Part of the decisions, like `src/decide.rs`.

use crate::api::*;
use crate::decide::Balancer;
use crate::state::{Fate, Job};

/// For how long a repeat may be on its way. It counts once its last byte has arrived, and on a new connection that takes
/// some round trips and the server's work.
const ON_ITS_WAY: Micros = 20_000;

impl Balancer {
    pub(crate) fn allowed(&self, job: &Job, to: &ServerEntry) -> bool {
        let again = |to_before: &ServerEntry| match self.settings.classes[job.ask.class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Unsafe => false,
            Effect::Keyed { group: Group::Zone, .. } => to_before.zone == to.zone,
            Effect::Keyed { group: Group::Cell, .. } => match (to_before.cell, to.cell) {
                // One that has started anew remembers nothing.
                (None, None) => (to_before.id, to_before.ready_at) == (to.id, to.ready_at),
                (before, now) => before == now,
            },
        };
        !job.passed_on
            && job.attempts.len() < usize::from(self.settings.max_attempts)
            && (job.out() == 0 || self.settings.second_copies)
            && self.repeat_by(job).is_none_or(|by| self.now < by)
            && job.attempts.iter().all(|a| a.fate == Fate::NeverRan || again(&a.to))
    }

    /// When servers begin to forget the request, if they do: what sets out from then on may run again.
    pub(crate) fn repeat_by(&self, job: &Job) -> Option<Micros> {
        let Effect::Keyed { window, .. } = self.settings.classes[job.ask.class].effect else { return None };
        let first = job.attempts.iter().find(|a| a.fate != Fate::NeverRan)?;
        Some(first.sent_at.saturating_add(window).saturating_sub(self.settings.step.max(ON_ITS_WAY)))
    }
}
