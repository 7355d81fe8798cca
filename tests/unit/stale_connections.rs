//! Estimation of the idle time after which connections are stale, as opposed to breaks by chance.

use super::*;

fn record(estimator: &StaleConnectionEstimator, origin: ConnectionOrigin, broken: bool) {
    if broken {
        estimator.record_break(origin);
    } else {
        estimator.record_response(origin);
    }
}

fn idle_for(millis: u64) -> ConnectionOrigin {
    ConnectionOrigin::Reused { idle_for: Duration::from_millis(millis) }
}

/// Records `times` uses of reused connections for each of these idle times in milliseconds. Every
/// `break_interval`-th use is a break.
fn record_reused(
    estimator: &StaleConnectionEstimator,
    idle_times: &[u64],
    times: usize,
    break_interval: usize,
) {
    for n in 0..times * idle_times.len() {
        record(
            estimator,
            idle_for(idle_times[n % idle_times.len()]),
            n % break_interval == break_interval - 1,
        );
    }
}

#[test]
fn sets_no_limit_if_new_and_reused_connections_break_alike() {
    let estimator = StaleConnectionEstimator::new();
    (0..40).for_each(|n| record(&estimator, ConnectionOrigin::New, n % 20 == 0));
    record_reused(&estimator, &[6, 20, 60, 300, 900, 3000], 5, 11);
    assert_eq!((estimator.max_idle(true), estimator.max_idle(false)), (Duration::MAX, Duration::MAX));
}

#[test]
fn sets_no_limit_after_a_single_break() {
    let estimator = StaleConnectionEstimator::new();
    record_reused(&estimator, &[6, 20, 60], 5, 100);
    record(&estimator, idle_for(3000), true);
    assert_eq!(estimator.max_idle(true), Duration::MAX);
}

#[test]
fn finds_the_idle_time_after_which_connections_break() {
    let estimator = StaleConnectionEstimator::new();
    (0..40).for_each(|n| record(&estimator, ConnectionOrigin::New, n % 20 == 0));
    record_reused(&estimator, &[6, 20, 60, 120], 10, 15);
    record_reused(&estimator, &[200, 300, 900], 2, 2);
    for non_idempotent in [true, false] {
        let max_idle = estimator.max_idle(non_idempotent);
        assert!(
            max_idle > Duration::from_millis(120) && max_idle <= Duration::from_millis(200),
            "{max_idle:?}"
        );
    }
}
