//! Which requests are retried, and on which endpoints.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::Value;

use crate::support::*;

#[test]
fn a_non_idempotent_request_that_may_have_executed_is_neither_retried_nor_rejected() {
    let replies = [
        Reply::SendAndClose(Vec::new()),
        Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
        Reply::SendAndClose(b"garbage\r\n\r\n".to_vec()),
        Reply::Send(response(500, "", "")),
        // A 503 without `Srv-Declined` does not prove that it was not executed.
        Reply::Send(response(503, "", "")),
        Reply::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\nxxx".to_vec()),
    ];
    for reply in replies {
        let upstream = UpstreamServer::new(move |_, _| reply.clone());
        let other = UpstreamServer::new(|_, _| Reply::SendAndClose(Vec::new()));
        let node = Node::start(&[ready_endpoint("a", &upstream), ready_endpoint("b", &other)]);
        assert_eq!(node.client().exchange(&order_request()).status(), 502);
        assert_eq!(upstream.request_count() + other.request_count(), 1);
    }
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_elsewhere() {
    let turns = Arc::new(AtomicUsize::new(0));
    let upstream = |turns: Arc<AtomicUsize>| {
        UpstreamServer::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Send(response(503, "Srv-Declined: 1\r\n", "")),
            _ => ok("paid"),
        })
    };
    let (one, two) = (upstream(turns.clone()), upstream(turns));
    let node = Node::start(&[
        ready_endpoint("a", &one),
        ready_endpoint("b", &two),
        endpoint_entry("c", refusing_address(), 1, "ready"),
    ]);
    let response = node.client().exchange(&order_request());
    assert_eq!((response.status(), &response.body[..]), (200, &b"paid"[..]));
}

#[test]
fn a_refused_connection_counts_as_not_executed() {
    let node = Node::start(&[endpoint_entry("a", refusing_address(), 1, "ready")]);
    assert_eq!(node.client().exchange(&request("POST", "/order/1", "2", "", "yen")).status(), 503);
}

#[test]
fn a_request_with_a_key_is_retried_within_its_cell_or_on_the_same_endpoint() {
    for cells_named in [true, false] {
        let turns = Arc::new(AtomicUsize::new(0));
        let upstream = |turns: Arc<AtomicUsize>| {
            UpstreamServer::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::SendAndClose(Vec::new()),
                _ => ok("noted"),
            })
        };
        let upstreams: Vec<UpstreamServer> = (0..4).map(|_| upstream(turns.clone())).collect();
        let entry = |(i, s): (usize, &UpstreamServer)| {
            let mut entry = endpoint_entry(&format!("s-{i}"), s.address, i as u16 / 2, "ready");
            if !cells_named {
                entry.as_object_mut().unwrap().remove("pod_group");
            }
            entry
        };
        let node = Node::start(&upstreams.iter().enumerate().map(entry).collect::<Vec<_>>());
        assert_eq!(node.client().exchange(&submit_request()).status(), 200);
        let pods =
            [0, 1].map(|pod| upstreams[2 * pod].request_count() + upstreams[2 * pod + 1].request_count());
        assert!(pods == [2, 0] || pods == [0, 2], "{pods:?}");
        assert!(cells_named || upstreams.iter().any(|s| s.request_count() == 2), "sent to two endpoints");
    }
}

/// Zones that the settings do not name are zones all the same: endpoints of another zone have not seen the key.
#[test]
fn a_key_scoped_to_a_zone_works_with_unnamed_zones() {
    // The first endpoint that gets a request closes the connection without a response.
    let seen: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let upstreams = [0, 1].map(|n| {
        let seen = seen.clone();
        UpstreamServer::new(move |_, request| {
            let id = request.header("req-id").unwrap().to_string();
            match seen.lock().unwrap().insert(id, n) {
                None => Reply::SendAndClose(Vec::new()),
                Some(first) => ok(&(first == n).to_string()),
            }
        })
    });
    let endpoints: Vec<Value> = (0..)
        .zip(["north", "south"])
        .map(|(n, zone)| {
            let mut target = ready_endpoint(zone, &upstreams[n]);
            target["az"] = zone.into();
            target
        })
        .collect();
    let node = Node::with_config(&endpoints, |config| {
        config["settings"].as_object_mut().unwrap().remove("zones");
        config["settings"]["services"][1]["dedup_scope"] = "zone".into();
    });
    for _ in 0..20 {
        let response = node.client().exchange(&submit_request());
        assert_eq!((response.status(), &response.body[..]), (200, &b"true"[..]), "it was sent to both zones");
    }
}
