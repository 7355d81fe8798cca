use super::*;

fn retain(ids: &RequestIds, id: &str, now: Instant) {
    ids.claim(id, now).unwrap().retain(now);
}

#[test]
fn an_id_is_claimed_while_its_request_is_open_or_retained() {
    let (ids, now) = (RequestIds::new(32 << 20), Instant::now());
    let claim = ids.claim("a", now).unwrap();
    assert!(ids.claim("a", now).is_none());
    drop(claim);
    retain(&ids, "a", now);
    assert!(ids.claim("a", now + RETENTION - Duration::from_millis(1)).is_none());
    assert!(ids.claim("a", now + RETENTION).is_some());
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
    assert!(ids.claim("989", now).is_some() && ids.claim("990", now).is_none());
}
