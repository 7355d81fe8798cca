//! Slow and stalled clients and endpoints.

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn incomplete_requests_and_idle_connections_time_out() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let started = Instant::now();
    let (mut silent, mut incomplete_head, mut incomplete_body, mut idle) =
        (node.client(), node.client(), node.client(), node.client());
    incomplete_head.send(b"GET /view/1 HTTP/1.1\r\nHost: o");
    incomplete_body.send(&order_request()[..order_request().len() - 1]);
    assert_eq!(idle.exchange(&view_request()).status(), 200);
    assert_eq!(incomplete_body.receive().status(), 408);
    for (case, client) in [
        ("silent", &mut silent),
        ("incomplete head", &mut incomplete_head),
        ("incomplete body", &mut incomplete_body),
        ("idle", &mut idle),
    ] {
        assert!(client.closes_without_data(), "{case}");
    }
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "the timeouts are far shorter than the deadline of the class"
    );
    assert_eq!(upstream.request_count(), 1);
}

/// Within this time of connecting, a peer that sends no request has to get an error or a close.
const MAX_TIME_WITHOUT_REQUEST: Duration = Duration::from_secs(3);

/// Guards against connections that never close because their peers send empty lines and no request.
#[test]
fn peers_that_send_no_request_are_closed_in_time() {
    let node = Node::start(&[]);
    let openings: [&[u8]; 5] = [b"", b"\r", b"\n", b"\r\n", b"\r\n\r\n\n"];
    thread::scope(|scope| {
        for opening in openings {
            let mut peer = node.client();
            scope.spawn(move || {
                let connected_at = Instant::now();
                peer.send(opening);
                assert!(peer.closes_after_any_data());
                let elapsed = connected_at.elapsed();
                assert!(elapsed < MAX_TIME_WITHOUT_REQUEST, "{opening:?}: {elapsed:?}");
            });
        }
        let mut peer = node.client();
        scope.spawn(move || {
            let connected_at = Instant::now();
            while !peer.has_unread_data() && connected_at.elapsed() < MAX_TIME_WITHOUT_REQUEST {
                peer.send(b"\r\n");
                thread::sleep(Duration::from_millis(50));
            }
            let elapsed = connected_at.elapsed();
            assert!(elapsed < MAX_TIME_WITHOUT_REQUEST, "an empty line every 50 ms: {elapsed:?}");
        });
    });
}

#[test]
fn an_empty_line_neither_keeps_a_connection_open_nor_spoils_the_request_that_follows() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    for _ in 0..2 {
        client.send(b"\r\n");
        pause_200_ms();
        assert_eq!(client.exchange(&view_request()).body, b"done");
    }
    client.send(b"\r\n");
    assert!(client.closes_without_data());
}

#[test]
fn an_upload_times_out_only_without_progress() {
    let upstream =
        ScriptedEndpoint::new(|_, request| Reply::Send(response(200, "", &request.body.len().to_string())));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let (slow, stalled) = thread::scope(|scope| {
        let slow = scope.spawn(|| {
            let mut client = node.client();
            client.send(&request_head("POST", "/order/1", "Content-Length: 320000\r\n"));
            // The upload takes far longer in total than the timeout without progress.
            for _ in 0..10 {
                client.send(&[b'x'; 32_000]);
                thread::sleep(Duration::from_millis(400));
            }
            client.receive()
        });
        let stalled = scope.spawn(|| {
            let mut client = node.client();
            client.send(&request_head("POST", "/order/1", "Content-Length: 320000\r\n"));
            client.send(&[b'x'; 100_000]);
            let started = Instant::now();
            // One byte every 100 ms does not count as progress.
            while started.elapsed() < Duration::from_secs(8) && !client.has_unread_data() {
                client.send(b"x");
                thread::sleep(Duration::from_millis(100));
            }
            (client.receive(), started.elapsed())
        });
        (slow.join().unwrap(), stalled.join().unwrap())
    });
    assert_eq!((slow.status(), &slow.body[..]), (200, &b"320000"[..]));
    assert_eq!(stalled.0.status(), 408);
    assert!(stalled.1 < Duration::from_secs(6), "{:?}", stalled.1);
}

#[test]
fn the_head_timeout_starts_at_the_first_byte_of_the_head() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    assert_eq!(client.exchange(&view_request()).status(), 200);
    // The idle time and the head together take at least 1200 + 7 * 220 = 2740 ms, which is longer than the
    // head timeout of 2500 ms. The head alone takes far less.
    thread::sleep(Duration::from_millis(1200));
    let text = view_request();
    for piece in text.chunks(text.len() / 8) {
        client.send(piece);
        thread::sleep(Duration::from_millis(220));
    }
    assert_eq!(client.receive().body, b"done");
}

#[test]
fn a_streamed_response_is_forwarded_as_it_arrives_even_past_its_deadline() {
    let body = random_bytes(300_000);
    let mut pieces = vec![ok_with_body("", &body)];
    let rest = pieces[0].split_off(1000);
    pieces.extend(rest.chunks(100_000).map(<[u8]>::to_vec));
    // Each pause is far longer than the timeout between the parts of a buffered response.
    let upstream =
        ScriptedEndpoint::new(move |_, _| Reply::SendInPieces(pieces.clone(), Duration::from_millis(1500)));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    let started = Instant::now();
    client.send(&request("GET", "/view/1", "3", "", ""));
    client.stream.read_exact(&mut [0; 15]).unwrap();
    assert!(
        started.elapsed() < Duration::from_millis(1400),
        "the first bytes are forwarded before the rest arrives"
    );
    let mut rest = Vec::new();
    while rest.len() < body.len() || !rest.ends_with(&body[body.len() - 100..]) {
        let mut buffer = [0; 65536];
        let length = client.stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the response ends after {} bytes", rest.len());
        rest.extend_from_slice(&buffer[..length]);
    }
    assert!(rest.ends_with(&body));
    assert!(started.elapsed() > Duration::from_secs(4), "the response ends long after its deadline");
}

/// Guards against a large response that is cut off while its endpoint still gives it: the body begins long
/// after the head.
#[test]
fn the_body_of_a_large_response_may_begin_later_than_its_head() {
    const PAUSE: Duration = Duration::from_millis(800);
    let body = random_bytes(200_000);
    let mut head = ok_with_body("", &body);
    let rest = head.split_off(head.len() - body.len());
    let upstream = ScriptedEndpoint::new(move |_, _| Reply::SendDelayed(head.clone(), PAUSE, rest.clone()));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    for request in [view_request(), submit_request(), order_request()] {
        let response = node.client().exchange(&request);
        assert_eq!((response.status(), response.body == body), (200, true));
    }
    assert_eq!(upstream.request_count(), 3, "an attempt was given up");
}

/// Guards against an endpoint that keeps a client for ever with the head of a large response alone.
#[test]
fn a_large_response_whose_body_never_begins_is_cut_off_visibly() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Send(head.to_vec()));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let order = request("POST", "/order/1", "1", "", "xyz");
    expect_cut_off_response(&mut node.client(), &order, Duration::from_secs(1));
    assert_eq!((upstream.next_closed_connection(), upstream.request_count()), (0, 1));
}

#[test]
fn a_small_response_may_arrive_slowly_in_pieces() {
    let pieces: Vec<Vec<u8>> = response(200, "", "done").chunks(4).map(<[u8]>::to_vec).collect();
    // With a pause of 100 ms after each, more than 8 pieces take at least 800 ms. The response counts as
    // stalled only after 300 ms without data.
    assert!(pieces.len() > 8);
    let upstream =
        ScriptedEndpoint::new(move |_, _| Reply::SendInPieces(pieces.clone(), Duration::from_millis(100)));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    assert_eq!(node.client().exchange(&order_request()).body, b"done");
}

#[test]
fn a_slow_transfer_does_not_count_as_load() {
    // 12 clients have not read the responses of one endpoint. The endpoint has already executed these
    // requests, so they are no load any more.
    let body = random_bytes(6_000_000);
    let upstream = ScriptedEndpoint::new(move |_, request| match request.start_line.contains("large") {
        true => Reply::Send(ok_with_body("", &body)),
        false => ok("done"),
    });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut readers: Vec<Connection> = (0..12).map(|_| node.client()).collect();
    for reader in &mut readers {
        reader.send(&request("GET", "/view/large", "14", "", ""));
        let mut first = [0; 15];
        reader.stream.read_exact(&mut first).unwrap();
        assert_eq!(&first, b"HTTP/1.1 200 OK");
    }
    for _ in 0..20 {
        assert_eq!(node.client().exchange(&view_request()).status(), 200);
    }
    drop(readers);
}

/// Guards against a body that is held back because its length is unknown: a client may send it at the
/// required rate for longer than the deadline, which counts from its last byte.
#[test]
fn a_slow_chunked_upload_is_forwarded() {
    const PIECE_BYTES: usize = 8 << 10;
    const PIECES: usize = 25;
    // 64,000 bytes a second.
    const PIECE_INTERVAL: Duration = Duration::from_millis(128);
    let upstream =
        ScriptedEndpoint::new(|_, request| Reply::Send(response(200, "", &request.body.len().to_string())));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    client.send(&request_head_with_deadline("POST", "/order/1", "0.5", "Transfer-Encoding: chunked\r\n"));
    for _ in 0..PIECES {
        client.send(&chunk(&[b'x'; PIECE_BYTES]));
        thread::sleep(PIECE_INTERVAL);
    }
    client.send(b"0\r\n\r\n");
    assert_eq!(client.receive().body, (PIECES * PIECE_BYTES).to_string().as_bytes());
}
