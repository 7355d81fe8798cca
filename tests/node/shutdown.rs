//! SIGTERM beside all that may happen at that moment: what was taken has its answer before SIGKILL is due.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::support::*;

/// A second is the longest deadline here; SIGKILL is due 0.7 s later.
fn short(targets: &[Value], sockets: usize) -> Node {
    Node::configured(targets, |config| {
        config["limits"]["sockets"] = sockets.into();
        for class in config["settings"]["services"].as_array_mut().unwrap() {
            class["deadline_us"] = 1_000_000.into();
            class["goal_time_us"] = 500_000.into();
        }
    })
}

/// How many connections of clients a node with 36 descriptors has, and all of them with requests that wait.
const FULL: usize = 6;

const KILLED_AFTER: Duration = Duration::from_millis(1700);

/// Ends the node as the platform does.
fn killed(node: &mut Node, told: Instant) {
    thread::sleep((told + KILLED_AFTER).saturating_duration_since(Instant::now()));
    node.kill();
}

#[test]
fn what_comes_late_on_kept_connections_is_answered_before_the_node_is_killed() {
    let server = Server::new(|_, _| Act::Wait);
    // So few descriptors that begun requests hold all connections, and the last to come wait in the kernel.
    let mut node = short(&[ready("a", &server)], 60);
    let order = order();
    let mut begun: Vec<Client> = (0..30).map(|_| node.client()).collect();
    begun.iter_mut().for_each(|client| client.send(&order[..20]));
    // The last that were taken in have said something by now.
    rested();
    let told = Instant::now();
    node.terminate();
    thread::sleep((told + Duration::from_millis(1000)).saturating_duration_since(Instant::now()));
    begun[0].send(&order[20..]);
    let mut client = begun.swap_remove(0);
    let answer = thread::spawn(move || client.whole_answer());
    killed(&mut node, told);
    let answer = answer.join().unwrap().expect("an answer before the node is killed");
    assert!([502, 503, 504].contains(&answer.status()), "{answer:?}");
}

/// All connections end at the last call, and what waited in the kernel for one of them to end is taken then.
#[test]
fn what_the_kernel_still_holds_at_the_last_call_is_answered() {
    let server = Server::new(|_, _| Act::Wait);
    let mut node = short(&[ready("a", &server)], 36);
    let order = order();
    let mut held: Vec<Client> = (0..FULL).map(|_| node.client()).collect();
    held.iter_mut().for_each(|client| client.send(&order[..20]));
    rested();
    let told = Instant::now();
    node.terminate();
    let mut queued: Vec<Client> = (0..5).map(|_| node.client()).collect();
    queued.iter_mut().for_each(|client| client.send(&view()));
    thread::sleep((told + Duration::from_millis(1200)).saturating_duration_since(Instant::now()));
    // Some are sent, the others held: all wait until the last call.
    for (n, client) in held.iter_mut().enumerate() {
        client.send(&order[20..]);
        assert!(n > 0 || server.request().1.first.starts_with("POST"));
    }
    let answers = thread::spawn(move || {
        let answered = |mut client: Client| client.whole_answer().map(|answer| answer.status());
        queued.into_iter().map(answered).collect::<Vec<_>>()
    });
    killed(&mut node, told);
    let answers = answers.join().unwrap();
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

#[test]
fn a_request_half_read_at_sigterm_has_its_answer() {
    let server = Server::new(|_, _| ok("slip"));
    let mut node = short(&[ready("a", &server)], 1024);
    let (submit, view) = (submit(), view());
    let (mut head, mut body) = (node.client(), node.client());
    head.send(&view[..25]);
    body.send(&submit[..submit.len() - 2]);
    rested();
    node.terminate();
    // Told by now: the front hears no.
    while node.health() == 200 {}
    head.send(&view[25..]);
    body.send(&submit[submit.len() - 2..]);
    for client in [&mut head, &mut body] {
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.ended());
    }
    assert!(node.exit().success());
}

#[test]
fn what_waits_or_is_half_answered_at_sigterm_has_its_answer_beside_sighup() {
    let a = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut node = Node::new(&[target("a", a.local_addr().unwrap(), 1, "ready")]);
    Watch::accept(&node.discovery).goes_on();
    let (mut first, mut second, mut held) = (node.client(), node.client(), node.client());
    let taken = |client: &mut Client| {
        client.send(&order());
        let mut line = Client::on(accepted(&a));
        line.answer();
        line
    };
    let mut half = taken(&mut first);
    let mut declines = taken(&mut second);
    // Both of the server's places are taken: this one waits.
    held.send(&view());
    half.send(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n");
    half.send(&vec![b'h'; 70_000]);
    node.terminate();
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    node.reconfigure(&node.config_with(&moved));
    while node.health() == 200 {}
    Watch::accept(&moved).goes_on();
    // What was declined goes again, what waited goes at all, and what had begun goes on.
    declines.send(&answer(503, "Srv-Declined: 1\r\nConnection: close\r\n", ""));
    for _ in 0..2 {
        let mut line = Client::on(accepted(&a));
        line.answer();
        line.send(&answer(200, "Connection: close\r\n", "slip"));
        assert!(line.reader_ends());
    }
    half.send(&vec![b'h'; 30_000]);
    assert_eq!(first.answer().body.len(), 100_000);
    for client in [&mut second, &mut held] {
        let answer = client.answer();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"slip"[..]));
        assert!(client.ended());
    }
    assert!(node.exit().success());
}

#[test]
fn where_no_descriptor_is_left_at_sigterm_all_is_answered_too() {
    let server = Server::new(|_, _| Act::Wait);
    let mut node = Node::starved(&[ready("a", &server)], 48);
    let mut crowd: Vec<Client> = (0..60).map(|_| node.client()).collect();
    crowd.iter_mut().for_each(|client| client.send(&order()));
    let began = Instant::now();
    while node.descriptors() < 47 {
        assert!(began.elapsed() < WITHIN, "descriptors are left");
    }
    node.terminate();
    for client in &mut crowd {
        let answer = client.answer();
        assert!([502, 503, 504].contains(&answer.status()), "{answer:?}");
    }
    assert!(node.exit().success());
}

#[test]
fn after_sigterm_all_is_still_answered_and_connections_end() {
    let server = Server::new(|count, _| if count == 1 { Act::Wait } else { ok("slip") });
    let mut node = Node::new(&[ready("a", &server)]);
    let (mut kept, mut waiting) = (node.client(), node.client());
    assert_eq!(kept.ask(&view()).status(), 200);
    waiting.send(&order());
    server.request();
    server.request();
    node.terminate();
    // The node is told by now or soon: it serves on, and says when it means to go.
    loop {
        let answer = kept.ask(&view());
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            break;
        }
    }
    assert!(kept.ended());
    // The node goes before the order's deadline; no answer at all would be worse than a failure.
    assert_eq!(waiting.answer().status(), 504);
    assert!(node.exit().success());
    assert!(TcpStream::connect(node.address).is_err());
}

#[test]
fn what_passes_through_ends_properly_in_a_process_that_leaves() {
    let body = varied(2_000_000);
    let mut pieces = vec![sized("", &body)];
    let rest = pieces[0].split_off(1_500_000);
    pieces.push(rest);
    let server = Server::new(move |_, _| Act::SayInPieces(pieces.clone(), Duration::from_millis(2000)));
    let (listener, folder) = (TcpListener::bind("127.0.0.1:0").unwrap(), folder());
    let mut node = Node::passed(&[ready("a", &server)], &listener, &folder);
    let mut client = node.client();
    client.send(&view());
    server.request();
    node.terminate();
    assert_eq!(client.answer().body, body);
    assert!(node.exit().success());
}
