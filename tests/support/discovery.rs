//! Endpoint lists, and the discovery side of a watch.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::*;

/// An entry of the endpoint list.
pub fn endpoint_entry(uid: &str, endpoint: SocketAddr, pod: u16, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "sapporo-a", "model": "std-1c",
        "pod_group": pod, "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// The entry of a scripted upstream server that is ready.
pub fn ready_endpoint(uid: &str, upstream: &UpstreamServer) -> Value {
    endpoint_entry(uid, upstream.address, 1, "ready")
}

/// A watch that the node has opened, seen from discovery.
pub struct Watch {
    /// The request that opened it.
    pub request: Message,
    stream: TcpStream,
}

impl Watch {
    /// Accepts the next watch and answers its head.
    pub fn accept(listener: &TcpListener) -> Watch {
        let mut stream = accept_connection(listener);
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        Watch { request, stream }
    }

    /// Sends text and a line end as one chunk.
    pub fn send_line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.stream.write_all(chunk.as_bytes()).unwrap();
    }

    /// The same on a watch that the node may have closed.
    pub fn try_send_line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let _ = self.stream.write_all(chunk.as_bytes());
    }

    /// Sends changes of these entries.
    pub fn send_delta(&mut self, rev: u64, targets: &[Value]) {
        self.send_line(&list_message(rev, false, targets).to_string());
    }

    /// Sends empty lines, which say that nothing changed, for as long as the node reads.
    pub fn keep_alive(self) {
        self.repeat_chunk("\n");
    }

    /// Sends this text as a chunk twice a second for as long as the node reads.
    pub fn repeat_chunk(mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        thread::spawn(move || {
            while self.stream.write_all(chunk.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
}

/// The entry of a server that the test itself plays on this listener.
pub fn listening_endpoint(uid: &str, listener: &TcpListener, state: &str) -> Value {
    endpoint_entry(uid, listener.local_addr().unwrap(), 1, state)
}

/// A message of the watch: a snapshot if `all`, a delta otherwise.
pub fn list_message(rev: u64, all: bool, targets: &[Value]) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}
