//! Memory use of the node while it forwards or buffers many large bodies.

use std::collections::HashSet;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::support::*;

#[test]
fn memory_is_bounded_while_large_bodies_stream() {
    const BODY_BYTES: usize = 12_000_000;
    let upstream = ScriptedEndpoint::new(|_, request| Reply::Send(ok_with_body("", &request.body)));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let body = Arc::new(random_bytes(BODY_BYTES));
    let clients: Vec<_> = (0..24)
        .map(|_| {
            let (mut client, body) = (node.client(), body.clone());
            thread::spawn(move || {
                let length = format!("Content-Length: {BODY_BYTES}\r\n");
                client.stream.write_all(&request_head("POST", "/order/1", &length)).unwrap();
                client.stream.write_all(&body).unwrap();
                // During this pause all responses wait to be read by their clients.
                thread::sleep(Duration::from_secs(2));
                let response = client.receive();
                // Some requests may be rejected under this load, but a 200 response must be complete.
                assert!(response.status() != 200 || response.body == *body);
                response.status() == 200
            })
        })
        .collect();
    let successes = clients.into_iter().map(|client| client.join().unwrap()).filter(|ok| *ok).count();
    assert!(successes > 4, "{successes}");
    let memory = node.peak_memory();
    assert!(memory < 32 << 20, "{memory} bytes, one body has {BODY_BYTES}");
}

/// The memory limit is low for the number of descriptors, and every buffer is full: the endpoints read
/// nothing, and each client sends as much as it can.
#[test]
fn many_uploads_stay_within_the_memory_limit() {
    const MEMORY_MIB: usize = 32;
    let listeners: Vec<TcpListener> = (0..8).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let endpoints: Vec<_> = (0..)
        .zip(&listeners)
        .map(|(n, listener)| endpoint_entry(&format!("s{n}"), listener.local_addr().unwrap(), 1, "ready"))
        .collect();
    let node = Node::with_config(&endpoints, |config| config["limits"]["memory_mb"] = MEMORY_MIB.into());
    let clients = start_uploads(&node, "", 4_000_000, &random_bytes(400_000));
    assert_eq!(node.health(), 200);
    let memory = settled_peak_memory(&node);
    assert!(memory < MEMORY_MIB << 20, "{memory} bytes for {} uploads", clients.len());
}

/// Guards against heads of very many short fields, which took many times the memory of their text for as long
/// as their clients did not complete the bodies.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    const MEMORY_MIB: usize = 32;
    const FIELDS: usize = 90;
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::with_config(&[ready_endpoint("a", &upstream)], |config| {
        config["limits"]["memory_mb"] = MEMORY_MIB.into();
    });
    let fields: String = (0..FIELDS).map(|number| format!("a{number}:\r\n")).collect();
    let clients = start_uploads(&node, &fields, 65_000, &random_bytes(64_000));
    let memory = settled_peak_memory(&node);
    assert!(memory < MEMORY_MIB << 20, "{memory} bytes for {} heads of {FIELDS} fields", clients.len());
}

/// Starts 600 uploads of `length` bytes, half of them chunked, and sends as much of `part` as the node
/// accepts at once. Returns their clients.
fn start_uploads(node: &Node, extra_headers: &str, length: usize, part: &[u8]) -> Vec<Connection> {
    let with_length = format!("{extra_headers}Content-Length: {length}\r\n");
    let chunked = format!("{extra_headers}Transfer-Encoding: chunked\r\n");
    (0..600)
        .map(|n| {
            let mut client = node.client();
            client.stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
            match n % 2 {
                0 => client.send(&request_head("POST", "/order/1", &with_length)),
                _ => {
                    client.send(&request_head("POST", "/order/1", &chunked));
                    client.send(format!("{length:X}\r\n").as_bytes());
                }
            }
            client.send(part);
            client
        })
        .collect()
}

/// Waits until the peak memory of the node no longer grows, and returns it in bytes.
fn settled_peak_memory(node: &Node) -> usize {
    let mut memory = 0;
    while memory < node.peak_memory() {
        memory = node.peak_memory();
        pause_200_ms();
    }
    memory
}

/// The buffer budget is used up, so responses are streamed. Each is so short that its first piece is the
/// whole body, and its connection must be reused nevertheless.
#[test]
fn a_connection_is_reused_after_a_response_that_could_not_be_buffered() {
    // The buffered requests use an eighth of this memory. It allows for a connection for each request sent
    // here, so that no connection is closed to make room for another.
    const MEMORY_MIB: usize = 16;
    const ENDPOINTS: usize = MEMORY_MIB * 2;
    let respond = |_, request: &Message| match request.start_line.starts_with("POST") {
        true => Reply::Never,
        false => ok("done"),
    };
    let upstream = ScriptedEndpoint::new(respond);
    let endpoints: Vec<_> = (0..ENDPOINTS).map(|n| ready_endpoint(&format!("s{n}"), &upstream)).collect();
    let node = Node::with_config(&endpoints, |config| config["limits"]["memory_mb"] = MEMORY_MIB.into());
    let _buffered: Vec<Connection> = (0..MEMORY_MIB * 2)
        .map(|_| {
            let mut client = node.client();
            client.send(&request("POST", "/order/1", "14.0", "", &"y".repeat(64 << 10)));
            upstream.next_request();
            client
        })
        .collect();
    let mut client = node.client();
    let mut send_views = || -> HashSet<usize> {
        let send_view = |_| {
            assert_eq!(client.exchange(&view_request()).body, b"done");
            upstream.next_request().0
        };
        (0..2 * ENDPOINTS).map(send_view).collect()
    };
    let connections_before = send_views();
    // The node does not reuse a connection immediately after a response.
    pause_200_ms();
    assert!(!send_views().is_disjoint(&connections_before), "each request had a new connection");
}
