//! The watch on discovery: reconnects and silence.

use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn a_broken_watch_is_reopened_from_the_last_revision() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::start(&[]);
    assert_eq!(node.client().exchange(HEALTH_REQUEST).status(), 503);
    assert_eq!(node.client().exchange(&view_request()).status(), 503);
    let mut watch = Watch::accept(&node.discovery);
    watch.send_delta(57, &[]);
    drop(watch);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.start_line, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    watch.send_line("{\"rev\": 58, \"all\"");
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.start_line, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    // It then sends nothing at all, as a host that has vanished does.
    watch.send_line("");
    let mut reopened = Watch::accept(&node.discovery);
    reopened.send_delta(60, &[ready_endpoint("a", &upstream)]);
    loop {
        if node.client().exchange(HEALTH_REQUEST).status() == 200 {
            break;
        }
    }
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
    drop(watch);
}

/// Changes that the first watch misses are due 6 s after it fell silent.
#[test]
fn two_silent_watches_in_a_row_are_noticed_in_time() {
    let (known, other) = (UpstreamServer::new(|_, _| ok("known")), UpstreamServer::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let mut first = Watch::accept(&node.discovery);
    first.send_line("");
    let silent = Instant::now();
    let _second = Watch::accept(&node.discovery);
    let mut third = Watch::accept(&node.discovery);
    third.send_line(&list_message(60, true, &[ready_endpoint("b", &other)]).to_string());
    wait_until("the list applies", || serves_every_class(&node, "other"));
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// While discovery is down its address does not answer, and its changes count as known from its return on: a draining
/// endpoint may get requests for 2 s more. It may return right after a connection attempt has begun.
#[test]
fn reconnects_are_less_than_two_seconds_apart_however_long_discovery_is_down() {
    let upstream = UpstreamServer::new(|_, _| ok("known"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut attempts = vec![(accept_connection(&node.discovery), Instant::now())];
    for _ in 0..8 {
        attempts.push((accept_connection(&node.discovery), Instant::now()));
    }
    let longest = attempts.windows(2).map(|two| two[1].1 - two[0].1).max().unwrap();
    assert!(longest < Duration::from_millis(1900), "{longest:?}");
}

#[test]
fn an_endless_message_counts_as_silence() {
    let upstream = UpstreamServer::new(|_, _| ok("known"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    Watch::accept(&node.discovery).repeat_chunk(" ");
    Watch::accept(&node.discovery).keep_alive();
    assert!(serves_every_class(&node, "known"));
}

#[test]
fn a_node_serves_from_its_known_list_while_discovery_rejects_calls() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    assert_eq!((node.health(), node.admin_request("GET", "/status", "").status()), (200, 200));
    // Each call is rejected; those of many nodes must neither follow at once nor be in step.
    let (started, mut calls) = (Instant::now(), Vec::new());
    while calls.len() < 6 {
        drop(accept_connection(&node.discovery));
        calls.push(started.elapsed());
        assert_eq!(node.client().exchange(&view_request()).status(), 200);
    }
    let waits: Vec<Duration> = calls.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(waits.iter().all(|wait| *wait >= Duration::from_millis(140)), "{waits:?}");
    assert!(waits[4] > Duration::from_millis(550), "the waits grow: {waits:?}");
    let difference = waits[3].abs_diff(waits[4]);
    assert!(difference > Duration::from_millis(2), "the waits vary: {waits:?}");
    let connections = (0..upstream.request_count()).map(|_| upstream.next_request().0).max();
    assert!(connections < Some(3), "one request at a time needs no more connections: {connections:?}");
}
