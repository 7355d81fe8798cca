//! Clients that stop in the middle of a request and stay, and others that send proper requests.

#[path = "../common-2.rs"]
mod common;

use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Descriptors of the node, the fewest that the pages allow.
const SOCKETS: usize = 256;
/// Number of clients that stop in the middle of a request.
const STOPPED: usize = 200;
/// How long the other clients wait, in seconds.
const DEADLINE: f64 = 0.5;
/// After its time, a request may still be answered for this long, with the tolerance of time limits.
const SLACK: f64 = 0.5 + 0.05;

fn case() -> Result<bool, String> {
    let arrivals = Arrivals::default();
    let mut entries = Vec::new();
    for number in 0..10 {
        let name = format!("s-{number:02}");
        let port = start_server(&name, &arrivals, Arc::new(|arrival: &Arrival, stream: &mut _| {
            sleep(0.03);
            answer(arrival, stream)
        }));
        entries.push(entry(&name, port, number / 3));
    }
    let options = NodeOptions {
        discovery: start_discovery(&entries),
        entries,
        settings: settings(&map_classes()),
        memory_mb: 48,
        sockets: SOCKETS,
        operator: None,
        passed_socket: None,
        folder: folder().join("tmp"),
    };
    let mut node = Node::start("the node", &options);
    node.follow_log();
    node.wait_until_healthy()?;
    sleep(0.5);

    let results: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    let (begin, port) = (now(), node.port);
    for number in 0..50 {
        sleep_until(begin + 0.1 * f64::from(number));
        if has_trouble() && number == 10 {
            record(format!("{STOPPED} clients send half a request"));
            for _ in 0..STOPPED {
                clients.push(thread::spawn(move || stop_in_the_middle(port)));
            }
        }
        let results = results.clone();
        clients.push(thread::spawn(move || read_tile(port, &results)));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = node.has_exited() {
        return Err(format!("the node has ended: {status}"));
    }
    let results = results.lock().unwrap();
    let served = results.iter().filter(|(after, status)| *status == 200 && *after <= DEADLINE).count();
    let lost = results.iter().filter(|(after, _)| *after > DEADLINE + SLACK).count();
    let text = format!(
        "{} requests: {served} served in time, {lost} without an answer {:.2} s after they were sent",
        results.len(),
        DEADLINE + SLACK
    );
    record(&text);
    println!("{text}");
    match results.len() {
        50 => Ok(lost == 0),
        _ => Err("not all clients could connect".into()),
    }
}

fn stop_in_the_middle(port: u16) {
    let Ok(mut client) = Client::connect(port) else { return };
    let (id, bytes) = request("tile-read", "GET", DEADLINE, None, b"");
    let _ = client.send(&bytes[..bytes.len() / 2]);
    let begin = now();
    let reply = client.receive(8.0);
    record(format!("client that stopped: {id} gets {} after {:.3} s", reply.text(), now() - begin));
}

/// Sends a request and waits for its answer, longer than a client would, to see when it comes.
fn read_tile(port: u16, results: &Mutex<Vec<(f64, u16)>>) {
    let Ok(mut client) = Client::connect(port) else { return };
    let (id, bytes) = request("tile-read", "GET", DEADLINE, None, b"");
    if client.send(&bytes).is_err() {
        return;
    }
    wait_until_acknowledged(&client.stream);
    let sent_at = now();
    record(format!("client: {id} sent; the node's machine has its last byte"));
    let reply = client.receive(6.0);
    let after = now() - sent_at;
    record(format!("client: {id} gets {} after {after:.3} s", reply.text()));
    let status = match reply {
        Reply::Answer(message) => message.status(),
        // The pages allow that a connection is shut unread while idle clients fill the descriptors.
        Reply::Closed(_) => return results.lock().unwrap().push((0.0, 0)),
        Reply::Nothing => 0,
    };
    results.lock().unwrap().push((after, status));
}

fn main() {
    run_case(case)
}
