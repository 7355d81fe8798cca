//! Retries and hedges: whether, where and until when a request may be sent once more.

use std::time::Duration;

use super::interface::{EndpointInfo, Idempotency, IdempotencyScope, RequestClass, Settings, Timestamp};
use super::requests::{ActiveRequest, AttemptState};

/// How long a retry may take to arrive: it counts once its last byte has arrived, and on a new connection
/// that takes some round trips and the endpoint's work.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Whether a request may be sent to this endpoint now.
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

/// Whether a request that may have been executed at one endpoint may go to another, or to the same one again.
fn may_execute_again(class: &RequestClass, earlier: &EndpointInfo, to: &EndpointInfo) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, .. } => match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => earlier.zone == to.zone,
            // Of endpoints without a cell each knows only its own keys, and none of them after a restart.
            IdempotencyScope::Cell if earlier.cell.is_none() && to.cell.is_none() => {
                (earlier.id, earlier.started_at) == (to.id, to.started_at)
            }
            IdempotencyScope::Cell => earlier.cell == to.cell,
        },
    }
}

/// When endpoints begin to forget the key of a request that may have been executed: an attempt that begins
/// then might be executed again. `first attempt + idempotency window - time to arrive`; none for other
/// requests. A clock coarser than the time to arrive takes its place.
pub(super) fn retry_deadline(settings: &Settings, request: &ActiveRequest) -> Option<Timestamp> {
    let class = &settings.classes[request.entry.class];
    let Idempotency::IdempotentWithKey { window, .. } = class.idempotency else { return None };
    let first = request.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted)?;
    Some(first.sent_at + window - settings.clock_granularity.max(MAX_TRANSIT_TIME))
}
