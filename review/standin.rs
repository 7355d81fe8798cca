//! Stand-ins for the cases of the review: clients, map servers and discovery on loopback addresses, and the
//! checks of the cases. Only the standard library is used. `build.sh` compiles this file with rustc.
//!
//! Usage: `standin CASE RECORD RUN_COMMAND`, from the root of the repository. `TROUBLE=0` leaves out the
//! disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest time that a case may take.
const WATCHDOG: Duration = Duration::from_secs(110);

// --- record, time and random numbers ---

/// The record of a case, with times in seconds since its start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A xorshift generator.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number from 0 to 1.
    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

// --- HTTP ---

/// A message head: the first line, and the headers with names in lower case.
struct Head {
    line: String,
    headers: HashMap<String, String>,
}

impl Head {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = field.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    Ok(Some(Head { line: line.trim_end().to_string(), headers }))
}

/// Reads a body that `Content-Length` or chunks delimit.
fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        body.resize(head.header("content-length").parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

// --- the node ---

/// The port that a listener got.
fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}

/// A node, started with the deployment's command. It is killed when this is dropped.
struct Node {
    child: Child,
    address: SocketAddr,
}

impl Node {
    /// Starts a node with these entries in its configuration, and waits until it is ready.
    fn start(run: &str, discovery: SocketAddr, entries: &[String]) -> io::Result<Node> {
        // `run.sh` makes this folder, and removes it in the end.
        let folder = std::env::temp_dir();
        let address = address_of(&TcpListener::bind("127.0.0.1:0")?);
        let config = folder.join("config.json");
        std::fs::write(
            &config,
            format!(
                r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{},"settings":{SETTINGS}}}"#,
                list(41, true, entries)
            ),
        )?;
        let log = File::create(folder.join("node.log"))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", run]).env("GW_CONFIG", &config).env("GW_NAME", "n1").env("TMPDIR", &folder);
        command.env("GW_LISTEN", address.to_string()).env("GW_DISCOVERY", discovery.to_string());
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        // `run.sh` ends the node by this, should this program be stopped.
        std::fs::write(folder.join("node.pid"), child.id().to_string())?;
        let node = Node { child, address };
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(10) {
            if node.health().unwrap_or(0) == 200 {
                return Ok(node);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the node was not ready within 10 s"))
    }

    /// The status of a health check.
    fn health(&self) -> io::Result<u16> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")?;
        Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
    }

    fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(std::env::temp_dir().join("node.pid"));
    }
}

/// Settings of a small deployment, with the classes, windows and limits of cairnmap-central.
const SETTINGS: &str = r#"{"balancers":3,"rank":0,"stage":0,"zone":0,"zones":["perth-dc"],"tiers":["map-web"],
"skus":["small-fast"],"family":"proxy","discovery":"automatic","step_us":2000,"weights":"live","worth_by":"work",
"over_share_worth":0.05,"callers":{"marks_retry":true},"domain":{"warm_keys":true},
"allowed":{"cancelling":true,"connect_timeout_us":120000,"cpu_us_per_s":800000,"keepalive_us":60000000,
"max_attempts":5,"max_open":20000,"max_retry_after_us":1500000,"peers":false,"probes":true,"retry_after":false,
"second_copies":true,"streams_per_conn":1},
"obligations":{"answer_slack_us":8000,"cold_from":0.33,"drain_grace_us":2000000,"fall_multiple":2.5,
"fall_us":1500000,"warm_up_us":9000000},
"parties":[{"name":"glen-corrie","quota_rps":600.0,"share":0.6},{"name":"ben-ardlie","quota_rps":400.0,"share":0.4}],
"report":{"how":"probe","names":["queue"]},
"services":[
{"name":"tile-read","idempotency":"pure","dedup_scope":"all","window_us":5000000,"goal_time_us":250000,
"deadline_us":500000,"points":1.0,"late_value":0.0,"stream":false},
{"name":"print-order","idempotency":"side_effect","dedup_scope":"all","window_us":5000000,"goal_time_us":600000,
"deadline_us":1200000,"points":2.0,"late_value":0.0,"stream":false},
{"name":"map-publish","idempotency":"token","dedup_scope":"cell","window_us":6000000,"goal_time_us":600000,
"deadline_us":3000000,"points":8.0,"late_value":0.0,"stream":false}]}"#;

// --- discovery ---

/// An entry of a list.
fn entry(uid: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{uid}","endpoint":"{address}","az":"perth-dc","model":"small-fast","pod_group":{},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
        uid / 3
    )
}

/// A list in discovery's form, on one line.
fn list(revision: u64, all: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

/// What discovery knows, and how late it answers a call.
struct Discovery {
    listener: TcpListener,
    state: Mutex<(u64, Vec<String>)>,
    answer_delay: Duration,
    record: Record,
}

impl Discovery {
    fn start(entries: Vec<String>, answer_delay: Duration, record: &Record) -> io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Mutex::new((41, entries));
        let discovery = Arc::new(Discovery { listener, state, answer_delay, record: record.clone() });
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in server.listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let end = server.watch(stream);
                    server.record.line(&format!("discovery: the node ended the call: {:?}", end.err()));
                });
            }
        });
        Ok(discovery)
    }

    fn set(&self, revision: u64, entries: Vec<String>) {
        *self.state.lock().unwrap() = (revision, entries);
    }

    /// Serves a watch: the whole list first and after each change, and an empty line every 2 s.
    fn watch(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let head = read_head(&mut BufReader::new(stream.try_clone()?))?;
        let line = head.map_or(String::new(), |head| head.line);
        self.record.line(&format!("discovery: call {line:?}"));
        thread::sleep(self.answer_delay);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (mut told, mut last_line) = (0, Instant::now());
        loop {
            let (revision, entries) = self.state.lock().unwrap().clone();
            let line = match revision != told {
                true => list(revision, true, &entries),
                false if last_line.elapsed() >= Duration::from_secs(2) => String::new(),
                false => {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
            };
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
            if !line.is_empty() {
                self.record.line(&format!("discovery: list {revision} written"));
            }
            (told, last_line) = (revision, Instant::now());
        }
    }
}

// --- map servers ---

/// A request as a map server got it.
struct Received {
    server: usize,
    /// Number of the connection at this server.
    connection: usize,
    line: String,
    id: String,
}

/// Answers a request on its connection.
type Answer = dyn Fn(&Received, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Starts a map server, which answers one request at a time on each connection.
fn map_server(server: usize, record: &Record, answer: Arc<Answer>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = address_of(&listener);
    let record = record.clone();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let (answer, record) = (answer.clone(), record.clone());
            thread::spawn(move || {
                let _ = serve(server, connection, stream, &record, &*answer);
            });
        }
    });
    Ok(address)
}

fn serve(
    server: usize,
    connection: usize,
    mut stream: TcpStream,
    record: &Record,
    answer: &Answer,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        read_body(&mut reader, &head)?;
        let (line, id) = (head.line.clone(), head.header("req-id").to_string());
        record.line(&format!("s-{server} connection {connection}: runs {id} {line:?}"));
        answer(&Received { server, connection, line, id }, &mut stream)?;
    }
    Ok(())
}

/// Time that a map server takes for a request: half to one and a half times the mean work and the mean wait
/// of its class.
fn service_time(line: &str, random: &mut Random) -> Duration {
    let mean = match line {
        _ if line.contains("/tile-read/") => 0.032,
        _ if line.contains("/print-order/") => 0.170,
        _ => 0.140,
    };
    seconds(random.between(0.5 * mean, 1.5 * mean))
}

// --- clients ---

/// How a request ended at its client.
enum End {
    /// The status and the body of the answer.
    Answer(u16, Vec<u8>),
    /// An answer began and was cut off.
    CutOff(u16),
    /// The node closed the connection without an answer.
    Closed,
    /// There was no answer half a second after the client's time. The connection was still open.
    Unanswered,
    /// The connection could not be opened, or the request could not be written.
    NotTaken,
}

impl End {
    fn text(&self) -> String {
        match self {
            End::Answer(status, body) => format!("{status}, {} bytes", body.len()),
            End::CutOff(status) => format!("{status}, cut off"),
            End::Closed => "closed without an answer".into(),
            End::Unanswered => "no answer, connection open".into(),
            End::NotTaken => "not taken".into(),
        }
    }
}

/// A client, which keeps its connection.
struct Client {
    node: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    record: Record,
}

/// A request: class, id, and the time that the client waits in seconds.
struct Request<'a> {
    class: &'a str,
    id: &'a str,
    wait: f64,
    /// How much longer the client reads an answer that has begun, in seconds.
    transfer: f64,
}

impl Client {
    fn new(node: SocketAddr, record: &Record) -> Client {
        Client { node, connection: None, record: record.clone() }
    }

    /// Sends a request and waits for its end, until half a second after the client's time. A request on a kept
    /// connection that the node closed unread is sent one more time on a new one.
    fn request(&mut self, request: &Request) -> End {
        let kept = self.connection.is_some();
        let mut end = self.exchange(request);
        if kept && matches!(end, End::Closed | End::NotTaken) {
            end = self.exchange(request);
        }
        self.record.line(&format!("client: {} {} ended: {}", request.class, request.id, end.text()));
        end
    }

    fn exchange(&mut self, request: &Request) -> End {
        let Request { class, id, wait, transfer } = request;
        let rest = match *class {
            "tile-read" => String::new(),
            "map-publish" => format!("Idempotency-Key: key-{id}\r\nContent-Length: 5\r\n"),
            _ => "Content-Length: 5\r\n".to_string(),
        };
        let (method, body) = if *class == "tile-read" { ("GET", "") } else { ("POST", "sheet") };
        let key: u32 = id.bytes().map(u32::from).sum::<u32>() % 40;
        let text = format!(
            "{method} /{class}/k{key} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: glen-corrie\r\n\
             Req-Deadline: {wait:.3}\r\n{rest}\r\n{body}"
        );
        if self.connection.is_none() {
            let opened = TcpStream::connect_timeout(&self.node, Duration::from_secs(1));
            let Ok(stream) = opened else { return End::NotTaken };
            let _ = stream.set_nodelay(true);
            self.connection = Some(BufReader::new(stream));
        }
        let mut connection = self.connection.take().unwrap();
        if connection.get_mut().write_all(text.as_bytes()).is_err() {
            return End::NotTaken;
        }
        let _ = connection.get_ref().set_read_timeout(Some(seconds(wait + 0.5)));
        let head = match read_head(&mut connection) {
            Ok(Some(head)) => head,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return End::Unanswered;
            }
            _ => return End::Closed,
        };
        let _ = connection.get_ref().set_read_timeout(Some(seconds(wait + 0.5 + transfer)));
        let Ok(body) = read_body(&mut connection, &head) else { return End::CutOff(head.status()) };
        if !head.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        End::Answer(head.status(), body)
    }
}

// --- the cases ---

/// What a case needs.
struct Case {
    record: Record,
    run: String,
    trouble: bool,
}

/// Starts `count` map servers that answer in this way, discovery and a node.
fn start_all(
    case: &Case,
    count: usize,
    answer_delay: Duration,
    answer: Arc<Answer>,
) -> io::Result<(Node, Arc<Discovery>, Vec<SocketAddr>)> {
    let servers: Vec<SocketAddr> =
        (0..count).map(|i| map_server(i, &case.record, answer.clone())).collect::<io::Result<_>>()?;
    let entries: Vec<String> = servers.iter().enumerate().map(|(i, at)| entry(i, *at, "ready")).collect();
    let discovery = Discovery::start(entries.clone(), answer_delay, &case.record)?;
    let node = Node::start(&case.run, address_of(&discovery.listener), &entries)?;
    case.record.line(&format!("node ready at {}", node.address));
    Ok((node, discovery, servers))
}

/// An answer after the service time, whose body names the request and the server.
fn sound_answer() -> Arc<Answer> {
    let random = Mutex::new(Random::new(7));
    Arc::new(move |request: &Received, stream: &mut TcpStream| {
        let wait = service_time(&request.line, &mut random.lock().unwrap());
        thread::sleep(wait);
        stream.write_all(&answer_for(request))
    })
}

/// The bytes of the 200 answer to a request.
fn answer_for(request: &Received) -> Vec<u8> {
    let body = format!("request {} run by s-{}", request.id, request.server);
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Runs clients that send requests of all classes, one every `pause` seconds each, until `until`. Each end is
/// passed to `judge` with the request's class and id.
fn run_clients(
    case: &Case,
    node: SocketAddr,
    count: usize,
    pause: f64,
    until: f64,
    judge: Arc<dyn Fn(&str, &str, &End) + Send + Sync>,
) -> Vec<JoinHandle<()>> {
    let client = |number: usize| {
        let (record, judge) = (case.record.clone(), judge.clone());
        thread::spawn(move || {
            let mut random = Random::new(number as u64 + 11);
            let mut client = Client::new(node, &record);
            for serial in 0.. {
                thread::sleep(seconds(random.between(0.5 * pause, 1.5 * pause)));
                if record.now() >= until {
                    return;
                }
                let (class, wait) = match random.unit() {
                    share if share < 0.49 => ("tile-read", 0.5),
                    share if share < 0.79 => ("print-order", 1.2),
                    _ => ("map-publish", 3.0),
                };
                let id = format!("c{number:02}-{serial:05}");
                let end = client.request(&Request { class, id: &id, wait, transfer: 0.0 });
                judge(class, &id, &end);
            }
        })
    };
    (0..count).map(client).collect()
}

/// Case `blank`: peers send an empty line and nothing more, five a second for 40 s.
fn blank(case: &Case) -> io::Result<bool> {
    const PEERS: usize = 200;
    const PEERS_PER_SECOND: f64 = 5.0;
    let (mut node, _discovery, _) = start_all(case, 4, Duration::ZERO, sound_answer())?;
    let from = case.record.now() + 3.0;
    let until = from + PEERS as f64 / PEERS_PER_SECOND + 8.0;
    let counts: Arc<[AtomicUsize; 4]> = Arc::default();
    let judged = counts.clone();
    let clients = run_clients(
        case,
        node.address,
        10,
        0.4,
        until,
        Arc::new(move |_: &str, _: &str, end: &End| {
            let kind = match end {
                End::Answer(200, _) => 0,
                End::Answer(..) | End::CutOff(_) => 1,
                End::Closed | End::NotTaken => 2,
                End::Unanswered => 3,
            };
            judged[kind].fetch_add(1, Ordering::SeqCst);
        }),
    );
    let owed = Arc::new(AtomicUsize::new(0));
    let mut peers = Vec::new();
    thread::sleep(seconds(from - case.record.now()));
    for number in 0..if case.trouble { PEERS } else { 0 } {
        let (address, record, owed) = (node.address, case.record.clone(), owed.clone());
        peers.push(thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
            let connected = Instant::now();
            let _ = stream.write_all(b"\r\n");
            let _ = stream.set_read_timeout(Some(seconds(until - record.now()).max(Duration::from_millis(1))));
            let got = stream.read(&mut [0; 512]);
            let after = connected.elapsed().as_secs_f64();
            if after > 3.0 {
                owed.fetch_add(1, Ordering::SeqCst);
            }
            let what = match got {
                Ok(0) => "closed".to_string(),
                Ok(bytes) => format!("{bytes} bytes"),
                Err(error) => format!("{:?}", error.kind()),
            };
            record.line(&format!("peer {number}: sent an empty line, got after {after:.1} s: {what}"));
        }));
        thread::sleep(seconds(1.0 / PEERS_PER_SECOND));
    }
    clients.into_iter().chain(peers).for_each(|thread| thread.join().unwrap());
    let [served, other, closed, unanswered] = [0, 1, 2, 3].map(|kind| counts[kind].load(Ordering::SeqCst));
    let owed = owed.load(Ordering::SeqCst);
    case.record.say(&format!(
        "requests of sound clients: {served} served, {other} with another answer, {closed} closed or not taken, \
         {unanswered} never answered (over 0.5 s after their time)"
    ));
    case.record.say(&format!("peers with neither an error nor a close within 3 s: {owed}"));
    case.record.say(&format!("the node runs: {}", node.is_running()));
    if served == 0 {
        return Err(io::Error::other("no request was served at all"));
    }
    Ok(unanswered > 0)
}

/// Case `second`: one answer in twenty is followed by a second one, 12 ms later.
fn second(case: &Case) -> io::Result<bool> {
    const LATE: Duration = Duration::from_millis(12);
    const SHARE: f64 = 0.05;
    let (random, spoilt) = (Mutex::new(Random::new(5)), Arc::new(AtomicUsize::new(0)));
    let (trouble, record, count) = (case.trouble, case.record.clone(), spoilt.clone());
    let answer: Arc<Answer> = Arc::new(move |request: &Received, stream: &mut TcpStream| {
        let (wait, is_spoilt) = {
            let mut random = random.lock().unwrap();
            (service_time(&request.line, &mut random), random.unit() < SHARE)
        };
        thread::sleep(wait);
        stream.write_all(&answer_for(request))?;
        if trouble && is_spoilt {
            thread::sleep(LATE);
            stream.write_all(&answer_for(request))?;
            count.fetch_add(1, Ordering::SeqCst);
            let Received { server, connection, id, .. } = request;
            record.line(&format!("s-{server} connection {connection}: second answer to {id}, 12 ms late"));
        }
        Ok(())
    });
    let (node, _discovery, _) = start_all(case, 9, Duration::ZERO, answer)?;
    let until = case.record.now() + 60.0;
    let (served, foreign) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (record, counted, wrong) = (case.record.clone(), served.clone(), foreign.clone());
    let clients = run_clients(
        case,
        node.address,
        30,
        0.15,
        until,
        Arc::new(move |class: &str, id: &str, end: &End| {
            let End::Answer(200, body) = end else { return };
            counted.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(body);
            if !body.starts_with(&format!("request {id} ")) {
                wrong.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("FOREIGN: {class} {id} was served with {body:?}"));
            }
        }),
    );
    clients.into_iter().for_each(|thread| thread.join().unwrap());
    let [served, foreign, spoilt] = [served, foreign, spoilt].map(|count| count.load(Ordering::SeqCst));
    case.record.say(&format!(
        "{served} requests served, {foreign} of them with the answer to another request; {spoilt} second answers"
    ));
    if served == 0 {
        return Err(io::Error::other("no request was served at all"));
    }
    Ok(foreign > 0)
}

/// Case `long`: answers of 200 KiB in small chunks, at 64 kB a second.
fn long(case: &Case) -> io::Result<bool> {
    const BYTES: usize = 200 << 10;
    const PIECE: usize = 1 << 10;
    const BYTES_PER_SECOND: f64 = 64_000.0;
    // How each answer went at its map server, by request: bytes given, and whether the node cut it off.
    type Given = Arc<Mutex<HashMap<String, Vec<(usize, bool, f64)>>>>;
    let given: Given = Arc::default();
    let (trouble, record, log) = (case.trouble, case.record.clone(), given.clone());
    let answer: Arc<Answer> = Arc::new(move |request: &Received, stream: &mut TcpStream| {
        thread::sleep(Duration::from_millis(10));
        let begun = Instant::now();
        let mut sent = 0;
        let mut give = || -> io::Result<()> {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            while sent < BYTES {
                let fill = [request.id.as_bytes()[sent / PIECE % request.id.len()]; PIECE];
                stream.write_all(&[format!("{PIECE:x}\r\n").as_bytes(), &fill, b"\r\n"].concat())?;
                sent += PIECE;
                if trouble {
                    let due = begun + seconds(sent as f64 / BYTES_PER_SECOND);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
            }
            stream.write_all(b"0\r\n\r\n")
        };
        let end = give();
        let took = begun.elapsed().as_secs_f64();
        let Received { server, id, .. } = request;
        let how = if end.is_ok() { "whole" } else { "cut off by the node" };
        record.line(&format!("s-{server}: answer to {id} {how} after {sent} of {BYTES} bytes, {took:.2} s"));
        log.lock().unwrap().entry(id.clone()).or_default().push((sent, end.is_err(), took));
        end
    });
    let (node, _discovery, _) = start_all(case, 4, Duration::ZERO, answer)?;
    let lost = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let worker = |number: usize| {
        let (record, address) = (case.record.clone(), node.address);
        let (given, lost, served) = (given.clone(), lost.clone(), served.clone());
        thread::spawn(move || {
            let mut client = Client::new(address, &record);
            for serial in 0..5 {
                let (class, wait) = if number == 0 { ("tile-read", 0.45) } else { ("print-order", 0.9) };
                let id = format!("c{number:02}-{serial:05}");
                let end = client.request(&Request { class, id: &id, wait, transfer: 8.0 });
                // The node's close reaches the map server with its next pieces.
                thread::sleep(Duration::from_millis(300));
                let runs = given.lock().unwrap().get(&id).cloned().unwrap_or_default();
                match end {
                    End::Answer(200, body) if body.len() == BYTES => {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    _ if runs.iter().any(|(_, cut, _)| *cut) => {
                        lost.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("LOST: {class} {id}, client: {}, servers: {runs:?}", end.text()));
                    }
                    _ => record.line(&format!("{class} {id}, client: {}, servers: {runs:?}", end.text())),
                }
            }
        })
    };
    let workers: Vec<JoinHandle<()>> = (0..3).map(worker).collect();
    workers.into_iter().for_each(|thread| thread.join().unwrap());
    let (served, lost) = (served.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    case.record.say(&format!(
        "{served} of 15 requests served whole; {lost} whose answer the node cut off while the map server gave it"
    ));
    if served + lost == 0 {
        return Err(io::Error::other("no answer began"));
    }
    Ok(lost > 0)
}

/// Case `late`: discovery answers each call 1.5 s late.
fn late(case: &Case) -> io::Result<bool> {
    let seen: Arc<Mutex<Vec<f64>>> = Arc::default();
    let (random, log, record) = (Mutex::new(Random::new(3)), seen.clone(), case.record.clone());
    let answer: Arc<Answer> = Arc::new(move |request: &Received, stream: &mut TcpStream| {
        if request.server == 0 {
            log.lock().unwrap().push(record.now());
        }
        let wait = service_time(&request.line, &mut random.lock().unwrap());
        thread::sleep(wait);
        stream.write_all(&answer_for(request))
    });
    let delay = if case.trouble { Duration::from_millis(1500) } else { Duration::ZERO };
    let (node, discovery, servers) = start_all(case, 6, delay, answer)?;
    let from = case.record.now();
    let served = Arc::new(AtomicU64::new(0));
    let counted = served.clone();
    let judge = move |_: &str, _: &str, end: &End| {
        counted.fetch_add(u64::from(matches!(end, End::Answer(200, _))), Ordering::SeqCst);
    };
    let clients = run_clients(case, node.address, 10, 0.2, from + 25.0, Arc::new(judge));
    thread::sleep(Duration::from_secs(5));
    let state = |i: usize| if i == 0 { "draining" } else { "ready" };
    let entries = servers.iter().enumerate().map(|(i, address)| entry(i, *address, state(i))).collect();
    let had = case.record.now();
    discovery.set(42, entries);
    case.record.line("discovery has: s-0 is draining");
    clients.into_iter().for_each(|thread| thread.join().unwrap());
    // Told 6 s after discovery had it at the latest, 2 s of grace, 50 ms of slack on sockets, 150 ms for a node
    // that is held up.
    let limit = had + 6.0 + 2.0 + 0.05 + 0.15;
    let seen = seen.lock().unwrap();
    let (before, after) = (seen.iter().filter(|at| **at < had).count(), seen.iter().filter(|at| **at > limit).count());
    case.record.say(&format!(
        "{} requests served; s-0 got {before} before it drained, {after} over 8.2 s after discovery had the drain, the \
         last {:.1} s after",
        served.load(Ordering::SeqCst),
        seen.last().map_or(0.0, |at| at - had)
    ));
    if before == 0 {
        return Err(io::Error::other("s-0 got no requests before it drained"));
    }
    Ok(after > 0)
}

/// A process of a node that is replaced: its child, its second address and when it was started.
struct Process {
    child: Child,
    operator: SocketAddr,
    started: Instant,
}

impl Process {
    /// Starts a process beside others of the node, on the listening socket that the platform holds.
    fn start(run: &str, listener: &TcpListener, discovery: SocketAddr, entries: &[String]) -> io::Result<Process> {
        let folder = std::env::temp_dir();
        let operator = address_of(&TcpListener::bind("127.0.0.1:0")?);
        let (config, listen) = (folder.join(format!("config-{}.json", operator.port())), address_of(listener));
        std::fs::write(
            &config,
            format!(
                r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","operator":"{operator}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{},"settings":{SETTINGS}}}"#,
                list(41, true, entries)
            ),
        )?;
        let log = File::create(folder.join("node.log"))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("exec 5<&0 0</dev/null; {run}")]).env("GW_CONFIG", &config);
        command.env("GW_NAME", "n1").env("GW_PASSED_SOCKET", "5").env("GW_LISTEN", listen.to_string());
        command.env("GW_DISCOVERY", discovery.to_string()).env("GW_OPERATOR", operator.to_string());
        command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).stdout(Stdio::null()).stderr(log);
        let started = Instant::now();
        let child = command.spawn()?;
        let mut pids = OpenOptions::new().create(true).append(true).open(folder.join("node.pid"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Process { child, operator, started })
    }

    /// Makes a call to the second address and returns the status.
    fn call(&self, method: &str, path: &str, body: &str) -> io::Result<u16> {
        let mut stream = TcpStream::connect(self.operator)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: n1\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
    }

    /// Waits until the process says yes to `/status`; at most the 6 s that it has for that.
    fn wait_until_ready(&self) -> io::Result<()> {
        while self.started.elapsed() < Duration::from_secs(6) {
            if self.call("GET", "/status", "").unwrap_or(0) == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other("a new process was not ready within 6 s"))
    }

    /// Ends the process as in an upgrade: SIGTERM, and SIGKILL 3.7 s later.
    fn end(&mut self) -> io::Result<()> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
        let begun = Instant::now();
        while self.child.try_wait()?.is_none() {
            if begun.elapsed() >= Duration::from_millis(3700) {
                self.child.kill()?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The number of starts in the node's state file, as a sign of when a process has started.
fn counted_starts() -> Option<u64> {
    let text = std::fs::read_to_string(std::env::temp_dir().join("dunelink-n1.json")).ok()?;
    text.split("\"starts\":").nth(1)?.split([',', '}']).next()?.parse().ok()
}

/// Case `order`: an operator takes s-0 out while the node's process is replaced, again and again.
fn order(case: &Case) -> io::Result<bool> {
    const BODY: &str = r#"{"host":"s-0"}"#;
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let (log, record) = (arrivals.clone(), case.record.clone());
    let answer: Arc<Answer> = Arc::new(move |request: &Received, stream: &mut TcpStream| {
        if request.server == 0 {
            log.lock().unwrap().push(record.now());
        }
        thread::sleep(Duration::from_millis(10));
        stream.write_all(&answer_for(request))
    });
    let servers: Vec<SocketAddr> =
        (0..4).map(|i| map_server(i, &case.record, answer.clone())).collect::<io::Result<_>>()?;
    let entries: Vec<String> = servers.iter().enumerate().map(|(i, at)| entry(i, *at, "ready")).collect();
    let discovery = address_of(&Discovery::start(entries.clone(), Duration::ZERO, &case.record)?.listener);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut old = Process::start(&case.run, &listener, discovery, &entries)?;
    old.wait_until_ready()?;
    let until = case.record.now() + 95.0;
    let clients = run_clients(case, address_of(&listener), 8, 0.05, until + 8.0, Arc::new(|_: &str, _: &str, _: &End| {}));
    let mut random = Random::new(std::process::id().into());
    let (mut registered, mut upgrades, mut broken) = (Vec::<f64>::new(), 0, 0);
    while case.record.now() < until && broken < 3 {
        // All of the call but its last byte is sent ahead, so that its moment can be chosen.
        let mut call = TcpStream::connect(old.operator)?;
        call.set_nodelay(true)?;
        call.set_read_timeout(Some(Duration::from_secs(2)))?;
        let (body, last) = BODY.split_at(BODY.len() - 1);
        let length = BODY.len();
        write!(call, "POST /maintenance/enter HTTP/1.1\r\nHost: n1\r\nContent-Length: {length}\r\n\r\n{body}")?;
        thread::sleep(Duration::from_millis(20));
        let starts = counted_starts().unwrap_or(0);
        let mut reply = BufReader::new(call.try_clone()?);
        if !case.trouble {
            call.write_all(last.as_bytes())?;
            read_head(&mut reply)?;
        }
        registered.sort_by(f64::total_cmp);
        let usual = registered.get(registered.len() / 2).copied().unwrap_or(0.004);
        let moment = (usual + random.between(-0.002, 0.0005)).max(0.0);
        let new = Process::start(&case.run, &listener, discovery, &entries)?;
        let (mut sent, mut took) = (!case.trouble, None);
        while !sent || took.is_none() && new.started.elapsed() < Duration::from_millis(60) {
            let elapsed = new.started.elapsed().as_secs_f64();
            if !sent && elapsed >= moment {
                call.write_all(last.as_bytes())?;
                sent = true;
            }
            if took.is_none() && counted_starts() == Some(starts + 1) {
                took = Some(elapsed);
            }
        }
        // A start that waited for the file's lock tells nothing of the usual time.
        registered.extend(took.filter(|took| *took < usual + 0.003 || registered.len() < 5));
        if registered.len() > 15 {
            registered.remove(if upgrades % 2 == 0 { 0 } else { 15 });
        }
        let status = if case.trouble { read_head(&mut reply)?.map_or(0, |head| head.status()) } else { 200 };
        let yes = case.record.now();
        new.wait_until_ready()?;
        old.end()?;
        upgrades += 1;
        case.record.line(&format!(
            "upgrade {upgrades}: call to take s-0 out at {:.2} ms, start counted at {:.2} ms, answer {status}; the old \
             process has ended",
            moment * 1e3,
            took.unwrap_or(0.0) * 1e3
        ));
        let ended = case.record.now();
        thread::sleep(Duration::from_millis(250));
        let later = |than: f64| arrivals.lock().unwrap().iter().filter(|at| **at > than).count();
        if status == 200 && later(ended) > 0 {
            // 2 s of grace, 50 ms of slack on sockets, 150 ms for a node that is held up.
            thread::sleep(seconds(yes + 5.0 - case.record.now()));
            let after = later(yes + 2.2);
            broken += usize::from(after > 0);
            case.record.say(&format!(
                "upgrade {upgrades}: s-0 was taken out and got {after} requests from 2.2 s to 5 s after the node's yes"
            ));
        }
        old = new;
        old.call("POST", "/maintenance/exit", BODY)?;
        thread::sleep(Duration::from_millis(30));
    }
    let total = arrivals.lock().unwrap().len();
    case.record.say(&format!("{upgrades} upgrades, {broken} of them broke the rule; s-0 got {total} requests in all"));
    drop((old, clients));
    if total == 0 {
        return Err(io::Error::other("s-0 got no requests"));
    }
    Ok(broken > 0)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path, run] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD RUN_COMMAND");
        std::process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let file = File::create(path).unwrap_or_else(|error| {
        eprintln!("{path}: {error}");
        std::process::exit(2);
    });
    let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { record: record.clone(), run: run.clone(), trouble };
    record.line(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = match name.as_str() {
        "blank" => blank(&case),
        "second" => second(&case),
        "long" => long(&case),
        "late" => late(&case),
        "order" => order(&case),
        _ => Err(io::Error::other("no such case")),
    };
    let status = match result {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    std::process::exit(status);
}
