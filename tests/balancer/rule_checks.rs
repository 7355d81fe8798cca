//! Checks of each action of a node against the settings and the first three rules of the protocol, which the
//! module `rules` lists.

use std::time::Duration;

use mothspool::*;

use crate::random_scenario::{AttemptRecord, RandomScenario, RequestRecord};

/// Maximum time that a retry takes to arrive at its endpoint.
const TRANSIT_TIME: Duration = Duration::from_millis(20);

impl RandomScenario {
    /// Checks an action against the settings and the rules, and records it.
    pub fn check_action(&mut self, action: &Action) {
        match *action {
            Action::Send { request, endpoint, begin_by } => self.check_send(request, endpoint, begin_by),
            Action::Reject { request, .. } => self.check_final_answer(request, true),
            Action::Fail(request) => self.check_final_answer(request, false),
            Action::Cancel(request, attempt) => {
                assert!(
                    self.settings.cancellation,
                    "cancelled an attempt although the settings don't allow it"
                );
                let attempts = &self.requests[&request].attempts;
                assert!(attempts.len() > usize::from(attempt), "cancelled an attempt that was never sent");
            }
            Action::SetTimer { after, token } => {
                self.timers.insert((self.node.now + after, token));
            }
            Action::Subscribe => {}
        }
    }

    fn check_send(&mut self, id: RequestId, to: EndpointId, begin_by: Option<Timestamp>) {
        let (now, s) = (self.node.now, &self.settings);
        let request = self.requests.get_mut(&id).expect("a request that has arrived");
        // Rule 1: an answered request needs no further attempt.
        assert!(!request.finished, "sent a finished request");
        assert!(!request.body_forwarded, "sent a request again whose body is not kept");
        // Rule 3.
        let endpoint = self.listed[&to];
        assert_eq!(endpoint.state, EndpointState::Ready, "sent to an endpoint that is draining or gone");
        assert!(!self.in_maintenance.contains(&to), "sent to an endpoint in maintenance");
        // Limits of the settings.
        let in_flight = request.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        assert!(in_flight == 0 || s.hedging, "hedged although the settings don't allow it");
        assert!(request.attempts.len() < usize::from(s.max_attempts), "too many attempts");
        // Rule 2: each earlier attempt was not executed, or the class allows a second execution.
        for earlier in &request.attempts {
            let class = &s.classes[request.class];
            let is_safe = earlier.outcome.is_some_and(Outcome::not_executed)
                || may_execute_again(class, earlier, &endpoint, now, begin_by);
            assert!(is_safe, "the request could be executed twice");
        }
        request.attempts.push(AttemptRecord { endpoint, sent_at: now, response_began: false, outcome: None });
    }

    fn check_final_answer(&mut self, id: RequestId, rejected: bool) {
        let request = self.requests.get_mut(&id).expect("a request that has arrived");
        // Rule 1.
        assert!(!request.finished, "answered twice");
        assert!(self.node.now <= request.deadline, "answered after the deadline");
        let class = &self.settings.classes[request.class];
        // Rule 2: the client may retry a rejected request.
        assert!(
            !rejected || may_client_retry(class, request),
            "rejected a request that may have been executed"
        );
        request.finished = true;
        self.final_answers += 1;
    }
}

/// Returns whether a client may safely retry a request.
fn may_client_retry(class: &RequestClass, request: &RequestRecord) -> bool {
    let not_executed = request.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::not_executed));
    not_executed
        || matches!(
            class.idempotency,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: IdempotencyScope::All, .. }
        )
}

/// Returns whether a request may be sent to an endpoint although an earlier attempt may have been executed.
fn may_execute_again(
    class: &RequestClass,
    earlier: &AttemptRecord,
    to: &EndpointInfo,
    now: Timestamp,
    begin_by: Option<Timestamp>,
) -> bool {
    let before = &earlier.endpoint;
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, window } => {
            let in_time = |by: Timestamp| now < by && by + TRANSIT_TIME <= earlier.sent_at + window;
            let same_scope = match scope {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => before.zone == to.zone,
                IdempotencyScope::Cell if to.cell.is_some() => before.cell == to.cell,
                IdempotencyScope::Cell => (before.id, before.started_at) == (to.id, to.started_at),
            };
            begin_by.is_some_and(in_time) && same_scope
        }
    }
}
