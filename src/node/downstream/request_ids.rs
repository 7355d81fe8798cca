//! The ids of requests that must not be accepted again: those of open requests, and for some time those of
//! requests that may have been executed although their client left.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use mothspool::Idempotency;
use tokio::time::Instant;

use crate::state_store::{REQUEST_ID_RETENTION, SharedRequestIds};

/// Maximum length of a `Req-Id`.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// Memory that a retained id takes at most, in bytes: the text, and its entries in the set and in the queue.
const RETAINED_ID_BYTES: usize = MAX_REQUEST_ID_BYTES + 128;
/// Divisor of the node's memory. The quotient is the memory for retained ids.
const RETAINED_IDS_DIVISOR: usize = 128;

/// The `Req-Id` of each open request, and the retained ones. Endpoints and logs distinguish requests by it.
pub struct RequestIds {
    /// All ids, open and retained. Those of non-idempotent requests are shared with other processes.
    ids: RefCell<HashMap<Rc<str>, Idempotency>>,
    /// The ids of all processes of the node, while they share them.
    shared: RefCell<Option<SharedRequestIds>>,
    /// The retained ids with the end of their retention, the earliest first.
    retained: RefCell<VecDeque<(Instant, Rc<str>)>>,
    max_retained: usize,
}

impl RequestIds {
    /// Creates an empty set, for a process that may use `memory_bytes` bytes in total. If more ids have to be
    /// retained than [`RETAINED_IDS_DIVISOR`] allows, the earliest ones are released early.
    pub fn new(memory_bytes: usize) -> RequestIds {
        RequestIds {
            ids: RefCell::default(),
            shared: RefCell::new(None),
            retained: RefCell::default(),
            max_retained: memory_bytes / RETAINED_IDS_DIVISOR / RETAINED_ID_BYTES,
        }
    }

    /// Shares the ids of non-idempotent requests with other processes, beginning with those that are claimed
    /// now.
    pub fn start_sharing(&self, shared: SharedRequestIds) {
        for (id, idempotency) in &*self.ids.borrow() {
            if *idempotency == Idempotency::NonIdempotent {
                shared.claim(id);
            }
        }
        *self.shared.borrow_mut() = Some(shared);
    }

    /// Releases all shared ids, and shares no more.
    pub fn stop_sharing(&self) {
        if let Some(shared) = self.shared.take() {
            shared.clear();
        }
    }

    /// Claims an id until the returned claim is dropped. Returns `None` if an open request has the id, or if
    /// it is retained at `now`.
    pub fn claim(&self, id: &str, idempotency: Idempotency, now: Instant) -> Option<ClaimedRequestId<'_>> {
        self.release_expired(now);
        if self.ids.borrow().contains_key(id) || !self.claim_shared(id, idempotency) {
            return None;
        }
        let id: Rc<str> = id.into();
        self.ids.borrow_mut().insert(id.clone(), idempotency);
        Some(ClaimedRequestId { id, ids: self, retain_until: None })
    }

    /// Claims an id among all processes, and returns whether no other one has it.
    fn claim_shared(&self, id: &str, idempotency: Idempotency) -> bool {
        let shared = self.shared.borrow();
        idempotency != Idempotency::NonIdempotent || shared.as_ref().is_none_or(|shared| shared.claim(id))
    }

    fn release(&self, id: &str) {
        let idempotency = self.ids.borrow_mut().remove(id);
        if let Some(shared) = &*self.shared.borrow()
            && idempotency == Some(Idempotency::NonIdempotent)
        {
            shared.release(id);
        }
    }

    fn release_expired(&self, now: Instant) {
        let mut retained = self.retained.borrow_mut();
        while retained.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, id)) = retained.pop_front() {
                self.release(&id);
            }
        }
    }

    fn retain(&self, id: Rc<str>, until: Instant) {
        let mut retained = self.retained.borrow_mut();
        retained.push_back((until, id));
        if retained.len() > self.max_retained
            && let Some((_, earliest)) = retained.pop_front()
        {
            self.release(&earliest);
        }
    }
}

/// The claimed id of an open request. Dropping the claim releases the id, unless it is retained.
pub struct ClaimedRequestId<'a> {
    id: Rc<str>,
    ids: &'a RequestIds,
    retain_until: Option<Instant>,
}

impl ClaimedRequestId<'_> {
    /// Has the id retained when the claim is dropped, for [`REQUEST_ID_RETENTION`] from `now` on.
    pub fn retain(&mut self, now: Instant) {
        self.retain_until = Some(now + REQUEST_ID_RETENTION);
    }
}

impl Drop for ClaimedRequestId<'_> {
    fn drop(&mut self) {
        match self.retain_until {
            Some(until) => self.ids.retain(self.id.clone(), until),
            None => self.ids.release(&self.id),
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/request_ids.rs"]
mod tests;
