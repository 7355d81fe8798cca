//! The watch on discovery.

use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn a_watch_that_ends_or_speaks_garbage_is_begun_anew_from_where_it_was() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[]);
    assert_eq!(node.client().ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status(), 503);
    assert_eq!(node.client().ask(&view()).status(), 503);
    let mut watch = Watch::accept(&node.discovery);
    watch.changes(57, &[]);
    drop(watch);
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    watch.line("{\"rev\": 58, \"all\"");
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(watch.request.first, "GET /catalog/members?watch=1&from=57 HTTP/1.1");
    // It then says nothing at all, as a machine that has vanished does.
    watch.line("");
    let mut again = Watch::accept(&node.discovery);
    again.changes(60, &[ready("a", &server)]);
    loop {
        if node.client().ask(b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n").status() == 200 {
            break;
        }
    }
    assert_eq!(node.client().ask(&view()).status(), 200);
    drop(watch);
}

/// What the first one misses counts as told 6 s after it fell silent.
#[test]
fn a_second_watch_may_be_silent_too_and_news_are_still_known_in_time() {
    let (held, other) = (Server::new(|_, _| ok("held")), Server::new(|_, _| ok("other")));
    let node = Node::new(&[ready("a", &held)]);
    let mut first = Watch::accept(&node.discovery);
    first.line("");
    let silent = Instant::now();
    let _second = Watch::accept(&node.discovery);
    let mut third = Watch::accept(&node.discovery);
    third.line(&list(60, true, &[ready("b", &other)]).to_string());
    until("the list holds", || serves(&node, "other"));
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// While discovery is down its address is silent, and what it has at its return counts as told at once: a server may
/// be sent something new for 2 s from then on. It may return right after a try has begun.
#[test]
fn however_long_discovery_was_down_it_is_heard_within_two_seconds_of_its_return() {
    let server = Server::new(|_, _| ok("held"));
    let node = Node::new(&[ready("a", &server)]);
    let mut tries = vec![(accepted(&node.discovery), Instant::now())];
    for _ in 0..8 {
        tries.push((accepted(&node.discovery), Instant::now()));
    }
    let longest = tries.windows(2).map(|two| two[1].1 - two[0].1).max().unwrap();
    assert!(longest < Duration::from_millis(1900), "{longest:?}");
}

#[test]
fn a_list_that_comes_to_no_end_is_silence() {
    let server = Server::new(|_, _| ok("held"));
    let node = Node::new(&[ready("a", &server)]);
    Watch::accept(&node.discovery).repeats(" ");
    Watch::accept(&node.discovery).goes_on();
    assert!(serves(&node, "held"));
}
