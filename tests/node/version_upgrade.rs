//! From one version of the program to another: the state file, and hot restart between the two.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::operating::until;
use crate::peers::*;

/// Descriptors of the node: few enough for both processes to notice.
const SOCKETS: usize = 160;

/// How many connections send requests while one process takes over from the other.
const LOAD: usize = 4;

/// A state file as the program wrote it at dd85554, under its name there.
const PREVIOUS_NAME: &str = "dunelink-n0.json";
const PREVIOUS_STATE: &str = r#"{"version":1,"orders":{"starts":3,"standby":true,"maintenance":["a","b"],"returned":{"c":1764680000000000}}}"#;

fn status(node: &Node) -> Value {
    serde_json::from_slice(&node.call("GET", "/status", "").body).unwrap()
}

#[test]
fn a_state_file_of_the_version_before_holds_and_keeps_its_form() {
    let server = Server::new(|_, _| ok("slip"));
    let targets = ["a", "b", "c"].map(|uid| ready(uid, &server));
    let folder = folder();
    let path = folder.join(PREVIOUS_NAME);
    fs::write(&path, PREVIOUS_STATE).unwrap();
    let node = Node::operated(&targets, 1024, &folder);
    assert_eq!(status(&node), json!({"phase": "standby", "able": true, "maintenance": ["a", "b"]}));
    assert_eq!(node.health(), 503);
    let started = PREVIOUS_STATE.replace("\"starts\":3", "\"starts\":4");
    until("it has counted itself", || fs::read_to_string(&path).unwrap() == started);
    assert_eq!(node.call("POST", "/active", "").status(), 200);
    assert_eq!(fs::read_to_string(&path).unwrap(), started.replace("\"standby\":true", "\"standby\":false"));
    assert_eq!(node.maintain("exit", "b"), 200);
    let written = fs::read_to_string(&path).unwrap();
    let form = r#"{"version":1,"orders":{"starts":4,"standby":false,"maintenance":["a"],"returned":{"b":"#;
    let since = written.strip_prefix(form).and_then(|rest| rest.strip_suffix("}}}")).expect(&written);
    assert!(since.parse::<u64>().is_ok_and(|micros| micros > 1_764_680_000_000_000), "{written}");
    let files = fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name());
    let mut files: Vec<String> = files.map(|name| name.into_string().unwrap()).collect();
    files.sort();
    assert_eq!(files, [PREVIOUS_NAME, "dunelink-n0.lock"]);
}

/// What clients have seen.
#[derive(Default)]
struct Load {
    stop: AtomicBool,
    answered: AtomicUsize,
    /// Requests sent once more, on a new connection, as the node had closed the one that they were sent on: the
    /// protocol allows for that between requests.
    resent: AtomicUsize,
}

impl Load {
    /// Sends one request after the other. Each is answered by the endpoint that is not in maintenance.
    fn run(&self, address: SocketAddr) {
        let (mut client, mut is_new) = (Client::to(address), true);
        while !self.stop.load(Ordering::SeqCst) {
            client.send(&view());
            let closed = match client.whole_answer() {
                Some(answer) => {
                    assert_eq!((answer.status(), &answer.body[..]), (200, &b"one"[..]), "{}", answer.first);
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    answer.header("connection") == Some("close")
                }
                None => {
                    assert!(!is_new, "a request on a new connection was lost");
                    self.resent.fetch_add(1, Ordering::SeqCst);
                    true
                }
            };
            is_new = closed;
            if closed {
                client = Client::to(address);
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Waits until this many more requests are answered.
    fn goes_on(&self, requests: usize) {
        let before = self.answered();
        until("clients are served", || self.answered() >= before + requests);
    }
}

/// Ends the load, also where the test fails.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// The program of the version before.
fn previous() -> PathBuf {
    let named = std::env::var_os("MOTHSPOOL_PREVIOUS");
    named.expect("MOTHSPOOL_PREVIOUS names a program of the version before").into()
}

fn current() -> PathBuf {
    env!("CARGO_BIN_EXE_mothspool").into()
}

/// Runs a node with one program, has the other take over under load, and ends the first.
fn take_over(from: &Path, to: &Path) {
    let one = Server::new(|_, request| match request.first.starts_with("POST") {
        true => Act::SayMore(Vec::new(), Duration::from_millis(2500), answer(200, "", "late")),
        false => ok("one"),
    });
    let two = Server::new(|_, _| ok("two"));
    let targets = [ready("a", &one), ready("b", &two), ready("c", &two)];
    let (listener, folder) = (TcpListener::bind("127.0.0.1:0").unwrap(), folder());
    let start = |program| Node::passed_to(program, &targets, &listener, &folder, SOCKETS);
    let mut older = start(from);
    until("the older one serves", || older.call("GET", "/status", "").status() == 200);
    assert_eq!((older.maintain("enter", "b"), older.maintain("enter", "c")), (200, 200));
    assert_eq!(older.call("POST", "/standby", "").status(), 200);
    let state = |starts: u32, standby: bool| {
        format!(
            r#"{{"version":1,"orders":{{"starts":{starts},"standby":{standby},"maintenance":["b","c"],"returned":{{}}}}}}"#
        )
    };
    assert_eq!(fs::read_to_string(folder.join(PREVIOUS_NAME)).unwrap(), state(1, true));
    let (load, address) = (Load::default(), older.address);
    thread::scope(|scope| {
        let stop = StopOnDrop(&load);
        let clients: Vec<_> = (0..LOAD).map(|_| scope.spawn(|| load.run(address))).collect();
        load.goes_on(100);
        let mut busy = older.client();
        busy.send(&order());
        until("the order is at its server", || {
            std::iter::from_fn(|| Some(one.request().1)).any(|request| request.first.starts_with("POST"))
        });
        let before = load.answered();

        let newer = start(to);
        until("the newer one serves", || newer.call("GET", "/status", "").status() == 200);
        assert_eq!(fs::read_to_string(folder.join("dunelink-n0.given-way")).unwrap(), "2");
        assert!(older.descriptors() + newer.descriptors() <= SOCKETS);
        // What was ordered of the older one holds for the newer one, and the other way round.
        assert_eq!(status(&newer), json!({"phase": "standby", "able": true, "maintenance": ["b", "c"]}));
        assert_eq!(newer.call("POST", "/active", "").status(), 200);
        assert_eq!(status(&older)["phase"], "serving");
        assert_eq!(older.call("POST", "/standby", "").status(), 200);
        assert_eq!(status(&newer)["phase"], "standby");
        assert_eq!(older.call("POST", "/active", "").status(), 200);
        assert_eq!(status(&newer)["phase"], "serving");
        load.goes_on(100);
        older.terminate();
        until("the older one shuts down", || status(&older)["phase"] == "leaving");
        assert_eq!(older.health(), 200, "the node serves");
        assert_eq!(busy.answer().body, b"late");
        assert!(older.exit().success());
        let during = load.answered() - before;

        load.goes_on(100);
        assert_eq!(newer.health(), 200);
        assert_eq!(status(&newer), json!({"phase": "serving", "able": true, "maintenance": ["b", "c"]}));
        drop(stop);
        clients.into_iter().for_each(|client| client.join().unwrap());
        let after = load.answered() - before - during;
        let resent = load.resent.load(Ordering::SeqCst);
        let _ = writeln!(
            std::io::stderr(),
            "requests answered: {before} before, {during} during and {after} after; {resent} of them sent again"
        );
    });
    assert_eq!(two.count(), 0, "nothing goes to an endpoint in maintenance");
    assert_eq!(fs::read_to_string(folder.join(PREVIOUS_NAME)).unwrap(), state(2, false));
}

#[test]
fn this_version_takes_over_from_itself() {
    take_over(&current(), &current());
}

#[test]
#[ignore = "needs MOTHSPOOL_PREVIOUS, a program of the version before"]
fn this_version_takes_over_from_the_one_before() {
    take_over(&previous(), &current());
}

#[test]
#[ignore = "needs MOTHSPOOL_PREVIOUS, a program of the version before"]
fn the_version_before_takes_over_from_this_one() {
    take_over(&current(), &previous());
}
