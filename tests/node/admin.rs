//! The admin API and its state file.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::support::*;

fn state_file(state_dir: &Path) -> PathBuf {
    state_dir.join("dunelink-n0.json")
}

#[test]
fn rejects_invalid_requests_without_changing_state() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir());
    assert_eq!(node.admin_request("GET", "/status", "").status(), 200);
    let enter = "/maintenance/enter";
    let oversized = format!("{{\"host\":\"a\",\"why\":\"{}\"}}", "x".repeat(100_000));
    let invalid = [
        ("GET", "/", "", 404),
        ("POST", "/maintenance", "", 404),
        ("POST", "/status/", "", 404),
        ("POST", "/status", "", 405),
        ("GET", "/standby", "", 405),
        ("PUT", "/active", "", 405),
        ("GET", enter, "{\"host\":\"a\"}", 405),
        ("POST", enter, "", 400),
        ("POST", enter, "{\"host\":\"a\"", 400),
        ("POST", enter, "{\"host\":\"a\"} and more", 400),
        ("POST", enter, "{\"host\":\"a\"}{\"host\":\"a\"}", 400),
        ("POST", enter, "{\"host\":1}", 400),
        ("POST", enter, "{\"host\":[\"a\"]}", 400),
        ("POST", enter, "{\"hosts\":\"a\"}", 400),
        ("POST", enter, "\"a\"", 400),
        ("POST", enter, "{\"host\":\"nobody\"}", 404),
        ("POST", "/maintenance/exit", "{\"host\":\"nobody\"}", 404),
        ("POST", enter, &oversized, 413),
        ("POST", "/standby", &oversized, 413),
    ];
    for (method, path, body, status) in invalid {
        assert_eq!(node.admin_request(method, path, body).status(), status, "{method} {path} {body:.60}");
    }
    let mut truncated = node.admin_client();
    truncated.send(b"POST /maintenance/enter HTTP/1.1\r\nHost: n\r\nContent-Length: 12\r\n\r\n{\"host\"");
    truncated.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(truncated.closes_after_any_data(), "the connection closes after a truncated request");
    assert_eq!(node.admin_status()["maintenance"], json!([]));
    assert_eq!(node.admin_status()["phase"], "serving");
    assert_eq!((node.health(), node.client().exchange(&view_request()).status()), (200, 200));
    // Each connection serves one request.
    let mut caller = node.admin_client();
    let response = caller.exchange(&admin_request("GET", "/status", ""));
    assert_eq!(response.header("connection"), Some("close"));
    assert!(caller.closes_without_data());
}

#[test]
fn stalled_callers_and_busy_clients_do_not_delay_status_requests() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 64, &state_dir());
    let mut clients: Vec<Connection> = (0..200).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request("GET", "/view/1", "9", "", "")));
    let mut stalled: Vec<Connection> = (0..100).map(|_| node.admin_client()).collect();
    stalled.iter_mut().skip(30).for_each(|caller| caller.send(b"POST /standby HTTP/1.1\r\nHo"));
    let incomplete = b"POST /standby HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\n\r\nha";
    stalled.iter_mut().skip(60).for_each(|caller| caller.send(incomplete));
    for _ in 0..5 {
        let started = Instant::now();
        assert_eq!(node.admin_request("GET", "/status", "").status(), 200);
        // The admin API has to respond within 1 s, and does within about 2 ms on an idle machine. The bound
        // of 2 s allows for a busy machine.
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    }
    assert!(node.open_descriptors() <= 64, "{} descriptors", node.open_descriptors());
    assert!(
        stalled.iter_mut().all(Connection::closes_after_any_data),
        "connections of stalled callers are closed"
    );
    assert_eq!(node.admin_status()["phase"], "serving");
}

#[test]
fn ignores_and_replaces_an_invalid_state_file() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let other_version =
        json!({"version": 2, "orders": {"starts": 1, "standby": true, "maintenance": [], "returned": {}}});
    let missing_fields = json!({"version": 1, "orders": {"starts": 1, "standby": true}});
    for text in
        ["", "{\"version\":1,", "\u{0}\u{1}", "[]", &other_version.to_string(), &missing_fields.to_string()]
    {
        let state_dir = state_dir();
        fs::write(state_file(&state_dir), text).unwrap();
        let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir);
        assert_eq!((node.health(), node.admin_status()["phase"].as_str()), (200, Some("serving")), "{text}");
        assert_eq!(node.set_maintenance("enter", "a"), 200);
        let written: Value = serde_json::from_slice(&fs::read(state_file(&state_dir)).unwrap()).unwrap();
        assert_eq!(written["orders"]["maintenance"], json!(["a"]), "{text}");
    }
}

#[test]
fn a_command_whose_state_cannot_be_written_fails_and_changes_nothing() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let state_dir = state_dir();
    let node = Node::with_admin(&[ready_endpoint("a", &upstream)], 1024, &state_dir);
    wait_until("the process start is stored", || state_file(&state_dir).exists());
    fs::remove_dir_all(&state_dir).unwrap();
    assert_eq!(node.set_maintenance("enter", "a"), 500);
    assert_eq!(node.admin_request("POST", "/standby", "").status(), 500);
    assert_eq!(node.admin_status(), json!({"phase": "serving", "able": true, "maintenance": []}));
    assert_eq!((node.health(), node.client().exchange(&view_request()).status()), (200, 200));
}
