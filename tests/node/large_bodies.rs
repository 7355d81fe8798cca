//! Large request and response bodies in each framing of HTTP/1.1: forwarding, backpressure, retries, aborts.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::*;

/// Encodes a body in chunks of many sizes, with chunk extensions and a trailer.
fn encode_chunked(body: &[u8]) -> Vec<u8> {
    let (mut encoded, mut offset, mut size) = (Vec::new(), 0, 1);
    while offset < body.len() {
        let piece = &body[offset..body.len().min(offset + size)];
        encoded.extend_from_slice(format!("{:X};ext=\"a;b\";more\r\n", piece.len()).as_bytes());
        encoded.extend_from_slice(piece);
        encoded.extend_from_slice(b"\r\n");
        offset += piece.len();
        size = (size * 3) % 70_001;
    }
    encoded.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    encoded
}

#[test]
fn large_bodies_are_forwarded_unchanged_in_every_framing() {
    let body = random_bytes(5_000_000);
    let echo = |encode: fn(&[u8]) -> Reply| ScriptedEndpoint::new(move |_, request| encode(&request.body));
    let upstreams = [
        echo(|body| Reply::Send(ok_with_body("", body))),
        echo(|body| {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Send([&head[..], &encode_chunked(body)].concat())
        }),
        echo(|body| Reply::SendAndClose([b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body].concat())),
    ];
    for upstream in &upstreams {
        let node = Node::start(&[ready_endpoint("a", upstream)]);
        let mut client = node.client();
        let length = format!("Content-Length: {}\r\n", body.len());
        let response = client.exchange(&[request_head("POST", "/order/1", &length), body.clone()].concat());
        assert_eq!((response.status(), response.body == body), (200, true));
        // The client's connection is reused, and so is the upstream connection if the response's framing
        // allows it.
        assert_eq!(client.exchange(&order_request()).body, b"xyz");
        let encoded =
            [request_head("POST", "/order/1", "Transfer-Encoding: chunked\r\n"), encode_chunked(&body)]
                .concat();
        let response = client.exchange(&encoded);
        assert_eq!((response.status(), response.body == body), (200, true));
        assert_eq!(upstream.request_count(), 3);
    }
}

/// Writes until the connection accepts no more or `limit` is reached. Returns the number of bytes written.
fn write_until_blocked(client: &mut Connection, limit: usize) -> usize {
    client.stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut sent = 0;
    while sent < limit {
        match client.stream.write(&[b'x'; 65536]) {
            Ok(written) => sent += written,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
            Err(error) => panic!("{error} after {sent}"),
        }
    }
    sent
}

#[test]
fn backpressure_applies_in_both_directions() {
    const BODY_BYTES: usize = 32 << 20;
    // The endpoint accepts a connection and reads nothing.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&[endpoint_entry("a", listener.local_addr().unwrap(), 1, "ready")]);
    let mut client = node.client();
    client.send(&request_head("POST", "/order/1", &format!("Content-Length: {BODY_BYTES}\r\n")));
    let stream = accept_connection(&listener);
    let sent = write_until_blocked(&mut client, BODY_BYTES);
    assert!(sent < BODY_BYTES / 2, "{sent} bytes were accepted for an endpoint that reads none");
    drop(stream);
    // The client reads nothing of its response.
    let upstream = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&[endpoint_entry("a", upstream.local_addr().unwrap(), 1, "ready")]);
    let mut client = node.client();
    client.send(&order_request());
    let mut stream = Connection::from_stream(accept_connection(&upstream));
    stream.stream.read_exact(&mut [0; 100]).unwrap();
    stream.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n").as_bytes());
    let sent = write_until_blocked(&mut stream, BODY_BYTES);
    assert!(sent < BODY_BYTES / 2, "{sent} bytes were accepted for a client that reads none");
}

#[test]
fn does_not_retry_a_request_once_part_of_its_streamed_body_was_sent() {
    let large = random_bytes(300_000);
    for (body, status) in [(&large[..1000], 200), (&large[..], 502)] {
        let attempts = AtomicUsize::new(0);
        let upstream = ScriptedEndpoint::new(move |_, _| match attempts.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::SendAndClose(Vec::new()),
            _ => ok("noted"),
        });
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        let extra_headers = format!("Idempotency-Key: 1\r\nContent-Length: {}\r\n", body.len());
        let response = node
            .client()
            .exchange(&[request_head("POST", "/submit/1", &extra_headers), body.to_vec()].concat());
        assert_eq!(response.status(), status);
        assert_eq!(upstream.request_count(), if status == 200 { 2 } else { 1 });
    }
}

/// With cancellation disabled, the end of every attempt counts towards the health of its endpoint. An attempt
/// that ends because the client aborts its upload must not count as a failure of the endpoint.
#[test]
fn an_aborted_upload_does_not_count_as_an_endpoint_failure() {
    let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let endpoints =
        [0, 1].map(|n| endpoint_entry(&n.to_string(), listeners[n].local_addr().unwrap(), 1, "ready"));
    let node = Node::with_config(&endpoints, |config| {
        config["settings"]["allowed"]["cancelling"] = false.into();
    });
    listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
    let body = random_bytes(300_000);
    let (mut later_uploads, mut aborted_endpoint) = (0, None);
    // Both endpoints respond in the same way, except for one upload that its client aborts. The endpoint of
    // that upload must stay in use.
    for n in 0..200 {
        let mut client = node.client();
        client.send(&request_head("POST", "/order/1", "Content-Length: 300000\r\n"));
        client.send(&body[..100_000]);
        let started = Instant::now();
        let (endpoint, stream) = loop {
            let accept = |n: usize| Some((n, listeners[n].accept().ok()?.0));
            if let Some(found) = accept(0).or_else(|| accept(1)) {
                break found;
            }
            assert!(started.elapsed() < EVENT_TIMEOUT, "no connection arrives");
        };
        stream.set_nonblocking(false).unwrap();
        let mut connection = Connection::from_stream(stream);
        later_uploads += usize::from(aborted_endpoint == Some(endpoint));
        if n > 40 && aborted_endpoint.is_none() {
            connection.stream.peek(&mut [0]).unwrap();
            drop(client);
            assert!(connection.closes_after_any_data());
            aborted_endpoint = Some(endpoint);
        } else {
            client.send(&body[100_000..]);
            assert_eq!(connection.receive().body.len(), body.len());
            connection.send(&response(200, "Connection: close\r\n", "paid"));
            assert_eq!(client.receive().body, b"paid");
        }
    }
    assert!(later_uploads >= 30, "{later_uploads} of 158 uploads went to the endpoint of the aborted one");
}

#[test]
fn retries_a_large_request_elsewhere_if_none_of_its_body_was_sent() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("noted"));
    let node =
        Node::start(&[endpoint_entry("a", refusing_address(), 1, "ready"), ready_endpoint("b", &upstream)]);
    let body = random_bytes(300_000);
    for _ in 0..10 {
        let length = format!("Content-Length: {}\r\n", body.len());
        let response =
            node.client().exchange(&[request_head("POST", "/order/1", &length), body.clone()].concat());
        assert_eq!(response.status(), 200);
        assert_eq!(upstream.next_request().1.body, body);
    }
}

#[test]
fn clients_can_tell_that_a_response_is_truncated() {
    let body = random_bytes(400_000);
    let sized = [b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", &body[..]].concat();
    let encoded = [&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nF4240\r\n"[..], &body].concat();
    for bytes in [sized, encoded] {
        let upstream = ScriptedEndpoint::new(move |_, _| Reply::SendAndClose(bytes.clone()));
        let node = Node::start(&[ready_endpoint("a", &upstream)]);
        let mut client = node.client();
        client.send(&view_request());
        assert!(client.try_receive().is_none(), "the truncated response looks complete");
        assert_eq!(upstream.request_count(), 1, "a response that has begun is not retried");
    }
}
