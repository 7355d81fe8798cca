//! Validation of requests: invalid ones get a client error and are not forwarded.

use std::io::Write;

use crate::support::*;

#[test]
fn invalid_requests_get_a_client_error_and_are_not_forwarded() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let without = |bytes: Vec<u8>, header: &str| {
        let text = String::from_utf8(bytes).unwrap();
        let lines = text.split_inclusive("\r\n").filter(|line| !line.starts_with(header));
        lines.collect::<String>().into_bytes()
    };
    let large = "x".repeat((32 << 20) + 1);
    let invalid = [
        ("malformed", b"NOT HTTP\r\n\r\n".to_vec()),
        ("no id", without(view_request(), "Req-Id")),
        ("no deadline", without(view_request(), "Req-Deadline")),
        ("a deadline in words", request("GET", "/view/1", "soon", "", "")),
        ("an infinite deadline", request("GET", "/view/1", "inf", "", "")),
        ("a deadline that is not a number", request("GET", "/view/1", "NaN", "", "")),
        (
            "a deadline that no clock can represent",
            request("GET", "/view/1", "99999999999999999999999", "", ""),
        ),
        ("a deadline of more than a day", request("POST", "/order/1", "86401", "", "x")),
        ("two ids", request("GET", "/view/1", "1", "Req-Id: 2\r\n", "")),
        ("an unknown class", request("GET", "/other/1", "1", "", "")),
        ("no class", request("GET", "/", "1", "", "")),
        ("POST to an idempotent class", request("POST", "/view/1", "1", "", "x")),
        ("GET to a class with a key", request("GET", "/submit/1", "1", "", "")),
        ("no key for a class with a key", request("POST", "/submit/1", "1", "", "x")),
        (
            "a non-idempotent class with a key",
            request("POST", "/order/1", "1", "Idempotency-Key: 1\r\n", "x"),
        ),
        ("a body with a GET", request("GET", "/view/1", "1", "Content-Length: 1\r\n", "x")),
        ("a large body", request("POST", "/order/1", "1", "", &large)),
        ("large headers", request("GET", "/view/1", "1", &format!("X: {large}\r\n"), "")),
    ];
    for (case, bytes) in invalid {
        let status = node.client().exchange(&bytes).status();
        assert!((400..500).contains(&status) && status != 429, "{case}: {status}");
    }
    assert_eq!(node.client().exchange(&view_request()).status(), 200);
    assert_eq!(upstream.request_count(), 1, "only the valid request is forwarded");
}

#[test]
fn ambiguous_request_framing_is_rejected_and_closes_the_connection() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("paid"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let smuggled = String::from_utf8(order_request()).unwrap();
    let head = |lines: &str| {
        let text = String::from_utf8(request("GET", "/order/1", "9", lines, "")).unwrap();
        text.replace("GET", "POST")
    };
    let chunk = format!("0\r\n\r\n{smuggled}");
    let both = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", chunk.len());
    let both_in_other_case = format!("transfer-encoding: chunked\r\nCONTENT-LENGTH: {}\r\n", chunk.len());
    let invalid = [
        format!("{}{chunk}", head(&both)),
        format!("{}{chunk}", head(&both_in_other_case)),
        format!("{}{chunk}", head(&both).replace("\r\n", "\n")),
        format!("{}xyz{smuggled}", head("Content-Length: 3\r\nContent-Length: 4\r\n")),
        format!("{}xyz{smuggled}", head("Content-Length: -3\r\n")),
        format!("{}xyz{smuggled}", head("Content-Length: 99999999999999999999\r\n")),
        format!("{}xyz{smuggled}", head("Transfer-Encoding: gzip\r\n")),
    ];
    for (number, text) in invalid.iter().enumerate() {
        let mut client = node.client();
        let response = client.exchange(text.as_bytes());
        assert!((400..500).contains(&response.status()), "{number}: {}", response.start_line);
        assert!(client.closes_without_data(), "{number}: the bytes that follow are not read");
    }
    assert_eq!(upstream.request_count(), 0);
    // The same request is also rejected after a valid one. A chunked body without a Content-Length is valid.
    let mut client = node.client();
    client.send(format!("{smuggled}{}", invalid[0]).as_bytes());
    assert_eq!((client.receive().status(), client.receive().status()), (200, 400));
    let only_chunked = format!("{}3\r\nxyz\r\n0\r\n\r\n", head("Transfer-Encoding: chunked\r\n"));
    assert_eq!(node.client().exchange(only_chunked.as_bytes()).status(), 200);
    upstream.next_request();
    assert_eq!((&upstream.next_request().1.body[..], upstream.request_count()), (&b"xyz"[..], 2));
}

#[test]
fn an_oversized_body_is_rejected_with_a_readable_413() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("paid"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let text = String::from_utf8(order_request()).unwrap();
    let with_length = text.replace("Content-Length: 3", "Content-Length: 60000000");
    let chunked =
        text.replace("Content-Length: 3", "Transfer-Encoding: chunked").replace("\r\nxyz", "\r\n4000000\r\n");
    for (head, length) in [(with_length.replace("\r\nxyz", "\r\n"), 600_000), (chunked, 34_000_000)] {
        let mut client = node.client();
        // The client continues to send after the response has arrived.
        client.stream.write_all(head.as_bytes()).unwrap();
        client.stream.write_all(&vec![b'x'; length]).unwrap();
        assert_eq!(client.receive().status(), 413);
        assert!(client.closes_without_data());
    }
    assert_eq!(upstream.request_count(), 0);
}

#[test]
fn rejects_the_request_id_of_an_open_request() {
    let upstream = ScriptedEndpoint::new(|count, _| if count == 0 { Reply::Never } else { ok("done") });
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let request = request_with_id("9b1f03aa5c7e2d41", "GET", "/view/1", "14", "", "");
    let mut first = node.client();
    first.send(&request);
    let (connection, _) = upstream.next_request();
    assert_eq!(node.client().exchange(&request).status(), 409);
    assert_eq!(upstream.request_count(), 1);
    // The id can be used again once the client of the open request has disconnected.
    drop(first);
    assert_eq!(upstream.next_closed_connection(), connection);
    assert_eq!(node.client().exchange(&request).status(), 200);
}

/// Guards against an order that runs twice because it came again after its client had left: the endpoint may
/// still execute the first one.
#[test]
fn rejects_the_request_id_of_an_order_whose_client_left() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let order = request_with_id("9b1f03aa5c7e2d42", "POST", "/order/1", "14", "", "xyz");
    let mut client = node.client();
    client.send(&order);
    let (connection, _) = upstream.next_request();
    drop(client);
    assert_eq!(upstream.next_closed_connection(), connection);
    assert_eq!(node.client().exchange(&order).status(), 409);
    assert_eq!(upstream.request_count(), 1);
}

/// An order that no endpoint can have executed may come again after its client has left.
#[test]
fn accepts_the_request_id_of_an_order_that_was_not_sent() {
    let (node, listener) = start_node_with_listener();
    Watch::accept(&node.discovery).keep_alive();
    let _open = start_open_requests(&node, std::slice::from_ref(&listener), INITIAL_CONCURRENCY_LIMIT);
    let order = |deadline: &str| request_with_id("9b1f03aa5c7e2d43", "POST", "/order/1", deadline, "", "xyz");
    let before = node.open_descriptors();
    let mut client = node.client();
    client.send(&order("14"));
    wait_until_descriptors_open(&node, before + 1);
    pause_200_ms();
    drop(client);
    wait_until_descriptors_closed(&node, before, "the client has left");
    assert_eq!(node.client().exchange(&order("0.5")).status(), 503);
}

#[test]
fn a_request_of_an_unknown_tenant_is_served() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let text = String::from_utf8(view_request()).unwrap().replace("acme", "stranger");
    assert_eq!(node.client().exchange(text.as_bytes()).status(), 200);
}
