//! Accepts connections to the admin API and serves one request on each.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::commands::{CommandError, REQUEST_TIMEOUT, Route, read_body};
use super::responses::{AdminResponse, error_response};
use super::service::AdminService;
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::net::DownstreamSocket;

/// Maximum duration of a connection, including the time that the caller takes to read the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed accept, which usually fails because no descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// An open connection to the admin API.
struct AdminConnection {
    /// Whether its request has been read.
    request_read: Rc<Cell<bool>>,
    /// The task that serves the connection. Dropping it closes the connection.
    task: AbortOnDropHandle<()>,
}

/// The open connections, oldest first. There are at most [`MAX_ADMIN_CONNECTIONS`], for which descriptors
/// are reserved.
#[derive(Default)]
struct AdminConnections(VecDeque<AdminConnection>);

impl AdminConnections {
    /// Adds a new connection. If there are [`MAX_ADMIN_CONNECTIONS`] already, closes one of them.
    fn insert(&mut self, stream: TcpStream, service: Rc<AdminService>) {
        self.0.retain(|connection| !connection.task.is_finished());
        if self.0.len() >= MAX_ADMIN_CONNECTIONS {
            self.evict_one();
        }
        let request_read = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(serve_connection(stream, service, request_read.clone()));
        self.0.push_back(AdminConnection { request_read, task: AbortOnDropHandle::new(task) });
    }

    /// Closes the oldest connection whose request has not been read yet. If all requests have been read,
    /// closes the oldest connection, although its response is pending.
    fn evict_one(&mut self) {
        let oldest_unread = self.0.iter().position(|connection| !connection.request_read.get());
        self.0.remove(oldest_unread.unwrap_or(0));
    }
}

/// Serves the admin API on `listener` for as long as the process runs.
pub async fn listen(listener: TcpListener, service: Rc<AdminService>) {
    let mut connections = AdminConnections::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => connections.insert(stream, service.clone()),
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Serves one request, and sets `request_read` once the request has been read.
async fn serve_connection(stream: TcpStream, service: Rc<AdminService>, request_read: Rc<Cell<bool>>) {
    let (socket, observer) = DownstreamSocket::new(stream);
    let respond = service_fn(|request: Request<Incoming>| {
        let (service, request_read, observer) = (service.clone(), request_read.clone(), observer.clone());
        async move {
            let response =
                handle(request, &service, &request_read).await.unwrap_or_else(|error| error_response(&error));
            if response.status().is_client_error() {
                // The caller may still be sending its request.
                observer.linger();
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(REQUEST_TIMEOUT).keep_alive(false);
    // A caller that disconnects gets no response. Errors need no handling.
    let _ = timeout(CONNECTION_TIMEOUT, builder.serve_connection(TokioIo::new(socket), respond)).await;
}

async fn handle(
    request: Request<Incoming>,
    service: &AdminService,
    request_read: &Cell<bool>,
) -> Result<AdminResponse, CommandError> {
    let route = Route::of(&request)?;
    let body = read_body(request.into_body()).await?;
    request_read.set(true);
    service.execute(route.command(&body)?).await
}
