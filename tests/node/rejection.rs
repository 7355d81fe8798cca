//! Rejection of queued requests.

use crate::support::*;

#[test]
fn queued_requests_are_rejected_with_retry_after() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    // The concurrency limit of the endpoint is lower than 8. Further requests are queued and never sent.
    let mut clients: Vec<Connection> = (0..8).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "6", "", "")));
    let responses: Vec<Message> = clients.iter_mut().map(Connection::receive).collect();
    let with_retry_after =
        responses.iter().filter(|response| response.header("retry-after") == Some("2.000")).count();
    assert!(
        with_retry_after > 0 && responses.iter().all(|response| response.status() == 503),
        "{responses:?}"
    );
}
