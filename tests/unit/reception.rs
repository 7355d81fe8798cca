use std::time::Duration;

use super::*;

#[test]
fn a_body_counts_as_received_since_the_node_stopped_reading_it() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let clock = ReceptionClock::new(start);
    clock.check(false, at(25));
    clock.check(false, at(50));
    assert_eq!(clock.whole_since(), Some(start));
    // One check between two bursts of data proves nothing.
    clock.check(true, at(75));
    clock.check(false, at(100));
    clock.check(true, at(125));
    assert_eq!(clock.whole_since(), Some(start));
    clock.check(true, at(150));
    assert_eq!(clock.whole_since(), None);
    // Unread data may have been received right after the check before.
    clock.check(false, at(175));
    clock.check(false, at(200));
    assert_eq!(clock.whole_since(), Some(at(150)));
}
