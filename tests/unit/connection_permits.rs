//! Unit tests of connection permits, including a limit that falls below the number of permits in use.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

#[test]
fn grants_no_permit_beyond_the_current_limit() {
    let permits = Rc::new(ConnectionPermits::new(2));
    let first = permits.try_acquire().unwrap();
    let second = permits.try_acquire().unwrap();
    assert!(permits.try_acquire().is_none());

    permits.set_max(1);
    assert_eq!(permits.in_use(), 2);
    drop(first);
    assert!(permits.try_acquire().is_none());
    drop(second);
    let third = permits.try_acquire().unwrap();
    assert!(permits.try_acquire().is_none());

    permits.set_max(2);
    assert!(permits.try_acquire().is_some());
    drop(third);
    assert_eq!(permits.in_use(), 0);
}

#[test]
fn a_released_permit_wakes_one_waiter_but_is_not_reserved_for_it() {
    let permits = Rc::new(ConnectionPermits::new(1));
    let permit = permits.try_acquire().unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let (mut first, mut second) = (pin!(permits.released()), pin!(permits.released()));
    assert!(first.as_mut().poll(&mut cx).is_pending());
    assert!(second.as_mut().poll(&mut cx).is_pending());
    drop(permit);
    let acquired_before_the_waiter_runs = permits.try_acquire();
    assert!(acquired_before_the_waiter_runs.is_some());
    assert!(first.as_mut().poll(&mut cx).is_ready());
    assert!(second.as_mut().poll(&mut cx).is_pending());
    assert!(permits.try_acquire().is_none());
}
