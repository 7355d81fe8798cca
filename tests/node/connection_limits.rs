//! The limit of connections.

use crate::support::*;

#[test]
fn idle_clients_give_way_to_new_ones() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::with_sockets(&[ready_endpoint("a", &upstream)], 64);
    let crowd: Vec<Connection> = (0..200).map(|_| node.client()).collect();
    // It may be rejected while idle connections are closed, but it gets a response, and then is served.
    let served = (0..1000).any(|_| node.client().exchange(&view_request()).status() == 200);
    assert!(served);
    drop(crowd);
}

#[test]
fn a_new_connection_is_not_closed_before_its_first_request() {
    let upstream = UpstreamServer::new(|_, _| Reply::Never);
    let node = Node::with_sockets(&[ready_endpoint("a", &upstream)], 64);
    // As many busy clients as the limit allows, and some more: there is no idle connection to close.
    let mut clients: Vec<Connection> = (0..30).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "3", "", "")));
    let mut fresh: Vec<Connection> = (0..8).map(|_| node.client()).collect();
    fresh.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    for client in clients.iter_mut().chain(&mut fresh) {
        assert_eq!(client.receive().status(), 503);
    }
}

#[test]
fn connections_close_after_their_response_well_before_the_limit() {
    let upstream = UpstreamServer::new(|_, _| Reply::Never);
    let node = Node::with_sockets(&[ready_endpoint("a", &upstream)], 128);
    let mut clients: Vec<Connection> = (0..40).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    // Half as many again would fit; but an idle connection takes the permit of another client.
    let mut next = node.client();
    assert_eq!(next.exchange(HEALTH_REQUEST).header("connection"), Some("close"));
    assert!(next.is_closed());
}

#[test]
fn a_partial_request_survives_a_crowd_of_new_clients() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::with_sockets(&[ready_endpoint("a", &upstream)], 128);
    let mut slow = node.client();
    assert_eq!(slow.exchange(&view_request()).body, b"slip");
    let text = request("GET", "/view/slow", "9", "", "");
    slow.send(&text[..30]);
    pause_before_reuse();
    pause_before_reuse();
    let _crowd: Vec<Connection> = (0..50).map(|_| node.client()).collect();
    // It was accepted after the crowd, so by now idle connections have been closed for that.
    let health = HEALTH_REQUEST;
    assert_eq!(node.client().exchange(health).status(), 200);
    slow.send(&text[30..]);
    assert_eq!(slow.receive().body, b"slip");
}

#[test]
fn exhausted_descriptors_do_not_stop_the_node() {
    let upstream = UpstreamServer::new(|_, _| ok("slip"));
    let node = Node::with_descriptor_limit(&[ready_endpoint("a", &upstream)], 48);
    let crowd: Vec<Connection> = (0..100).map(|_| node.client()).collect();
    assert!((0..1000).any(|_| node.client().exchange(&view_request()).status() == 200));
    drop(crowd);
}
