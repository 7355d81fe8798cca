//! The ids of all open requests, which have to be unique.

use std::cell::RefCell;
use std::collections::HashSet;

/// Maximum length of a `Req-Id`.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// The `Req-Id` of each open request. Endpoints and logs distinguish requests by it.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<Box<str>>>,
}

impl OpenRequestIds {
    /// Claims an id until the returned claim is dropped. Returns `None` if an open request has the id.
    pub fn claim(&self, id: &str) -> Option<ClaimedRequestId<'_>> {
        let is_new = self.ids.borrow_mut().insert(id.into());
        is_new.then(|| ClaimedRequestId { id: id.into(), open: self })
    }
}

/// The claimed id of an open request. It is released once the request is answered or its client has
/// disconnected.
pub struct ClaimedRequestId<'a> {
    id: Box<str>,
    open: &'a OpenRequestIds,
}

impl Drop for ClaimedRequestId<'_> {
    fn drop(&mut self) {
        self.open.ids.borrow_mut().remove(&self.id);
    }
}
