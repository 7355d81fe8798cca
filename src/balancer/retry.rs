//! The rules for retries and hedges: whether, where and until when a request may be sent again.

use std::time::Duration;

use super::interface::{EndpointInfo, Idempotency, IdempotencyScope, RequestClass, Settings, Timestamp};
use super::requests::{ActiveRequest, AttemptState};

/// Maximum time that a retry takes to arrive at an endpoint. It has arrived when the endpoint has its last
/// byte, which on a new connection takes several round trips and processing time at the endpoint.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Returns whether a request may be sent to this endpoint now.
pub(super) fn may_send(
    settings: &Settings,
    request: &ActiveRequest,
    to: &EndpointInfo,
    now: Timestamp,
) -> bool {
    let class = &settings.classes[request.entry.class];
    !request.body_forwarded
        && request.attempts.len() < usize::from(settings.max_attempts)
        && (!request.is_in_flight() || settings.hedging)
        && retry_deadline(settings, request).is_none_or(|deadline| now < deadline)
        && request.attempts.iter().all(|attempt| {
            attempt.state == AttemptState::NotExecuted || may_execute_again(class, &attempt.endpoint, to)
        })
}

/// Returns whether a request may be sent to `to` although the endpoint `earlier` may have executed it.
fn may_execute_again(class: &RequestClass, earlier: &EndpointInfo, to: &EndpointInfo) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, .. } => match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => earlier.zone == to.zone,
            // An endpoint without a cell knows only its own keys, and loses them when it restarts.
            IdempotencyScope::Cell if earlier.cell.is_none() && to.cell.is_none() => {
                (earlier.id, earlier.started_at) == (to.id, to.started_at)
            }
            IdempotencyScope::Cell => earlier.cell == to.cell,
        },
    }
}

/// Returns the deadline for starting a retry of a request with an idempotency key that may have been
/// executed. Endpoints may have forgotten the key when a later retry arrives, and would execute the request
/// again. Other requests have no such deadline.
///
/// ```text
/// deadline = first + window - max(clock, transit)
///
/// first    time of the first attempt that may have been executed
/// window   idempotency window of the class
/// clock    Settings::clock_granularity
/// transit  MAX_TRANSIT_TIME
/// ```
pub(super) fn retry_deadline(settings: &Settings, request: &ActiveRequest) -> Option<Timestamp> {
    let class = &settings.classes[request.entry.class];
    let Idempotency::IdempotentWithKey { window, .. } = class.idempotency else { return None };
    let first = request.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted)?;
    Some(first.sent_at + window - settings.clock_granularity.max(MAX_TRANSIT_TIME))
}
