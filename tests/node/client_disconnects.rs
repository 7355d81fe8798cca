//! Clients that leave while their requests wait: nothing of those is written to a server any more.

use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use socket2::SockRef;

use crate::support::*;

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Going {
    Closing,
    Resetting,
}

const GOINGS: [Going; 2] = [Going::Closing, Going::Resetting];

fn leave(client: Client, going: Going) {
    if matches!(going, Going::Resetting) {
        SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(client);
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// What clients send behind a request before they leave.
fn further() -> [(&'static str, Vec<u8>); 4] {
    [
        ("nothing", Vec::new()),
        ("a byte", b"G".to_vec()),
        ("a request", view()),
        ("much", vec![b'x'; 48 << 10]),
    ]
}

/// A request of whose body, too large to be held, only some has come: until a server takes it, it is not read.
fn begun_upload(id: &str) -> Vec<u8> {
    let head = format!(
        "POST /submit/7f3a HTTP/1.1\r\nHost: n\r\nReq-Id: {id}\r\nReq-Deadline: 14.0\r\n\
         Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4000000\r\n\r\n"
    );
    [head.into_bytes(), vec![b'u'; 120 << 10]].concat()
}

#[test]
fn what_waits_for_a_slot_is_not_sent_on_once_its_client_has_left() {
    let a = listener();
    let node = Node::new(&[entry("a", &a, "ready")]);
    Watch::accept(&node.discovery).goes_on();
    // As many as a server takes at first: what comes behind them is held.
    let mut busy: Vec<(Client, Client, Message)> = Vec::new();
    for _ in 0..2 {
        let mut client = node.client();
        client.send(&order());
        let (line, request) = taken(&a);
        busy.push((client, line, request));
    }
    let before = node.descriptors();
    for going in GOINGS {
        for (what, bytes) in further() {
            let mut client = node.client();
            client.send(&view());
            client.send(&bytes);
            came(&node, before + 1);
            leave(client, going);
            let_go_of(&node, before, &format!("{what}, {going:?}"));
        }
        let mut client = node.client();
        client.send(&begun_upload("9b1f03bb00000001"));
        came(&node, before + 1);
        leave(client, going);
        let_go_of(&node, before, &format!("half a body, {going:?}"));
    }
    // With the slots free again, the next to come is what is sent next, and on these connections or none.
    for (client, line, _) in &mut busy {
        line.send(&answer(200, "", "slip"));
        assert_eq!(client.answer().body, b"slip");
    }
    rested();
    let mut last = node.client();
    last.send(&identified("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
    let (_, line, _) = &mut busy[1];
    let request = line.answer();
    assert_eq!(request.header("req-id"), Some("9b1f03bb000000ff"));
    line.send(&answer(200, "", "last"));
    assert_eq!(last.answer().body, b"last");
    a.set_nonblocking(true).unwrap();
    assert!(a.accept().is_err(), "no other connection was opened for what nobody waits for");
}

/// The end of a client is behind what it has sent, and of a body too large to be held that stays with the client's
/// kernel until a server takes it.
#[test]
fn a_body_whose_client_left_behind_it_does_not_come_whole_to_a_server() {
    for coded in [false, true] {
        let a = listener();
        let node = Node::new(&[entry("a", &a, "ready")]);
        Watch::accept(&node.discovery).goes_on();
        let mut busy: Vec<(Client, Client, Message)> = Vec::new();
        for _ in 0..2 {
            let mut client = node.client();
            client.send(&order());
            let (line, request) = taken(&a);
            busy.push((client, line, request));
        }
        let before = node.descriptors();
        let mut client = node.client();
        let body = "u".repeat(300_000);
        let (length, body) = match coded {
            false => (format!("Content-Length: {}\r\n", body.len()), body),
            true => {
                ("Transfer-Encoding: chunked\r\n".into(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()))
            }
        };
        let head = format!(
            "POST /order/7f3a HTTP/1.1\r\nHost: n\r\nReq-Id: 9b1f03bb0000000{}\r\nReq-Owner: acme\r\n\
             Req-Deadline: 14.0\r\n{length}\r\n",
            u8::from(coded)
        );
        client.send(&[head, body].concat().into_bytes());
        came(&node, before + 1);
        leave(client, Going::Closing);
        rested();
        let mut last = node.client();
        let id = format!("9b1f03bb000000f{}", u8::from(coded));
        // Of its class, so that it goes behind the other.
        last.send(&identified(&id, "POST", "/order/1", "14.0", "", "yen"));
        for (client, line, _) in &mut busy {
            line.send(&answer(200, "Connection: close\r\n", "slip"));
            assert_eq!(client.answer().body, b"slip");
        }
        // What is broken off is no request.
        let (mut line, request) = loop {
            let mut line = Client::on(accepted(&a));
            if let Some(request) = line.whole_answer() {
                break (line, request);
            }
        };
        assert_eq!(request.header("req-id"), Some(&id[..]));
        line.send(&answer(200, "Connection: close\r\n", "last"));
        assert_eq!(last.answer().body, b"last");
        drop((busy, last));
        let_go_of(&node, before - 4, "the body's client");
    }
}

/// What has not come whole to its server was not sent: also where attempts may not be cancelled, it ends with its
/// client. A body in chunks has no length to fall short of; only its last chunk may look like its end.
#[test]
fn an_attempt_whose_body_is_half_sent_ends_with_its_client() {
    for cancelling in [true, false] {
        let a = listener();
        let node = Node::configured(&[entry("a", &a, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
        });
        Watch::accept(&node.discovery).goes_on();
        let before = node.descriptors();
        let mut client = node.client();
        let head = String::from_utf8(request("POST", "/order/1", "14.0", "", "")).unwrap();
        client.send(head.replace("Content-Length: 0", "Transfer-Encoding: chunked").as_bytes());
        // The server reads nothing yet, and so the node takes no more of the body than buffers hold.
        let chunk = [&b"10000\r\n"[..], &[b'u'; 0x10000], b"\r\n"].concat();
        client.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        while client.stream.write_all(&chunk).is_ok() {}
        let mut line = Client::on(accepted(&a));
        leave(client, Going::Resetting);
        let_go_of(&node, before, "the client that broke off");
        assert!(line.whole_answer().is_none(), "cancelling {cancelling}: it came whole");
    }
}

#[test]
fn what_waits_for_a_connection_is_not_sent_on_once_its_client_has_left() {
    // Also where attempts may not be cancelled: what was never written is none.
    for cancelling in [true, false] {
        let (a, queued) = full_listener();
        let node = Node::configured(&[entry("a", &a, "ready")], |config| {
            config["settings"]["allowed"]["cancelling"] = cancelling.into();
            config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
        });
        Watch::accept(&node.discovery).goes_on();
        let before = node.descriptors();
        for going in GOINGS {
            for (what, bytes) in further() {
                let mut client = node.client();
                client.send(&order());
                client.send(&bytes);
                // The client's connection and the one that does not come up.
                came(&node, before + 2);
                leave(client, going);
                let_go_of(&node, before, &format!("{what}, {going:?}, cancelling {cancelling}"));
            }
        }
        for _ in &queued {
            drop(accepted(&a));
        }
        let mut last = node.client();
        last.send(&identified("9b1f03bb000000ff", "GET", "/view/1", "14.0", "", ""));
        let (mut line, request) = taken(&a);
        assert_eq!(request.header("req-id"), Some("9b1f03bb000000ff"));
        line.send(&answer(200, "", "last"));
        assert_eq!(last.answer().body, b"last");
        a.set_nonblocking(true).unwrap();
        assert!(a.accept().is_err(), "another connection was opened for what nobody waits for");
    }
}

#[test]
fn what_waits_for_a_descriptor_is_not_sent_on_once_its_client_has_left() {
    let listeners: Vec<TcpListener> = (0..4).map(|_| listener()).collect();
    let targets: Vec<_> = (0..).zip(&listeners).map(|(n, l)| entry(&format!("s{n}"), l, "ready")).collect();
    // Of 36 descriptors two are for connections to servers; or the machine has no more.
    for (sockets, starved) in [(36, false), (1024, true)] {
        for going in GOINGS {
            for (what, bytes) in further() {
                let node = Node::configured(&targets, |config| {
                    config["limits"]["sockets"] = sockets.into();
                    config["settings"]["allowed"]["cancelling"] = false.into();
                    config["settings"]["allowed"]["connect_timeout_us"] = 10_000_000.into();
                });
                Watch::accept(&node.discovery).goes_on();
                let mut busy: Vec<(Client, Client)> = Vec::new();
                for _ in 0..2 {
                    let mut client = node.client();
                    client.send(&order());
                    busy.push((client, next(&listeners).0));
                }
                let before = node.descriptors();
                let mut client = node.client();
                if starved {
                    assert_eq!(client.ask(HEALTH).status(), 200);
                    node.starve();
                }
                client.send(&order());
                client.send(&bytes);
                came(&node, before + 1);
                // It is read by now, and waits.
                rested();
                leave(client, going);
                let_go_of(&node, before, &format!("{what}, {going:?}, starved {starved}"));
                let (mut client, mut line) = busy.remove(0);
                line.send(&answer(200, "Connection: close\r\n", "slip"));
                assert_eq!(client.answer().body, b"slip");
                drop((client, line));
                let mut last = node.client();
                last.send(&identified("9b1f03bb000000ff", "POST", "/order/1", "14.0", "", "yen"));
                assert_eq!(next(&listeners).1.header("req-id"), Some("9b1f03bb000000ff"));
            }
        }
    }
}

#[test]
fn what_waits_for_a_retry_is_not_sent_on_once_its_client_has_left() {
    for going in GOINGS {
        for (what, bytes) in further() {
            let (a, b) = (listener(), listener());
            let node = Node::new(&[entry("a", &a, "ready"), entry("b", &b, "ready")]);
            let mut watch = Watch::accept(&node.discovery);
            // Two at each server fill both.
            let mut clients: Vec<(String, Client)> = (0..4)
                .map(|n| {
                    let id = format!("9b1f03cc{n:08x}");
                    let mut client = node.client();
                    client.send(&identified(&id, "POST", "/order/1", "14.0", "", "yen"));
                    (id, client)
                })
                .collect();
            let ((mut at_a, declined), (_kept, _)) = (taken(&a), taken(&a));
            let (mut at_b, answered) = taken(&b);
            let (_other, _) = taken(&b);
            let before = node.descriptors();
            // The server drains and declines what it has: that waits for the other one.
            watch.changes(42, &[entry("a", &a, "draining")]);
            watch.goes_on();
            at_a.send(&answer(503, "Srv-Declined: 1\r\nConnection: close\r\n", ""));
            assert!(at_a.reader_ends());
            drop(at_a);
            let_go_of(&node, before - 1, "a connection that was closed");
            let at = clients.iter().position(|(id, _)| declined.header("req-id") == Some(id)).unwrap();
            let (_, mut client) = clients.remove(at);
            client.send(&bytes);
            leave(client, going);
            let_go_of(&node, before - 2, &format!("{what}, {going:?}"));
            at_b.send(&answer(200, "", "slip"));
            let at = clients.iter().position(|(id, _)| answered.header("req-id") == Some(id)).unwrap();
            assert_eq!(clients[at].1.answer().body, b"slip");
            rested();
            let mut last = node.client();
            last.send(&identified("9b1f03cc000000ff", "GET", "/view/1", "14.0", "", ""));
            assert_eq!(at_b.answer().header("req-id"), Some("9b1f03cc000000ff"));
        }
    }
}

#[test]
fn an_attempt_ends_with_its_client_whatever_that_sent_before() {
    let a = listener();
    let node = Node::new(&[entry("a", &a, "ready")]);
    for going in GOINGS {
        for (_, bytes) in further() {
            let mut client = node.client();
            client.send(&order());
            let (mut line, _) = taken(&a);
            client.send(&bytes);
            leave(client, going);
            assert!(line.reader_ends());
        }
    }
}

/// No descriptor is left, and all that hold one wait for a server that says nothing.
#[test]
fn descriptors_come_back_from_clients_that_leave_where_none_was_left() {
    let a = listener();
    let node = Node::starved(&[entry("a", &a, "ready")], 48);
    for going in GOINGS {
        let mut crowd: Vec<Client> = (0..100).map(|_| node.client()).collect();
        crowd.iter_mut().for_each(|client| client.send(&view()));
        came(&node, 47);
        crowd.into_iter().for_each(|client| leave(client, going));
        let_go_of(&node, 24, &format!("{going:?}"));
        assert_eq!(node.health(), 200);
    }
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let server = Server::new(|_, _| Act::Wait);
    let node = Node::new(&[ready("a", &server)]);
    let mut client = node.client();
    client.send(&view());
    let (connection, _) = server.request();
    drop(client);
    assert_eq!(server.ended(), connection);
}
