use std::time::Duration;

use super::*;

#[test]
fn a_body_counts_as_received_since_the_node_stopped_reading_it() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let clock = ReceptionClock::new(0, start);
    clock.check(false, 0, at(25));
    clock.check(false, 0, at(50));
    assert_eq!(clock.whole_since(), Some(start));
    // One check between two bursts of data proves nothing.
    clock.check(true, 0, at(75));
    clock.check(false, 0, at(100));
    clock.check(true, 0, at(125));
    assert_eq!(clock.whole_since(), Some(start));
    clock.check(true, 0, at(150));
    assert_eq!(clock.whole_since(), None);
    // Unread data may have been received right after the check before.
    clock.check(false, 0, at(175));
    clock.check(false, 0, at(200));
    assert_eq!(clock.whole_since(), Some(at(150)));
}

/// Guards against a long upload that is failed although its client still sends: the node reads more than can
/// have been on its way when it fell behind.
#[test]
fn bytes_that_cannot_have_been_in_flight_were_sent_later() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let clock = ReceptionClock::new(0, start);
    clock.check(false, MARK_INTERVAL_BYTES, at(500));
    clock.check(false, MAX_IN_FLIGHT_BYTES - 1, at(1000));
    assert_eq!(clock.whole_since(), Some(start), "the rest may have been sent right after the start");
    clock.check(false, MAX_IN_FLIGHT_BYTES + MARK_INTERVAL_BYTES, at(1025));
    assert_eq!(clock.whole_since(), Some(at(500)));
    // After the client has owed data, earlier progress proves nothing.
    clock.check(true, MAX_IN_FLIGHT_BYTES + MARK_INTERVAL_BYTES, at(1050));
    clock.check(true, MAX_IN_FLIGHT_BYTES + MARK_INTERVAL_BYTES, at(1075));
    clock.check(false, MAX_IN_FLIGHT_BYTES + MARK_INTERVAL_BYTES, at(1100));
    clock.check(false, 2 * MAX_IN_FLIGHT_BYTES, at(1125));
    assert_eq!(clock.whole_since(), Some(at(1075)));
}
