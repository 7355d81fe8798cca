use super::*;
use crate::unit_support::upstream_pool;

/// Returns the lifecycle of a process that is ready.
fn ready_lifecycle() -> Lifecycle {
    let lifecycle = Lifecycle::new(upstream_pool());
    lifecycle.readiness.set(Readiness::Ready);
    lifecycle
}

/// Returns the phase's name, whether the health check succeeds, and whether connections stay open.
fn observed_state(lifecycle: &Lifecycle) -> (&'static str, bool, bool) {
    (lifecycle.phase_name(), lifecycle.passes_health_check(), lifecycle.allows_keep_alive())
}

#[test]
fn standby_can_be_switched_on_and_off() {
    let lifecycle = ready_lifecycle();
    assert_eq!(observed_state(&lifecycle), ("serving", true, true));
    lifecycle.set_standby(true);
    assert_eq!(observed_state(&lifecycle), ("standby", false, false));
    assert!(lifecycle.is_standby());
    lifecycle.set_standby(false);
    assert_eq!(observed_state(&lifecycle), ("serving", true, true));
}

#[test]
fn passes_health_checks_during_shutdown_while_its_successor_serves() {
    let lifecycle = ready_lifecycle();
    lifecycle.begin_shutdown(true);
    assert_eq!(observed_state(&lifecycle), ("leaving", true, false));
    lifecycle.set_standby(true);
    assert_eq!(observed_state(&lifecycle), ("leaving", false, false));
    assert!(!lifecycle.is_standby(), "during the shutdown the process is not in the standby phase");
    lifecycle.set_standby(false);
    assert_eq!(observed_state(&lifecycle), ("leaving", true, false));
}

#[test]
fn fails_health_checks_during_shutdown_if_the_node_is_in_standby() {
    let lifecycle = ready_lifecycle();
    lifecycle.set_standby(true);
    lifecycle.begin_shutdown(true);
    assert_eq!(observed_state(&lifecycle), ("leaving", false, false));
}

#[test]
fn fails_health_checks_during_shutdown_without_a_successor() {
    let lifecycle = ready_lifecycle();
    lifecycle.begin_shutdown(false);
    for standby in [true, false] {
        assert_eq!(observed_state(&lifecycle), ("leaving", false, false));
        lifecycle.set_standby(standby);
    }
    assert!(!lifecycle.is_past_shutdown_deadline());
    lifecycle.expire_shutdown_deadline();
    assert!(lifecycle.is_past_shutdown_deadline());
}

#[test]
fn readiness_waits_for_descriptors_and_then_for_an_endpoint() {
    let lifecycle = Lifecycle::new(upstream_pool());
    assert!(!lifecycle.is_ready() && !lifecycle.passes_health_check());
    lifecycle.require_descriptors();
    assert!(lifecycle.readiness.get() == Readiness::AwaitingDescriptors && !lifecycle.is_ready());
    lifecycle.mark_descriptors_available();
    assert!(lifecycle.readiness.get() == Readiness::AwaitingEndpoint && !lifecycle.is_ready());
    lifecycle.readiness.set(Readiness::Ready);
    lifecycle.require_descriptors();
    lifecycle.mark_descriptors_available();
    assert!(lifecycle.is_ready(), "a ready process stays ready");
}
