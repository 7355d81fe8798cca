//! Hot restart: two processes of a node share one inherited listener.

use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use std::{fs, thread};

use serde_json::{Value, json};

use crate::support::*;

#[test]
fn hot_restart_loses_no_request() {
    let upstream = ScriptedEndpoint::new(|count, _| match count {
        0 => Reply::SendDelayed(Vec::new(), Duration::from_millis(1500), response(200, "", "done")),
        _ => ok("done"),
    });
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let mut older = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    let (mut busy, mut kept, mut idle) = (older.client(), older.client(), older.client());
    busy.send(&order_request());
    upstream.next_request();
    assert_eq!(
        (kept.exchange(&view_request()).status(), idle.exchange(&view_request()).status()),
        (200, 200)
    );
    let newer = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    wait_until("the successor can serve", || newer.admin_request("GET", "/status", "").status() == 200);
    older.terminate();
    // To the load balancer in front of the nodes, both processes are one node, which keeps serving.
    wait_until("the older process shuts down", || {
        let response = older.admin_request("GET", "/status", "");
        String::from_utf8_lossy(&response.body).contains("leaving")
    });
    let response = kept.exchange(HEALTH_REQUEST);
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    for _ in 0..50 {
        assert_eq!((newer.health(), newer.client().exchange(&view_request()).status()), (200, 200));
    }
    assert_eq!(busy.receive().body, b"done");
    assert!(idle.closes_without_data());
    assert!(older.wait_for_exit().success());
    assert_eq!(newer.client().exchange(&view_request()).status(), 200);
}

#[test]
fn the_older_process_leaves_the_backlog_to_its_successor() {
    let upstream = ScriptedEndpoint::new(|count, _| match count {
        0 => Reply::SendDelayed(Vec::new(), Duration::from_millis(1000), response(200, "", "done")),
        _ => ok("done"),
    });
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let mut older = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    let mut busy = older.client();
    busy.send(&order_request());
    upstream.next_request();
    older.terminate();
    wait_until("the older process shuts down", || older.admin_status()["phase"] == "leaving");
    // The older process still has an open request but accepts no connections. Its exit does not reset those
    // in the backlog.
    let mut waiting = older.client();
    waiting.send(&view_request());
    assert_eq!(busy.receive().body, b"done");
    assert!(older.wait_for_exit().success());
    assert_eq!(upstream.request_count(), 1);
    let _newer = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    assert_eq!(waiting.receive().body, b"done");
}

#[test]
fn a_process_without_endpoints_accepts_no_connections() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let node = Node::with_inherited_listener(&[], &listener, &state_dir);
    assert_eq!(node.admin_request("GET", "/status", "").status(), 503);
    let mut waiting = node.client();
    waiting.send(&view_request());
    let mut watch = Watch::accept(&node.discovery);
    assert_eq!(node.admin_request("GET", "/status", "").status(), 503);
    watch.send_delta(42, &[ready_endpoint("a", &upstream)]);
    assert_eq!(waiting.receive().body, b"done");
    assert_eq!(node.admin_request("GET", "/status", "").status(), 200);
}

#[test]
fn concurrent_commands_to_both_processes_all_take_effect() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let targets: Vec<Value> = names.iter().map(|uid| ready_endpoint(uid, &upstream)).collect();
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let nodes = [0, 1].map(|_| Node::with_inherited_listener(&targets, &listener, &state_dir));
    thread::scope(|scope| {
        for (uid, node) in names.iter().zip(nodes.iter().cycle()) {
            scope.spawn(|| assert_eq!(node.set_maintenance("enter", uid), 200));
        }
    });
    for node in &nodes {
        assert_eq!(node.admin_status()["maintenance"], json!(names));
    }
}

#[test]
fn admin_state_outlives_a_process_and_applies_to_both() {
    let (one, two) = (ScriptedEndpoint::new(|_, _| ok("one")), ScriptedEndpoint::new(|_, _| ok("two")));
    let targets = [ready_endpoint("a", &one), ready_endpoint("b", &two)];
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let mut older = Node::with_inherited_listener(&targets, &listener, &state_dir);
    let mut on_older = older.client();
    assert_eq!(on_older.exchange(&view_request()).status(), 200);
    assert_eq!(older.set_maintenance("enter", "a"), 200);
    assert_eq!(older.admin_request("POST", "/standby", "").status(), 200);
    let newer = Node::with_inherited_listener(&targets, &listener, &state_dir);
    wait_until("the older process has released descriptors", || {
        newer.admin_request("GET", "/status", "").status() == 200
    });
    assert_eq!(newer.admin_status(), json!({"phase": "standby", "able": true, "maintenance": ["a"]}));
    // When the newer process responds to a command, the older one has applied it too.
    assert_eq!(newer.admin_request("POST", "/active", "").status(), 200);
    assert_eq!((newer.set_maintenance("exit", "a"), newer.set_maintenance("enter", "b")), (200, 200));
    assert_eq!(older.admin_status(), json!({"phase": "serving", "able": true, "maintenance": ["b"]}));
    let before = two.request_count();
    // Endpoint "a" is in slow start, so some of these requests are rejected.
    let bodies: Vec<_> = (0..50).map(|_| newer.client().exchange(&view_request()).body).collect();
    assert!(bodies.iter().any(|body| body == b"one"));
    assert_eq!(two.request_count(), before);
    older.terminate();
    assert!(older.wait_for_exit().success());
    assert_eq!(newer.admin_status()["maintenance"], json!(["b"]));
}

/// Guards against orders that a starting process lists in its status and never applies: they are written
/// between its first read of the state file and the update that counts its start.
#[test]
fn a_starting_process_applies_orders_that_are_written_while_it_waits_for_the_lock() {
    let (one, two) = (ScriptedEndpoint::new(|_, _| ok("one")), ScriptedEndpoint::new(|_, _| ok("two")));
    let targets = [ready_endpoint("a", &one), ready_endpoint("b", &two)];
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let lock = fs::File::create(state_dir.join("dunelink-n0.lock")).unwrap();
    lock.lock().unwrap();
    let node = Node::with_inherited_listener(&targets, &listener, &state_dir);
    // The admin API responds once the file was read for the first time. There was none.
    assert_eq!(node.admin_status()["maintenance"], json!([]));
    let orders = json!({"starts": 1, "standby": true, "maintenance": ["a"], "returned": {}});
    write_state_file(&state_dir, &orders);
    drop(lock);
    wait_until("the start is counted", || {
        let state: Value =
            serde_json::from_slice(&fs::read(state_dir.join("dunelink-n0.json")).unwrap()).unwrap();
        state["orders"]["starts"] == 2
    });
    wait_until("the process can serve", || node.admin_status()["able"] == true);
    assert_eq!(node.admin_status(), json!({"phase": "standby", "able": true, "maintenance": ["a"]}));
    let bodies: Vec<_> = (0..20).map(|_| node.client().exchange(&view_request()).body).collect();
    assert!(bodies.iter().all(|body| body == b"two"), "a map server in maintenance got requests");
}

/// Guards against orders that a process never applies because it could not open the state file when they were
/// written.
#[test]
fn orders_that_are_written_while_no_descriptor_is_free_are_applied_later() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let node = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    wait_until("the process can serve", || node.admin_status()["able"] == true);
    let descriptors = node.open_descriptors();
    node.exhaust_descriptors();
    let orders = json!({"starts": 1, "standby": true, "maintenance": ["a"], "returned": {}});
    write_state_file(&state_dir, &orders);
    // The process tries to read the file several times in this pause.
    pause_200_ms();
    node.set_descriptor_limit(descriptors + 100);
    wait_until("the order is applied", || node.admin_status()["phase"] == "standby");
    assert_eq!(node.admin_status()["maintenance"], json!(["a"]));
}

/// Writes the state file as another process of the node would.
fn write_state_file(state_dir: &Path, orders: &Value) {
    let text = json!({"version": 1, "orders": orders}).to_string();
    fs::write(state_dir.join("dunelink-n0.next"), text).unwrap();
    fs::rename(state_dir.join("dunelink-n0.next"), state_dir.join("dunelink-n0.json")).unwrap();
}

/// Guards against an order that runs twice because it comes again at the other process of a hot restart,
/// while its first client waits and after that client has left.
#[test]
fn an_order_that_comes_again_at_the_successor_is_rejected() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let older = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    let order = request_with_id("9b1f03aa5c7e2d44", "POST", "/order/1", "14", "", "xyz");
    let mut client = older.client();
    client.send(&order);
    let (connection, _) = upstream.next_request();
    let newer = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    wait_until("the successor can serve", || newer.admin_request("GET", "/status", "").status() == 200);
    older.terminate();
    wait_until("the older process shuts down", || older.admin_status()["phase"] == "leaving");
    assert_eq!(newer.client().exchange(&order).status(), 409);
    drop(client);
    assert_eq!(upstream.next_closed_connection(), connection);
    assert_eq!(newer.client().exchange(&order).status(), 409);
    assert_eq!(upstream.request_count(), 1);
}

#[test]
fn exits_with_an_error_on_an_invalid_inherited_socket() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let node = Node::with_inherited_listener(&[ready_endpoint("a", &upstream)], &listener, &state_dir);
    let config = node.config_with_discovery(&node.discovery);
    let connected = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let no_socket = fs::File::open("/dev/null").unwrap();
    let with_socket_number = |mut command: Command, number: &str| {
        command.env("GW_PASSED_SOCKET", number);
        command
    };
    let invalid = [
        command_with_inherited_socket(&connected),
        command_with_inherited_socket(&no_socket),
        with_socket_number(command_with_inherited_socket(&listener), "6"),
        with_socket_number(command_with_inherited_socket(&listener), "five"),
        with_socket_number(command_with_inherited_socket(&listener), "-1"),
        with_socket_number(command_with_inherited_socket(&listener), "0"),
        with_socket_number(command_with_inherited_socket(&listener), ""),
    ];
    for mut command in invalid {
        let child =
            command.env("GW_CONFIG", write_config(&config)).env("TMPDIR", &state_dir).spawn().unwrap();
        let line = expect_startup_error(child);
        assert!(line.starts_with("GW_PASSED_SOCKET"), "{line}");
    }
    assert_eq!((node.health(), node.client().exchange(&view_request()).status()), (200, 200));
}

#[test]
fn two_processes_together_stay_within_the_descriptor_limit() {
    const SOCKETS: usize = 160;
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let targets: Vec<Value> = (0..12).map(|n| ready_endpoint(&format!("s{n}"), &upstream)).collect();
    let (listener, state_dir) = (TcpListener::bind("127.0.0.1:0").unwrap(), state_dir());
    let older = Node::with_inherited_listener_and_sockets(&targets, &listener, &state_dir, SOCKETS);
    // Clients with open requests use a third of the descriptors, and 100 idle clients connect below.
    let mut busy: Vec<Connection> = (0..SOCKETS / 3).map(|_| older.client()).collect();
    busy.iter_mut().for_each(|client| client.send(&request("POST", "/order/1", "14", "", "xyz")));
    wait_until("12 requests are at endpoints", || upstream.request_count() >= 12);
    let newer = Node::with_inherited_listener_and_sockets(&targets, &listener, &state_dir, SOCKETS);
    // The older process accepts these connections until it knows of its successor.
    let mut idle: Vec<Connection> = (0..100).map(|_| older.client()).collect();
    let mut polls = 0;
    wait_until("the successor is ready in 100 polls", || {
        let (older_count, newer_count) = (older.open_descriptors(), newer.open_descriptors());
        assert!(
            older_count + newer_count <= SOCKETS,
            "{older_count} and {newer_count} descriptors of {SOCKETS}"
        );
        idle.iter_mut().filter(|client| client.has_unread_data()).for_each(|client| *client = older.client());
        polls += usize::from(newer.admin_status()["able"] == true);
        polls >= 100
    });
}
