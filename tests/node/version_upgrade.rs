//! Upgrades between two versions of the program: the state file, and hot restart from one to the other.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::*;

/// Number of descriptors of the node. It is so low that both processes reach their limits.
const SOCKETS: usize = 160;

/// Number of connections that send requests while one process takes over from the other.
const LOAD_CONNECTIONS: usize = 4;

/// Name of the state file.
const STATE_FILE_NAME: &str = "dunelink-n0.json";
/// A state file in format version 1, as the program up to commit dd85554 wrote it.
const PREVIOUS_STATE_FILE: &str = r#"{"version":1,"orders":{"starts":3,"standby":true,"maintenance":["a","b"],"returned":{"c":1764680000000000}}}"#;

#[test]
fn reads_and_keeps_the_state_file_format_of_the_previous_version() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let targets = ["a", "b", "c"].map(|uid| ready_endpoint(uid, &upstream));
    let state_dir = state_dir();
    let path = state_dir.join(STATE_FILE_NAME);
    fs::write(&path, PREVIOUS_STATE_FILE).unwrap();
    let node = Node::with_admin(&targets, 1024, &state_dir);
    assert_eq!(node.admin_status(), json!({"phase": "standby", "able": true, "maintenance": ["a", "b"]}));
    assert_eq!(node.health(), 503);
    let started = PREVIOUS_STATE_FILE.replace("\"starts\":3", "\"starts\":4");
    wait_until("the process is registered", || fs::read_to_string(&path).unwrap() == started);
    assert_eq!(node.admin_request("POST", "/active", "").status(), 200);
    assert_eq!(fs::read_to_string(&path).unwrap(), started.replace("\"standby\":true", "\"standby\":false"));
    assert_eq!(node.set_maintenance("exit", "b"), 200);
    let written = fs::read_to_string(&path).unwrap();
    let prefix = r#"{"version":1,"orders":{"starts":4,"standby":false,"maintenance":["a"],"returned":{"b":"#;
    let exited_at = written.strip_prefix(prefix).and_then(|rest| rest.strip_suffix("}}}")).expect(&written);
    assert!(exited_at.parse::<u64>().is_ok_and(|micros| micros > 1_764_680_000_000_000), "{written}");
    let files = fs::read_dir(&state_dir).unwrap().map(|entry| entry.unwrap().file_name());
    let mut files: Vec<String> = files.map(|name| name.into_string().unwrap()).collect();
    files.sort();
    assert_eq!(files, [STATE_FILE_NAME, "dunelink-n0.lock"]);
}

/// Load from clients: the flag that stops it, and counts of its requests.
#[derive(Default)]
struct Load {
    stop: AtomicBool,
    answered: AtomicUsize,
    /// Requests sent again on a new connection, because the node had closed the previous one. The protocol
    /// allows a connection to be closed between requests.
    resent: AtomicUsize,
}

impl Load {
    /// Sends requests one after the other. The endpoint that is not in maintenance answers each.
    fn run(&self, address: SocketAddr) {
        let (mut client, mut is_new) = (Connection::open(address), true);
        while !self.stop.load(Ordering::SeqCst) {
            client.send(&view_request());
            let closed = match client.try_receive() {
                Some(response) => {
                    assert_eq!(
                        (response.status(), &response.body[..]),
                        (200, &b"one"[..]),
                        "{}",
                        response.start_line
                    );
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    response.header("connection") == Some("close")
                }
                None => {
                    assert!(!is_new, "a request on a new connection was lost");
                    self.resent.fetch_add(1, Ordering::SeqCst);
                    true
                }
            };
            is_new = closed;
            if closed {
                client = Connection::open(address);
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Waits until `requests` more requests are answered.
    fn wait_for_more_answers(&self, requests: usize) {
        let before = self.answered();
        wait_until("clients are served", || self.answered() >= before + requests);
    }
}

/// Stops the load when dropped, so that it also ends if the test fails.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// Returns the program of the previous version.
fn previous_program() -> PathBuf {
    let program = std::env::var_os("MOTHSPOOL_PREVIOUS");
    program.expect("MOTHSPOOL_PREVIOUS is not set to a program of the previous version").into()
}

fn current_program() -> PathBuf {
    env!("CARGO_BIN_EXE_mothspool").into()
}

/// The endpoint "a", and the endpoints "b" and "c", which the test puts into maintenance.
struct Endpoints {
    serving: ScriptedEndpoint,
    in_maintenance: ScriptedEndpoint,
}

impl Endpoints {
    fn new() -> Endpoints {
        let serving = ScriptedEndpoint::new(|_, request| match request.start_line.starts_with("POST") {
            true => Reply::SendDelayed(Vec::new(), Duration::from_millis(2500), response(200, "", "late")),
            false => ok("one"),
        });
        Endpoints { serving, in_maintenance: ScriptedEndpoint::new(|_, _| ok("two")) }
    }

    fn list(&self) -> [Value; 3] {
        let endpoints = [("a", &self.serving), ("b", &self.in_maintenance), ("c", &self.in_maintenance)];
        endpoints.map(|(uid, upstream)| ready_endpoint(uid, upstream))
    }

    /// Sends a request that takes 2.5 s, and returns once the endpoint has received it.
    fn send_slow_request(&self, node: &Node) -> Connection {
        let mut client = node.client();
        client.send(&order_request());
        while !self.serving.next_request().1.start_line.starts_with("POST") {}
        client
    }
}

fn is_ready(node: &Node) -> bool {
    node.admin_request("GET", "/status", "").status() == 200
}

/// Returns the content of the state file after this many process starts.
fn state_file(starts: u32, standby: bool) -> String {
    format!(
        r#"{{"version":1,"orders":{{"starts":{starts},"standby":{standby},"maintenance":["b","c"],"returned":{{}}}}}}"#
    )
}

/// Checks that the admin state of the older process applies to the newer one, and that commands to either
/// process apply to both.
fn assert_admin_state_is_shared(older: &Node, newer: &Node) {
    let standby = json!({"phase": "standby", "able": true, "maintenance": ["b", "c"]});
    assert_eq!(newer.admin_status(), standby);
    assert_eq!(newer.admin_request("POST", "/active", "").status(), 200);
    assert_eq!(older.admin_status()["phase"], "serving");
    assert_eq!(older.admin_request("POST", "/standby", "").status(), 200);
    assert_eq!(newer.admin_status(), standby);
    assert_eq!(older.admin_request("POST", "/active", "").status(), 200);
    assert_eq!(newer.admin_status()["phase"], "serving");
}

/// Runs a node with the program `from`, has `to` take over under load, and shuts the first process down.
fn check_takeover(from: &Path, to: &Path) {
    let (endpoints, state_dir) = (Endpoints::new(), state_dir());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = |program| Node::with_program(program, &endpoints.list(), &listener, &state_dir, SOCKETS);
    let read = |file: &str| fs::read_to_string(state_dir.join(file)).unwrap();
    let mut older = start(from);
    wait_until("the older process serves", || is_ready(&older));
    assert_eq!((older.set_maintenance("enter", "b"), older.set_maintenance("enter", "c")), (200, 200));
    assert_eq!(older.admin_request("POST", "/standby", "").status(), 200);
    assert_eq!(read(STATE_FILE_NAME), state_file(1, true));
    let (load, address) = (Load::default(), older.address);
    thread::scope(|scope| {
        let stop = StopOnDrop(&load);
        let clients: Vec<_> = (0..LOAD_CONNECTIONS).map(|_| scope.spawn(|| load.run(address))).collect();
        load.wait_for_more_answers(100);
        let mut slow = endpoints.send_slow_request(&older);
        let before = load.answered();

        let newer = start(to);
        wait_until("the newer process serves", || is_ready(&newer));
        assert_eq!(read("dunelink-n0.given-way"), "2");
        assert!(older.open_descriptors() + newer.open_descriptors() <= SOCKETS);
        assert_admin_state_is_shared(&older, &newer);
        load.wait_for_more_answers(100);
        older.terminate();
        wait_until("the older process shuts down", || older.admin_status()["phase"] == "leaving");
        assert_eq!(older.health(), 200, "the health check succeeds while the newer process serves");
        assert_eq!(slow.receive().body, b"late");
        assert!(older.wait_for_exit().success());
        let during = load.answered() - before;

        load.wait_for_more_answers(100);
        let serving = json!({"phase": "serving", "able": true, "maintenance": ["b", "c"]});
        assert_eq!((newer.health(), newer.admin_status()), (200, serving));
        drop(stop);
        clients.into_iter().for_each(|client| client.join().unwrap());
        let after = load.answered() - before - during;
        let resent = load.resent.load(Ordering::SeqCst);
        let _ = writeln!(
            std::io::stderr(),
            "requests answered: {before} before, {during} during, {after} after; {resent} sent again"
        );
    });
    assert_eq!(endpoints.in_maintenance.request_count(), 0, "endpoints in maintenance get no requests");
    assert_eq!(read(STATE_FILE_NAME), state_file(2, false));
}

#[test]
fn the_current_version_takes_over_from_itself() {
    check_takeover(&current_program(), &current_program());
}

#[test]
#[ignore = "needs a program of the previous version in MOTHSPOOL_PREVIOUS"]
fn the_current_version_takes_over_from_the_previous_version() {
    check_takeover(&previous_program(), &current_program());
}

#[test]
#[ignore = "needs a program of the previous version in MOTHSPOOL_PREVIOUS"]
fn the_previous_version_takes_over_from_the_current_version() {
    check_takeover(&current_program(), &previous_program());
}
