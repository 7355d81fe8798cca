//! Clients and servers that are slow, or stop half-way.

use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

#[test]
fn a_client_that_sends_no_whole_request_is_not_waited_for() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let began = Instant::now();
    let (mut silent, mut slow, mut half, mut once) =
        (node.client(), node.client(), node.client(), node.client());
    slow.send(b"GET /view/1 HTTP/1.1\r\nHost: o");
    half.send(&order()[..order().len() - 1]);
    assert_eq!(once.ask(&view()).status(), 200);
    assert_eq!(half.answer().status(), 408);
    for (what, client) in
        [("silent", &mut silent), ("slow", &mut slow), ("half", &mut half), ("once", &mut once)]
    {
        assert!(client.ended(), "{what}");
    }
    assert!(began.elapsed() < Duration::from_secs(10), "long before the class's deadline");
    assert_eq!(server.count(), 1);
}

#[test]
fn a_slow_client_is_judged_by_its_progress() {
    let server = Server::new(|_, request| Act::Say(answer(200, "", &request.body.len().to_string())));
    let node = Node::new(&[ready("a", &server)]);
    let (slow, stalled) = thread::scope(|scope| {
        let slow = scope.spawn(|| {
            let mut client = node.client();
            client.send(&head("POST", "/order/1", "Content-Length: 320000\r\n"));
            // Far longer than a client may take that brings nothing.
            for _ in 0..10 {
                client.send(&[b'x'; 32_000]);
                thread::sleep(Duration::from_millis(400));
            }
            client.answer()
        });
        let stalled = scope.spawn(|| {
            let mut client = node.client();
            client.send(&head("POST", "/order/1", "Content-Length: 320000\r\n"));
            client.send(&[b'x'; 100_000]);
            let began = Instant::now();
            // A byte now and then is no progress.
            while began.elapsed() < Duration::from_secs(8) && !client.has_something() {
                client.send(b"x");
                thread::sleep(Duration::from_millis(100));
            }
            (client.answer(), began.elapsed())
        });
        (slow.join().unwrap(), stalled.join().unwrap())
    });
    assert_eq!((slow.status(), &slow.body[..]), (200, &b"320000"[..]));
    assert_eq!(stalled.0.status(), 408);
    assert!(stalled.1 < Duration::from_secs(6), "{:?}", stalled.1);
}

#[test]
fn a_head_may_take_two_seconds_however_long_its_connection_rested() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    assert_eq!(client.ask(&view()).status(), 200);
    thread::sleep(Duration::from_millis(1200));
    let text = view();
    for piece in text.chunks(text.len() / 8) {
        client.send(piece);
        thread::sleep(Duration::from_millis(220));
    }
    assert_eq!(client.answer().body, b"slip");
}

#[test]
fn an_answer_goes_on_as_it_comes_and_is_not_cut_off() {
    let body = varied(300_000);
    let mut pieces = vec![sized("", &body)];
    let rest = pieces[0].split_off(1000);
    pieces.extend(rest.chunks(100_000).map(<[u8]>::to_vec));
    // Each pause is far longer than any in a small answer may be.
    let server = Server::new(move |_, _| Act::SayInPieces(pieces.clone(), Duration::from_millis(1500)));
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    let began = Instant::now();
    client.send(&request("GET", "/view/1", "3", "", ""));
    client.stream.read_exact(&mut [0; 15]).unwrap();
    assert!(began.elapsed() < Duration::from_millis(1400), "its first bytes do not wait for the others");
    let mut rest = Vec::new();
    while rest.len() < body.len() || !rest.ends_with(&body[body.len() - 100..]) {
        let mut some = [0; 65536];
        let length = client.stream.read(&mut some).unwrap();
        assert!(length > 0, "cut off after {}", rest.len());
        rest.extend_from_slice(&some[..length]);
    }
    assert!(rest.ends_with(&body));
    assert!(began.elapsed() > Duration::from_secs(4), "long past its deadline");
}

#[test]
fn a_small_answer_may_come_in_pieces_for_longer_than_any_pause() {
    let pieces: Vec<Vec<u8>> = answer(200, "", "slip").chunks(4).map(<[u8]>::to_vec).collect();
    assert!(pieces.len() > 8);
    let server = Server::new(move |_, _| Act::SayInPieces(pieces.clone(), Duration::from_millis(100)));
    let node = Node::new(&[ready("a", &server)]);
    assert_eq!(node.client().ask(&order()).body, b"slip");
}

#[test]
fn a_slow_transfer_is_no_load() {
    // Twelve answers wait for their readers, at one server: it has no work left with them.
    let body = varied(6_000_000);
    let server = Server::new(move |_, request| match request.first.contains("large") {
        true => Act::Say(sized("", &body)),
        false => ok("slip"),
    });
    let node = Node::new(&[ready("a", &server)]);
    let mut readers: Vec<Client> = (0..12).map(|_| node.client()).collect();
    for reader in &mut readers {
        reader.send(&request("GET", "/view/large", "14", "", ""));
        let mut first = [0; 15];
        reader.stream.read_exact(&mut first).unwrap();
        assert_eq!(&first, b"HTTP/1.1 200 OK");
    }
    for _ in 0..20 {
        assert_eq!(node.client().ask(&view()).status(), 200);
    }
    drop(readers);
}
