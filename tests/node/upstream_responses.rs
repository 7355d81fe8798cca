//! Truncated, ambiguous, stalled and surplus responses of endpoints.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn a_request_is_retried_after_an_incomplete_response() {
    let request_count = AtomicUsize::new(0);
    let upstream = ScriptedEndpoint::new(move |_, _| match request_count.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        _ => ok("whole"),
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    assert_eq!(node.client().exchange(&view_request()).body, b"whole");
}

#[test]
fn a_request_is_retried_after_a_response_with_missing_or_ambiguous_framing() {
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
    ];
    for head in heads {
        let upstream = ScriptedEndpoint::new(move |count, _| match count {
            0 => Reply::SendAndClose(head.into()),
            _ => ok("whole"),
        });
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        assert_eq!(node.client().exchange(&view_request()).body, b"whole", "{head}");
    }
}

/// Beginnings of responses after which the endpoint may still send the rest.
const STALLED_RESPONSES: [&[u8]; 5] = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nX-Pad: 1\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    b"HTT",
    // Without its end, it does not prove that the request was not executed.
    b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
];
/// Responses that no rest can make valid, or that are errors whatever their rest is.
const INVALID_RESPONSES: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nhalf",
];

/// Guards against orders that wait for their deadline although their attempt has certainly failed.
#[test]
fn an_invalid_response_or_a_stalled_error_fails_its_attempt_early() {
    for bytes in INVALID_RESPONSES {
        let upstream = ScriptedEndpoint::new(move |_, _| Reply::Send(bytes.to_vec()));
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        let started = Instant::now();
        let case = String::from_utf8_lossy(bytes);
        assert_eq!(node.client().exchange(&order_request()).status(), 502, "{case}");
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_secs(10), "{case}: long before the deadline, but {elapsed:?}");
        assert_eq!((upstream.next_closed_connection(), upstream.request_count()), (0, 1));
    }
}

/// Guards against orders without a final answer in time when their response stalls for ever, and against
/// second attempts of them.
#[test]
fn an_order_whose_response_stalls_gets_its_final_answer_in_time() {
    const DEADLINE: Duration = Duration::from_secs(1);
    for bytes in STALLED_RESPONSES {
        let upstream = ScriptedEndpoint::new(move |_, _| Reply::Send(bytes.to_vec()));
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        let order = request("POST", "/order/1", "1", "", "xyz");
        let case = String::from_utf8_lossy(bytes);
        if case.starts_with("HTTP/1.1 200") && case.contains("chunked") {
            // It may be a large response, of which the first bytes count.
            expect_cut_off_response(&mut node.client(), &order, DEADLINE);
        } else {
            let sent_at = Instant::now();
            assert_eq!(node.client().exchange(&order).status(), 504, "{case}");
            let elapsed = sent_at.elapsed();
            assert!(elapsed < DEADLINE + Duration::from_millis(500), "{case}: {elapsed:?}");
        }
        assert_eq!((upstream.next_closed_connection(), upstream.request_count()), (0, 1));
    }
}

/// Guards against requests that wait for a stalled response although they may be sent again.
#[test]
fn a_request_that_may_be_repeated_is_sent_again_while_its_response_stalls() {
    for bytes in STALLED_RESPONSES {
        for request in [view_request(), submit_request()] {
            let upstream = ScriptedEndpoint::new(move |count, _| match count {
                0 => Reply::Send(bytes.to_vec()),
                _ => ok("whole"),
            });
            let node = Node::start(&[ready_endpoint("a", &upstream)]);
            let sent_at = Instant::now();
            let case = String::from_utf8_lossy(bytes);
            assert_eq!(node.client().exchange(&request).body, b"whole", "{case}");
            let elapsed = sent_at.elapsed();
            assert!(elapsed < Duration::from_secs(2), "{case}: {elapsed:?}");
            assert_eq!(upstream.next_closed_connection(), 0, "the stalled attempt is cancelled");
        }
    }
}

#[test]
fn informational_responses_and_malformed_load_headers_are_accepted() {
    let informational =
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n".to_vec();
    let upstream = ScriptedEndpoint::new(move |_, _| {
        let response = response(200, "Srv-Load: TEXT inflight=\u{fffd}, =,=%%\r\n", "paid");
        Reply::SendDelayed(informational.clone(), Duration::from_secs(1), response)
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    assert_eq!(node.client().exchange(&order_request()).body, b"paid");
}

/// Minimum idle time after a response before the node reuses a connection.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);

/// Starts an endpoint that sends a surplus response `delay` after each response. The returned receiver gets,
/// for each pair, whether both were sent within [`MIN_IDLE_BEFORE_REUSE`]. On a busy machine the surplus
/// response may be sent later, and then the node cannot distinguish it from the response to its next request.
fn upstream_with_surplus_responses(delay: Duration) -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, in_time) = channel();
    let count = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (count, sender) = (count.clone(), sender.clone());
            thread::spawn(move || {
                let mut connection = Connection::from_stream(stream.unwrap());
                while connection.try_receive().is_some() {
                    let started = Instant::now();
                    connection.send(&response(200, "", &count.fetch_add(1, Ordering::SeqCst).to_string()));
                    thread::sleep(delay);
                    connection.send(&response(200, "", "stale"));
                    let _ = sender.send(started.elapsed() < MIN_IDLE_BEFORE_REUSE);
                }
            });
        }
    });
    (address, in_time)
}

/// The surplus bytes arrive 2 ms after the response, or 8 ms after it, when the next request might already
/// have been sent on the connection.
#[test]
fn surplus_bytes_after_a_response_are_not_taken_for_the_next_response() {
    let millis = |(delay, pause)| (Duration::from_millis(delay), Duration::from_millis(pause));
    for (delay, pause) in [(2, 0), (8, 6)].map(millis) {
        check_surplus_responses(delay, pause);
    }
}

/// Asserts that surplus responses, sent `delay` after each response, are ignored when the client pauses for
/// `pause` after each response. Repeats this until 10 rounds had all surplus responses in time.
fn check_surplus_responses(delay: Duration, pause: Duration) {
    let was_in_time = |reports: &Receiver<bool>| reports.recv_timeout(EVENT_TIMEOUT).unwrap();
    let mut valid_rounds = 0;
    for _ in 0..1000 {
        let (address, in_time) = upstream_with_surplus_responses(delay);
        let node = Node::start(&[endpoint_entry("a", address, 1, "ready")]);
        let mut client = node.client();
        let exchange = |_| {
            let response = client.exchange(&order_request());
            thread::sleep(pause);
            response
        };
        let responses: Vec<Message> = (0..4).map(exchange).collect();
        if (0..4).all(|_| was_in_time(&in_time)) {
            let bodies: Vec<&[u8]> = responses.iter().map(|response| &response.body[..]).collect();
            assert_eq!(bodies, [b"0", b"1", b"2", b"3"], "surplus responses after {delay:?}");
            valid_rounds += 1;
            if valid_rounds == 10 {
                return;
            }
        }
    }
    panic!("only {valid_rounds} of 1000 rounds had all surplus responses after {delay:?} in time");
}

#[test]
fn a_response_delimited_by_close_is_complete_only_after_a_clean_close() {
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    let upstream = ScriptedEndpoint::new(move |_, _| Reply::SendAndClose(format!("{head}done").into_bytes()));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    assert_eq!(node.client().exchange(&order_request()).body, b"done");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&[endpoint_entry("a", listener.local_addr().unwrap(), 1, "ready")]);
    let mut client = node.client();
    client.send(&order_request());
    let mut stream = accept_connection(&listener);
    stream.peek(&mut [0]).unwrap();
    stream.write_all(format!("{head}sl").as_bytes()).unwrap();
    // Closing a connection with unread bytes resets it.
    drop(stream);
    assert_eq!(client.receive().status(), 502);
}

/// Guards against surplus responses that are later still, once the endpoint is known to send such: they were
/// served to other requests.
#[test]
fn an_endpoint_that_sent_surplus_bytes_gets_more_time_for_them() {
    const SHORT: Duration = Duration::from_millis(15);
    const LONG: Duration = Duration::from_millis(60);
    let upstream = ScriptedEndpoint::new(|number, _| {
        let delay = if number == 0 { SHORT } else { LONG };
        Reply::SendDelayed(response(200, "", &number.to_string()), delay, response(200, "", "stale"))
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    let mut bodies = Vec::new();
    for _ in 0..8 {
        bodies.push(client.exchange(&view_request()).body);
        // Longer than an idle connection rests for an endpoint that is not known to send surplus bytes.
        thread::sleep(Duration::from_millis(40));
    }
    let expected: Vec<Vec<u8>> = (0..8).map(|number: usize| number.to_string().into_bytes()).collect();
    assert_eq!(bodies, expected);
}
