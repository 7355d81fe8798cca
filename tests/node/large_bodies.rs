//! Large bodies and answers, slow peers, and all the forms that HTTP/1.1 has for them.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::*;

/// As chunks of many sizes, with extensions and a trailer.
fn chunked(body: &[u8]) -> Vec<u8> {
    let (mut coded, mut at, mut size) = (Vec::new(), 0, 1);
    while at < body.len() {
        let piece = &body[at..body.len().min(at + size)];
        coded.extend_from_slice(format!("{:X};ext=\"a;b\";more\r\n", piece.len()).as_bytes());
        coded.extend_from_slice(piece);
        coded.extend_from_slice(b"\r\n");
        at += piece.len();
        size = (size * 3) % 70_001;
    }
    coded.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    coded
}

#[test]
fn large_bodies_pass_through_unchanged_in_every_form() {
    let body = varied(5_000_000);
    let echo = |coded: fn(&[u8]) -> Act| Server::new(move |_, request| coded(&request.body));
    let servers = [
        echo(|body| Act::Say(sized("", body))),
        echo(|body| {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Act::Say([&head[..], &chunked(body)].concat())
        }),
        echo(|body| Act::SayAndClose([b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body].concat())),
    ];
    for server in &servers {
        let node = Node::new(&[ready("a", server)]);
        let mut client = node.client();
        let length = format!("Content-Length: {}\r\n", body.len());
        let answer = client.ask(&[head("POST", "/order/1", &length), body.clone()].concat());
        assert_eq!((answer.status(), answer.body == body), (200, true));
        // The connection goes on, also to the server where it can.
        assert_eq!(client.ask(&order()).body, b"yen");
        let coded = [head("POST", "/order/1", "Transfer-Encoding: chunked\r\n"), chunked(&body)].concat();
        let answer = client.ask(&coded);
        assert_eq!((answer.status(), answer.body == body), (200, true));
        assert_eq!(server.count(), 3);
    }
}

/// How much a client can send before it has to wait.
fn sent_until_blocked(client: &mut Client, most: usize) -> usize {
    client.stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut sent = 0;
    while sent < most {
        match client.stream.write(&[b'x'; 65536]) {
            Ok(some) => sent += some,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
            Err(error) => panic!("{error} after {sent}"),
        }
    }
    sent
}

#[test]
fn who_sends_waits_for_who_reads() {
    const MOST: usize = 32 << 20;
    // A server that takes a connection and then reads nothing.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::new(&[target("a", listener.local_addr().unwrap(), 1, "ready")]);
    let mut client = node.client();
    client.send(&head("POST", "/order/1", &format!("Content-Length: {MOST}\r\n")));
    let stream = accepted(&listener);
    let sent = sent_until_blocked(&mut client, MOST);
    assert!(sent < MOST / 2, "{sent} bytes were taken for a server that reads none");
    drop(stream);
    // A client that reads nothing of its answer.
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::new(&[target("a", server.local_addr().unwrap(), 1, "ready")]);
    let mut client = node.client();
    client.send(&order());
    let mut stream = Client::on(accepted(&server));
    stream.stream.read_exact(&mut [0; 100]).unwrap();
    stream.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {MOST}\r\n\r\n").as_bytes());
    let sent = sent_until_blocked(&mut stream, MOST);
    assert!(sent < MOST / 2, "{sent} bytes were taken for a client that reads none");
}

#[test]
fn a_body_that_has_begun_to_go_is_not_sent_again() {
    let large = varied(300_000);
    for (body, served) in [(&large[..1000], 200), (&large[..], 502)] {
        let turns = AtomicUsize::new(0);
        let server = Server::new(move |_, _| match turns.fetch_add(1, Ordering::SeqCst) {
            0 => Act::SayAndClose(Vec::new()),
            _ => ok("noted"),
        });
        let node = Node::new(&[ready("a", &server)]);
        let more = format!("Idempotency-Key: 1\r\nContent-Length: {}\r\n", body.len());
        let answer = node.client().ask(&[head("POST", "/submit/1", &more), body.to_vec()].concat());
        assert_eq!(answer.status(), served);
        assert_eq!(server.count(), if served == 200 { 2 } else { 1 });
    }
}

/// Where attempts may not be cancelled their end tells of the server, and this one's is its client's doing.
#[test]
fn an_upload_that_its_client_breaks_off_is_not_its_servers_failure() {
    let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let targets = [0, 1].map(|n| target(&n.to_string(), listeners[n].local_addr().unwrap(), 1, "ready"));
    let node = Node::configured(&targets, |config| {
        config["settings"]["allowed"]["cancelling"] = false.into();
    });
    listeners.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
    let body = varied(300_000);
    let (mut met, mut broken) = (0, None);
    // Both answer alike, but for one that can't: the server that is met then has what it takes to be met again.
    for n in 0..200 {
        let mut client = node.client();
        client.send(&head("POST", "/order/1", "Content-Length: 300000\r\n"));
        client.send(&body[..100_000]);
        let began = Instant::now();
        let (at, stream) = loop {
            let came = |n: usize| Some((n, listeners[n].accept().ok()?.0));
            if let Some(found) = came(0).or_else(|| came(1)) {
                break found;
            }
            assert!(began.elapsed() < WITHIN, "nobody connects");
        };
        stream.set_nonblocking(false).unwrap();
        let mut line = Client::on(stream);
        met += usize::from(broken == Some(at));
        if n > 40 && broken.is_none() {
            line.stream.peek(&mut [0]).unwrap();
            drop(client);
            assert!(line.reader_ends());
            broken = Some(at);
        } else {
            client.send(&body[100_000..]);
            assert_eq!(line.answer().body.len(), body.len());
            line.send(&answer(200, "Connection: close\r\n", "paid"));
            assert_eq!(client.answer().body, b"paid");
        }
    }
    assert!(met >= 30, "{met} of 158 uploads came to the server whose client had left");
}

#[test]
fn a_large_body_that_never_began_to_go_is_sent_elsewhere() {
    let server = Server::new(|_, _| ok("noted"));
    let node = Node::new(&[target("a", nobody(), 1, "ready"), ready("b", &server)]);
    let body = varied(300_000);
    for _ in 0..10 {
        let length = format!("Content-Length: {}\r\n", body.len());
        let answer = node.client().ask(&[head("POST", "/order/1", &length), body.clone()].concat());
        assert_eq!(answer.status(), 200);
        assert_eq!(server.request().1.body, body);
    }
}

#[test]
fn a_client_can_tell_that_an_answer_broke_off() {
    let body = varied(400_000);
    let sized = [b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n", &body[..]].concat();
    let coded = [&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nF4240\r\n"[..], &body].concat();
    for bytes in [sized, coded] {
        let server = Server::new(move |_, _| Act::SayAndClose(bytes.clone()));
        let node = Node::new(&[ready("a", &server)]);
        let mut client = node.client();
        client.send(&view());
        assert!(client.whole_answer().is_none(), "it looks whole");
        assert_eq!(server.count(), 1, "what has begun is not begun again");
    }
}
