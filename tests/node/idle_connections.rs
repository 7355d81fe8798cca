//! Connections to servers, between two requests.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn an_idle_connection_that_the_server_closed_is_not_used() {
    let server = Server::new(|_, _| Act::SayAndClose(answer(200, "", "paid")));
    let node = Node::new(&[ready("a", &server)]);
    for number in 0..3 {
        assert_eq!(node.client().ask(&order()).status(), 200);
        assert_eq!(server.request().0, number);
        assert_eq!(server.ended(), number);
    }
}

/// What all nodes hold idle fills servers' tables and shuts out those that need a connection.
#[test]
fn idle_connections_end_soon_where_new_ones_are_turned_away() {
    let full = Arc::new(Barrier::new(2));
    let (held, declined) = (full.clone(), "Srv-Declined: 1\r\nConnection: close\r\n");
    let server = Server::on(move |connection, request| {
        if connection > 0 {
            return Act::SayAndClose(answer(503, declined, ""));
        }
        if request.first.starts_with("POST") {
            held.wait();
        }
        ok("slip")
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut busy = node.client();
    busy.send(&order());
    until("the order is at the server", || server.count() == 1);
    (0..4).for_each(|_| assert_ne!(node.client().ask(&view()).status(), 200));
    full.wait();
    assert_eq!(busy.answer().status(), 200);
    // Long before the server would have closed it.
    while server.ended() != 0 {}
}

#[test]
fn idle_connections_to_a_server_that_fell_silent_are_not_trusted() {
    // Two requests at once leave two idle connections; then the server says nothing more on either.
    let both = Arc::new(Barrier::new(2));
    let server = Server::new(move |count, _| match count {
        0 | 1 => {
            both.wait();
            ok("slip")
        }
        _ => Act::Wait,
    });
    let node = Node::new(&[ready("a", &server)]);
    let (mut one, mut two) = (node.client(), node.client());
    one.send(&order());
    two.send(&order());
    assert_eq!((one.answer().status(), two.answer().status()), (200, 200));
    rested();
    assert_eq!(one.ask(&request("POST", "/order/1", "3", "", "yen")).status(), 504);
    one.send(&order());
    let connections: Vec<usize> = (0..4).map(|_| server.request().0).collect();
    assert_eq!(connections[3], 2, "the last request came on a connection of its own: {connections:?}");
}

#[test]
fn what_must_not_run_twice_avoids_kept_connections_once_some_broke() {
    // Kept connections break under their next request; new ones are fine.
    let met = Mutex::new(HashSet::new());
    let server = Server::on(move |connection, _| match met.lock().unwrap().insert(connection) {
        true => ok("paid"),
        false => Act::SayAndClose(Vec::new()),
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    let mut lost = 0;
    for _ in 0..8 {
        lost += usize::from(client.ask(&order()).status() != 200);
        rested();
    }
    assert_eq!(lost, 2, "one may be chance; two of two tell of the others");
}

/// As behind a box that forgets a connection after a while, and says so at its next request.
#[test]
fn connections_that_break_after_a_rest_are_used_until_then() {
    let forgets = Duration::from_millis(500);
    let last = Mutex::new(HashMap::new());
    let server = Server::on(move |connection, _| {
        let before: Option<Instant> = last.lock().unwrap().insert(connection, Instant::now());
        match before.is_some_and(|at| at.elapsed() > forgets) {
            true => Act::SayAndClose(Vec::new()),
            false => ok("paid"),
        }
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    // One may be chance.
    for connection in [0, 1] {
        assert_eq!(client.ask(&order()).status(), 200);
        thread::sleep(2 * forgets);
        assert_eq!(client.ask(&order()).status(), 502, "it may have run");
        assert_eq!((server.request().0, server.request().0), (connection, connection));
    }
    // Those that went on soon show that a short rest does no harm, also to what must not run twice.
    let mut turn = |bytes: Vec<u8>| {
        client.ask(&bytes);
        thread::sleep(Duration::from_millis(20));
        server.request().0
    };
    assert!((0..40).any(|_| turn(view()) == turn(order())), "orders go on kept connections again");
    thread::sleep(4 * forgets);
    assert_eq!(client.ask(&order()).status(), 200, "but not on those that have rested for long");
}
