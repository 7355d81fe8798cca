//! Detection of responses that stall after they have begun.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::Request;
use hyper::ext::on_informational;
use tokio::time::{Instant, timeout};

use crate::body::OutboundBody;
use crate::net::UpstreamSocket;

/// Maximum time without data after which a response that has begun to arrive counts as stalled.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Divisor of the time that is left to the client when data is received. The quotient is the time without
/// data after which the response counts as stalled.
const STALL_DIVISOR: u32 = 3;
/// Minimum of this time, however little time the client has left.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum number of informational responses (1xx) before a final response.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Counts the informational responses (1xx) to a request. The counter is atomic because hyper requires its
/// callback to be `Send`.
pub struct InformationalCounter(Arc<AtomicUsize>);

impl InformationalCounter {
    /// Creates a counter and attaches it to a request before that is sent.
    pub fn attach(request: &mut Request<OutboundBody>) -> InformationalCounter {
        let counter = Arc::new(AtomicUsize::new(0));
        let received = counter.clone();
        on_informational(request, move |_| {
            received.fetch_add(1, Ordering::Relaxed);
        });
        InformationalCounter(counter)
    }

    fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Waits until a response has begun to arrive on the socket and has then stalled: no further data has arrived
/// for a part of the time that was left to the client, between [`MIN_STALL_TIMEOUT`] and
/// [`MAX_STALL_TIMEOUT`]. A request that may be sent again then still has time for that. `deadline` returns
/// the client's, if its time has begun.
///
/// The final response may follow an informational one after any time, so a pause after an informational
/// response is not a stall. At most [`MAX_INFORMATIONAL_RESPONSES`] of them are allowed.
pub async fn response_stalled(
    socket: &UpstreamSocket,
    informational: &InformationalCounter,
    deadline: impl Fn() -> Option<Instant>,
) {
    let mut previous_count = 0;
    loop {
        socket.data_received().await;
        while timeout(stall_timeout(deadline()), socket.data_received()).await.is_ok() {}
        let count = informational.count();
        if count == previous_count || count > MAX_INFORMATIONAL_RESPONSES {
            return;
        }
        previous_count = count;
    }
}

/// Returns the time without data after which a response counts as stalled of which data was received now.
fn stall_timeout(deadline: Option<Instant>) -> Duration {
    let left = deadline.map_or(Duration::MAX, |deadline| deadline.saturating_duration_since(Instant::now()));
    (left / STALL_DIVISOR).clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
}
