//! Connections that close with a response while further requests on them are unread.

use std::io::Read;
use std::thread;
use std::time::Duration;

use crate::support::*;

/// Length of the body of the response, in bytes: more than the kernel holds for a client's socket.
const BODY_BYTES: usize = 1_000_000;
/// The client reads this much at a time.
const READ_BYTES: usize = 64 << 10;
/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Returns an endpoint that answers every request with this body.
fn large_response_endpoint(body: &[u8]) -> ScriptedEndpoint {
    let reply = ok_with_body("", body);
    ScriptedEndpoint::new(move |_, _| Reply::Send(reply.clone()))
}

/// Reads the response slowly to its end, and returns its body if it is whole.
fn read_slowly(client: &mut Connection) -> Option<Vec<u8>> {
    let (mut received, mut piece) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        let length = client.stream.read(&mut piece).ok()?;
        received.extend_from_slice(&piece[..length]);
        if length == 0 {
            return Message::read(&mut &received[..]).map(|message| message.body);
        }
        thread::sleep(READ_PAUSE);
    }
}

/// Length of the body of the request behind the first one, in bytes. The node reads up to 32 KiB ahead, and
/// discards what is unread only if the kernel has another 32 KiB.
const NEXT_BODY_BYTES: usize = 48_000;

/// Returns a request, and another one behind it of which some stays unread in the kernel.
fn with_unread_request(first: Vec<u8>) -> Vec<u8> {
    let next = request("POST", "/order/2", "14", "", &"x".repeat(NEXT_BODY_BYTES));
    [first, next].concat()
}

/// Returns a chunked order.
fn chunked_order() -> Vec<u8> {
    let head = request_head("POST", "/order/1", "Transfer-Encoding: chunked\r\n");
    [head, chunk(b"xyz"), b"0\r\n\r\n".to_vec()].concat()
}

/// Guards against an answer that is cut off because the requests behind its own are unread when the
/// connection closes.
#[test]
fn an_answer_is_whole_although_requests_behind_it_are_unread() {
    let body = random_bytes(BODY_BYTES);
    let upstream = large_response_endpoint(&body);
    let node = Node::start(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    client.send(&with_unread_request(chunked_order()));
    assert!(read_slowly(&mut client).is_some_and(|received| received == body));
}

/// Guards against the same while the node shuts down or is in standby, where each response closes its
/// connection.
#[test]
fn an_answer_is_whole_although_requests_behind_it_are_unread_in_all_phases() {
    let body = random_bytes(BODY_BYTES);
    for is_standby in [true, false] {
        let upstream = large_response_endpoint(&body);
        let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 512, &state_dir());
        let mut client = node.client();
        // A client that is connected before is served in all phases.
        assert_eq!(client.exchange(HEALTH_REQUEST).status(), 200);
        if is_standby {
            assert_eq!(node.admin_request("POST", "/standby", "").status(), 200);
        } else {
            node.terminate();
        }
        client.send(&with_unread_request(order_request()));
        let received = read_slowly(&mut client);
        assert!(received.is_some_and(|received| received == body), "standby: {is_standby}");
    }
}
