//! Bodies that pass through the node: a server works on a request from its last byte to the first of its answer,
//! and only for that time is the request load. Part of the decisions, like `src/decide.rs`.

use super::Balancer;
use super::interface::*;
use super::state::{Attempt, AttemptState};
use super::time::Timestamp;

impl Balancer {
    /// A request's body goes to a server as it comes and can't be sent again; until its last byte has come, the
    /// server only waits. The attempt says when it is over.
    pub(crate) fn body_passed_on(&mut self, id: RequestId) {
        self.change(id, |job| (job.passed_on, job.give_up_at) = (true, Timestamp::MAX));
        if let Some(attempt) = self.only_out(id).filter(|attempt| attempt.working) {
            attempt.working = false;
            let to = attempt.to.id;
            self.find(to).into_iter().for_each(|i| self.endpoints[i].in_flight -= 1);
            self.dispatch();
        }
    }

    /// The last byte of such a body has come.
    pub(crate) fn body_whole(&mut self, id: RequestId) {
        let now = self.now;
        let Some(attempt) = self.only_out(id).filter(|attempt| !attempt.working) else { return };
        attempt.sent_at = now;
        let to = attempt.to.id;
        if let Ok(i) = self.find(to) {
            self.endpoints[i].in_flight += 1;
            self.only_out(id).into_iter().for_each(|attempt| attempt.working = true);
        }
    }

    /// An answer has begun: the server has done its work, and how long the client takes tells nothing of it.
    pub(crate) fn stream_began(&mut self, request: RequestId, number: AttemptNumber) {
        let Some(job) = self.jobs.get_mut(&request) else { return };
        job.done = true;
        let (ask, now) = (job.ask, self.now);
        let out = |a: &&mut Attempt| a.fate == AttemptState::InFlight && a.working;
        if let Some(attempt) = job.attempts.get_mut(usize::from(number)).filter(out) {
            attempt.working = false;
            let (to, elapsed) = (attempt.to.id, now.saturating_duration_since(attempt.sent_at));
            let end = AttemptResult {
                request,
                attempt: number,
                outcome: Outcome::Served,
                elapsed,
                request_finished: true,
            };
            self.learn(ask, to, end, true);
        }
        self.cancel_others(request, Some(number));
        self.dispatch();
    }

    /// The one attempt that is out.
    fn only_out(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.jobs.get_mut(&id)?.attempts.iter_mut().find(|a| a.fate == AttemptState::InFlight)
    }
}
