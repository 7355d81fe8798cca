//! Unit tests of the time from which on a response of unknown length is streamed.

use std::time::Duration;

use super::*;

#[test]
fn a_response_is_streamed_once_it_is_due_if_it_keeps_the_minimum_rate() {
    let began_at = Instant::now();
    let at = |millis| began_at + Duration::from_millis(millis);
    let streaming = EarlyStreaming { began_at, stream_from: at(100) };
    // At the minimum rate of 32,000 bytes a second, 100 ms take 3,200 bytes and 250 ms take 8,000.
    for (millis, received, expected) in [
        (99, 1 << 20, false),
        (100, 3_200, true),
        (100, 3_100, false),
        (250, 8_000, true),
        (250, 7_900, false),
    ] {
        assert_eq!(streaming.is_due(received, at(millis)), expected, "{received} bytes in {millis} ms");
    }
}
