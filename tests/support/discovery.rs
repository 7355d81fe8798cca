//! Endpoint lists, and the discovery service's side of a watch.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::support::*;

/// Returns an entry of an endpoint list.
pub fn endpoint_entry(uid: &str, endpoint: SocketAddr, cell: u16, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "sapporo-a", "model": "std-1c",
        "pod_group": cell, "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns the entry of a scripted endpoint that is ready.
pub fn ready_endpoint(uid: &str, upstream: &ScriptedEndpoint) -> Value {
    endpoint_entry(uid, upstream.address, 1, "ready")
}

/// The discovery service's side of a watch that the node has opened.
pub struct Watch {
    /// Request that opened the watch.
    pub request: Message,
    stream: TcpStream,
}

impl Watch {
    /// Accepts the next watch and sends the head of its response.
    pub fn accept(listener: &TcpListener) -> Watch {
        let mut stream = accept_connection(listener);
        let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
        Watch { request, stream }
    }

    /// Sends a line as one chunk.
    pub fn send_line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.stream.write_all(chunk.as_bytes()).unwrap();
    }

    /// Sends a line as one chunk on a watch that the node may have closed.
    pub fn try_send_line(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let _ = self.stream.write_all(chunk.as_bytes());
    }

    /// Sends a delta with these entries.
    pub fn send_delta(&mut self, revision: u64, entries: &[Value]) {
        self.send_line(&list_message(revision, false, entries).to_string());
    }

    /// Sends an empty line, which means that nothing has changed, every 500 ms until the node closes the
    /// watch.
    pub fn keep_alive(self) {
        self.repeat_chunk("\n");
    }

    /// Sends this text as a chunk every 500 ms until the node closes the watch.
    pub fn repeat_chunk(mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        thread::spawn(move || {
            while self.stream.write_all(chunk.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
}

/// Returns the entry of an endpoint whose connections the test accepts from this listener.
pub fn listening_endpoint(uid: &str, listener: &TcpListener, state: &str) -> Value {
    endpoint_entry(uid, listener.local_addr().unwrap(), 1, state)
}

/// Returns a message of the watch: a snapshot or a delta.
pub fn list_message(revision: u64, is_snapshot: bool, entries: &[Value]) -> Value {
    json!({"rev": revision, "all": is_snapshot, "targets": entries})
}
