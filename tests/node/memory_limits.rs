//! Memory under many large bodies.

use std::collections::HashSet;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::support::*;

#[test]
fn memory_does_not_grow_with_what_passes_through() {
    const EACH: usize = 12_000_000;
    let server = Server::new(|_, request| Act::Say(sized("", &request.body)));
    let node = Node::new(&[ready("a", &server)]);
    let body = Arc::new(varied(EACH));
    let clients: Vec<_> = (0..24)
        .map(|_| {
            let (mut client, body) = (node.client(), body.clone());
            thread::spawn(move || {
                let length = format!("Content-Length: {EACH}\r\n");
                client.stream.write_all(&head("POST", "/order/1", &length)).unwrap();
                client.stream.write_all(&body).unwrap();
                // All answers wait for their readers at the same time.
                thread::sleep(Duration::from_secs(2));
                let answer = client.answer();
                // Some may be refused in the crowd, but what is answered is whole.
                assert!(answer.status() != 200 || answer.body == *body);
                answer.status() == 200
            })
        })
        .collect();
    let served = clients.into_iter().map(|client| client.join().unwrap()).filter(|ok| *ok).count();
    assert!(served > 4, "{served}");
    let memory = node.memory();
    assert!(memory < 32 << 20, "{memory} bytes, and one body has {EACH}");
}

/// Little memory for its descriptors, and all that connections may hold is held: servers read nothing, and each client
/// sends as much as it can.
#[test]
fn a_crowd_of_uploads_keeps_within_the_memory_that_the_node_has() {
    const MEMORY: usize = 32;
    let listeners: Vec<TcpListener> = (0..8).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let targets: Vec<_> = (0..)
        .zip(&listeners)
        .map(|(n, listener)| target(&format!("s{n}"), listener.local_addr().unwrap(), 1, "ready"))
        .collect();
    let node = Node::configured(&targets, |config| config["limits"]["memory_mb"] = MEMORY.into());
    let body = varied(400_000);
    let crowd: Vec<Client> = (0..600)
        .map(|n| {
            let mut client = node.client();
            client.stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
            match n % 2 {
                0 => client.send(&head("POST", "/order/1", "Content-Length: 4000000\r\n")),
                _ => {
                    client.send(&head("POST", "/order/1", "Transfer-Encoding: chunked\r\n"));
                    client.send(b"3D0900\r\n");
                }
            }
            client.send(&body);
            client
        })
        .collect();
    assert_eq!(node.health(), 200);
    let memory = settled(&node);
    assert!(memory < MEMORY << 20, "{memory} bytes for {} uploads", crowd.len());
}

/// The most memory that it has held, once that stays as it is.
fn settled(node: &Node) -> usize {
    let mut memory = 0;
    while memory < node.memory() {
        memory = node.memory();
        rested();
    }
    memory
}

/// No room is left to hold it whole, so it passes through, and comes in its first piece.
#[test]
fn a_connection_is_used_again_after_an_answer_that_found_no_room() {
    // An eighth of this is as much as the orders hold; it carries connections for all that servers are sent here, so
    // that none makes room for another.
    const MEMORY: usize = 16;
    const SERVERS: usize = MEMORY * 2;
    let script = |_, request: &Message| match request.first.starts_with("POST") {
        true => Act::Wait,
        false => ok("slip"),
    };
    let server = Server::new(script);
    let targets: Vec<_> = (0..SERVERS).map(|n| ready(&format!("s{n}"), &server)).collect();
    let node = Node::configured(&targets, |config| config["limits"]["memory_mb"] = MEMORY.into());
    let _orders: Vec<Client> = (0..MEMORY * 2)
        .map(|_| {
            let mut client = node.client();
            client.send(&request("POST", "/order/1", "14.0", "", &"y".repeat(64 << 10)));
            server.request();
            client
        })
        .collect();
    let mut client = node.client();
    let mut views = || -> HashSet<usize> {
        let view = |_| {
            assert_eq!(client.ask(&view()).body, b"slip");
            server.request().0
        };
        (0..2 * SERVERS).map(view).collect()
    };
    let before = views();
    // Connections rest before they are used again.
    rested();
    assert!(!views().is_disjoint(&before), "each view had a connection of its own");
}
