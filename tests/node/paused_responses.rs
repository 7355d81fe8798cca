//! Responses that pause for long after they have begun, while their endpoints still give them.

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// Length of the bodies of large responses, in bytes.
const BODY_BYTES: usize = 180_000;
/// Pause of an endpoint that sends a response in lumps: the time in which it produces 150 kB at 90 kB/s.
const LUMP_PAUSE: Duration = Duration::from_millis(1700);
/// Time from the head of a response to its body, where the body begins late.
const BODY_DELAY: Duration = Duration::from_millis(900);

/// Checks for each framing and class that a response which pauses after `first_bytes` of its body begins
/// within the client's time and is passed on whole.
fn expect_whole_response(client_wait: Duration, first_bytes: usize, pause: Duration) {
    let body = random_bytes(BODY_BYTES);
    thread::scope(|scope| {
        for framing in FRAMINGS {
            for request in requests_of_each_class(&client_wait.as_secs_f64().to_string()) {
                let (first, rest) = body.split_at(first_bytes);
                let (body, reply) = (&body, framing.reply(&[first, rest], pause));
                scope.spawn(move || {
                    let upstream = ScriptedEndpoint::new(move |_, _| reply.clone());
                    let node = Node::start(&[ready_endpoint("a", &upstream)]);
                    let mut client = node.client();
                    let sent_at = Instant::now();
                    client.send(&request);
                    client.stream.peek(&mut [0]).unwrap();
                    let began_after = sent_at.elapsed();
                    let response = client.try_receive();
                    let case = format!("{framing:?}, {:?}", String::from_utf8_lossy(&request[..12]));
                    let is_whole =
                        response.as_ref().is_some_and(|r| (r.status(), r.body == *body) == (200, true));
                    let start_line = response.map(|response| response.start_line);
                    assert!(is_whole, "{case}: not whole, {start_line:?}");
                    assert!(began_after < client_wait, "{case}: began after {began_after:?}");
                });
            }
        }
    });
}

/// Guards against the incident's cut-off answers: the endpoint sends lumps, and the client's time ends in
/// the pause between them.
#[test]
fn an_answer_in_lumps_is_passed_on_whole() {
    expect_whole_response(Duration::from_millis(600), 24_000, LUMP_PAUSE);
}

/// Guards against an answer in lumps that is cut off because its first lump is small.
#[test]
fn an_answer_in_lumps_is_passed_on_whole_after_a_small_first_lump() {
    expect_whole_response(Duration::from_millis(600), 200, LUMP_PAUSE);
}

/// Guards against the incident's cut-off answers: the body begins long after the head.
#[test]
fn an_answer_whose_body_begins_late_is_passed_on_whole() {
    expect_whole_response(Duration::from_millis(2500), 0, BODY_DELAY);
}

/// Guards against an answer that is cut off because nothing of its body has come when its client's time
/// ends, although its head has.
#[test]
fn an_answer_whose_body_begins_after_the_deadline_is_passed_on_whole() {
    expect_whole_response(Duration::from_millis(600), 0, BODY_DELAY);
}

/// Guards against small answers that are given up in a pause, although their clients still wait.
#[test]
fn a_small_answer_that_pauses_is_served_within_its_time() {
    const PAUSE: Duration = Duration::from_millis(700);
    let answers: [[&[u8]; 2]; 4] = [
        [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npa", b"id"],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", b"\r\npaid"],
        [b"HTT", b"P/1.1 200 OK\r\nContent-Length: 4\r\n\r\npaid"],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\npa\r\n", b"2\r\nid\r\n0\r\n\r\n"],
    ];
    for [first, rest] in answers {
        let upstream =
            ScriptedEndpoint::new(move |_, _| Reply::SendDelayed(first.to_vec(), PAUSE, rest.to_vec()));
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        let response = node.client().exchange(&request("POST", "/order/1", "3", "", "xyz"));
        let case = String::from_utf8_lossy(first);
        assert_eq!((response.status(), &response.body[..]), (200, &b"paid"[..]), "{case}");
        assert_eq!(upstream.request_count(), 1, "{case}");
    }
}

/// Guards against an order that fails because the body of a rejection comes late: the rejection proves that
/// the order was not executed, so that it is sent again.
#[test]
fn an_order_is_sent_again_after_a_rejection_whose_body_pauses() {
    const PAUSE: Duration = Duration::from_millis(700);
    let requests = AtomicUsize::new(0);
    let upstream = ScriptedEndpoint::new(move |_, _| match requests.fetch_add(1, Ordering::SeqCst) {
        0 => {
            let head = b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\n";
            Reply::SendDelayed(head.to_vec(), PAUSE, b"full".to_vec())
        }
        _ => ok("paid"),
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    assert_eq!(node.client().exchange(&order_request()).body, b"paid");
}

/// Guards against an answer that is cut off at the shutdown deadline because it is still buffered.
#[test]
fn an_answer_that_has_begun_is_passed_on_at_the_shutdown_deadline() {
    // The shutdown deadline is 3.4 s after SIGTERM.
    const PAUSE: Duration = Duration::from_secs(5);
    let body = random_bytes(BODY_BYTES);
    let (first, rest) = body.split_at(5_000);
    let reply = Framing::Chunked.reply(&[first, rest], PAUSE);
    let upstream = ScriptedEndpoint::new(move |_, _| reply.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir());
    let mut client = node.client();
    client.send(&order_request());
    upstream.next_request();
    node.terminate();
    let response = client.receive();
    assert_eq!((response.status(), response.body == body), (200, true), "{}", response.start_line);
    assert!(node.wait_for_exit().success());
}
