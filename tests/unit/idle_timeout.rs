//! Changes of the idle timeout with rejections of new and of reused connections.

use super::*;

#[test]
fn shrinks_to_the_minimum_while_new_connections_are_rejected() {
    let policy = IdleTimeoutPolicy::new(Duration::from_secs(40));
    (0..4).for_each(|_| policy.record_new_connection_rejected());
    let max_idle = policy.max_idle().as_secs_f64();
    assert!((2.5..4.0).contains(&max_idle), "{max_idle}");
    (0..9).for_each(|_| policy.record_new_connection_rejected());
    assert!(policy.max_idle() < 2 * MIN_IDLE_TIMEOUT);
    assert!(policy.max_idle() >= MIN_IDLE_TIMEOUT);
}

#[test]
fn returns_to_the_maximum_while_mostly_reused_connections_are_rejected() {
    let policy = IdleTimeoutPolicy::new(Duration::from_secs(40));
    for n in 0..20 {
        if n % 4 == 0 {
            policy.record_new_connection_rejected();
        } else {
            policy.record_reused_connection_rejected();
        }
    }
    assert_eq!(policy.max_idle(), Duration::from_secs(40));
}
