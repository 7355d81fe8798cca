//! Discovery: the list of servers and the watch that keeps it current.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use mothspool::{DiscoveryMode, EndpointInfo, EndpointState, Timestamp};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use crate::config::Config;
use crate::engine::{EngineHandle, ListKind};
use crate::protocol::endpoint_list::{EndpointList, EndpointRecord, State, id_of};

/// A watch that says nothing for this long is dead: a line comes every 2 s. What it misses counts as told after 6 s,
/// and the next watch may be silent too: the one after that has to be up by then, the waits between included.
const SILENCE: Duration = Duration::from_millis(2400);
/// How long a connection, and the head of its answer, may take. After a move to another address the watch
/// has to be up within 4 s, a second try included.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// The wait before a watch is begun anew lies between this and twice this, times the failures so far.
const AGAIN: Duration = Duration::from_millis(150);
/// The most failures that the wait grows with.
const AGAIN_MOST: u32 = 4;
/// What discovery has at its return counts as told at once, and a server that drains may be sent something new for 2 s:
/// a try that finds silence and the wait behind it are over by then, where it returned right after the try began.
const HEARD_WITHIN: Duration = Duration::from_millis(1700);
/// The longest list; one of some thousand servers, however it is indented.
const LONGEST_LIST: usize = 2 << 20;

/// Numbers for names: the settings' in their order, then others as lists bring them. Two that the settings leave out
/// are no more alike than two that they name: a repeat may be tied to one of them.
struct Numbers(RefCell<HashMap<String, u8>>);

impl Numbers {
    fn new(names: &[String]) -> Numbers {
        Numbers(RefCell::new(names.iter().cloned().zip(0..u8::MAX).collect()))
    }

    fn of(&self, name: &str) -> u8 {
        let mut known = self.0.borrow_mut();
        if let Some(number) = known.get(name) {
            return *number;
        }
        let next = u8::try_from(known.len()).unwrap_or(u8::MAX);
        if next < u8::MAX {
            known.insert(name.into(), next);
        }
        next
    }
}

/// Turns discovery's entries into the module's.
struct EndpointParser {
    zones: Numbers,
    kinds: Numbers,
}

impl EndpointParser {
    fn new(config: &Config) -> EndpointParser {
        EndpointParser { zones: Numbers::new(&config.zones), kinds: Numbers::new(&config.kinds) }
    }

    fn entry(&self, target: &EndpointRecord) -> EndpointInfo {
        EndpointInfo {
            id: id_of(&target.uid),
            state: match target.state {
                State::Ready => EndpointState::Ready,
                State::Draining => EndpointState::Draining,
                State::Gone => EndpointState::Gone,
            },
            started_at: Timestamp::from_micros(target.boot_ms.saturating_mul(1000)),
            zone: self.zones.of(&target.az),
            cell: target.pod_group,
            weight: target.capacity_hint.max(0.0),
            machine_type: self.kinds.of(&target.model),
        }
    }

    /// Passes a list on: addresses and states to the servers' side at once, then the rest to the engine.
    fn notify(&self, update: &EndpointList, cached: bool, engine: &EngineHandle) {
        let list = update.targets.iter().map(|record| (self.entry(record), record.endpoint)).collect();
        let kind = match (cached, update.all) {
            (true, _) => ListKind::Cached,
            (_, true) => ListKind::Snapshot,
            _ => ListKind::Delta,
        };
        engine.update_endpoints(kind, list);
    }
}

/// Starts from the list that the configuration holds and watches from there on, for ever; when discovery
/// moves, it does so at the new address, from where it was.
pub async fn follow(
    config: Rc<Config>,
    mut address: watch::Receiver<SocketAddr>,
    engine: EngineHandle,
    subscribe: Rc<Notify>,
) {
    let reader = EndpointParser::new(&config);
    reader.notify(&config.known, true, &engine);
    let mut rev = config.known.rev;
    let mut failures = 0;
    let mut random = fastrand::Rng::with_seed(config.seed);
    if config.settings.discovery != DiscoveryMode::Push {
        subscribe.notified().await;
    }
    loop {
        let (at, began) = (*address.borrow_and_update(), Instant::now());
        // A watch that was opened tells nothing until something changes.
        let heard = |update: Option<&EndpointList>| {
            failures = 0;
            update.into_iter().for_each(|update| reader.notify(update, false, &engine));
        };
        let why = tokio::select! {
            biased;
            // The old address takes no new watch and ends the one it has.
            true = changed(&mut address) => {
                failures = 0;
                continue;
            }
            Err(why) = watch_at(at, &mut rev, heard) => why,
        };
        failures += 1;
        // A line for each try of a long outage would say nothing new.
        if failures == 1 {
            log!("discovery: {why}; watching anew from {rev}");
        }
        // Lists that are asked for are no exception: what answers is on this machine, at no cost to any other, and
        // the time until news count as told is one. A move must not wait for what befell the old address.
        let left = HEARD_WITHIN.saturating_sub(began.elapsed()) / 2;
        let longer = (AGAIN * failures.min(AGAIN_MOST)).min(left.max(AGAIN));
        let _ = timeout(longer + longer.mul_f64(random.f64()), changed(&mut address)).await;
    }
}

/// Waits until discovery has moved; for ever, if nothing can move it any more.
async fn changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    match address.changed().await {
        Ok(()) => true,
        Err(_) => std::future::pending().await,
    }
}

/// One watch, until it fails.
async fn watch_at(
    address: SocketAddr,
    rev: &mut u64,
    mut tell: impl FnMut(Option<&EndpointList>),
) -> Result<Infallible, Box<dyn Error>> {
    let stream = timeout(ANSWER_WITHIN, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::task::spawn_local(connection));
    let request = Request::get(format!("/catalog/members?watch=1&from={rev}"))
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(ANSWER_WITHIN, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered {}", response.status()).into());
    }
    tell(None);
    let mut body = response.into_body();
    let mut lines = Lines::new();
    let mut due = Instant::now() + SILENCE;
    loop {
        let frame = timeout_at(due, body.frame()).await.map_err(|_| "the watch fell silent")?;
        let Ok(data) = frame.ok_or("the watch ended")??.into_data() else { continue };
        for byte in data {
            let update = lines.take(byte)?;
            // A list that comes byte by byte and to no end is silence too.
            if lines.between() {
                due = Instant::now() + SILENCE;
            }
            let Some(update) = update else { continue };
            // What is held goes before what came late; a new watch tells what has changed since.
            if update.rev < *rev {
                return Err(format!("a list of {}, older than the one held", update.rev).into());
            }
            *rev = update.rev;
            tell(Some(&update));
        }
    }
}

/// Puts together the lists that come on a watch: each ends with a line, but may be indented over many.
struct Lines {
    bytes: Vec<u8>,
    /// How many brackets are open, outside of strings.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether the current line has nothing on it yet.
    blank: bool,
}

impl Lines {
    fn new() -> Lines {
        Lines { bytes: Vec::new(), depth: 0, in_string: false, escaped: false, blank: true }
    }

    /// Whether nothing has come of a next list, and so all that came was whole.
    fn between(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes in a byte; gives a list that it ends.
    fn take(&mut self, byte: u8) -> Result<Option<EndpointList>, Box<dyn Error>> {
        if byte == b'\n' {
            return self.line_ended();
        }
        if self.bytes.len() >= LONGEST_LIST {
            return Err("a list without end".into());
        }
        self.bytes.push(byte);
        self.blank &= byte.is_ascii_whitespace();
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        Ok(None)
    }

    fn line_ended(&mut self) -> Result<Option<EndpointList>, Box<dyn Error>> {
        let blank = std::mem::replace(&mut self.blank, true);
        if self.depth > 0 || self.in_string {
            // An empty line says that nothing changes: whatever has begun before it was broken off.
            if blank || self.in_string {
                return Err("a list broke off".into());
            }
            self.bytes.push(b'\n');
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes);
        if bytes.trim_ascii().is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&bytes)?))
    }
}
