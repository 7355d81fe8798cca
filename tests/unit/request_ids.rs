use std::time::Duration;

use super::*;
use crate::state_store::StateStore;
use crate::unit_support::{IgnoreState, TempFolder};

fn retain(ids: &RequestIds, id: &str, now: Instant) {
    ids.claim(id, Idempotency::NonIdempotent, now).unwrap().retain(now);
}

#[test]
fn an_id_is_claimed_while_its_request_is_open_or_retained() {
    let (ids, now) = (RequestIds::new(32 << 20), Instant::now());
    let claim = ids.claim("a", Idempotency::NonIdempotent, now).unwrap();
    assert!(ids.claim("a", Idempotency::NonIdempotent, now).is_none());
    drop(claim);
    retain(&ids, "a", now);
    assert!(
        ids.claim("a", Idempotency::NonIdempotent, now + REQUEST_ID_RETENTION - Duration::from_millis(1))
            .is_none()
    );
    assert!(ids.claim("a", Idempotency::NonIdempotent, now + REQUEST_ID_RETENTION).is_some());
    assert!(ids.ids.borrow().is_empty() && ids.retained.borrow().is_empty());
}

/// Guards against memory that grows without end while clients leave under ever new ids.
#[test]
fn the_number_of_retained_ids_is_bounded() {
    let memory = RETAINED_IDS_DIVISOR * RETAINED_ID_BYTES * 10;
    let (ids, now) = (RequestIds::new(memory), Instant::now());
    for number in 0..1000 {
        retain(&ids, &number.to_string(), now);
    }
    assert_eq!((ids.ids.borrow().len(), ids.retained.borrow().len()), (10, 10));
    assert!(
        ids.claim("989", Idempotency::NonIdempotent, now).is_some()
            && ids.claim("990", Idempotency::NonIdempotent, now).is_none()
    );
}

/// Guards against an order that runs at both processes of a node during an upgrade.
#[test]
fn processes_that_share_ids_do_not_claim_the_same_one() {
    let folder = TempFolder::new();
    let store = StateStore::open(&folder.0, "n0", IgnoreState);
    let [older, newer] = [0, 1].map(|_| RequestIds::new(32 << 20));
    let now = Instant::now();
    let open = older.claim("a/b?", Idempotency::NonIdempotent, now);
    let repeatable = older.claim("c", Idempotency::Idempotent, now);
    older.start_sharing(store.shared_request_ids());
    newer.start_sharing(store.shared_request_ids());
    assert!(newer.claim("a/b?", Idempotency::NonIdempotent, now).is_none());
    assert!(newer.claim("c", Idempotency::Idempotent, now).is_some());
    drop((open, repeatable));
    let claim = newer.claim("a/b?", Idempotency::NonIdempotent, now);
    assert!(claim.is_some() && older.claim("a/b?", Idempotency::NonIdempotent, now).is_none());
    drop(claim);
    retain(&older, "d", now);
    drop(older);
    assert!(newer.claim("d", Idempotency::NonIdempotent, now).is_none(), "the older process is gone");
    newer.stop_sharing();
    assert!(newer.claim("d", Idempotency::NonIdempotent, now).is_some());
    assert!(folder.file_names().is_empty());
}
