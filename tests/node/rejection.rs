//! Early rejection of queued requests.

use crate::support::*;

#[test]
fn queued_requests_are_rejected_early_with_retry_after() {
    let upstream = UpstreamServer::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    // More than the one endpoint has capacity for: the others are queued and never sent.
    let mut clients: Vec<Connection> = (0..8).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "6", "", "")));
    let responses: Vec<Message> = clients.iter_mut().map(Connection::receive).collect();
    let with_advice = responses.iter().filter(|a| a.header("retry-after") == Some("2.000")).count();
    assert!(with_advice > 0 && responses.iter().all(|a| a.status() == 503), "{responses:?}");
}
