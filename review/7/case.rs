//! An operator takes a map server out of use while the process of a node is replaced.

#[path = "../common-2.rs"]
mod common;

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use common::*;

/// How long the new process is held up, in seconds. The pages allow 0.15 s.
const HOLD_UP: f64 = 0.12;
/// The grace of the rule on drains, the tolerance of time limits, and that of a node that is held up.
const GRACE: f64 = 2.0 + 0.05 + 0.15;
/// By how much the beginning of the hold-up moves from one replacement to the next, in microseconds.
const DELAY_STEP: i32 = 20;
/// How often the process is replaced.
const ROUNDS: usize = 20;
/// The map server that is taken out.
const HOST: &str = "{\"host\":\"s-00\"}";

fn case() -> Result<bool, String> {
    let arrivals = Arrivals::default();
    let mut entries = Vec::new();
    for number in 0..12 {
        let name = format!("s-{number:02}");
        let port = start_server(&name, &arrivals, Arc::new(|arrival: &Arrival, stream: &mut _| {
            sleep(0.03);
            answer(arrival, stream)
        }));
        entries.push(entry(&name, port, number / 3));
    }
    let socket = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let mut options = NodeOptions {
        discovery: start_discovery(&entries),
        entries,
        settings: settings(&map_classes()),
        memory_mb: 48,
        sockets: 384,
        operator: Some(free_port()),
        passed_socket: Some(socket),
        folder: folder().join("tmp"),
    };
    let mut old = Node::start("process 1", &options);
    old.follow_log();
    old.wait_until_healthy()?;
    wait_for_status(&old)?;
    let load = Load::start(old.port);
    sleep(1.0);

    let mut delay = 0;
    for round in 1..=ROUNDS {
        options.operator = Some(free_port());
        let before = state_file(&options.folder);
        let mut new = Node::start(&format!("process {}", round + 1), &options);
        hold_up(&mut new, delay)?;
        // A process that has written the file already was held up too late, another one perhaps too early.
        delay += if state_file(&options.folder) == before { DELAY_STEP } else { -DELAY_STEP };
        if !replace(&old, &mut new, &arrivals)? {
            load.stop();
            return Ok(false);
        }
        // The map server comes back into use before the next round.
        new.call("POST", "/maintenance/exit", HOST).ok_or("no answer to the call back")?;
        record("operator: POST /maintenance/exit s-00");
        sleep(0.4);
        old = new;
    }
    record(format!("{} requests were served", load.stop()));
    Ok(true)
}

/// Returns what the processes of the node have written into their `$TMPDIR`. Only the moment of the next hold-up
/// depends on it.
fn state_file(folder: &Path) -> Vec<u8> {
    let files = fs::read_dir(folder).into_iter().flatten().filter_map(Result::ok).map(|entry| entry.path());
    let state = files.filter(|path| path.extension().is_some_and(|extension| extension == "json")).min();
    state.and_then(|path| fs::read(path).ok()).unwrap_or_default()
}

/// Holds the new process up when its second address is open, as the log says. The hold-up begins this many
/// microseconds after the end of that line, or at its text if the number is negative.
fn hold_up(new: &mut Node, delay: i32) -> Result<(), String> {
    new.read_log_until("serves the admin API on", delay >= 0)?;
    let started = now();
    while now() < started + f64::from(delay) * 1e-6 {
        std::hint::spin_loop();
    }
    if has_trouble() {
        signal(new.pid(), STOP);
        record(format!("the new process is held up, delay {delay} us"));
    }
    Ok(())
}

/// Replaces the process `old`, which ends, by `new`, which has just been started and is held up. Meanwhile an
/// operator takes a map server out. Returns whether the node kept from sending it requests.
fn replace(old: &Node, new: &mut Node, arrivals: &Arrivals) -> Result<bool, String> {
    let held_since = now();
    new.follow_log();
    let called = thread::scope(|scope| {
        scope.spawn(|| {
            sleep_until(held_since + HOLD_UP);
            if has_trouble() {
                signal(new.pid(), CONTINUE);
                record(format!("the new process goes on after {:.3} s", now() - held_since));
            }
        });
        sleep_until(held_since + 0.03);
        record("operator: POST /maintenance/enter s-00, to the old process");
        old.call("POST", "/maintenance/enter", HOST)
    });
    let out_since = now();
    match called {
        Some(reply) if reply.status() == 200 => record("operator: yes"),
        _ => return Err("the call was not answered with yes".into()),
    }
    wait_for_status(new)?;
    record("the new process says yes, so the old one gets SIGTERM");
    signal(old.pid(), TERMINATE);
    sleep_until(out_since + GRACE + 0.9);
    let status = new.call("GET", "/status", "").ok_or("no status")?;
    record(format!("status of the new process: {}", String::from_utf8_lossy(&status.body).trim()));
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|a| a.at > out_since + GRACE).collect();
    let broken = late.iter().filter(|arrival| arrival.server == "s-00").count();
    let text = format!(
        "from {GRACE:.2} s after the yes on, the map servers got {} requests, {broken} of them the one that was \
         taken out",
        late.len()
    );
    record(&text);
    println!("{text}");
    match late.len() {
        0..20 => Err("too little traffic".into()),
        _ => Ok(broken == 0),
    }
}

fn wait_for_status(node: &Node) -> Result<(), String> {
    let started = now();
    while now() < started + 6.0 {
        if node.call("GET", "/status", "").is_some_and(|reply| reply.status() == 200) {
            return Ok(());
        }
        sleep(0.02);
    }
    Err(format!("{} did not say yes", node.label))
}

/// Clients that send one request after the other.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(port: u16) -> Load {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let clients = (0..4)
            .map(|_| {
                let (stop, served) = (stop.clone(), served.clone());
                thread::spawn(move || {
                    let mut kept: Option<Client> = None;
                    while !stop.load(Ordering::Relaxed) {
                        let Some(mut client) = kept.take().or_else(|| Client::connect(port).ok()) else {
                            sleep(0.02);
                            continue;
                        };
                        let (id, bytes) = request("tile-read", "GET", 0.5, None, b"");
                        let reply = client.send(&bytes).map(|()| client.receive(1.1));
                        if let Ok(Reply::Answer(answer)) = reply {
                            record(format!("client: {id} answered with {}", answer.status()));
                            served.fetch_add(usize::from(answer.status() == 200), Ordering::Relaxed);
                            kept = (answer.header("connection") != "close").then_some(client);
                        }
                        sleep(0.03);
                    }
                })
            })
            .collect();
        Load { stop, served, clients }
    }

    fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        self.served.load(Ordering::Relaxed)
    }
}

fn main() {
    run_case(case)
}
