//! The bounds of the delay before the next watch.

use super::*;

/// The delays after 64 failures, each of a watch that took so long and the last of so many in a row.
fn sample_delays(failures: u32, elapsed: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::new(7);
    for _ in 0..failures {
        backoff.record_failure();
    }
    (0..64).map(|_| backoff.next_delay(elapsed)).collect()
}

/// The least and the most of the delays, in milliseconds.
fn range_ms(delays: &[Duration]) -> (u128, u128) {
    (delays.iter().min().unwrap().as_millis(), delays.iter().max().unwrap().as_millis())
}

#[test]
fn the_delay_grows_with_the_first_four_failures_and_varies_up_to_its_double() {
    for (failures, min_delay_ms) in [(1, 150), (2, 300), (3, 450), (4, 600), (5, 600), (1000, 600)] {
        let (min, max) = range_ms(&sample_delays(failures, Duration::ZERO));
        assert!((min_delay_ms..min_delay_ms + 20).contains(&min), "{failures} failures: {min} ms");
        assert!((2 * min_delay_ms - 40..2 * min_delay_ms).contains(&max), "{failures} failures: {max} ms");
    }
}

#[test]
fn a_failed_watch_and_the_delay_behind_it_stay_within_the_longest_cycle() {
    for elapsed in [700, 1000, 1400].map(Duration::from_millis) {
        let longest = sample_delays(4, elapsed).into_iter().max().unwrap();
        assert!(elapsed + longest < MAX_RECONNECT_INTERVAL, "{elapsed:?} and {longest:?}");
    }
}

#[test]
fn the_delay_after_a_watch_that_took_the_whole_cycle_is_the_shortest_one() {
    for elapsed in [1400, 1700, 60_000].map(Duration::from_millis) {
        let (min, max) = range_ms(&sample_delays(4, elapsed));
        assert!((150..170).contains(&min) && max < 300, "{elapsed:?}: {min} to {max} ms");
    }
}

#[test]
fn only_the_first_failure_behind_a_success_is_the_first_of_its_row() {
    let mut backoff = Backoff::new(7);
    assert!(backoff.record_failure());
    assert!(!backoff.record_failure());
    backoff.reset();
    assert!(backoff.record_failure());
}
