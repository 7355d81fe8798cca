//! The node under test: a process with its discovery listener.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread;

use serde_json::{Value, json};

use crate::support::*;

/// A node process with its discovery; ended when dropped.
pub struct Node {
    pub address: SocketAddr,
    /// Where it hears operators, if it does.
    operator: Option<SocketAddr>,
    pub discovery: TcpListener,
    config: Value,
    path: String,
    child: Child,
}

impl Node {
    pub fn new(targets: &[Value]) -> Node {
        Node::with(targets, 1024)
    }

    pub fn with(targets: &[Value], sockets: usize) -> Node {
        Node::run(program(), targets, sockets, false)
    }

    /// A node whose process gets no more than this many descriptors, whatever its configuration says.
    pub fn starved(targets: &[Value], descriptors: usize) -> Node {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_mothspool")]);
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Node::run(shell, targets, 1024, false)
    }

    /// A node that hears operators, with this folder for what outlives it.
    pub fn operated(targets: &[Value], sockets: usize, folder: &Path) -> Node {
        let mut command = program();
        command.env("TMPDIR", folder);
        Node::run(command, targets, sockets, true)
    }

    /// The same with another configuration.
    pub fn operated_with(targets: &[Value], folder: &Path, change: impl FnOnce(&mut Value)) -> Node {
        let mut command = program();
        command.env("TMPDIR", folder);
        Node::run_with(command, targets, 1024, true, change)
    }

    /// A process of a node that is passed its listening socket.
    pub fn passed(targets: &[Value], listener: &TcpListener, folder: &Path) -> Node {
        Node::passed_with(targets, listener, folder, 1024)
    }

    pub fn passed_with(targets: &[Value], listener: &TcpListener, folder: &Path, sockets: usize) -> Node {
        let mut command = passing(listener);
        command.env("TMPDIR", folder);
        let mut node = Node::run(command, targets, sockets, true);
        node.address = listener.local_addr().unwrap();
        node
    }

    /// A node whose configuration differs from the others'.
    pub fn configured(targets: &[Value], change: impl FnOnce(&mut Value)) -> Node {
        Node::run_with(program(), targets, 1024, false, change)
    }

    /// A node whose log nobody reads any more.
    pub fn unheard(targets: &[Value]) -> Node {
        Node::started(program(), targets, 1024, false, |_| {}).0
    }

    fn run(command: Command, targets: &[Value], sockets: usize, operated: bool) -> Node {
        Node::run_with(command, targets, sockets, operated, |_| {})
    }

    fn run_with(
        command: Command,
        targets: &[Value],
        sockets: usize,
        operated: bool,
        change: impl FnOnce(&mut Value),
    ) -> Node {
        let (node, mut log) = Node::started(command, targets, sockets, operated, change);
        // The log goes on to be read, lest the node waits for it.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        node
    }

    /// A node that listens, and its log.
    fn started(
        mut command: Command,
        targets: &[Value],
        sockets: usize,
        operated: bool,
        change: impl FnOnce(&mut Value),
    ) -> (Node, BufReader<ChildStderr>) {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "discovery": discovery.local_addr().unwrap().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"rev": 41, "all": true, "targets": targets}, "settings": settings()});
        if operated {
            config["operator"] = "127.0.0.1:0".into();
        }
        change(&mut config);
        let path = write(&config.to_string());
        let mut child = command.env("GW_CONFIG", &path).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut told = || {
            let mut line = String::new();
            log.read_line(&mut line).unwrap();
            line.trim().rsplit(' ').next().unwrap().parse().expect(&line)
        };
        let address = told();
        let operator = operated.then(told);
        (Node { address, operator, discovery, config, path, child }, log)
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// A connection for an operator's call.
    pub fn operator(&self) -> Client {
        Client::to(self.operator.expect("an operators' address"))
    }

    /// An operator's call.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Message {
        self.operator().ask(&call(method, path, body))
    }

    pub fn maintain(&self, what: &str, uid: &str) -> u16 {
        self.call("POST", &format!("/maintenance/{what}"), &json!({ "host": uid }).to_string()).status()
    }

    /// What the front hears.
    pub fn health(&self) -> u16 {
        self.client().ask(HEALTH).status()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and says so.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

    /// The configuration with discovery elsewhere.
    pub fn config_with(&self, discovery: &TcpListener) -> String {
        let mut config = self.config.clone();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config.to_string()
    }

    fn signal(&self, signal: &str) {
        Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Lets it have no more descriptors than it holds.
    pub fn starve(&self) {
        let held = |n: &usize| Path::new(&format!("/proc/{}/fd/{n}", self.child.id())).is_symlink();
        let least = (0..).find(|n| !held(n)).unwrap();
        let args = ["--pid".into(), self.child.id().to_string(), format!("--nofile={least}")];
        assert!(Command::new("prlimit").args(args).status().unwrap().success());
    }

    /// The most memory that it has held, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
