//! Graceful shutdown: every accepted request gets a response before SIGKILL.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::support::*;

/// Starts a node whose longest request deadline is 1 s; SIGKILL follows 0.7 s later.
fn start_with_short_deadlines(endpoints: &[Value], sockets: usize) -> Node {
    Node::with_config(endpoints, |config| {
        config["limits"]["sockets"] = sockets.into();
        for class in config["settings"]["services"].as_array_mut().unwrap() {
            class["deadline_us"] = 1_000_000.into();
            class["goal_time_us"] = 500_000.into();
        }
    })
}

/// Maximum number of client connections of a node with 36 descriptors, if each has an open request.
const MAX_CLIENT_CONNECTIONS: usize = 6;

/// Time from SIGTERM to SIGKILL.
const KILL_AFTER: Duration = Duration::from_millis(1700);

/// Kills the node `KILL_AFTER` after SIGTERM, as the platform does.
fn kill_when_due(node: &mut Node, signalled_at: Instant) {
    thread::sleep((signalled_at + KILL_AFTER).saturating_duration_since(Instant::now()));
    node.kill();
}

#[test]
fn a_late_request_on_an_open_connection_is_answered_before_sigkill() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    // With 60 descriptors, partial requests use all connections, and the last clients stay in the backlog.
    let mut node = start_with_short_deadlines(&[ready_endpoint("a", &upstream)], 60);
    let order = order_request();
    let mut partial: Vec<Connection> = (0..30).map(|_| node.client()).collect();
    partial.iter_mut().for_each(|client| client.send(&order[..20]));
    // After this pause, the node has read from all accepted connections.
    pause_200_ms();
    let signalled_at = Instant::now();
    node.terminate();
    thread::sleep((signalled_at + Duration::from_millis(1000)).saturating_duration_since(Instant::now()));
    partial[0].send(&order[20..]);
    let mut client = partial.swap_remove(0);
    let response = thread::spawn(move || client.try_receive());
    kill_when_due(&mut node, signalled_at);
    let response = response.join().unwrap().expect("a response before SIGKILL");
    assert!([502, 503, 504].contains(&response.status()), "{response:?}");
}

/// At the shutdown deadline all connections close, and the node accepts those that remain in the backlog.
#[test]
fn connections_in_the_backlog_at_the_shutdown_deadline_are_answered() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let mut node = start_with_short_deadlines(&[ready_endpoint("a", &upstream)], 36);
    let order = order_request();
    let mut partial: Vec<Connection> = (0..MAX_CLIENT_CONNECTIONS).map(|_| node.client()).collect();
    partial.iter_mut().for_each(|client| client.send(&order[..20]));
    pause_200_ms();
    let signalled_at = Instant::now();
    node.terminate();
    let mut queued: Vec<Connection> = (0..5).map(|_| node.client()).collect();
    queued.iter_mut().for_each(|client| client.send(&view_request()));
    thread::sleep((signalled_at + Duration::from_millis(1200)).saturating_duration_since(Instant::now()));
    // Some of these requests are sent to the endpoint, the others are queued. All wait until the shutdown
    // deadline.
    for (n, client) in partial.iter_mut().enumerate() {
        client.send(&order[20..]);
        assert!(n > 0 || upstream.next_request().1.start_line.starts_with("POST"));
    }
    let responses = thread::spawn(move || {
        let answered = |mut client: Connection| client.try_receive().map(|response| response.status());
        queued.into_iter().map(answered).collect::<Vec<_>>()
    });
    kill_when_due(&mut node, signalled_at);
    let responses = responses.join().unwrap();
    assert!(responses.iter().all(Option::is_some), "{responses:?}");
}

/// Guards against a shutdown that waits for a connection which never closes.
#[test]
fn a_peer_that_sent_only_an_empty_line_is_not_waited_for() {
    let mut node = start_with_short_deadlines(&[], 1024);
    let mut peer = node.client();
    peer.send(b"\r\n");
    pause_200_ms();
    let signalled_at = Instant::now();
    node.terminate();
    kill_when_due(&mut node, signalled_at);
    assert!(node.wait_for_exit().success(), "the node was still running before SIGKILL");
}

#[test]
fn a_partially_read_request_at_sigterm_is_answered() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let mut node = start_with_short_deadlines(&[ready_endpoint("a", &upstream)], 1024);
    let (submit, view) = (submit_request(), view_request());
    let (mut head, mut body) = (node.client(), node.client());
    head.send(&view[..25]);
    body.send(&submit[..submit.len() - 2]);
    pause_200_ms();
    node.terminate();
    // The health check fails once the node has received the signal.
    while node.health() == 200 {}
    head.send(&view[25..]);
    body.send(&submit[submit.len() - 2..]);
    for client in [&mut head, &mut body] {
        let response = client.receive();
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
        assert!(client.closes_without_data());
    }
    assert!(node.wait_for_exit().success());
}

#[test]
fn queued_and_partially_answered_requests_complete_after_sigterm_and_sighup() {
    let a = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::start(&[endpoint_entry("a", a.local_addr().unwrap(), 1, "ready")]);
    Watch::accept(&node.discovery).keep_alive();
    let (mut first, mut second, mut queued) = (node.client(), node.client(), node.client());
    let send_and_accept = |client: &mut Connection| {
        client.send(&order_request());
        let mut connection = Connection::from_stream(accept_connection(&a));
        connection.receive();
        connection
    };
    let mut streaming = send_and_accept(&mut first);
    let mut rejecting = send_and_accept(&mut second);
    // The concurrency limit of the endpoint is reached, so this request is queued.
    queued.send(&view_request());
    streaming.send(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n");
    streaming.send(&vec![b'h'; 70_000]);
    node.terminate();
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reload_config(&node.config_with_discovery(&moved));
    while node.health() == 200 {}
    Watch::accept(&moved).keep_alive();
    // The rejected request is retried, the queued one is sent, and the streamed response continues.
    rejecting.send(&response(503, "Srv-Declined: 1\r\nConnection: close\r\n", ""));
    for _ in 0..2 {
        let mut connection = Connection::from_stream(accept_connection(&a));
        connection.receive();
        connection.send(&response(200, "Connection: close\r\n", "done"));
        assert!(connection.closes_after_any_data());
    }
    streaming.send(&vec![b'h'; 30_000]);
    assert_eq!(first.receive().body.len(), 100_000);
    for client in [&mut second, &mut queued] {
        let response = client.receive();
        assert_eq!((response.status(), &response.body[..]), (200, &b"done"[..]));
        assert!(client.closes_without_data());
    }
    assert!(node.wait_for_exit().success());
}

#[test]
fn sigterm_with_exhausted_descriptors_answers_every_request() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let mut node = Node::with_descriptor_limit(&[ready_endpoint("a", &upstream)], 48);
    let mut clients: Vec<Connection> = (0..60).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&order_request()));
    let started = Instant::now();
    // The clients use up nearly all of the 48 descriptors.
    while node.open_descriptors() < 47 {
        assert!(started.elapsed() < EVENT_TIMEOUT, "descriptors are free");
    }
    node.terminate();
    for client in &mut clients {
        let response = client.receive();
        assert!([502, 503, 504].contains(&response.status()), "{response:?}");
    }
    assert!(node.wait_for_exit().success());
}

#[test]
fn sigterm_answers_every_request_and_closes_connections() {
    let upstream = ScriptedEndpoint::new(|count, _| if count == 1 { Reply::Never } else { ok("done") });
    let mut node = Node::start(&[ready_endpoint("a", &upstream)]);
    let (mut kept, mut waiting) = (node.client(), node.client());
    assert_eq!(kept.exchange(&view_request()).status(), 200);
    waiting.send(&order_request());
    upstream.next_request();
    upstream.next_request();
    node.terminate();
    // The signal arrives during this loop; the node serves requests until it announces the close.
    loop {
        let response = kept.exchange(&view_request());
        assert_eq!(response.status(), 200);
        if response.header("connection") == Some("close") {
            break;
        }
    }
    assert!(kept.closes_without_data());
    // The node exits before the deadline of this request, which fails rather than getting no response.
    assert_eq!(waiting.receive().status(), 504);
    assert!(node.wait_for_exit().success());
    assert!(TcpStream::connect(node.address).is_err());
}

#[test]
fn a_streamed_response_completes_during_shutdown() {
    let body = random_bytes(2_000_000);
    let mut pieces = vec![ok_with_body("", &body)];
    let rest = pieces[0].split_off(1_500_000);
    pieces.push(rest);
    let upstream =
        ScriptedEndpoint::new(move |_, _| Reply::SendInPieces(pieces.clone(), Duration::from_millis(2000)));
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let mut node = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    let mut client = node.client();
    client.send(&view_request());
    upstream.next_request();
    node.terminate();
    assert_eq!(client.receive().body, body);
    assert!(node.wait_for_exit().success());
}
