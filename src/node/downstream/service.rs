//! Serves the requests on one connection with hyper until the connection closes or is aborted.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;

use crate::body::ResponseBody;
use crate::downstream::connection::Connection;
use crate::downstream::connections::ConnectionTable;
use crate::downstream::handler::{AfterResponse, RequestHandler};
use crate::downstream::responses::closing;
use crate::lifecycle::Lifecycle;
use crate::log::ErrorChain;
use crate::net::DownstreamSocket;

/// Serves requests on connections.
pub struct ConnectionService {
    handler: RequestHandler,
    connections: Rc<ConnectionTable>,
    lifecycle: Rc<Lifecycle>,
    /// Maximum number of bytes that a connection buffers in each direction.
    max_buffer_size: usize,
}

impl ConnectionService {
    /// Creates a service that answers requests with `handler`, on connections that buffer at most
    /// `max_buffer_size` bytes in each direction.
    pub fn new(
        handler: RequestHandler,
        connections: Rc<ConnectionTable>,
        lifecycle: Rc<Lifecycle>,
        max_buffer_size: usize,
    ) -> ConnectionService {
        ConnectionService { handler, connections, lifecycle, max_buffer_size }
    }

    /// Serves a connection until it closes.
    pub async fn serve(self: &Rc<Self>, connection: &Rc<Connection>, socket: DownstreamSocket) {
        let service = service_fn(|request| {
            let (service, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(service.respond(request, &connection).await) }
        });
        let mut builder = http1::Builder::new();
        // hyper would start the timeout of a head at the previous response. The sweep starts it at the first
        // byte of the head.
        builder.header_read_timeout(None).max_buf_size(self.max_buffer_size);
        let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
        loop {
            tokio::select! {
                // Available bytes are read before the connection is closed. They may be a request, or the
                // end of one, that had not arrived when the close was requested.
                biased;
                served = serving.as_mut() => {
                    if let Err(error) = served {
                        let has_open_request = connection.has_open_request();
                        let error = ErrorChain(&error);
                        tracing::debug!(has_open_request, %error, "client connection failed");
                    }
                    return;
                }
                () = connection.abort_requested() => {
                    if connection.is_stuck() {
                        tracing::debug!("client connection aborted: it is stuck");
                        return;
                    }
                }
                () = connection.close_requested() => {
                    if connection.has_incoming_request() {
                        self.connections.cancel_close(connection);
                    } else if connection.awaits_first_request() {
                        // Nothing was written to the connection. A graceful shutdown would not end it if
                        // hyper has read empty lines, since a request may follow them.
                        return;
                    } else {
                        serving.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Answers one request. The request counts as open until hyper has read the last bytes of the response.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Rc<Connection>,
    ) -> Response<ResponseBody> {
        if connection.has_just_been_used() {
            tokio::task::yield_now().await;
        }
        let body_deadline = connection.body_deadline();
        let guard = self.connections.start_request(connection);
        let reply = self.handler.reply(request, connection.observer(), body_deadline).await;
        connection.mark_request_answered();
        let response = match reply.after_response {
            AfterResponse::KeepAlive if !self.must_close(connection) => reply.response,
            AfterResponse::KeepAlive | AfterResponse::Close => closing(reply.response),
            AfterResponse::LingeringClose => {
                connection.observer().linger();
                closing(reply.response)
            }
        };
        response.map(|body| body.written_to(connection.observer()).with_guard(guard))
    }

    /// Returns whether a connection has to close with its response, regardless of the request.
    fn must_close(&self, connection: &Connection) -> bool {
        self.connections.exceeds_keep_alive_limit()
            || connection.is_closing()
            || !self.lifecycle.allows_keep_alive()
    }
}
