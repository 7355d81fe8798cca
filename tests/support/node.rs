//! The node under test: its process, and the listener that stands for the discovery service.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::{Value, json};

use crate::support::*;

/// `limits.sockets` of nodes whose test does not depend on it.
const DEFAULT_SOCKETS: usize = 1024;

/// Parameters for starting a node.
struct Launch {
    command: Command,
    sockets: usize,
    has_admin_api: bool,
}

impl Launch {
    fn new(command: Command) -> Launch {
        Launch { command, sockets: DEFAULT_SOCKETS, has_admin_api: false }
    }

    /// Returns parameters for a node with the admin API and this directory for the state file.
    fn with_admin(mut command: Command, state_dir: &Path, sockets: usize) -> Launch {
        command.env("TMPDIR", state_dir);
        Launch { command, sockets, has_admin_api: true }
    }

    /// Starts the node and discards its log, so that a full pipe never blocks the node.
    fn start(self, endpoints: &[Value], change: impl FnOnce(&mut Value)) -> Node {
        let (node, mut log) = self.start_with_log(endpoints, change);
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        node
    }

    /// Starts the node, waits until it listens, and returns it with the rest of its log.
    fn start_with_log(
        mut self,
        endpoints: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> (Node, BufReader<ChildStderr>) {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "discovery": discovery.local_addr().unwrap().to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": list_message(41, true, endpoints), "settings": settings()});
        if self.has_admin_api {
            config["operator"] = "127.0.0.1:0".into();
        }
        change(&mut config);
        let path = write_config(&config.to_string());
        let mut child = self.command.env("GW_CONFIG", &path).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        // The first lines of the log end with the addresses at which the node listens.
        let mut read_logged_address = || {
            let mut line = String::new();
            log.read_line(&mut line).unwrap();
            line.trim().rsplit(' ').next().unwrap().parse().expect(&line)
        };
        let address = read_logged_address();
        let admin = self.has_admin_api.then(read_logged_address);
        (Node { address, admin, discovery, config, path, child }, log)
    }
}

/// A node process and the listener that stands for its discovery service. The process is killed when this
/// value is dropped.
pub struct Node {
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the admin API, if the node has one.
    admin: Option<SocketAddr>,
    /// Listener to which the node opens its watch.
    pub discovery: TcpListener,
    config: Value,
    path: String,
    child: Child,
}

impl Node {
    /// Starts a node with these endpoints in its configuration.
    pub fn start(endpoints: &[Value]) -> Node {
        Node::with_config(endpoints, |_| {})
    }

    /// Starts a node whose configuration is modified by `change`.
    pub fn with_config(endpoints: &[Value], change: impl FnOnce(&mut Value)) -> Node {
        Launch::new(node_command()).start(endpoints, change)
    }

    /// Starts a node with this value of `limits.sockets`.
    pub fn with_sockets(endpoints: &[Value], sockets: usize) -> Node {
        Launch { sockets, ..Launch::new(node_command()) }.start(endpoints, |_| {})
    }

    /// Starts a node with this value of `limits.sockets`, and returns it with the further lines of its log.
    pub fn with_sockets_and_log(endpoints: &[Value], sockets: usize) -> (Node, Receiver<String>) {
        let launch = Launch { sockets, ..Launch::new(node_command()) };
        let (node, log) = launch.start_with_log(endpoints, |_| {});
        let (sender, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        (node, lines)
    }

    /// Starts a node whose process is limited to this many descriptors, regardless of its configuration.
    pub fn with_descriptor_limit(endpoints: &[Value], descriptors: usize) -> Node {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_mothspool")]);
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Launch::new(shell).start(endpoints, |_| {})
    }

    /// Starts a node with the admin API.
    pub fn with_admin(endpoints: &[Value], sockets: usize, state_dir: &Path) -> Node {
        Launch::with_admin(node_command(), state_dir, sockets).start(endpoints, |_| {})
    }

    /// Starts a node with the admin API whose configuration is modified by `change`.
    pub fn with_admin_config(endpoints: &[Value], state_dir: &Path, change: impl FnOnce(&mut Value)) -> Node {
        Launch::with_admin(node_command(), state_dir, DEFAULT_SOCKETS).start(endpoints, change)
    }

    /// Starts a node with the admin API that inherits its listening socket.
    pub fn with_inherited_listener(endpoints: &[Value], listener: &TcpListener, state_dir: &Path) -> Node {
        Node::with_inherited_listener_and_sockets(endpoints, listener, state_dir, DEFAULT_SOCKETS)
    }

    /// Starts a node with the admin API, an inherited listening socket and this value of `limits.sockets`.
    pub fn with_inherited_listener_and_sockets(
        endpoints: &[Value],
        listener: &TcpListener,
        state_dir: &Path,
        sockets: usize,
    ) -> Node {
        let program = env!("CARGO_BIN_EXE_mothspool").as_ref();
        Node::with_program(program, endpoints, listener, state_dir, sockets)
    }

    /// Starts `program`, which may be another version of the node, with the admin API, an inherited
    /// listening socket and this value of `limits.sockets`.
    pub fn with_program(
        program: &Path,
        endpoints: &[Value],
        listener: &TcpListener,
        state_dir: &Path,
        sockets: usize,
    ) -> Node {
        let launch = Launch::with_admin(program_with_inherited_socket(program, listener), state_dir, sockets);
        let mut node = launch.start(endpoints, |_| {});
        node.address = listener.local_addr().unwrap();
        node
    }

    /// Starts a node whose log pipe is closed by its reader.
    pub fn with_closed_log(endpoints: &[Value]) -> Node {
        Launch::new(node_command()).start_with_log(endpoints, |_| {}).0
    }

    /// Starts a node that logs at the level `debug`, and returns it with the further lines of its log.
    pub fn with_debug_log(endpoints: &[Value]) -> (Node, BufReader<ChildStderr>) {
        let mut command = node_command();
        command.env("GW_LOG", "debug");
        Launch::new(command).start_with_log(endpoints, |_| {})
    }

    /// Starts a node into which the fault injection library is loaded, with these variables for it.
    pub fn with_faults(endpoints: &[Value], faults: &[(&str, &str)]) -> Node {
        Launch::new(command_with_faults(faults)).start(endpoints, |_| {})
    }

    /// Starts a node like [`Node::with_faults`], with the admin API, whose configuration is modified by
    /// `change`.
    pub fn with_fault_config(
        endpoints: &[Value],
        state_dir: &Path,
        faults: &[(&str, &str)],
        change: impl FnOnce(&mut Value),
    ) -> Node {
        Launch::with_admin(command_with_faults(faults), state_dir, DEFAULT_SOCKETS).start(endpoints, change)
    }

    /// Opens a client connection.
    pub fn client(&self) -> Connection {
        Connection::open(self.address)
    }

    /// Opens a connection to the admin API.
    pub fn admin_client(&self) -> Connection {
        Connection::open(self.admin.expect("the node has no admin API"))
    }

    /// Sends a request to the admin API and returns the response.
    pub fn admin_request(&self, method: &str, path: &str, body: &str) -> Message {
        self.admin_client().exchange(&admin_request(method, path, body))
    }

    /// Returns the status that the admin API reports.
    pub fn admin_status(&self) -> Value {
        let response = self.admin_request("GET", "/status", "");
        serde_json::from_slice(&response.body).expect(&response.start_line)
    }

    /// Has an endpoint enter or exit maintenance, and returns the status code of the response. `change` is
    /// `enter` or `exit`.
    pub fn set_maintenance(&self, change: &str, uid: &str) -> u16 {
        let body = json!({ "host": uid }).to_string();
        self.admin_request("POST", &format!("/maintenance/{change}"), &body).status()
    }

    /// Returns the status code of the node's response to a health check.
    pub fn health(&self) -> u16 {
        self.client().exchange(HEALTH_REQUEST).status()
    }

    /// Returns the node's configuration with another address for discovery.
    pub fn config_with_discovery(&self, discovery: &TcpListener) -> String {
        let mut config = self.config.clone();
        config["discovery"] = discovery.local_addr().unwrap().to_string().into();
        config.to_string()
    }
}

/// Signals, resources and exit of the process.
impl Node {
    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload_config(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Lowers the descriptor limit of the process so that it can open no more descriptors.
    pub fn exhaust_descriptors(&self) {
        let is_open = |n: &usize| Path::new(&format!("/proc/{}/fd/{n}", self.child.id())).is_symlink();
        let lowest_free = (0..).find(|n| !is_open(n)).unwrap();
        self.set_descriptor_limit(lowest_free);
    }

    /// Sets the descriptor limit of the process.
    pub fn set_descriptor_limit(&self, limit: usize) {
        let args = ["--pid".into(), self.child.id().to_string(), format!("--nofile={limit}:")];
        assert!(Command::new("prlimit").args(args).status().unwrap().success());
    }

    /// Returns the peak resident memory of the process in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
    }

    /// Waits until the process exits, and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
