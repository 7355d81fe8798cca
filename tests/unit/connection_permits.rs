//! Permits are limited, by a limit that may change and fall below those in use.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

#[test]
fn no_more_permits_are_given_than_the_limit_says_at_the_time() {
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
fn each_released_permit_wakes_one_waiter_and_may_be_taken_by_another() {
    let permits = Rc::new(ConnectionPermits::new(1));
    let permit = permits.try_acquire().unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let (mut first, mut second) = (pin!(permits.released()), pin!(permits.released()));
    assert!(first.as_mut().poll(&mut cx).is_pending());
    assert!(second.as_mut().poll(&mut cx).is_pending());
    drop(permit);
    let taken_before_the_waiter_runs = permits.try_acquire();
    assert!(taken_before_the_waiter_runs.is_some());
    assert!(first.as_mut().poll(&mut cx).is_ready());
    assert!(second.as_mut().poll(&mut cx).is_pending());
    assert!(permits.try_acquire().is_none());
}
