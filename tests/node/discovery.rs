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
