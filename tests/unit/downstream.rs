//! Unit tests of downstream connections: requests that arrive while their connection is closed or aborted.

use std::io::{Read, Write};
use std::net::TcpStream as BlockingStream;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local, yield_now};

use super::DownstreamServer;
use super::connection::Connection;
use crate::body::BufferBudget;
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::unit_support::config;
use crate::upstream::UpstreamPool;

const HEALTH_CHECK: &[u8] = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";
/// Number of bytes of the health check that are sent while its connection is asked to end.
const FIRST_PART_BYTES: usize = 9;

fn new_server() -> DownstreamServer {
    let config = config();
    let buffer_budget = BufferBudget::new(config.limits.memory);
    let upstream = Rc::new(UpstreamPool::new(&config, buffer_budget.clone()));
    let (engine, _) = EngineHandle::new(1, upstream.clone());
    let lifecycle = Rc::new(Lifecycle::new(upstream.clone()));
    DownstreamServer::new(config, engine, upstream, lifecycle, buffer_budget)
}

/// Returns a client whose connection was kept alive and is idle, and that connection.
async fn open_idle_connection(server: &DownstreamServer) -> (BlockingStream, Rc<Connection>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = BlockingStream::connect(listener.local_addr().unwrap()).unwrap();
    let connection = server.serve(listener.accept().await.unwrap().0);
    client.write_all(HEALTH_CHECK).unwrap();
    while connection.is_first_request_pending() || connection.idle_since_if_closable().is_none() {
        yield_now().await;
    }
    assert!(client.read(&mut [0; 1024]).unwrap() > 0);
    (client, connection)
}

/// Returns what a client receives if `request_end` asks its idle connection to end just before the client
/// sends a request. As under load, the runtime polls the kernel before it runs the connection's task.
fn response_to_request_during(request_end: impl FnOnce(&DownstreamServer, &Connection)) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let server = new_server();
        let (mut client, connection) = open_idle_connection(&server).await;
        // More tasks than the runtime runs between two polls of the kernel.
        (0..200).for_each(|_| drop(spawn_local(async {})));
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
