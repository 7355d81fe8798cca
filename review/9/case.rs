//! Orders with a large body wait for a free map server, and then one of the map servers hangs.

#[path = "../common-2.rs"]
mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// Number of map servers; one of them hangs.
const SERVERS: u16 = 6;
/// Work of an order, in seconds. The site file gives a mean of 0.08 to 0.14 s.
const WORK: f64 = 0.11;
/// Load, as a multiple of what the map servers can do. The site file gives 1.2 to 1.6 for an overload.
const LOAD: f64 = 1.4;
/// Length of the body of an order. The pages allow 32 MB.
const BODY_BYTES: usize = 100_000;
/// How long clients wait, in seconds.
const DEADLINE: f64 = 6.0;
/// After its time, a request may still be answered for this long, with the tolerance of time limits.
const SLACK: f64 = 0.5 + 0.05;

fn case() -> Result<bool, String> {
    let arrivals = Arrivals::default();
    let hung = Arc::new(AtomicBool::new(false));
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let name = format!("s-{number:02}");
        let (core, hung) = (Mutex::new(()), hung.clone());
        let behaviour = move |arrival: &Arrival, stream: &mut _| {
            let _core = core.lock().unwrap();
            let hangs = || number == 0 && hung.load(Ordering::Relaxed);
            if !hangs() {
                sleep(WORK);
            }
            // A map server that hangs for the rest of the case answers nothing that it has.
            if hangs() {
                sleep(1000.0);
            }
            answer(arrival, stream)
        };
        let port = start_server(&name, &arrivals, Arc::new(behaviour));
        entries.push(entry(&name, port, number / 3));
    }
    let classes =
        [class("stock-check", "pure", 2.0, 0.4, 1.0), class("place-order", "side_effect", DEADLINE, 2.0, 5.0)];
    let options = NodeOptions {
        discovery: start_discovery(&entries),
        entries,
        settings: settings(&classes),
        memory_mb: 48,
        sockets: 1024,
        operator: None,
        passed_socket: None,
        folder: folder().join("tmp"),
    };
    let mut node = Node::start("the node", &options);
    node.follow_log();
    node.wait_until_healthy()?;

    let results: Arc<Mutex<Vec<(String, f64, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    let (begin, port) = (now(), node.port);
    let interval = WORK / f64::from(SERVERS) / LOAD;
    for number in 0..(7.0 / interval) as usize {
        sleep_until(begin + interval * number as f64);
        if has_trouble() && now() > begin + 4.0 && !hung.swap(true, Ordering::Relaxed) {
            record("s-00 hangs");
        }
        let results = results.clone();
        clients.push(thread::spawn(move || place_order(port, &results)));
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = node.has_exited() {
        return Err(format!("the node has ended: {status}"));
    }
    let results = results.lock().unwrap();
    let served = results.iter().filter(|(.., status)| *status == 200).count();
    let refused = results.iter().filter(|(.., status)| *status == 503).count();
    let lost: Vec<_> = results.iter().filter(|(_, after, _)| *after > DEADLINE + SLACK).collect();
    for (id, after, status) in &lost {
        record(format!("lost: {id}, {status} after {after:.3} s"));
    }
    let text = format!(
        "{} orders: {served} served, {refused} refused, {} without an answer {:.2} s after they were sent",
        results.len(),
        lost.len(),
        DEADLINE + SLACK
    );
    record(&text);
    println!("{text}");
    if served < 100 {
        return Err("too few orders were served".into());
    }
    Ok(lost.is_empty())
}

/// Sends an order and waits for its answer, longer than a client would, to see when it comes.
fn place_order(port: u16, results: &Mutex<Vec<(String, f64, u16)>>) {
    let (id, bytes) = request("place-order", "POST", DEADLINE, None, &vec![b'x'; BODY_BYTES]);
    let Ok(mut client) = Client::connect(port) else { return };
    if client.send(&bytes).is_err() {
        return;
    }
    wait_until_acknowledged(&client.stream);
    let sent_at = now();
    record(format!("client: {id} sent; the node's machine has its last byte"));
    let reply = client.receive(9.0);
    let after = now() - sent_at;
    record(format!("client: {id} gets {} after {after:.3} s", reply.text()));
    let status = match reply {
        Reply::Answer(message) => message.status(),
        _ => 0,
    };
    results.lock().unwrap().push((id, after, status));
}

fn main() {
    run_case(case)
}
