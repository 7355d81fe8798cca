//! Detection of responses that have begun and do not continue.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::Request;
use hyper::ext::on_informational;
use tokio::time::timeout;

use crate::body::OutboundBody;
use crate::net::UpstreamSocket;

/// A response that has begun and of which nothing more arrives for this long is stalled.
const RESPONSE_PROGRESS_TIMEOUT: Duration = Duration::from_millis(300);
/// How many informational responses (1xx) may precede a response.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Counts the informational responses (1xx) that a request has received. hyper wants its callback to be
/// `Send`, hence the atomic.
pub struct InformationalCounter(Arc<AtomicUsize>);

impl InformationalCounter {
    /// A counter of those that this request will receive.
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

/// Returns when a response has begun to arrive on the socket and does not continue.
///
/// An informational response may precede the final one by any time, so that silence after one is not a stall;
/// but there may be only so many of them.
pub async fn response_stalled(socket: &UpstreamSocket, informational: &InformationalCounter) {
    let mut previous_count = 0;
    loop {
        socket.data_received().await;
        while timeout(RESPONSE_PROGRESS_TIMEOUT, socket.data_received()).await.is_ok() {}
        let count = informational.count();
        if count == previous_count || count > MAX_INFORMATIONAL_RESPONSES {
            return;
        }
        previous_count = count;
    }
}
