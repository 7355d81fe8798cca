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

/// How the end of a large response is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    UntilClose,
    StatedLength,
}

const FRAMINGS: [Framing; 3] = [Framing::Chunked, Framing::UntilClose, Framing::StatedLength];

impl Framing {
    fn head(self) -> String {
        match self {
            Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Framing::UntilClose => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
            Framing::StatedLength => format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n"),
        }
    }

    /// Returns a part of a body on the wire. The last part has the end of the body.
    fn encode(self, part: &[u8], is_last: bool) -> Vec<u8> {
        match self {
            Framing::Chunked if part.is_empty() => Vec::new(),
            Framing::Chunked if is_last => [&chunk(part)[..], b"0\r\n\r\n"].concat(),
            Framing::Chunked => chunk(part),
            Framing::UntilClose | Framing::StatedLength => part.to_vec(),
        }
    }

    /// Returns the reply that sends the head with the first bytes of a body, pauses, and sends the rest.
    fn paused_reply(self, body: &[u8], first_bytes: usize, pause: Duration) -> Reply {
        let (first, rest) = body.split_at(first_bytes);
        let begin = [self.head().into_bytes(), self.encode(first, false)].concat();
        let pieces = vec![begin, self.encode(rest, true)];
        match self {
            Framing::UntilClose => Reply::SendWithPausesAndClose(pieces, pause),
            Framing::Chunked | Framing::StatedLength => Reply::SendWithPauses(pieces, pause),
        }
    }
}

/// Returns a request of each class, whose client waits for this time.
fn requests(client_wait: Duration) -> [Vec<u8>; 3] {
    let deadline = client_wait.as_secs_f64().to_string();
    [
        request("GET", "/view/1", &deadline, "", ""),
        request("POST", "/submit/1", &deadline, "Idempotency-Key: 1\r\n", "value"),
        request("POST", "/order/1", &deadline, "", "xyz"),
    ]
}

/// Checks for each framing and class that a response which pauses after `first_bytes` of its body begins
/// within the client's time and is passed on whole.
fn expect_whole_response(client_wait: Duration, first_bytes: usize, pause: Duration) {
    let body = random_bytes(BODY_BYTES);
    thread::scope(|scope| {
        for framing in FRAMINGS {
            for request in requests(client_wait) {
                let (body, reply) = (&body, framing.paused_reply(&body, first_bytes, pause));
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
    let reply = Framing::Chunked.paused_reply(&body, 5_000, PAUSE);
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
