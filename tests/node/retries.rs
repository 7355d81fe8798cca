//! Conditions under which requests are retried, and the endpoints that get the retries.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::Value;

use crate::support::*;

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_rejected() {
    let replies = [
        Reply::SendAndClose(Vec::new()),
        Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        Reply::SendAndClose(b"garbage\r\n\r\n".to_vec()),
        Reply::Send(response(500, "", "")),
        // A 503 without `Srv-Declined` does not prove that the request was not executed.
        Reply::Send(response(503, "", "")),
        Reply::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\nxxx".to_vec()),
    ];
    for reply in replies {
        let upstream = ScriptedEndpoint::new(move |_, _| reply.clone());
        let other = ScriptedEndpoint::new(|_, _| Reply::SendAndClose(Vec::new()));
        let node = Node::start(&[ready_endpoint("a", &upstream), ready_endpoint("b", &other)]);
        assert_eq!(node.client().exchange(&order_request()).status(), 502);
        assert_eq!(upstream.request_count() + other.request_count(), 1);
    }
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let upstream = |request_count: Arc<AtomicUsize>| {
        ScriptedEndpoint::new(move |_, _| match request_count.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Send(response(503, "Srv-Declined: 1\r\n", "")),
            _ => ok("paid"),
        })
    };
    let (first, second) = (upstream(request_count.clone()), upstream(request_count));
    let node = Node::start(&[
        ready_endpoint("a", &first),
        ready_endpoint("b", &second),
        endpoint_entry("c", refusing_address(), 1, "ready"),
    ]);
    let response = node.client().exchange(&order_request());
    assert_eq!((response.status(), &response.body[..]), (200, &b"paid"[..]));
}

#[test]
fn a_refused_connection_counts_as_not_executed() {
    let node = Node::start(&[endpoint_entry("a", refusing_address(), 1, "ready")]);
    assert_eq!(node.client().exchange(&request("POST", "/order/1", "2", "", "xyz")).status(), 503);
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_in_its_cell_or_on_its_endpoint() {
    for cells_named in [true, false] {
        let request_count = Arc::new(AtomicUsize::new(0));
        let upstream = |request_count: Arc<AtomicUsize>| {
            ScriptedEndpoint::new(move |_, _| match request_count.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::SendAndClose(Vec::new()),
                _ => ok("noted"),
            })
        };
        let upstreams: Vec<ScriptedEndpoint> = (0..4).map(|_| upstream(request_count.clone())).collect();
        let entry = |(i, upstream): (usize, &ScriptedEndpoint)| {
            let mut entry = endpoint_entry(&format!("s-{i}"), upstream.address, i as u16 / 2, "ready");
            if !cells_named {
                entry.as_object_mut().unwrap().remove("pod_group");
            }
            entry
        };
        let node = Node::start(&upstreams.iter().enumerate().map(entry).collect::<Vec<_>>());
        assert_eq!(node.client().exchange(&submit_request()).status(), 200);
        let requests_by_cell =
            [0, 1].map(|cell| upstreams[2 * cell].request_count() + upstreams[2 * cell + 1].request_count());
        assert!(requests_by_cell == [2, 0] || requests_by_cell == [0, 2], "{requests_by_cell:?}");
        assert!(
            cells_named || upstreams.iter().any(|upstream| upstream.request_count() == 2),
            "sent to two endpoints"
        );
    }
}

/// The zone scope of idempotency keys also applies to zones that the settings do not name: endpoints of
/// another zone do not know the key.
#[test]
fn zone_scope_of_idempotency_keys_applies_to_zones_missing_from_the_settings() {
    // The first attempt's endpoint closes the connection without a response. The body of the response to the
    // retry says whether the retry was sent to the same endpoint.
    let first_endpoints: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let upstreams = [0, 1].map(|n| {
        let first_endpoints = first_endpoints.clone();
        ScriptedEndpoint::new(move |_, request| {
            let id = request.header("req-id").unwrap().to_string();
            match first_endpoints.lock().unwrap().insert(id, n) {
                None => Reply::SendAndClose(Vec::new()),
                Some(first) => ok(&(first == n).to_string()),
            }
        })
    });
    let endpoints: Vec<Value> = (0..)
        .zip(["north", "south"])
        .map(|(n, zone)| {
            let mut entry = ready_endpoint(zone, &upstreams[n]);
            entry["az"] = zone.into();
            entry
        })
        .collect();
    let node = Node::with_config(&endpoints, |config| {
        config["settings"].as_object_mut().unwrap().remove("zones");
        config["settings"]["services"][1]["dedup_scope"] = "zone".into();
    });
    for _ in 0..20 {
        let response = node.client().exchange(&submit_request());
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"true"[..]),
            "the request was sent to both zones"
        );
    }
}
