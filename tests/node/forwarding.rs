//! Forwarding of requests and responses between clients and endpoints.

use crate::support::*;

#[test]
fn forwards_requests_with_the_remaining_time_and_reuses_connections() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    for id in ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"] {
        pause_200_ms();
        let response = client.exchange(&request_with_id(id, "GET", "/view/7f3a?x=1", "14.0", "", ""));
        assert_eq!((response.status(), &response.body[..]), (200, &b"done"[..]));
        let (connection, request) = upstream.next_request();
        assert_eq!(connection, 0, "an idle connection is reused");
        assert_eq!(request.start_line, "GET /view/7f3a?x=1 HTTP/1.1");
        assert_eq!(request.header("req-id"), Some(id));
        let remaining: f64 = request.header("req-deadline").unwrap().parse().unwrap();
        assert!(remaining > 0.0 && remaining < 14.0, "the endpoint gets the remaining time");
    }
    let response = client.exchange(&submit_request());
    assert_eq!(response.status(), 200);
    let (_, request) = upstream.next_request();
    assert_eq!((request.header("idempotency-key"), &request.body[..]), (Some("5c0f6e1a"), &b"value"[..]));
}

#[test]
fn a_connection_header_cannot_remove_end_to_end_headers() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("noted"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let extra_headers =
        "Idempotency-Key: 5c0f\r\nConnection: keep-alive, Idempotency-Key, Req-Id, X-Hop\r\nX-Hop: 1\r\n";
    assert_eq!(node.client().exchange(&request("POST", "/submit/1", "9", extra_headers, "x")).status(), 200);
    let (_, request) = upstream.next_request();
    assert_eq!(request.header("idempotency-key"), Some("5c0f"));
    assert!(request.header("req-id").is_some());
    assert_eq!(request.header("x-hop"), None);
}

#[test]
fn answers_expect_100_continue() {
    let upstream =
        ScriptedEndpoint::new(|_, request| Reply::Send(response(200, "", &request.body.len().to_string())));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    for length in [3, 200_000] {
        let mut client = node.client();
        let extra_headers = format!("Expect: 100-continue\r\nContent-Length: {length}\r\n");
        client.send(&request_head("POST", "/order/1", &extra_headers));
        assert_eq!(client.receive().status(), 100);
        client.send(&vec![b'x'; length]);
        assert_eq!(client.receive().body, length.to_string().into_bytes());
    }
}

#[test]
fn an_absolute_form_target_is_forwarded_in_origin_form() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let text = String::from_utf8(view_request()).unwrap().replace("GET /", "GET http://origin.svc/");
    assert_eq!(node.client().exchange(text.as_bytes()).body, b"done");
    assert_eq!(upstream.next_request().1.start_line, "GET /view/7f3a?x=1 HTTP/1.1");
}
