//! System calls that fail for a moment or transfer less than was asked for.

use std::thread;
use std::time::Duration;

use crate::support::*;

/// Seed of the faults.
const SEED: &str = "7";
/// Number of clients that send requests at the same time.
const CLIENTS: usize = 8;
/// Number of requests of each client.
const REQUESTS: usize = 40;
/// Sizes of the bodies of requests and responses, in bytes.
const BODY_BYTES: [usize; 4] = [1, 900, 20_000, 150_000];

/// Returns the request of this number, and the body that the endpoint sends back.
fn numbered_request(number: usize) -> (Vec<u8>, Vec<u8>) {
    let body = random_bytes(BODY_BYTES[number % BODY_BYTES.len()] + number);
    let length = format!("Content-Length: {}\r\n", body.len());
    let key = "Idempotency-Key: 1\r\n";
    let head = match number % 3 {
        0 => return (view_request(), b"view".to_vec()),
        1 => request_head("POST", "/submit/1", &format!("{key}{length}")),
        _ => request_head("POST", "/order/1", &length),
    };
    ([head, body.clone()].concat(), body)
}

/// Has clients send requests of all classes to a node with these faults, and checks that each is served, on
/// a connection that stays open, if the faults leave it open.
fn expect_all_served(faults: &[(&str, &str)]) {
    let echo = |_, request: &Message| match request.start_line.starts_with("GET") {
        true => ok("view"),
        false => Reply::Send(ok_with_body("", &request.body)),
    };
    let endpoints = [(); 3].map(|()| ScriptedEndpoint::new(echo));
    let entries: Vec<_> =
        ["a", "b", "c"].iter().zip(&endpoints).map(|(uid, endpoint)| ready_endpoint(uid, endpoint)).collect();
    let node = Node::with_faults(&entries, &[&[("FAULT_SEED", SEED)], faults].concat());
    thread::scope(|scope| {
        for client_number in 0..CLIENTS {
            let node = &node;
            scope.spawn(move || {
                let mut client = node.client();
                for number in 0..REQUESTS {
                    let (request, body) = numbered_request(client_number + number);
                    let response = client.exchange(&request);
                    let is_served = (response.status(), response.body == body) == (200, true);
                    assert!(is_served, "client {client_number}, {number}: {}", response.start_line);
                    if response.header("connection") == Some("close") {
                        client = node.client();
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
    });
}

/// Guards against a read that transfers only a part of what has arrived and is taken for the whole of it.
#[test]
fn short_reads_lose_no_request() {
    expect_all_served(&[("FAULT_SHORT_READS", "30")]);
}

#[test]
fn short_writes_lose_no_request() {
    expect_all_served(&[("FAULT_SHORT_WRITES", "90")]);
}

#[test]
fn interrupted_waits_lose_no_request() {
    expect_all_served(&[("FAULT_INTERRUPTED_WAITS", "30")]);
}

#[test]
fn failed_accepts_lose_no_request() {
    expect_all_served(&[("FAULT_FAILED_ACCEPTS", "30")]);
}

/// Guards against requests that fail, and endpoints that count as failing, because of a shortage on the
/// node's own machine.
#[test]
fn failed_connects_lose_no_request() {
    expect_all_served(&[("FAULT_FAILED_CONNECTS", "60")]);
}

#[test]
fn sockets_that_cannot_be_opened_lose_no_request() {
    expect_all_served(&[("FAULT_FAILED_SOCKETS", "60")]);
}

/// Guards against a process that does not start because the machine has no socket for it at that moment.
#[test]
fn a_node_starts_although_sockets_cannot_be_opened_at_once() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    for seed in ["1", "2", "3"] {
        let faults = [("FAULT_SEED", seed), ("FAULT_FAILED_SOCKETS", "80")];
        let node = Node::with_faults(&[ready_endpoint("a", &upstream)], &faults);
        assert_eq!(node.health(), 200);
    }
}
