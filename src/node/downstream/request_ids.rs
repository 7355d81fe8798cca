//! The ids of requests that must not be accepted again: those of open requests, and for some time those of
//! requests that may have been executed although their client left.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state_store::SharedRequestIds;

/// Maximum length of a `Req-Id`.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// How long an id is retained after its client left.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Memory that a retained id takes at most, in bytes: the text, and its entries in the set and in the queue.
const RETAINED_ID_BYTES: usize = MAX_REQUEST_ID_BYTES + 128;
/// Divisor of the node's memory. The quotient is the memory for retained ids.
const RETAINED_IDS_DIVISOR: usize = 128;

/// Whether the request of an id may be executed more than once.
#[derive(Clone, Copy, PartialEq)]
pub enum Repetition {
    /// It may. Its id is known to this process only.
    Allowed,
    /// It must not. Its id is shared with another process of the node.
    Forbidden,
}

/// The `Req-Id` of each open request, and the retained ones. Endpoints and logs distinguish requests by it.
pub struct RequestIds {
    /// All ids, open and retained.
    ids: RefCell<HashMap<Rc<str>, Repetition>>,
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

    /// Shares the ids whose requests must not be repeated with other processes, beginning with those that are
    /// claimed now. With `None`, releases all shared ids.
    pub fn share(&self, shared: Option<SharedRequestIds>) {
        if let Some(shared) = &shared {
            let ids = self.ids.borrow();
            let exclusive = ids.iter().filter(|(_, repetition)| **repetition == Repetition::Forbidden);
            exclusive.for_each(|(id, _)| {
                shared.claim(id);
            });
        }
        let shares = shared.is_some();
        let previous = self.shared.replace(shared);
        previous.filter(|_| !shares).iter().for_each(SharedRequestIds::clear);
    }

    /// Claims an id until the returned claim is dropped. Returns `None` if an open request has the id, or if
    /// it is retained at `now`.
    pub fn claim(&self, id: &str, repetition: Repetition, now: Instant) -> Option<ClaimedRequestId<'_>> {
        self.release_expired(now);
        if self.ids.borrow().contains_key(id) || !self.claim_shared(id, repetition) {
            return None;
        }
        let id: Rc<str> = id.into();
        self.ids.borrow_mut().insert(id.clone(), repetition);
        Some(ClaimedRequestId { id, ids: self, retain_until: None })
    }

    /// Claims an id among all processes, and returns whether no other one has it.
    fn claim_shared(&self, id: &str, repetition: Repetition) -> bool {
        let shared = self.shared.borrow();
        repetition == Repetition::Allowed || shared.as_ref().is_none_or(|shared| shared.claim(id))
    }

    fn release(&self, id: &str) {
        let repetition = self.ids.borrow_mut().remove(id);
        if let Some(shared) = &*self.shared.borrow()
            && repetition == Some(Repetition::Forbidden)
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
    /// Has the id retained when the claim is dropped, for [`RETENTION`] from `now` on.
    pub fn retain(&mut self, now: Instant) {
        self.retain_until = Some(now + RETENTION);
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
