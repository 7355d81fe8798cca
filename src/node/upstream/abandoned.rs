//! Responses that were given up because they were expected to be short: their lengths are observed, so that
//! long ones are given up only until the first of them was recognized.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;

use super::pool::ConnectionLease;
use crate::body::{IncomingBody, ResponseLengths};

/// Maximum time for which a response is observed. An endpoint may take so long from one part of a long
/// response to the next.
const OBSERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the rest of a response that was given up and discards it, until it is known whether the response is
/// long, unless another one of the class is being observed. Closes the connection then.
pub fn observe_length(mut body: IncomingBody, lease: ConnectionLease, lengths: &Rc<ResponseLengths>) {
    let Some(observation) = lengths.begin_observation() else { return };
    spawn_local(async move {
        let observed = timeout(OBSERVATION_TIMEOUT, body.read_until_long()).await;
        if let Ok(Some(received)) = observed {
            observation.record(received);
        }
        drop(lease);
    });
}
