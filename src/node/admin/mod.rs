//! The operators' address: calls over HTTP, one a connection, answered beside any load of clients.

pub mod state_store;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::admin::state_store::{AdminState, StateStore};
use crate::config::MAX_ADMIN_CALLS;
use crate::downstream::DownstreamServer;
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::net::DownstreamSocket;
use crate::protocol::endpoint_list::id_of;

/// How long a caller may take to bring a call.
const CALL_WITHIN: Duration = Duration::from_secs(1);
/// How long the whole of a call may take, its caller's reading included.
const END_WITHIN: Duration = Duration::from_secs(3);
/// The most that a call may hold.
const CALL_MOST: usize = 4096;
/// How often the shared file is looked at for what another process has written.
const FOLLOW_EVERY: Duration = Duration::from_millis(50);
/// A yes waits until the other process of the node, if there is one, has followed too.
const FOLLOWED_BY_ALL: Duration = Duration::from_millis(120);
/// For how long a process that has to make room for its successor waits for what may still end: a client's new
/// connection is left alone at first. The successor waits a little longer; there may be no other any more.
const GIVES_WAY_WITHIN: Duration = Duration::from_millis(500);
const GIVEN_WAY_WITHIN: Duration = Duration::from_secs(1);
/// One of two processes has left by now: the platform ends the older one, or the younger one has failed.
const ALONE_AFTER: Duration = Duration::from_secs(11);
/// How long to wait for descriptors.
const NO_SOCKETS: Duration = Duration::from_millis(10);

/// What can be called.
#[derive(Clone, Copy)]
enum Call {
    Status,
    Enter,
    Exit,
    Standby,
    Active,
}

impl Call {
    fn at(path: &str) -> Option<Call> {
        match path {
            "/status" => Some(Call::Status),
            "/maintenance/enter" => Some(Call::Enter),
            "/maintenance/exit" => Some(Call::Exit),
            "/standby" => Some(Call::Standby),
            "/active" => Some(Call::Active),
            _ => None,
        }
    }

    fn method(self) -> Method {
        if matches!(self, Call::Status) { Method::GET } else { Method::POST }
    }
}

/// Which server a call is about.
#[derive(Deserialize)]
struct Named {
    host: String,
}

/// Carries out what operators ask for, of this process or of another one of the node.
pub struct AdminService {
    shared: StateStore,
    /// The orders as they are carried out.
    done: RefCell<AdminState>,
    clients: Rc<DownstreamServer>,
    lifecycle: Rc<Lifecycle>,
    engine: EngineHandle,
}

impl AdminService {
    pub fn new(
        shared: StateStore,
        clients: Rc<DownstreamServer>,
        lifecycle: Rc<Lifecycle>,
        engine: EngineHandle,
    ) -> AdminService {
        let desk = AdminService { shared, done: RefCell::default(), clients, lifecycle, engine };
        desk.carry_out();
        desk
    }

    /// Brings clients, servers and the decision module in line with the orders.
    fn carry_out(&self) {
        let orders = self.shared.orders();
        let done = self.done.replace(orders.clone());
        self.lifecycle.set_standby(orders.standby);
        for (uid, at) in &orders.returned {
            if done.returned.get(uid) != Some(at) {
                self.engine.exit_maintenance(id_of(uid), *at);
            }
        }
        for uid in &orders.maintenance {
            self.engine.enter_maintenance(id_of(uid));
        }
    }

    /// Counts this process among the node's, and follows the file for ever.
    pub async fn follow(&self) {
        let mut own = 0;
        if let Err(error) = self.shared.change(|orders| own = starts(orders)).await {
            log!("the shared state cannot be written: {error}");
        }
        let (mut last, mut since) = (own, Instant::now());
        let (begun, mut release_path) = (since, own);
        loop {
            // Two processes are one node, with one node's descriptors, until the first of them has left.
            let started = self.shared.orders().starts;
            if started != last {
                (last, since) = (started, Instant::now());
            }
            self.clients.share_descriptors(last > 1 && since.elapsed() < ALONE_AFTER);
            if started > release_path
                && (!self.clients.exceeds_limit() || since.elapsed() >= GIVES_WAY_WITHIN)
            {
                self.shared.release_descriptors(started);
                release_path = started;
            }
            if own <= 1 || begun.elapsed() >= GIVEN_WAY_WITHIN || self.shared.were_descriptors_released(own) {
                self.lifecycle.descriptors_available();
            }
            sleep(FOLLOW_EVERY).await;
            if self.shared.read() {
                self.carry_out();
            }
        }
    }

    /// Changes the orders, and returns once all processes go by them.
    async fn order(&self, change: impl FnOnce(&mut AdminState)) -> io::Result<()> {
        self.shared.change(change).await?;
        self.carry_out();
        sleep(FOLLOWED_BY_ALL).await;
        Ok(())
    }

    async fn answer(&self, request: Request<Incoming>, heard: &Cell<bool>) -> Response<Full<Bytes>> {
        let Some(call) = Call::at(request.uri().path()) else {
            return said(StatusCode::NOT_FOUND, "no such call");
        };
        if *request.method() != call.method() {
            let mut response = said(StatusCode::METHOD_NOT_ALLOWED, "not the method of this call");
            let allowed = HeaderValue::from_static(if call.method() == Method::GET { "GET" } else { "POST" });
            response.headers_mut().insert(header::ALLOW, allowed);
            return response;
        }
        let body = match timeout(CALL_WITHIN, Limited::new(request.into_body(), CALL_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return said(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return said(StatusCode::BAD_REQUEST, "the body is broken"),
            Err(_) => return said(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        heard.set(true);
        let ordered = match call {
            Call::Status => return self.status(),
            Call::Standby => self.order(|orders| orders.standby = true).await,
            Call::Active => self.order(|orders| orders.standby = false).await,
            Call::Enter | Call::Exit => {
                let Ok(Named { host }) = serde_json::from_slice(&body) else {
                    return said(StatusCode::BAD_REQUEST, "not {\"host\":\"ID\"}");
                };
                let out = self.shared.orders().maintenance.contains(&host);
                if !out && !self.engine.is_known(id_of(&host)) {
                    return said(StatusCode::NOT_FOUND, "no such host");
                }
                match call {
                    Call::Enter => self.order(|orders| enter(orders, host)).await,
                    _ => self.order(|orders| exit(orders, &host)).await,
                }
            }
        };
        match ordered {
            Ok(()) => self.told(StatusCode::OK),
            Err(error) => {
                log!("a call changed nothing: {error}");
                said(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "the shared state cannot be written; nothing is changed",
                )
            }
        }
    }

    fn status(&self) -> Response<Full<Bytes>> {
        self.told(if self.lifecycle.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }

    /// An answer that shows how things stand.
    fn told(&self, status: StatusCode) -> Response<Full<Bytes>> {
        let orders = self.shared.orders();
        let body = json!({"phase": self.lifecycle.phase_name(), "able": self.lifecycle.is_ready(),
            "maintenance": orders.maintenance});
        let mut response = Response::new(Full::from(format!("{body}\n")));
        *response.status_mut() = status;
        let kind = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }
}

/// Counts one more process; tells its number.
fn starts(orders: &mut AdminState) -> u64 {
    orders.starts += 1;
    orders.starts
}

fn enter(orders: &mut AdminState, uid: String) {
    orders.returned.remove(&uid);
    orders.maintenance.insert(uid);
}

/// A second call back changes nothing: the server is as cold as the first one says.
fn exit(orders: &mut AdminState, uid: &str) {
    // No server is cold for longer.
    const COLD_MOST: Duration = Duration::from_secs(600);
    if orders.maintenance.remove(uid) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        orders.returned.retain(|_, at| Duration::from_micros(*at) + COLD_MOST > now);
        orders.returned.insert(uid.to_string(), now.as_micros() as u64);
    }
}

fn said(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{text}\n")));
    *response.status_mut() = status;
    response
}

/// A caller's connection, as the listener sees it.
struct Caller {
    /// Whether its call has come.
    heard: Rc<Cell<bool>>,
    task: AbortOnDropHandle<()>,
}

/// Takes calls for ever.
pub async fn listen(listener: TcpListener, desk: Rc<AdminService>) {
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                sleep(NO_SOCKETS).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() >= MAX_ADMIN_CALLS {
            // Who has called is owed an answer; of the others the one that has kept silent for longest goes.
            let at = callers.iter().position(|caller| !caller.heard.get()).unwrap_or(0);
            callers.remove(at);
        }
        let heard = Rc::new(Cell::new(false));
        let task = tokio::task::spawn_local(take_call(stream, desk.clone(), heard.clone()));
        callers.push_back(Caller { heard, task: AbortOnDropHandle::new(task) });
    }
}

async fn take_call(stream: TcpStream, desk: Rc<AdminService>, heard: Rc<Cell<bool>>) {
    let (socket, seen) = DownstreamSocket::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let (desk, heard, seen) = (desk.clone(), heard.clone(), seen.clone());
        async move {
            let answer = desk.answer(request, &heard).await;
            if answer.status().is_client_error() {
                seen.linger();
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(CALL_WITHIN).keep_alive(false);
    // What becomes of a caller that breaks off is nobody's concern.
    let _ = timeout(END_WITHIN, builder.serve_connection(TokioIo::new(socket), service)).await;
}
