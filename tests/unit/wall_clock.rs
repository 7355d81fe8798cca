//! Unit tests of the conversion of wall-clock times while the wall clock is stepped.

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

/// Returns a reading this much after `start`, of a wall clock that `shift` is applied to.
fn reading(start: Reading, after: Duration, shift: impl Fn(Timestamp) -> Timestamp) -> Reading {
    Reading { instant: start.instant + after, unix_time: shift(start.unix_time + after) }
}

/// Returns a wall clock, its first reading, and the balancer's clock.
fn start() -> (WallClock, Reading, Clock) {
    let clock = Clock::start();
    let wall = WallClock::new(clock);
    let first = wall.last_reading.get();
    (wall, first, clock)
}

#[test]
fn a_stamp_is_as_old_as_the_wall_clock_says_while_that_is_not_stepped() {
    let (wall, first, clock) = start();
    let now = reading(first, 5 * SECOND, |time| time);
    for age in [Duration::ZERO, SECOND, HOUR] {
        let local = wall.convert(now.unix_time - age, now);
        assert_eq!(local, clock.timestamp(now.instant) - age);
    }
    let in_the_future = wall.convert(now.unix_time + HOUR, now);
    assert_eq!(in_the_future, clock.timestamp(now.instant));
}

#[test]
fn a_stamp_from_before_a_step_counts_as_stamped_at_its_arrival() {
    for step in [5 * SECOND, HOUR] {
        let shifts: [Box<dyn Fn(Timestamp) -> Timestamp>; 2] =
            [Box::new(move |time| time + step), Box::new(move |time| time - step)];
        for shift in shifts {
            let (wall, first, clock) = start();
            let stamped = first.unix_time + SECOND;
            let now = reading(first, 2 * SECOND, &shift);
            assert_eq!(wall.convert(stamped, now), clock.timestamp(now.instant));
            // What is stamped after the step is comparable again.
            let later = reading(first, 20 * SECOND, &shift);
            let stamped_after = shift(first.unix_time + 15 * SECOND);
            let expected = clock.timestamp(later.instant) - 5 * SECOND;
            assert_eq!(wall.convert(stamped_after, later), expected);
        }
    }
}

#[test]
fn slewing_is_no_step() {
    let (wall, first, clock) = start();
    let mut now = first;
    for second in 1..100 {
        // 500 millionths fast.
        let gain = Duration::from_micros(500) * second;
        now = reading(first, SECOND * second, |time| time + gain);
        wall.observe(now);
    }
    let local = wall.convert(now.unix_time - HOUR, now);
    assert_eq!(local, clock.timestamp(now.instant) - HOUR);
}
