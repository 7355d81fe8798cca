//! The watch on discovery: reconnects, silent watches and endless lists.

use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn a_broken_watch_is_reopened_from_the_last_revision() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
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
    // Discovery then sends nothing, as if its machine had become unreachable.
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

/// If discovery sends nothing on a watch, the node has to receive the missed changes within 6 s, even if the
/// next watch is silent too. The third watch has to be open within this time.
#[test]
fn a_third_watch_follows_two_silent_ones_within_six_seconds() {
    let (known, other) =
        (ScriptedEndpoint::new(|_, _| ok("known")), ScriptedEndpoint::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let mut first = Watch::accept(&node.discovery);
    first.send_line("");
    let silent_since = Instant::now();
    let _second = Watch::accept(&node.discovery);
    let mut third = Watch::accept(&node.discovery);
    third.send_line(&list_message(60, true, &[ready_endpoint("b", &other)]).to_string());
    wait_until("the list applies", || serves_every_class(&node, "other"));
    assert!(silent_since.elapsed() < Duration::from_secs(6), "{:?}", silent_since.elapsed());
}

/// While discovery is down, it does not respond. Once it is back, the node has 2 s to stop sending new
/// requests to an endpoint that discovery lists as draining. If discovery comes back right after the node has
/// opened a connection, then the node has to open the next one within these 2 s.
#[test]
fn reconnects_stay_less_than_two_seconds_apart_while_discovery_is_down() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("known"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut connections = vec![(accept_connection(&node.discovery), Instant::now())];
    for _ in 0..8 {
        connections.push((accept_connection(&node.discovery), Instant::now()));
    }
    let longest = connections.windows(2).map(|pair| pair[1].1 - pair[0].1).max().unwrap();
    assert!(longest < Duration::from_millis(1900), "{longest:?}");
}

#[test]
fn a_watch_whose_list_never_ends_is_reopened() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("known"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    Watch::accept(&node.discovery).repeat_chunk(" ");
    Watch::accept(&node.discovery).keep_alive();
    assert!(serves_every_class(&node, "known"));
}

#[test]
fn reconnect_delays_grow_and_vary_while_the_node_serves_from_its_configured_list() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    assert_eq!((node.health(), node.admin_request("GET", "/status", "").status()), (200, 200));
    // Each connection is closed at once. The next one must not follow at once, and the delays must vary so
    // that many nodes do not reconnect at the same times.
    let (started, mut accepted_at) = (Instant::now(), Vec::new());
    while accepted_at.len() < 6 {
        drop(accept_connection(&node.discovery));
        accepted_at.push(started.elapsed());
        assert_eq!(node.client().exchange(&view_request()).status(), 200);
    }
    let delays: Vec<Duration> = accepted_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(delays.iter().all(|delay| *delay >= Duration::from_millis(140)), "{delays:?}");
    assert!(delays[4] > Duration::from_millis(550), "the delays do not grow: {delays:?}");
    let difference = delays[3].abs_diff(delays[4]);
    assert!(difference > Duration::from_millis(2), "the delays do not vary: {delays:?}");
    let highest_connection = (0..upstream.request_count()).map(|_| upstream.next_request().0).max();
    assert!(
        highest_connection < Some(3),
        "sequential requests used too many connections, numbered up to {highest_connection:?}"
    );
}

/// Guards against discovery that is never heard because it answers each call later than the node waits.
#[test]
fn discovery_that_answers_late_is_heard() {
    const LATENESS: Duration = Duration::from_millis(1500);
    let (known, other) =
        (ScriptedEndpoint::new(|_, _| ok("known")), ScriptedEndpoint::new(|_, _| ok("other")));
    let node = Node::start(&[ready_endpoint("a", &known)]);
    let list = list_message(60, true, &[ready_endpoint("b", &other)]).to_string();
    let discovery = node.discovery.try_clone().unwrap();
    let told_at = Instant::now();
    thread::spawn(move || {
        for stream in discovery.incoming() {
            let list = list.clone();
            thread::spawn(move || {
                let mut connection = Connection::from_stream(stream.unwrap());
                connection.receive();
                thread::sleep(LATENESS);
                connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.send(&chunk(format!("{list}\n").as_bytes()));
                loop {
                    connection.send(&chunk(b"\n"));
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    wait_until("the list applies", || serves_every_class(&node, "other"));
    assert!(told_at.elapsed() < Duration::from_secs(6), "{:?}", told_at.elapsed());
}
