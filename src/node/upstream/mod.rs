//! The servers' side: who they are, the idle connections to them, and one attempt at a time on each.

mod idle_policy;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mothspool::{EndpointId, EndpointInfo, EndpointState, Micros, Outcome};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::body::{
    BufferBudget, BufferedPrefix, OutboundBody, RequestBody, ResponseBody, ResponsePrefix,
    StreamingResponseBody, TransferEnd, UploadProgress,
};
use crate::config::Config;
use crate::net::{ConnectionPermit, ConnectionPermits, UpstreamIo, UpstreamSocket};
use crate::protocol::headers::{DEADLINE, DECLINED, drop_hop_headers};
use crate::upstream::idle_policy::{IdleTimeoutPolicy, StaleConnectionEstimator};

/// An idle connection is retired after this part of the time for which servers keep it.
const IDLE_PART: f64 = 0.7;
/// How long an idle connection rests before it is used again: what a server sends behind an answer may come some
/// milliseconds later (up to 7 ms, as nodes met it), and must have come before the next request goes out.
const REST: Duration = Duration::from_millis(10);
/// An answer that has begun to come goes on within this, or is stuck.
const GOES_ON_WITHIN: Duration = Duration::from_millis(300);
/// How often it is looked whether a server still takes the body that is sent to it, and for how long it may not.
const UPLOAD_LOOK: Duration = Duration::from_millis(100);
const UPLOAD_GOES_ON_WITHIN: Duration = Duration::from_secs(1);
/// The most hints (1xx) ahead of an answer.
const HINTS_MOST: usize = 16;
/// A server that answers nothing for this long may have vanished.
const SILENT: Duration = Duration::from_secs(1);
/// How long to wait for a descriptor until the next try.
const NO_SOCKETS: Duration = Duration::from_millis(10);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(250);

/// A request as it goes on to servers.
pub struct UpstreamRequest {
    pub method: Method,
    /// Path and query, unchanged.
    pub target: PathAndQuery,
    /// All headers but the deadline.
    pub headers: HeaderMap,
    pub upload: RequestBody,
    /// How long the client waits, from when its last byte has come.
    pub timeout: Duration,
    /// When that was, for what is held whole.
    pub came: Instant,
    /// Whether it must never run twice.
    pub non_idempotent: bool,
    /// From when on no attempt may begin: servers may have forgotten that they ran it.
    pub begin_by: Cell<Option<Instant>>,
    /// Whether nobody waits for it any more: what has not begun to go is not sent.
    pub left: Cell<bool>,
}

impl UpstreamRequest {
    /// When the client's last byte has come, if it has.
    pub fn came(&self) -> Option<Instant> {
        match &self.upload {
            RequestBody::Buffered { .. } => Some(self.came),
            RequestBody::Streamed(stream) => match stream.progress() {
                UploadProgress::Complete(at) => Some(at),
                UploadProgress::Buffered | UploadProgress::Forwarding | UploadProgress::Failed(_) => None,
            },
        }
    }

    /// Whether an attempt may begin now. What has begun to go to another server is kept no longer; it may have run
    /// elsewhere, or its client have left, while a connection came up.
    fn may_begin(&self) -> bool {
        let in_time = self.begin_by.get().is_none_or(|by| Instant::now() < by);
        self.upload.is_replayable() && !self.left.get() && in_time
    }

    /// Returns when no answer is of use any more, or the server takes no more of the body.
    async fn expired(&self) {
        loop {
            if let Some(came) = self.came() {
                return sleep_until(came + self.timeout).await;
            }
            if let RequestBody::Streamed(stream) = &self.upload
                && matches!(stream.progress(), UploadProgress::Forwarding)
                && stream.unpolled() >= self.timeout.max(UPLOAD_GOES_ON_WITHIN)
            {
                return;
            }
            sleep(UPLOAD_LOOK).await;
        }
    }

    /// Whether the request's last byte may have been written, after so many of its bytes.
    fn may_be_written(&self, head: u64, written: u64) -> bool {
        match self.upload.length() {
            Some(body) => written >= head + body,
            None => self.came().is_some(),
        }
    }

    fn request(&self) -> Option<Request<OutboundBody>> {
        let spent = self.came().map_or(Duration::ZERO, |came| came.elapsed());
        let left = self.timeout.saturating_sub(spent).as_secs_f64();
        let mut request = Request::new(OutboundBody::from(&self.upload));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(DEADLINE, HeaderValue::from_str(&format!("{left:.3}")).ok()?);
        Some(request)
    }
}

/// How many bytes a request's head is on the socket, as hyper writes it when every header is given.
fn head_length(request: &Request<OutboundBody>) -> u64 {
    let first =
        request.method().as_str().len() + request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    (first + " HTTP/1.1\r\n".len() + 1 + headers + 2) as u64
}

/// A connection to a server; dropping it closes it.
struct Connection {
    sender: SendRequest<OutboundBody>,
    line: Rc<UpstreamSocket>,
    /// Of which run of its server.
    run: Run,
    idle_since: Instant,
    _task: AbortOnDropHandle<()>,
}

/// An attempt on its connection. A vanished machine is silent on all the connections that it had, and each
/// idle one would cost another attempt, perhaps an unsafe one, its whole time; a new one fails at once, and
/// surely never ran.
struct Unanswered<'a> {
    servers: &'a UpstreamPool,
    server: EndpointId,
    sent: Instant,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.servers.doubt(self.server, self.sent);
    }
}

/// One run of a server, as far as it is known: what was opened to an earlier one is of no use.
#[derive(Clone, Copy, PartialEq)]
struct Run {
    endpoint: SocketAddr,
    started: Micros,
    /// How many times operators had put servers back.
    returns: u64,
}

struct Endpoint {
    run: Run,
    ready: bool,
    /// When it last answered.
    heard: Instant,
    /// The freshest last.
    idle: Vec<Connection>,
}

/// All servers that discovery has named, and the connections to them.
pub struct UpstreamPool {
    members: RefCell<HashMap<EndpointId, Endpoint>>,
    /// All that lists have ever named: operators may call back one that is gone.
    named: RefCell<HashSet<EndpointId>>,
    /// Those that operators have taken out.
    out: RefCell<HashSet<EndpointId>>,
    returns: Cell<u64>,
    places: Rc<ConnectionPermits>,
    most: Cell<usize>,
    connect_timeout: Duration,
    buffer: usize,
    thrift: IdleTimeoutPolicy,
    trust: StaleConnectionEstimator,
    room: Rc<BufferBudget>,
}

/// What became of an attempt.
pub enum AttemptOutcome {
    Failed(Outcome),
    /// A whole 200.
    Served(Response<ResponseBody>),
    /// A 200 of which the first piece is there, and the rest to come.
    Streaming(Response<StreamingResponse>),
}

/// The rest of an answer that has begun.
pub struct StreamingResponse {
    first: BufferedPrefix,
    rest: Incoming,
    servers: Rc<UpstreamPool>,
    server: EndpointId,
    connection: Connection,
    /// Whether the connection can be used again.
    stays: bool,
}

impl StreamingResponse {
    /// What the client is given. `told` hears how it ended.
    pub fn reply(self, told: impl FnOnce(Outcome) + 'static) -> ResponseBody {
        let StreamingResponse { first, rest, servers, server, connection, stays } = self;
        ResponseBody::part(StreamingResponseBody::new(first, rest, move |end| match end {
            TransferEnd::Complete => {
                if stays {
                    tokio::task::spawn_local(async move { servers.keep(server, connection).await });
                }
                told(Outcome::Served);
            }
            TransferEnd::Broken => told(Outcome::Reset),
            TransferEnd::ClientLeft => told(Outcome::Cancelled),
        }))
    }
}

impl UpstreamPool {
    pub fn new(config: &Config, room: Rc<BufferBudget>) -> UpstreamPool {
        UpstreamPool {
            members: RefCell::default(),
            named: RefCell::default(),
            out: RefCell::default(),
            returns: Cell::new(0),
            places: Rc::default(),
            most: Cell::new(config.limits.max_connections / 3),
            connect_timeout: config.connect_timeout,
            buffer: config.limits.connection_buffer,
            thrift: IdleTimeoutPolicy::new(config.keepalive.mul_f64(IDLE_PART)),
            trust: StaleConnectionEstimator::new(),
            room,
        }
    }

    /// For how long an idle connection is kept.
    fn max_idle(&self) -> Duration {
        self.thrift.max_idle().min(self.trust.max_idle(false))
    }

    /// How many connections to servers there may be.
    pub fn max_connections(&self) -> usize {
        self.most.get()
    }

    /// Sets how many connections to servers there may be.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
        while self.places.taken() > most && self.evict_idle() {}
    }

    /// Whether a list has named this server.
    pub fn is_known(&self, server: EndpointId) -> bool {
        self.named.borrow().contains(&server)
    }

    /// Sends a server nothing new from now on, whatever lists say.
    pub fn enter_maintenance(&self, server: EndpointId) {
        self.out.borrow_mut().insert(server);
        if let Some(member) = self.members.borrow_mut().get_mut(&server) {
            member.idle.clear();
        }
    }

    /// Sends a server requests again if lists name it ready, on new connections.
    pub fn exit_maintenance(&self, server: EndpointId) {
        self.out.borrow_mut().remove(&server);
        self.returns.set(self.returns.get() + 1);
        if let Some(member) = self.members.borrow_mut().get_mut(&server) {
            member.run.returns = self.returns.get();
            member.idle.clear();
        }
    }

    /// Whether there is any server to send to.
    pub fn has_ready_endpoint(&self) -> bool {
        self.members.borrow().values().any(|m| m.ready)
    }

    /// Takes in the whole list or changes. Idle connections to an old address, or to a server that wants
    /// nothing new, are closed.
    pub fn update_endpoints(&self, list: impl Iterator<Item = (EndpointInfo, SocketAddr)>, whole: bool) {
        let mut members = self.members.borrow_mut();
        members.values_mut().filter(|_| whole).for_each(|m| m.ready = false);
        for (entry, endpoint) in list {
            self.named.borrow_mut().insert(entry.id);
            let ready = entry.state == EndpointState::Ready;
            let run = Run { endpoint, started: entry.started_at, returns: self.returns.get() };
            let fresh = || Endpoint { run, ready, heard: Instant::now(), idle: Vec::new() };
            let member = members.entry(entry.id).or_insert_with(fresh);
            // A machine that vanished and is back has forgotten its connections, and they say nothing of it.
            if (member.run.endpoint, member.run.started) != (run.endpoint, run.started) {
                *member = fresh();
            }
            member.ready = ready;
        }
        members.values_mut().filter(|m| !m.ready).for_each(|m| m.idle.clear());
        // One that drains or is gone is sent nothing, so nothing need be kept of it.
        members.retain(|_, m| m.ready);
    }

    /// Where to reach the server, if it takes requests.
    fn whereabouts(&self, server: EndpointId) -> Option<Run> {
        self.members.borrow().get(&server).filter(|_| !self.out.borrow().contains(&server)).map(|m| m.run)
    }

    /// The freshest idle connection that has rested and is quiet; older ones are retired in time. One that
    /// breaks under a request leaves open whether it ran: what must not run twice could then neither go again
    /// nor be refused, and rather has a new one.
    fn take_idle(&self, server: EndpointId, non_idempotent: bool) -> Option<Connection> {
        let (max_idle, trusted) = (self.max_idle(), self.trust.max_idle(non_idempotent));
        let mut members = self.members.borrow_mut();
        let idle = &mut members.get_mut(&server)?.idle;
        while let Some(at) = idle.iter().rposition(|c| c.idle_since.elapsed() >= REST) {
            if non_idempotent && idle[at].idle_since.elapsed() >= trusted {
                return None;
            }
            let connection = idle.remove(at);
            let fresh = connection.idle_since.elapsed() < max_idle;
            // What has come since would be read as the next request's answer.
            if fresh && connection.sender.is_ready() && connection.line.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt, if the server still takes any.
    async fn keep(&self, server: EndpointId, mut connection: Connection) {
        // hyper says it is ready once it has found nothing behind the answer that it has read.
        if !matches!(timeout(GOES_ON_WITHIN, connection.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        connection.idle_since = Instant::now();
        if self.whereabouts(server) == Some(connection.run)
            && let Some(member) = self.members.borrow_mut().get_mut(&server)
        {
            member.idle.push(connection);
        }
    }

    /// Notes that a server has answered.
    fn heard(&self, server: EndpointId) {
        if let Some(member) = self.members.borrow_mut().get_mut(&server) {
            member.heard = Instant::now();
        }
    }

    /// Closes a server's idle connections if it has answered nothing since `sent`, some time ago.
    fn doubt(&self, server: EndpointId, sent: Instant) {
        if let Some(member) = self.members.borrow_mut().get_mut(&server)
            && sent.elapsed() >= SILENT
            && member.heard < sent
        {
            member.idle.clear();
        }
    }

    /// Closes the connection that has been idle for longest; tells whether there was one.
    pub fn evict_idle(&self) -> bool {
        let mut members = self.members.borrow_mut();
        let oldest = members.values_mut().filter(|m| !m.idle.is_empty());
        match oldest.min_by_key(|m| m.idle[0].idle_since) {
            Some(member) => {
                member.idle.remove(0);
                true
            }
            None => false,
        }
    }

    /// Retires idle connections well before servers close them: a request that crosses a close is lost.
    pub async fn run_idle_sweep(&self) {
        loop {
            sleep(SWEEP).await;
            let max_idle = self.max_idle();
            let fits = |c: &Connection| c.idle_since.elapsed() < max_idle && !c.sender.is_closed();
            self.members.borrow_mut().values_mut().for_each(|m| m.idle.retain(fits));
        }
    }

    /// A place for a connection, once there is one; an idle connection makes room for it.
    async fn place(&self) -> ConnectionPermit {
        while self.places.taken() >= self.max_connections() {
            self.evict_idle();
            self.places.freed().await;
        }
        self.places.take()
    }

    /// Opens a connection. For a place, and for a descriptor where the machine has fewer than the node was told, it is
    /// waited no longer than for a server: all others are as badly off, and to try them at once would use up the
    /// request's attempts.
    async fn connect(&self, run: Run, outgoing: &UpstreamRequest) -> Result<Connection, Outcome> {
        let by = Instant::now() + self.connect_timeout;
        let (place, stream) = loop {
            let place = timeout_at(by, self.place()).await.map_err(|_| Outcome::NotSent)?;
            // The descriptor may be free because its own client has left.
            if !outgoing.may_begin() {
                return Err(Outcome::NotSent);
            }
            match timeout(self.connect_timeout, TcpStream::connect(run.endpoint)).await {
                Ok(Ok(stream)) => break (place, stream),
                Ok(Err(error)) if out_of_sockets(&error) && Instant::now() < by => {
                    drop(place);
                    self.evict_idle();
                    sleep(NO_SOCKETS).await;
                }
                Ok(Err(error)) if out_of_sockets(&error) => return Err(Outcome::NotSent),
                _ => return Err(Outcome::ConnectFailed),
            }
        };
        stream.set_nodelay(true).map_err(|_| Outcome::ConnectFailed)?;
        let line = Rc::new(UpstreamSocket::new(stream, place));
        let socket = TokioIo::new(UpstreamIo(line.clone()));
        let builder = http1::Builder::new().max_buf_size(self.buffer).handshake(socket).await;
        let (sender, connection) = builder.map_err(|_| Outcome::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // Its errors show in the attempts.
            let _ = connection.await;
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(Connection { sender, line, run, idle_since: Instant::now(), _task })
    }

    /// One attempt, to its end; `begun` is set while it may be on a socket.
    pub async fn attempt(
        self: &Rc<Self>,
        outgoing: &UpstreamRequest,
        server: EndpointId,
        begun: &Cell<bool>,
    ) -> AttemptOutcome {
        let ended = tokio::select! {
            biased;
            ended = self.send(outgoing, server, begun) => ended,
            () = outgoing.expired() => {
                Err(if begun.get() { Outcome::TimedOut } else { Outcome::NotSent })
            }
        };
        ended.unwrap_or_else(AttemptOutcome::Failed)
    }

    /// Sends the request on an idle connection or a new one.
    async fn send(
        self: &Rc<Self>,
        outgoing: &UpstreamRequest,
        server: EndpointId,
        begun: &Cell<bool>,
    ) -> Result<AttemptOutcome, Outcome> {
        loop {
            if !outgoing.may_begin() {
                return Err(Outcome::NotSent);
            }
            let (mut connection, idle) = match self.take_idle(server, outgoing.non_idempotent) {
                Some(connection) => {
                    let idle = connection.idle_since.elapsed();
                    (connection, Some(idle))
                }
                None => {
                    let there = self.whereabouts(server).ok_or(Outcome::NotSent)?;
                    let connection = match outgoing.begin_by.get() {
                        Some(by) => timeout_at(by, self.connect(there, outgoing))
                            .await
                            .map_err(|_| Outcome::NotSent)?,
                        None => self.connect(there, outgoing).await,
                    };
                    (connection?, None)
                }
            };
            // A drain may have been heard of while the connection came up.
            if !outgoing.may_begin() || self.whereabouts(server) != Some(connection.run) {
                return Err(Outcome::NotSent);
            }
            let mut request = outgoing.request().ok_or(Outcome::NotSent)?;
            let hints = Arc::new(AtomicUsize::new(0));
            let heard_hint = hints.clone();
            on_informational(&mut request, move |_| {
                heard_hint.fetch_add(1, Ordering::Relaxed);
            });
            let line = connection.line.clone();
            let (before, head) = (line.written(), head_length(&request));
            begun.set(true);
            let _unanswered = Unanswered { servers: self, server, sent: Instant::now() };
            line.clear_received();
            let mut stuck = pin!(stuck(&line, &hints));
            let answered = tokio::select! {
                biased;
                answered = connection.sender.send_request(request) => answered,
                // What has come is no answer, nor will be one.
                () = stuck.as_mut() => return Err(Outcome::Reset),
            };
            let written = line.written() - before;
            let response = match answered {
                Ok(response) => {
                    self.heard(server);
                    self.trust.learn(idle, false);
                    response
                }
                // Nothing of it has left: an idle connection that was closing. A new one is no second copy.
                Err(_) if written == 0 && idle.is_some() => {
                    begun.set(false);
                    continue;
                }
                // Its last byte never came, and that was not the server's doing.
                Err(_) if outgoing.upload.has_failed() => return Err(Outcome::NotSent),
                // A server begins a request when its last byte has come.
                Err(_) if !outgoing.may_be_written(head, written) => return Err(Outcome::ConnectFailed),
                Err(error) => {
                    // Nothing came: not a spoilt answer, but the end of a connection that had looked well.
                    if !error.is_parse() {
                        self.trust.learn(idle, true);
                    }
                    return Err(Outcome::Reset);
                }
            };
            // What has not come whole has not run: a 200 to it is no answer.
            if outgoing.came().is_none() && response.status() == StatusCode::OK {
                return Err(Outcome::Reset);
            }
            return tokio::select! {
                biased;
                finished = self.finish(server, connection, idle.is_none(), response) => finished,
                () = stuck.as_mut() => Err(Outcome::Reset),
            };
        }
    }

    /// Reads an answer whole if it is small, and else its first piece; keeps the connection if it can be used
    /// again.
    async fn finish(
        self: &Rc<Self>,
        server: EndpointId,
        connection: Connection,
        new: bool,
        response: Response<Incoming>,
    ) -> Result<AttemptOutcome, Outcome> {
        let (mut parts, body) = response.into_parts();
        let framing = Framing::of(&parts.headers).ok_or(Outcome::Reset)?;
        let beginning = ResponsePrefix::read(body, &self.room).await.ok_or(Outcome::Reset)?;
        let declined = parts.headers.get(DECLINED).is_some_and(|v| v.as_bytes() == b"1");
        let (stays, servers) = (framing == Framing::Stated, self.clone());
        if parts.status == StatusCode::OK {
            drop_hop_headers(&mut parts.headers);
        }
        match (parts.status, beginning) {
            (StatusCode::OK, ResponsePrefix::Partial(first, rest)) => {
                let part = StreamingResponse { first, rest, servers, server, connection, stays };
                return Ok(AttemptOutcome::Streaming(Response::from_parts(parts, part)));
            }
            (status, ResponsePrefix::Complete(bytes, held)) => {
                if stays {
                    tokio::task::spawn_local(async move { servers.keep(server, connection).await });
                }
                if status == StatusCode::OK {
                    return Ok(AttemptOutcome::Served(Response::from_parts(
                        parts,
                        ResponseBody::whole(bytes, held),
                    )));
                }
            }
            (_, ResponsePrefix::Partial(..)) => {}
        }
        match parts.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
                if ends(&parts.headers) {
                    self.thrift.connection_rejected(new);
                }
                Err(Outcome::Rejected)
            }
            _ => Err(Outcome::Error),
        }
    }
}

/// Ends when an answer has begun to come and does not go on. Hints (1xx) may come long before the answer, but
/// not without end.
async fn stuck(line: &UpstreamSocket, hints: &AtomicUsize) {
    let mut before = 0;
    loop {
        line.data_received().await;
        while timeout(GOES_ON_WITHIN, line.data_received()).await.is_ok() {}
        let now = hints.load(Ordering::Relaxed);
        if now == before || now > HINTS_MOST {
            return;
        }
        before = now;
    }
}

/// How an answer says where it ends.
#[derive(Clone, Copy, PartialEq)]
enum Framing {
    /// By its length or its last chunk.
    Stated,
    /// With its connection, as it says.
    WithConnection,
}

impl Framing {
    /// Nothing if it says so in two ways, or not at all: the part of such an answer would look whole.
    fn of(headers: &HeaderMap) -> Option<Framing> {
        let encodings: Vec<&HeaderValue> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
        match (&encodings[..], headers.contains_key(header::CONTENT_LENGTH)) {
            ([], true) => Some(Framing::Stated),
            ([one], false) if one.as_bytes().eq_ignore_ascii_case(b"chunked") => Some(Framing::Stated),
            ([], false) => ends(headers).then_some(Framing::WithConnection),
            _ => None,
        }
    }
}

/// Whether the connection ends with this answer.
fn ends(headers: &HeaderMap) -> bool {
    let closes = |value: &HeaderValue| {
        value.to_str().is_ok_and(|v| v.split(',').any(|o| o.trim().eq_ignore_ascii_case("close")))
    };
    headers.get_all(header::CONNECTION).iter().any(closes)
}

/// Whether the node or its machine has no descriptor left.
pub fn out_of_sockets(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
