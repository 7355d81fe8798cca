//! The bounds of the delay before the next watch.

use super::*;

/// Returns 64 delays after this number of consecutive failures, the last of a watch that lasted `elapsed`.
fn sample_delays(failures: u32, elapsed: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::new(7);
    for _ in 0..failures {
        backoff.record_failure();
    }
    (0..64).map(|_| backoff.next_delay(elapsed)).collect()
}

/// Returns the minimum and the maximum of the delays, in milliseconds.
fn range_ms(delays: &[Duration]) -> (u128, u128) {
    (delays.iter().min().unwrap().as_millis(), delays.iter().max().unwrap().as_millis())
}

#[test]
fn delay_grows_over_the_first_four_failures_and_jitter_at_most_doubles_it() {
    for (failures, min_delay_ms) in [(1, 150), (2, 300), (3, 450), (4, 600), (5, 600), (1000, 600)] {
        let (min, max) = range_ms(&sample_delays(failures, Duration::ZERO));
        assert!((min_delay_ms..min_delay_ms + 20).contains(&min), "{failures} failures: {min} ms");
        assert!((2 * min_delay_ms - 40..2 * min_delay_ms).contains(&max), "{failures} failures: {max} ms");
    }
}

#[test]
fn failed_watch_and_delay_stay_within_the_maximum_reconnect_interval() {
    for elapsed in [700, 1000, 1400].map(Duration::from_millis) {
        let longest = sample_delays(4, elapsed).into_iter().max().unwrap();
        assert!(elapsed + longest < MAX_RECONNECT_INTERVAL, "{elapsed:?} and {longest:?}");
    }
}

#[test]
fn delay_is_shortest_after_a_watch_that_used_up_the_reconnect_interval() {
    for elapsed in [1400, 1700, 60_000].map(Duration::from_millis) {
        let (min, max) = range_ms(&sample_delays(4, elapsed));
        assert!((150..170).contains(&min) && max < 300, "{elapsed:?}: {min} to {max} ms");
    }
}

#[test]
fn reports_only_the_first_failure_after_a_success_as_the_first() {
    let mut backoff = Backoff::new(7);
    assert!(backoff.record_failure());
    assert!(!backoff.record_failure());
    backoff.reset();
    assert!(backoff.record_failure());
}
