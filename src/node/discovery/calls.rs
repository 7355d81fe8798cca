//! The calls to discovery that open a watch: one at a time, or two while the first one is late.
//!
//! Discovery that does not answer may be unreachable, so a call that is late is followed by another one. It
//! may also be slow, and would never be heard if each late call were given up for the next.

use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::time::timeout;

use super::watch::{LATE_CALL_TIMEOUT, Watch, WatchError};

type Call = Pin<Box<dyn Future<Output = Result<Watch, WatchError>>>>;

/// The call that is late, or its answer.
#[derive(Default)]
pub(super) struct Calls {
    late: Option<Call>,
    answer: Option<Watch>,
}

impl Calls {
    /// Opens a watch on which discovery sends the changes since `revision`. Fails if the call is late, which
    /// remains open then in place of an earlier late one. An answer to that one is as good as its own.
    pub(super) async fn open(&mut self, address: SocketAddr, revision: u64) -> Result<Watch, WatchError> {
        if let Some(watch) = self.answer.take() {
            return Ok(watch);
        }
        let mut call: Call = Box::pin(Watch::open(address, revision));
        let opened = tokio::select! {
            biased;
            opened = timeout(LATE_CALL_TIMEOUT, &mut call) => opened,
            watch = answer_of(&mut self.late) => return Ok(watch),
        };
        let is_late = opened.is_err();
        self.late = is_late.then_some(call);
        opened.unwrap_or(Err(WatchError::ResponseTimedOut { address, timeout: LATE_CALL_TIMEOUT }))
    }

    /// Waits for an answer to the late call, which the next [`Calls::open`] returns.
    pub(super) async fn late_answer(&mut self) {
        self.answer = Some(answer_of(&mut self.late).await);
    }
}

/// Waits until a late call has opened a watch. Never returns if there is no such call, or if it fails.
async fn answer_of(late: &mut Option<Call>) -> Watch {
    if let Some(call) = late {
        let opened = call.await;
        *late = None;
        if let Ok(watch) = opened {
            return watch;
        }
    }
    pending().await
}
