//! The clients' side: connections, what a request must look like, and its one final answer.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mothspool::{Event, Idempotency, RequestId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::body::{BufferBudget, LEFT, RequestBody, RequestError, ResponseBody, UploadProgress};
use crate::config::{ClassRule, Config, MAX_DEADLINE};
use crate::engine::{EngineEvent, EngineHandle, FinalAnswer};
use crate::lifecycle::Lifecycle;
use crate::net::{DownstreamSocket, SocketObserver};
use crate::protocol::headers::{COST, DEADLINE, ID, KEY, OWNER, drop_hop_headers};
use crate::upstream::{UpstreamPool, UpstreamRequest, out_of_sockets};

/// The longest id.
const ID_MOST: usize = 128;
/// A deadline counts from the client's sending; this much of it has passed when the request is read, and
/// passes again before the answer is back.
const TRANSIT: Duration = Duration::from_millis(3);
/// How long a client may take for a head, and a connection may stand without one. A client that has nothing to
/// ask for longer connects anew.
const REQUEST_WITHIN: Duration = Duration::from_millis(2500);
/// A connection that has brought no head by then is owed its end: 3 s after its start at the latest.
const FIRST_HEAD_WITHIN: Duration = Duration::from_millis(2800);
/// How long a client may take nothing of an answer.
const TAKES_WITHIN: Duration = Duration::from_secs(10);
/// For how long a new connection is left alone in a crowd until its first request comes: clients connect
/// because they have one.
const FIRST_WITHIN: Duration = Duration::from_millis(300);
/// How often connections are looked through for those that bring or take nothing.
const SWEEP: Duration = Duration::from_millis(100);
/// For how long an older one has to be idle before it is closed.
const IDLE_LEAST: Duration = Duration::from_millis(100);
/// How long accepting pauses when there are no descriptors left.
const NO_SOCKETS: Duration = Duration::from_millis(10);
/// How long the listener has to stay silent, once told to stop, for the kernel to have nothing more.
const LAST_LOOK: Duration = Duration::from_millis(20);
/// How often connections that have to end are looked through for those that can.
const CLOSE_LOOK: Duration = Duration::from_millis(20);
/// The same in standby, and for how long a connection has to be idle there: its client may use it until then.
const STANDBY_LOOK: Duration = Duration::from_millis(100);
const STANDBY_IDLE: Duration = Duration::from_millis(500);
/// Connections are kept open between requests up to this part of all.
const KEPT_PART: usize = 3;
/// What a client is told when the node has no connection left to serve it with.
const CROWDED: Duration = Duration::from_secs(1);

/// A client's connection, as the others see it.
struct Connection {
    /// Since when it has had no request open, and whether it has had one.
    idle_since: Cell<Option<Instant>>,
    fresh: Cell<bool>,
    since: Instant,
    /// Whether it was told to end.
    closing: Cell<bool>,
    close: Notify,
    /// Told to end it at once.
    cut: Notify,
    /// What has passed on its socket.
    seen: Rc<SocketObserver>,
}

impl Connection {
    /// Since when it can be closed. Between requests a client takes that well; but a new connection was
    /// opened for a request that may be in the kernel already, and to close on that one would lose it.
    fn spare_since(&self) -> Option<Instant> {
        // A request that comes in pieces has begun, and may be whole in the kernel by now.
        let idle = !self.closing.get() && !self.seen.has_request_started() && self.seen.is_quiet();
        let since = self.idle_since.get().filter(|_| idle)?;
        // One just answered may carry the next request already: its answers say `Connection: close` instead.
        let least = if self.fresh.get() { FIRST_WITHIN } else { IDLE_LEAST };
        (since.elapsed() >= least).then_some(since)
    }
}

impl Connection {
    /// Whether its client brings nothing, or takes nothing, for too long to be served.
    fn is_stuck(&self) -> bool {
        let head_due = self.seen.head_since().filter(|_| self.idle_since.get().is_some()).map(|since| {
            let due = since + REQUEST_WITHIN;
            if self.fresh.get() { due.min(self.since + FIRST_HEAD_WITHIN) } else { due }
        });
        head_due.is_some_and(|due| due <= Instant::now())
            || self.seen.write_blocked_since().is_some_and(|since| since.elapsed() >= TAKES_WITHIN)
    }
}

/// A request that is open on a connection, until hyper has taken the last of its answer.
struct RequestGuard {
    clients: Rc<DownstreamServer>,
    connection: Rc<Connection>,
}

impl RequestGuard {
    fn new(clients: &Rc<DownstreamServer>, connection: &Rc<Connection>) -> RequestGuard {
        clients.busy.set(clients.busy.get() + 1);
        connection.idle_since.set(None);
        RequestGuard { clients: clients.clone(), connection: connection.clone() }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.idle_since.set(Some(Instant::now()));
        self.clients.busy.set(self.clients.busy.get() - 1);
    }
}

/// The listener's side of the node.
pub struct DownstreamServer {
    config: Rc<Config>,
    engine: EngineHandle,
    servers: Rc<UpstreamPool>,
    lifecycle: Rc<Lifecycle>,
    /// How many descriptors there are for connections of all kinds.
    sockets: Cell<usize>,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    /// How many of them have a request open, and how many were told to end.
    busy: Cell<usize>,
    closing: Cell<usize>,
    /// The ids of all open requests: servers and logs tell requests apart by them.
    ids: RefCell<HashSet<Box<str>>>,
    room: Rc<BufferBudget>,
    /// Told when a connection has ended.
    freed: Notify,
}

impl DownstreamServer {
    pub fn new(
        config: Rc<Config>,
        engine: EngineHandle,
        servers: Rc<UpstreamPool>,
        lifecycle: Rc<Lifecycle>,
        room: Rc<BufferBudget>,
    ) -> DownstreamServer {
        DownstreamServer {
            engine,
            servers,
            lifecycle,
            sockets: Cell::new(config.limits.max_connections),
            connections: RefCell::default(),
            busy: Cell::new(0),
            closing: Cell::new(0),
            ids: RefCell::default(),
            room,
            freed: Notify::new(),
            config,
        }
    }

    /// Takes connections in until `stop` is told, then what the kernel still has: that counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: Rc<Notify>) {
        let mut number = 0;
        let mut stopping = false;
        loop {
            // Beyond the budget connections wait in the kernel: to accept and drop one would lose a request.
            while self.connections.borrow().len() >= self.most() {
                self.make_room();
                let _ = timeout(NO_SOCKETS, self.freed.notified()).await;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = sleep(LAST_LOOK), if stopping => return,
                () = stop.notified(), if !stopping => {
                    stopping = true;
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    self.clone().adopt(number, stream);
                }
                Err(error) => {
                    if out_of_sockets(&error) {
                        self.make_room();
                        self.servers.evict_idle();
                    }
                    sleep(NO_SOCKETS).await;
                }
            }
        }
    }

    /// Serves a new connection; if there are many, the one that is idle for longest makes room.
    fn adopt(self: Rc<Self>, number: u64, stream: TcpStream) {
        // It costs speed only.
        let _ = stream.set_nodelay(true);
        let (socket, seen) = DownstreamSocket::new(stream);
        let connection = Rc::new(Connection {
            idle_since: Cell::new(Some(Instant::now())),
            fresh: Cell::new(true),
            since: Instant::now(),
            closing: Cell::new(false),
            close: Notify::new(),
            cut: Notify::new(),
            seen,
        });
        self.connections.borrow_mut().insert(number, connection.clone());
        if self.over() {
            self.make_room();
        }
        tokio::task::spawn_local(async move {
            self.serve(&connection, socket).await;
            self.connections.borrow_mut().remove(&number);
            self.closing.set(self.closing.get() - usize::from(connection.closing.get()));
            self.freed.notify_one();
        });
    }

    /// Ends connections in standby, once each has been idle for a while: those in use end with an answer.
    pub async fn run_standby_drain(&self) {
        loop {
            self.lifecycle.standby().await;
            sleep(STANDBY_LOOK).await;
            if self.lifecycle.is_standby() {
                self.end_spare(STANDBY_IDLE);
            }
        }
    }

    /// Ends connections that have been idle for so long.
    fn end_spare(&self, least: Duration) {
        let connections = self.connections.borrow();
        let idle = |c: &&Rc<Connection>| c.spare_since().is_some_and(|since| since.elapsed() >= least);
        connections.values().filter(idle).for_each(|c| self.end(c));
    }

    /// Makes do with half of the descriptors while another process of the node runs, or no longer.
    pub fn share_descriptors(&self, shared: bool) {
        self.sockets.set(if shared {
            self.config.limits.max_connections_shared
        } else {
            self.config.limits.max_connections
        });
        self.servers.set_max_connections(self.sockets.get() / 3);
        while self.connections.borrow().len() - self.closing.get() > self.most() && self.make_room() {}
    }

    /// Whether there are more connections than there may be, those that are about to end included.
    pub fn exceeds_limit(&self) -> bool {
        self.connections.borrow().len() > self.most()
    }

    /// The most connections; the servers' side has the rest. A client's is taken while its request is held,
    /// a server's only while an attempt is out: clients need more.
    fn most(&self) -> usize {
        self.sockets.get() - self.servers.max_connections()
    }

    /// Whether there are so many connections that idle ones are ended and answers end theirs: what clients
    /// keep without asking anything more on it keeps others from connecting.
    fn over(&self) -> bool {
        self.connections.borrow().len() - self.closing.get() > self.sockets.get() / KEPT_PART
    }

    /// How many are served; the last tenth is for refusals.
    fn served(&self) -> usize {
        self.most() - self.most() / 10
    }

    /// Ends a connection once it has no request open.
    fn end(&self, connection: &Connection) {
        self.closing.set(self.closing.get() + usize::from(!connection.closing.replace(true)));
        connection.close.notify_one();
    }

    /// Takes that back: a request has begun to come, and the connection ends with its answer if it has to.
    fn keep(&self, connection: &Connection) {
        self.closing.set(self.closing.get() - usize::from(connection.closing.replace(false)));
    }

    /// Ends connections that have stood without a request for long, and cuts off those that are stuck.
    pub async fn run_idle_sweep(&self) {
        loop {
            sleep(SWEEP).await;
            self.end_spare(REQUEST_WITHIN);
            let connections = self.connections.borrow();
            connections.values().filter(|c| c.is_stuck()).for_each(|c| c.cut.notify_one());
        }
    }

    /// Ends the connection that has been idle for longest; tells whether there was one.
    fn make_room(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(|c| Some((c.spare_since()?, c)));
        let oldest = idle.min_by_key(|(since, _)| *since);
        oldest.inspect(|(_, connection)| self.end(connection)).is_some()
    }

    async fn serve(self: &Rc<Self>, connection: &Rc<Connection>, socket: DownstreamSocket) {
        let service = service_fn(|request| {
            let (clients, connection, seen) = (self.clone(), connection.clone(), connection.seen.clone());
            async move {
                // Its first request is due within a time of the connection; others come when they come.
                let began = if connection.fresh.get() { connection.since } else { Instant::now() };
                let open = RequestGuard::new(&clients, &connection);
                let answered = clients.respond(request, &seen, began + REQUEST_WITHIN).await;
                connection.fresh.set(false);
                let ends =
                    clients.over() || connection.closing.get() || !clients.lifecycle.keeps_connections();
                let response = match answered {
                    Ok(Answered { response, next: Next::Follows }) if !ends => response,
                    Ok(Answered { response, next: Next::Follows | Next::Blurred }) => ending(response),
                    Ok(Answered { response, next: Next::Cut }) => {
                        seen.linger();
                        ending(response)
                    }
                    // Where its next request begins, or that it is one, can't be relied on.
                    Err((status, why)) => {
                        seen.linger();
                        ending(plain(status, why))
                    }
                };
                Ok::<_, Infallible>(response.map(|reply| reply.until_taken(open)))
            }
        });
        let mut builder = http1::Builder::new();
        // Its time for heads runs from the last answer on, not from a head's first byte.
        builder.header_read_timeout(None).max_buf_size(self.config.limits.connection_buffer);
        let mut serving = pin!(builder.serve_connection(TokioIo::new(socket), service));
        loop {
            tokio::select! {
                // What has come is read before the connection is closed, and may be the request, or its end, that
                // was missed when this was asked for.
                biased;
                _ = serving.as_mut() => return,
                () = connection.cut.notified() => {
                    if connection.is_stuck() {
                        return;
                    }
                }
                () = connection.close.notified() => {
                    if connection.seen.has_request_started() || !connection.seen.is_quiet() {
                        self.keep(connection);
                    } else {
                        serving.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Ends connections as soon as they have no request open, and waits until all have.
    pub async fn drain(&self) {
        while !self.connections.borrow().is_empty() {
            self.end_spare(Duration::ZERO);
            let _ = timeout(CLOSE_LOOK, self.freed.notified()).await;
        }
    }

    /// The answer, or what is wrong with the request.
    async fn respond(
        &self,
        request: Request<Incoming>,
        seen: &Rc<SocketObserver>,
        by: Instant,
    ) -> Result<Answered, RequestError> {
        if request.uri().path() == "/_health" {
            if !request.body().is_end_stream() {
                return Err((StatusCode::BAD_REQUEST, "a GET has no body"));
            }
            seen.request_completed(Some(0));
            return Ok(Answered { response: self.health(request.method()), next: Next::Follows });
        }
        let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let taken = self.read(request, seen, by).await?;
        let outgoing = taken.outgoing.clone();
        let response = if self.lifecycle.is_past_shutdown_deadline() {
            // Not sent on at all: others take it at once.
            refused(None)
        } else if self.busy.get() > self.served() {
            // Where all others are busy too, a refusal needs no server and makes room.
            refused(Some(CROWDED))
        } else {
            self.wait(taken, seen).await?
        };
        let next = match outgoing.came() {
            None => Next::Cut,
            Some(_) if chunked => Next::Blurred,
            Some(_) => Next::Follows,
        };
        Ok(Answered { response, next })
    }

    fn health(&self, method: &Method) -> Response<ResponseBody> {
        if method != Method::GET && method != Method::HEAD {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "GET only");
        }
        match self.lifecycle.welcomes_clients() {
            true => plain(StatusCode::OK, "ok"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not serving"),
        }
    }

    /// Reads a request whole and checks it; what is wrong with it is the client's to mend.
    async fn read(
        &self,
        request: Request<Incoming>,
        seen: &Rc<SocketObserver>,
        by: Instant,
    ) -> Result<Taken<'_>, RequestError> {
        let wrong = |why| Err((StatusCode::BAD_REQUEST, why));
        let (head, body) = request.into_parts();
        // Of the two, hyper goes by the encoding and hides the length: another request may be in the body
        // for a peer that goes by the length.
        if head.headers.contains_key(header::TRANSFER_ENCODING) && seen.may_have_content_length() {
            return wrong("both Content-Length and Transfer-Encoding");
        }
        let path = head.uri.path();
        let class = path.split('/').nth(1).and_then(|name| self.config.classes.get(name)).copied();
        let Some(class) = class else { return Err((StatusCode::NOT_FOUND, "no such class")) };
        let Some(id) = only(&head.headers, &ID) else { return wrong("Req-Id is missing or unreadable") };
        if id.is_empty() || id.len() > ID_MOST || !id.bytes().all(|b| b.is_ascii_graphic()) {
            return wrong("Req-Id is unreadable");
        }
        let Some(timeout) = only(&head.headers, &DEADLINE).and_then(seconds) else {
            return wrong("Req-Deadline is missing or unreadable");
        };
        method_fits(&class, &head.method, &head.headers)?;
        if head.method == Method::GET && !body.is_end_stream() {
            return wrong("a GET has no body");
        }
        // No client waits longer than its class allows; this also bounds all that is done for it. Its time runs
        // from its last byte.
        let most = class.deadline;
        let timeout = timeout.min(most).saturating_sub(TRANSIT);
        let upload = RequestBody::read(body, by, &self.room, seen).await?;
        let came = Instant::now();
        let Some(unique) = self.claim(id) else {
            return Err((StatusCode::CONFLICT, "another open request has this Req-Id"));
        };
        let tenant = only(&head.headers, &OWNER).and_then(|name| self.config.tenants.get(name)).copied();
        let key = path.split('/').skip(2).last().filter(|part| !part.is_empty());
        let number = self.engine.next_request_id();
        if let RequestBody::Streamed(stream) = &upload {
            let engine = self.engine.clone();
            stream.on_progress(move |progress| match progress {
                UploadProgress::Forwarding => {
                    engine.send(EngineEvent::Balancer(Event::BodyForwarded(number)));
                }
                UploadProgress::Complete(_) => {
                    engine.send(EngineEvent::Balancer(Event::BodyCompleted(number)));
                }
                // The client is told, and then counts as having left.
                UploadProgress::Buffered | UploadProgress::Failed(_) => {}
            });
        }
        let request = mothspool::Request {
            id: number,
            class: class.index,
            remaining: timeout.as_micros() as u64,
            expected_work: only(&head.headers, &COST)
                .and_then(|us| us.parse::<f64>().ok())
                .filter(|us| *us > 0.0)
                .map(|us| us as u64),
            key: key.map(|part| xxhash_rust::xxh3::xxh3_64(part.as_bytes())),
            tenant,
        };
        let target = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let mut headers = head.headers;
        drop_hop_headers(&mut headers);
        headers.remove(DEADLINE);
        if let Some(length) = upload.length().filter(|_| head.method == Method::POST) {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        headers.entry(header::HOST).or_insert(HeaderValue::from_static("origin.svc"));
        let non_idempotent = class.idempotency == Idempotency::NonIdempotent;
        let method = head.method;
        let (begin_by, left) = (Cell::new(None), Cell::new(false));
        let outgoing = UpstreamRequest {
            method,
            target,
            headers,
            upload,
            timeout,
            came,
            non_idempotent,
            begin_by,
            left,
        };
        let outgoing = Rc::new(outgoing);
        Ok(Taken { request, outgoing, _unique: unique })
    }

    /// Takes an id for as long as its request is open.
    fn claim(&self, id: &str) -> Option<Claimed<'_>> {
        self.ids.borrow_mut().insert(id.into()).then(|| Claimed { id: id.into(), ids: &self.ids })
    }

    /// Hands a request to the engine and waits for the final answer. Dropped before it, the client has left.
    async fn wait(
        &self,
        taken: Taken<'_>,
        seen: &SocketObserver,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let (sender, answer) = oneshot::channel();
        let upload = taken.outgoing.upload.clone();
        let failed = async move {
            match upload {
                RequestBody::Streamed(stream) => stream.failed().await,
                RequestBody::Buffered { .. } => std::future::pending().await,
            }
        };
        let (id, outgoing) = (taken.request.id, taken.outgoing);
        let mut waiting = Waiting { id, outgoing: &outgoing, engine: &self.engine, answered: false };
        self.engine.send(EngineEvent::RequestArrived {
            request: taken.request,
            upstream_request: outgoing.clone(),
            answer: sender,
        });
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            wrong = failed => return Err(wrong),
            () = seen.closed() => return Err(LEFT),
            () = self.lifecycle.shutdown_deadline() => {
                return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "the node is leaving"));
            }
        };
        waiting.answered = true;
        Ok(match answer {
            Ok(FinalAnswer::Served(response)) => response,
            Ok(FinalAnswer::Rejected { retry_after }) => refused(retry_after),
            Ok(FinalAnswer::Failed { timed_out: true }) => {
                plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
            Ok(FinalAnswer::Failed { timed_out: false }) | Err(_) => {
                plain(StatusCode::BAD_GATEWAY, "no answer")
            }
        })
    }
}

/// A request that the node has taken.
struct Taken<'a> {
    request: mothspool::Request,
    outgoing: Rc<UpstreamRequest>,
    _unique: Claimed<'a>,
}

/// The id of an open request, free again once it is answered or its client has left.
struct Claimed<'a> {
    id: Box<str>,
    ids: &'a RefCell<HashSet<Box<str>>>,
}

impl Drop for Claimed<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// An answer, and what follows on its connection.
struct Answered {
    response: Response<ResponseBody>,
    next: Next,
}

/// Where the next request begins.
enum Next {
    /// Right behind this one.
    Follows,
    /// Behind the last chunk: where that one ended among the bytes is hyper's to know, so that the next one's
    /// head could not be told apart.
    Blurred,
    /// Behind a body that is still coming.
    Cut,
}

/// Tells the engine if the client goes away first: hyper then drops the request's future. Whatever attempt has its
/// turn before the engine does finds that out by itself.
struct Waiting<'a> {
    id: RequestId,
    outgoing: &'a UpstreamRequest,
    engine: &'a EngineHandle,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.outgoing.left.set(true);
            self.engine.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}

/// The value of a header that is there once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// A time in seconds, with decimals; one below 0 is past, and one that no client would wait is none.
fn seconds(text: &str) -> Option<Duration> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.' || b == b'-' || b == b'+');
    let value: f64 = text.parse().ok().filter(|_| plain)?;
    Duration::try_from_secs_f64(value.max(0.0)).ok().filter(|time| *time <= MAX_DEADLINE)
}

/// The method follows from the class.
fn method_fits(class: &ClassRule, method: &Method, headers: &HeaderMap) -> Result<(), RequestError> {
    let wrong = |why| Err((StatusCode::BAD_REQUEST, why));
    let right = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if method != right {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
    }
    match class.idempotency {
        Idempotency::IdempotentWithKey { .. } if only(headers, &KEY).is_none_or(str::is_empty) => {
            wrong("Idempotency-Key is missing")
        }
        Idempotency::NonIdempotent if headers.contains_key(KEY) => wrong("this class has no Idempotency-Key"),
        _ => Ok(()),
    }
}

/// The last answer on its connection.
fn ending(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::from_static(text.as_bytes()), None));
    *response.status_mut() = status;
    response
}

fn refused(stay_away: Option<Duration>) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let value = stay_away.and_then(|d| HeaderValue::from_str(&format!("{:.3}", d.as_secs_f64())).ok());
    value.into_iter().for_each(|v| {
        response.headers_mut().insert(header::RETRY_AFTER, v);
    });
    response
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::TcpStream as Peer;

    use tokio::task::{LocalSet, spawn_local, yield_now};

    use super::*;

    const HEALTH: &[u8] = b"GET /_health HTTP/1.1\r\nHost: n\r\n\r\n";

    fn clients() -> Rc<DownstreamServer> {
        let class = r#"{"name":"view","idempotency":"pure","goal_time_us":100000,"deadline_us":1000000}"#;
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{{"services":[{class}]}}}}"#
        );
        // Tests run beside each other, each on a thread of its own.
        let (process, thread) = (std::process::id(), std::thread::current().id());
        let path = std::env::temp_dir().join(format!("mothspool-clients-{process}-{thread:?}.json"));
        std::fs::write(&path, text).unwrap();
        let config = Rc::new(Config::read(path.to_str().unwrap()).unwrap());
        std::fs::remove_file(path).unwrap();
        let room = BufferBudget::new(config.limits.memory);
        let servers = Rc::new(UpstreamPool::new(&config, room.clone()));
        let (mailbox, _) = EngineHandle::new(1, servers.clone());
        let lifecycle = Rc::new(Lifecycle::new(servers.clone()));
        Rc::new(DownstreamServer::new(config, mailbox, servers, lifecycle, room))
    }

    /// A peer whose connection is kept and idle, and that connection.
    async fn kept(clients: &Rc<DownstreamServer>) -> (Peer, Rc<Connection>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = Peer::connect(listener.local_addr().unwrap()).unwrap();
        clients.clone().adopt(1, listener.accept().await.unwrap().0);
        peer.write_all(HEALTH).unwrap();
        let connection = clients.connections.borrow()[&1].clone();
        while connection.fresh.get() || connection.spare_since().is_none() {
            yield_now().await;
        }
        assert!(peer.read(&mut [0; 1024]).unwrap() > 0);
        (peer, connection)
    }

    /// What is answered where a connection is told to end while this request is on its way to it: the kernel is
    /// asked for news before the connection has its turn, as happens under load.
    fn answered(end: impl FnOnce(&DownstreamServer, &Connection), first: &[u8], rest: &[u8]) -> String {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let clients = clients();
            let (mut peer, connection) = kept(&clients).await;
            // More than have their turn between two looks at the kernel.
            (0..200).for_each(|_| drop(spawn_local(async {})));
            end(&clients, &connection);
            peer.write_all(first).unwrap();
            while !connection.seen.has_request_started() && !clients.connections.borrow().is_empty() {
                yield_now().await;
            }
            let _ = peer.write_all(rest);
            // What is closed is closed by whoever holds it last.
            drop(connection);
            peer.set_nonblocking(true).unwrap();
            let peer = TcpStream::from_std(peer).unwrap();
            let mut answer = vec![0; 1024];
            let read = loop {
                peer.readable().await.unwrap();
                match peer.try_read(&mut answer) {
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    read => break read.unwrap_or(0),
                }
            };
            answer.truncate(read);
            String::from_utf8(answer).unwrap()
        })
    }

    #[test]
    fn a_request_that_begins_as_its_connection_is_told_to_end_is_answered() {
        let end = |clients: &DownstreamServer, connection: &Connection| clients.end(connection);
        let answer = answered(end, &HEALTH[..9], &HEALTH[9..]);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    }

    /// As when the rest of a slow head has come between the look that found it late and the cut.
    #[test]
    fn a_connection_that_is_no_longer_stuck_is_not_cut_off() {
        let cut = |_: &DownstreamServer, connection: &Connection| connection.cut.notify_one();
        let answer = answered(cut, &HEALTH[..9], &HEALTH[9..]);
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    }
}
