//! Stand-ins for the second review: clients, map servers, discovery and the platform that starts nodes. Only
//! the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HANGUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERMINATE: i32 = 15;
pub const CONTINUE: i32 = 18;
pub const STOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(descriptor: i32, request: std::ffi::c_ulong, ...) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Has a process that `command` starts end with the thread that starts it, however this process ends.
fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the closure makes one system call, which has no effect on the memory of the process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, KILL as std::ffi::c_ulong);
            Ok(())
        });
    }
}

fn set_blocking(stream: &impl AsRawFd, blocking: bool) {
    const FIONBIO: std::ffi::c_ulong = 0x5421;
    let nonblocking = i32::from(!blocking);
    // SAFETY: the request reads one integer from the given address.
    unsafe { ioctl(stream.as_raw_fd(), FIONBIO, &raw const nonblocking) };
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: `kill` has no effect on the memory of this process.
    unsafe { kill(pid as i32, number) };
}

/// Waits until the peer's machine has acknowledged all bytes that were written to the stream.
pub fn wait_until_acknowledged(stream: &TcpStream) {
    const TIOCOUTQ: std::ffi::c_ulong = 0x5411;
    let mut unsent: i32 = 1;
    while unsent > 0 {
        // SAFETY: the request writes one integer to the given address.
        if unsafe { ioctl(stream.as_raw_fd(), TIOCOUTQ, &raw mut unsent) } != 0 {
            return;
        }
        if unsent > 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Returns the seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// Adds a line to `record.txt`.
pub fn record(text: impl Into<String>) {
    let at = now();
    RECORD.lock().unwrap().push((at, text.into()));
}

fn write_record() {
    let mut lines = std::mem::take(&mut *RECORD.lock().unwrap());
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let text: String = lines.iter().map(|(at, line)| format!("{at:9.4} {line}\n")).collect();
    let path = std::env::args().nth(1).expect("usage: case FOLDER");
    let _ = fs::write(PathBuf::from(path).join("record.txt"), text);
}

/// Runs a case. It returns whether the rule held, or an error if the case could not run. Exits with 0 if the
/// rule held, 1 if it was broken, and 2 if the case could not run.
pub fn run_case(case: fn() -> Result<bool, String>) -> ! {
    now();
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        record("the case took too long");
        finish(2);
    });
    record(format!("disruption: {}", if has_trouble() { "on" } else { "off" }));
    let code = match std::panic::catch_unwind(case) {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(error)) => {
            record(format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    record(format!("exit status {code}"));
    finish(code)
}

fn finish(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap().iter() {
        signal(*pid, KILL);
    }
    write_record();
    let _ = fs::remove_dir_all(folder());
    std::process::exit(code)
}

/// Returns the temporary folder of this case.
pub fn folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("mothspool-review-2-{}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

/// Returns a number that no other call returns, also not in another run.
pub fn unique() -> u64 {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    (time ^ (u64::from(std::process::id()) << 40)).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number
}

pub fn unique_id() -> String {
    format!("{:016x}", unique())
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

/// A message as received.
pub struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` at the end of the stream before its first byte.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Message>> {
        let start_line = match read_line(from)? {
            Some(line) => line,
            None => return Ok(None),
        };
        let mut headers = BTreeMap::new();
        loop {
            let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let begin = body.len();
                body.resize(begin + size, 0);
                from.read_exact(&mut body[begin..])?;
                read_line(from)?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = headers.get("content-length") {
            body.resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
            from.read_exact(&mut body)?;
        } else if start_line.starts_with("HTTP/") && headers.get("connection").is_some_and(|v| v == "close") {
            from.read_to_end(&mut body)?;
        }
        Ok(Some(Message { start_line, headers, body }))
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()))
}

/// A request as a map server received it.
#[derive(Clone)]
pub struct Arrival {
    /// When its last byte was read.
    pub at: f64,
    pub server: String,
    pub id: String,
    /// The time in `Req-Deadline`.
    pub told: f64,
    pub line: String,
    pub body_length: usize,
}

/// Requests that all map servers received.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a map server does with a request; returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Arrival, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a map server on a free port, and returns that.
pub fn start_server(name: &str, arrivals: &Arrivals, behaviour: Behaviour) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let (name, arrivals) = (name.to_string(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (name, arrivals, behaviour) = (name.clone(), arrivals.clone(), behaviour.clone());
            thread::spawn(move || serve(stream, &name, &arrivals, &behaviour));
        }
    });
    port
}

fn serve(mut stream: TcpStream, name: &str, arrivals: &Arrivals, behaviour: &Behaviour) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let arrival = Arrival {
            at: now(),
            server: name.to_string(),
            id: request.header("req-id").to_string(),
            told: request.header("req-deadline").parse().unwrap_or(f64::NAN),
            line: request.start_line.clone(),
            body_length: request.body.len(),
        };
        record(format!("{name} received {} {} told {:.3} s", arrival.id, arrival.line, arrival.told));
        arrivals.lock().unwrap().push(arrival.clone());
        if !behaviour(&arrival, &mut stream) {
            return;
        }
    }
}

/// Writes the 200 answer of a map server to a request.
pub fn answer(arrival: &Arrival, stream: &mut TcpStream) -> bool {
    let body = format!("answer to {}", arrival.id);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    record(format!("{} answers {}", arrival.server, arrival.id));
    stream.write_all(head.as_bytes()).is_ok()
}

/// Returns an entry of discovery's list.
pub fn entry(uid: &str, port: u16, cell: u16) -> String {
    let zone = ["perth-dc", "inverness-dc", "aberdeen-dc"][usize::from(cell) % 3];
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"127.0.0.1:{port}\",\"az\":\"{zone}\",\"model\":\"small-std\",\
         \"pod_group\":{cell},\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
    )
}

/// Returns discovery's whole list.
pub fn list(entries: &[String]) -> String {
    format!("{{\"rev\":41,\"all\":true,\"targets\":[{}]}}", entries.join(","))
}

/// Starts discovery with a list that does not change, and returns its port.
pub fn start_discovery(entries: &[String]) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let list = list(entries);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            thread::spawn(move || serve_watch(stream, &list));
        }
    });
    port
}

fn serve_watch(mut stream: TcpStream, list: &str) -> io::Result<()> {
    Message::read(&mut BufReader::new(stream.try_clone()?))?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut line = format!("{list}\n");
    loop {
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
        line = "\n".into();
        sleep(2.0);
    }
}

/// Returns settings as those of `cairnmap-central`, with these classes.
pub fn settings(classes: &[String]) -> String {
    format!(
        "{{\"balancers\":1,\"rank\":0,\"zone\":0,\"zones\":[\"perth-dc\",\"inverness-dc\",\"aberdeen-dc\"],\
         \"skus\":[\"small-fast\",\"small-std\",\"twin-slow\"],\"family\":\"proxy\",\
         \"discovery\":\"automatic\",\"step_us\":2000,\"over_share_worth\":0.05,\"weights\":\"live\",\
         \"worth_by\":\"work\",\"domain\":{{\"warm_keys\":true}},\
         \"allowed\":{{\"max_attempts\":5,\"cancelling\":true,\"second_copies\":true,\"retry_after\":false,\
         \"max_retry_after_us\":1500000,\"connect_timeout_us\":120000,\"keepalive_us\":60000000,\
         \"probes\":true,\"peers\":false,\"max_open\":20000,\"streams_per_conn\":1}},\
         \"obligations\":{{\"answer_slack_us\":8000,\"ask_every_us\":10000000,\"cold_from\":0.33,\
         \"drain_grace_us\":2000000,\"fall_multiple\":2.5,\"fall_us\":1500000,\"warm_up_us\":9000000}},\
         \"parties\":[{{\"name\":\"glen-corrie\",\"quota_rps\":310.0,\"share\":1.0}}],\
         \"services\":[{}]}}",
        classes.join(",")
    )
}

/// Returns a class; times are in seconds.
pub fn class(name: &str, idempotency: &str, deadline: f64, aim: f64, points: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"idempotency\":\"{idempotency}\",\"dedup_scope\":\"cell\",\
         \"window_us\":6000000,\"goal_time_us\":{},\"deadline_us\":{},\"points\":{points:.1},\
         \"late_value\":0.0,\"stream\":false}}",
        (aim * 1e6) as u64,
        (deadline * 1e6) as u64
    )
}

/// Returns the classes of `cairnmap-central`.
pub fn map_classes() -> Vec<String> {
    vec![
        class("tile-read", "pure", 0.5, 0.25, 1.0),
        class("print-order", "side_effect", 1.2, 0.6, 2.0),
        class("map-publish", "token", 3.0, 0.6, 8.0),
    ]
}

/// How to start a node.
pub struct NodeOptions {
    pub entries: Vec<String>,
    pub discovery: u16,
    pub settings: String,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The port of the second address, if the node has one.
    pub operator: Option<u16>,
    /// The clients' listening socket, if the platform holds it.
    pub passed_socket: Option<TcpListener>,
    /// The node's `$TMPDIR`.
    pub folder: PathBuf,
}

/// A process of a node.
pub struct Node {
    pub port: u16,
    pub operator: u16,
    pub label: String,
    child: Child,
    /// The log, until a thread follows it.
    log: Option<BufReader<ChildStderr>>,
}

impl Node {
    /// Starts the program with the command of the deploy file.
    pub fn start(label: &str, options: &NodeOptions) -> Node {
        let port = options
            .passed_socket
            .as_ref()
            .map_or_else(free_port, |socket| socket.local_addr().unwrap().port());
        let operator = options.operator.map_or(String::new(), |port| {
            format!("\"operator\":\"127.0.0.1:{port}\",")
        });
        let config = format!(
            "{{\"name\":\"n3\",\"listen\":\"127.0.0.1:{port}\",\"discovery\":\"127.0.0.1:{}\",{operator}\
             \"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{}}}",
            options.discovery,
            unique(),
            options.memory_mb,
            options.sockets,
            list(&options.entries),
            options.settings
        );
        let path = folder().join(format!("config-{label}.json"));
        fs::write(&path, config).unwrap();
        fs::create_dir_all(&options.folder).unwrap();
        let run = run_command();
        let mut command = Command::new("/bin/sh");
        command.env("GW_CONFIG", &path).env("GW_NAME", "n3").env("TMPDIR", &options.folder);
        match &options.passed_socket {
            Some(socket) => {
                command.arg("-c").arg(format!("exec 5<&0 0</dev/null; {run}"));
                command.env("GW_PASSED_SOCKET", "5");
                command.stdin(OwnedFd::from(socket.try_clone().unwrap()));
            }
            None => {
                command.arg("-c").arg(&run).stdin(Stdio::null());
            }
        }
        end_with_parent(&mut command);
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        CHILDREN.lock().unwrap().push(child.id());
        record(format!("the platform starts {label}"));
        let log = child.stderr.take().map(BufReader::new);
        let operator = options.operator.unwrap_or(0);
        Node { port, operator, label: label.into(), child, log }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Reads the log up to this text, or up to the end of a line with it, without a pause between reads.
    pub fn read_log_until(&mut self, text: &str, whole_line: bool) -> Result<(), String> {
        let log = self.log.as_mut().ok_or("the log is followed already")?;
        set_blocking(log.get_ref(), false);
        let (mut line, mut byte, started) = (String::new(), [0], now());
        while !(line.contains(text) && (!whole_line || line.ends_with('\n'))) {
            match log.read(&mut byte) {
                Ok(1) if line.ends_with('\n') => line = char::from(byte[0]).to_string(),
                Ok(1) => line.push(char::from(byte[0])),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && now() < started + 10.0 => {}
                _ => return Err(format!("{} did not log '{text}'", self.label)),
            }
        }
        set_blocking(log.get_ref(), true);
        Ok(())
    }

    /// Records the rest of the log.
    pub fn follow_log(&mut self) {
        let Some(log) = self.log.take() else { return };
        let label = self.label.clone();
        thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| record(format!("log of {label}: {line}")));
        });
    }

    /// Waits until the health check succeeds.
    pub fn wait_until_healthy(&self) -> Result<(), String> {
        let started = now();
        while now() < started + 30.0 {
            if let Ok(mut client) = Client::connect(self.port) {
                let sent = client.send(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                if sent.is_ok() && matches!(client.receive(1.0), Reply::Answer(m) if m.status() == 200) {
                    record(format!("{} is healthy", self.label));
                    return Ok(());
                }
            }
            sleep(0.02);
        }
        Err(format!("{} did not become healthy", self.label))
    }

    /// Makes a call to the second address.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<Message> {
        let mut client = Client::connect(self.operator).ok()?;
        let length = body.len();
        let call = format!("{method} {path} HTTP/1.1\r\nHost: n3\r\nContent-Length: {length}\r\n\r\n{body}");
        client.send(call.as_bytes()).ok()?;
        match client.receive(3.0) {
            Reply::Answer(message) => Some(message),
            _ => None,
        }
    }

    pub fn has_exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("run from the repository's root");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("no command run");
    line.split('"').next().unwrap().to_string()
}

/// What a client gets.
pub enum Reply {
    Answer(Message),
    /// Nothing came in time, and the connection is still open.
    Nothing,
    /// The connection ended before an answer or in the middle of one.
    Closed(String),
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Reply::Answer(message) => format!("{} ({} bytes)", message.status(), message.body.len()),
            Reply::Nothing => "nothing".into(),
            Reply::Closed(how) => format!("a close ({how})"),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(port: u16) -> io::Result<Client> {
        let stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for an answer, for at most this many seconds.
    pub fn receive(&mut self, seconds: f64) -> Reply {
        let timeout = Duration::from_secs_f64(seconds.max(0.001));
        let _ = self.stream.set_read_timeout(Some(timeout));
        match Message::read(&mut self.reader) {
            Ok(Some(message)) => Reply::Answer(message),
            Ok(None) => Reply::Closed("end of the stream".into()),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Reply::Nothing,
                kind => Reply::Closed(kind.to_string()),
            },
        }
    }
}

/// Returns a request and its id.
pub fn request(class: &str, method: &str, deadline: f64, key: Option<&str>, body: &[u8]) -> (String, Vec<u8>) {
    let id = unique_id();
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    let head = format!(
        "{method} /{class}/{} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: glen-corrie\r\n\
         Req-Deadline: {deadline:.3}\r\n{key}{length}\r\n",
        unique_id()
    );
    (id, [head.as_bytes(), body].concat())
}
