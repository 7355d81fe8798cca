use super::*;
use crate::unit_support::upstream_pool;

/// A process that has become ready.
fn ready() -> Lifecycle {
    let lifecycle = Lifecycle::new(upstream_pool());
    lifecycle.readiness.set(Readiness::Ready);
    lifecycle
}

/// The phase's name, and whether clients are welcome and keep their connections.
fn seen(lifecycle: &Lifecycle) -> (&'static str, bool, bool) {
    (lifecycle.phase_name(), lifecycle.welcomes_clients(), lifecycle.keeps_connections())
}

#[test]
fn standby_goes_on_and_off() {
    let lifecycle = ready();
    assert_eq!(seen(&lifecycle), ("serving", true, true));
    lifecycle.set_standby(true);
    assert_eq!(seen(&lifecycle), ("standby", false, false));
    assert!(lifecycle.is_standby());
    lifecycle.set_standby(false);
    assert_eq!(seen(&lifecycle), ("serving", true, true));
}

#[test]
fn a_process_that_shuts_down_welcomes_clients_for_its_successor() {
    let lifecycle = ready();
    lifecycle.begin_shutdown(true);
    assert_eq!(seen(&lifecycle), ("leaving", true, false));
    lifecycle.set_standby(true);
    assert_eq!(seen(&lifecycle), ("leaving", false, false));
    assert!(!lifecycle.is_standby(), "its connections are closed by the shutdown");
    lifecycle.set_standby(false);
    assert_eq!(seen(&lifecycle), ("leaving", true, false));
}

#[test]
fn standby_goes_over_to_the_successor() {
    let lifecycle = ready();
    lifecycle.set_standby(true);
    lifecycle.begin_shutdown(true);
    assert_eq!(seen(&lifecycle), ("leaving", false, false));
}

#[test]
fn without_a_successor_no_order_brings_clients_back() {
    let lifecycle = ready();
    lifecycle.begin_shutdown(false);
    for standby in [true, false] {
        assert_eq!(seen(&lifecycle), ("leaving", false, false));
        lifecycle.set_standby(standby);
    }
    assert!(!lifecycle.is_past_shutdown_deadline());
    lifecycle.expire_shutdown_deadline();
    assert!(lifecycle.is_past_shutdown_deadline());
}

#[test]
fn readiness_waits_for_descriptors_and_then_for_an_endpoint() {
    let lifecycle = Lifecycle::new(upstream_pool());
    assert!(!lifecycle.is_ready() && !lifecycle.welcomes_clients());
    lifecycle.await_descriptors();
    assert!(lifecycle.readiness.get() == Readiness::AwaitingDescriptors && !lifecycle.is_ready());
    lifecycle.descriptors_available();
    assert!(lifecycle.readiness.get() == Readiness::AwaitingEndpoint && !lifecycle.is_ready());
    lifecycle.readiness.set(Readiness::Ready);
    lifecycle.await_descriptors();
    lifecycle.descriptors_available();
    assert!(lifecycle.is_ready(), "it stays ready");
}
