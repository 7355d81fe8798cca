//! Unit tests of downstream connections: requests that arrive while their connection is closed or aborted.

use std::io::{Read, Write};
use std::net::TcpStream as BlockingStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;

use super::DownstreamServer;
use super::connection::Connection;
use crate::body::BufferBudget;
use crate::engine::{EngineEvent, EngineHandle, FinalAnswer};
use crate::lifecycle::Lifecycle;
use crate::unit_support::config;
use crate::upstream::UpstreamPool;

const HEALTH_CHECK: &[u8] = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";
/// Number of bytes of the health check that are sent while its connection is asked to end.
const FIRST_PART_BYTES: usize = 9;
/// Maximum time in which a connection that was asked to close has to be removed from the table.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for other expected events. It is long enough that only a failing test reaches it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that the node forwards to an endpoint.
const VIEW_REQUEST: &[u8] = b"GET /view/1 HTTP/1.1\r\nHost: n\r\nReq-Id: 1\r\nReq-Deadline: 0.9\r\n\r\n";

fn new_server() -> DownstreamServer {
    new_server_with_events().0
}

/// Returns a server and the events that it sends to the engine.
fn new_server_with_events() -> (DownstreamServer, UnboundedReceiver<EngineEvent>) {
    let config = config();
    let buffer_budget = BufferBudget::new(config.limits.memory);
    let upstream = Rc::new(UpstreamPool::new(&config, buffer_budget.clone()));
    let (engine, events) = EngineHandle::new(1, upstream.clone());
    let lifecycle = Rc::new(Lifecycle::new(upstream.clone()));
    (DownstreamServer::new(config, engine, upstream, lifecycle, buffer_budget), events)
}

/// Returns a client that has sent nothing, and its connection.
async fn open_connection(server: &DownstreamServer) -> (BlockingStream, Rc<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = BlockingStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, server.serve(listener.accept().await.unwrap().0))
}

/// Returns a client whose connection was kept alive and is idle, and that connection.
async fn open_idle_connection(server: &DownstreamServer) -> (BlockingStream, Rc<Connection>) {
    let (mut client, connection) = open_connection(server).await;
    client.write_all(HEALTH_CHECK).unwrap();
    while connection.is_first_request_pending() || connection.idle_since_if_closable().is_none() {
        yield_now().await;
    }
    assert!(client.read(&mut [0; 1024]).unwrap() > 0);
    (client, connection)
}

/// Makes the runtime poll the kernel before it runs the tasks of connections: spawns more tasks than it runs
/// between two polls of the kernel.
fn delay_connection_tasks() {
    (0..200).for_each(|_| drop(spawn_local(async {})));
}

/// Returns what a client receives if `request_end` asks its idle connection to end just before the client
/// sends a request. As under load, the runtime polls the kernel before it runs the connection's task.
fn response_to_request_during(request_end: impl FnOnce(&DownstreamServer, &Connection)) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let server = new_server();
        let (mut client, connection) = open_idle_connection(&server).await;
        delay_connection_tasks();
        request_end(&server, &connection);
        client.write_all(&HEALTH_CHECK[..FIRST_PART_BYTES]).unwrap();
        while !connection.observer().has_request_started() && !server.connections().is_empty() {
            yield_now().await;
        }
        let _ = client.write_all(&HEALTH_CHECK[FIRST_PART_BYTES..]);
        // The socket closes once its last owner is dropped.
        drop(connection);
        client.set_nonblocking(true).unwrap();
        read_first_bytes(TcpStream::from_std(client).unwrap()).await
    })
}

/// Returns the first bytes that a client reads, or an empty string if its connection was closed or reset.
async fn read_first_bytes(client: TcpStream) -> String {
    let mut response = vec![0; 1024];
    let length = loop {
        client.readable().await.unwrap();
        match client.try_read(&mut response) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            read => break read.unwrap_or(0),
        }
    };
    response.truncate(length);
    String::from_utf8(response).unwrap()
}

#[test]
fn a_request_that_begins_while_its_connection_is_asked_to_close_is_answered() {
    let response = response_to_request_during(|server, connection| server.connections().close(connection));
    assert!(response.starts_with("HTTP/1.1 "), "{response:?}");
}

/// The rest of a slow head can arrive after the sweep has found the connection stuck and before the
/// connection is aborted.
#[test]
fn a_connection_that_is_no_longer_stuck_is_not_aborted() {
    let response = response_to_request_during(|_, connection| connection.request_abort());
    assert!(response.starts_with("HTTP/1.1 "), "{response:?}");
}

/// A connection whose peer sent no request must close, although hyper has read an empty line from it. hyper
/// would wait for the request that the line might precede.
#[test]
fn a_connection_on_which_only_an_empty_line_was_read_closes_when_asked_to() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let server = new_server();
        let (mut client, connection) = open_connection(&server).await;
        client.write_all(b"\r\n").unwrap();
        // The connection's task does not run meanwhile, so the line stays unread.
        let sent_at = Instant::now();
        while !connection.observer().has_unread_data() {
            assert!(sent_at.elapsed() < EVENT_TIMEOUT, "the line does not arrive");
        }
        let line_read = async {
            while connection.observer().has_unread_data() {
                yield_now().await;
            }
        };
        timeout(EVENT_TIMEOUT, line_read).await.expect("the line is not read");
        server.connections().close(&connection);
        server.connections().wait_for_removal(CLOSE_TIMEOUT).await;
        assert!(server.connections().is_empty());
    });
}

/// A connection's first request may be open, with nothing unread, by the time its task learns that the
/// connection has to close.
#[test]
fn a_first_request_that_arrives_while_its_connection_is_asked_to_close_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let response = LocalSet::new().block_on(&runtime, async {
        let (server, mut events) = new_server_with_events();
        let (mut client, connection) = open_connection(&server).await;
        // The connection's task runs until it waits for data.
        yield_now().await;
        delay_connection_tasks();
        server.connections().close(&connection);
        client.write_all(VIEW_REQUEST).unwrap();
        let event = timeout(EVENT_TIMEOUT, events.recv()).await;
        let Ok(Some(EngineEvent::RequestArrived { answer_sender, .. })) = event else {
            panic!("the request has not arrived")
        };
        // The connection's task learns of the close before the request is answered.
        yield_now().await;
        let _ = answer_sender.send(FinalAnswer::Rejected { retry_after: None });
        drop(connection);
        client.set_nonblocking(true).unwrap();
        let response = read_first_bytes(TcpStream::from_std(client).unwrap());
        timeout(EVENT_TIMEOUT, response).await.expect("neither a response nor a close")
    });
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
}

/// Guards against a client that sends requests at full speed on one connection and so delays other clients:
/// for each request of theirs, one of its own may be served and not a series.
#[test]
fn requests_sent_at_once_on_one_connection_take_turns_with_those_of_others() {
    const REQUESTS: usize = 20;
    const MAX_RESPONSES_A_TURN: usize = 4;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let server = new_server();
        let (mut flooding, _) = open_connection(&server).await;
        let (mut other, _) = open_connection(&server).await;
        flooding.write_all(&HEALTH_CHECK.repeat(1500)).unwrap();
        flooding.set_nonblocking(true).unwrap();
        other.set_nonblocking(true).unwrap();
        let (mut flood_responses, mut text) = (Vec::new(), [0; 64 << 10]);
        for _ in 0..REQUESTS {
            other.write_all(HEALTH_CHECK).unwrap();
            while other.read(&mut text).is_err() {
                yield_now().await;
                if let Ok(length) = flooding.read(&mut text) {
                    flood_responses.extend_from_slice(&text[..length]);
                }
            }
        }
        let count = flood_responses.windows(4).filter(|bytes| bytes == b"HTTP").count();
        assert!(count > 0 && count <= REQUESTS * MAX_RESPONSES_A_TURN, "{count} responses");
    });
}
