//! Unit tests of the time from which on a response of unknown length is streamed.

use std::time::Duration;

use super::*;

/// Returns the state of a response that is streamed from 100 ms after `start` on, and by 500 ms after it.
fn early_streaming(start: Instant) -> EarlyStreaming {
    EarlyStreaming::new(after(start, 100), after(start, 500), CancellationToken::new())
}

/// Returns a time this many milliseconds after `start`.
fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn a_response_is_streamed_once_it_is_due_if_it_keeps_the_minimum_rate() {
    let start = Instant::now();
    // At the minimum rate of 32,000 bytes a second, 100 ms take 3,200 bytes and 250 ms take 8,000.
    for (millis, received, expected) in [
        (99, 1 << 20, false),
        (100, 3_200, true),
        (100, 3_100, false),
        (250, 8_000, true),
        (250, 7_900, false),
    ] {
        let mut streaming = early_streaming(start);
        assert!(!streaming.on_piece(1, start));
        let streams = streaming.on_piece(received, after(start, millis));
        assert_eq!(streams, expected, "{received} bytes in {millis} ms");
    }
}

/// Guards against a response that is cut off because its endpoint sent the head long before the body.
#[test]
fn the_rate_of_a_response_counts_from_its_first_piece() {
    let start = Instant::now();
    let mut streaming = early_streaming(start);
    assert!(!streaming.on_piece(1 << 20, after(start, 290)), "one piece says nothing of the rate");
    let mut streaming = early_streaming(start);
    assert!(!streaming.on_piece(1_000, after(start, 290)));
    assert!(streaming.on_piece(2_000, after(start, 306)));
}
