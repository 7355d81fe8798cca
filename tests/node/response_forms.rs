//! Responses in forms near those that were cut off: rates, sizes of pieces, several pauses, long pauses.

use std::thread;
use std::time::Duration;

use crate::support::*;

/// Length of the bodies, in bytes: more than the node buffers.
const BODY_BYTES: usize = 80_000;
/// Deadline of the requests, as clients state it.
const DEADLINE: &str = "0.6";
/// Longest pause of a client's read.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Checks for each framing and class that a response in parts of this length, with a pause between them, is
/// passed on whole.
fn expect_whole_response(part_bytes: usize, pause: Duration) {
    let body = random_bytes(BODY_BYTES);
    thread::scope(|scope| {
        for framing in FRAMINGS {
            for request in requests_of_each_class(DEADLINE) {
                let parts: Vec<&[u8]> = body.chunks(part_bytes).collect();
                let (body, reply) = (&body, framing.reply(&parts, pause));
                scope.spawn(move || {
                    let upstream = ScriptedEndpoint::new(move |_, _| reply.clone());
                    let node = Node::start(&[ready_endpoint("a", &upstream)]);
                    let mut client = node.client();
                    client.stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
                    client.send(&request);
                    let response = client.try_receive();
                    let is_whole = response
                        .is_some_and(|response| (response.status(), response.body == *body) == (200, true));
                    let class = String::from_utf8_lossy(&request[..12]);
                    assert!(is_whole, "{framing:?}, {class}, {part_bytes} bytes each {pause:?}");
                });
            }
        }
    });
}

/// Guards against answers that are cut off because they come slowly: 8, 24 and 64 kB/s.
#[test]
fn answers_at_a_low_rate_are_passed_on_whole() {
    for (part_bytes, millis) in [(800, 100), (240, 10), (6_400, 100)] {
        expect_whole_response(part_bytes, Duration::from_millis(millis));
    }
}

/// Guards against answers that are cut off in a later pause than the first.
#[test]
fn answers_with_several_pauses_are_passed_on_whole() {
    expect_whole_response(20_000, Duration::from_millis(1500));
}

/// Guards against answers whose first 64 KiB take longer than the node allows for: 4 kB/s.
#[test]
fn answers_at_a_very_low_rate_are_passed_on_whole() {
    expect_whole_response(400, Duration::from_millis(100));
}

/// Guards against answers that are cut off in a pause that is longer than the node allows for.
#[test]
fn answers_with_a_pause_of_eleven_seconds_are_passed_on_whole() {
    expect_whole_response(40_000, Duration::from_secs(11));
}
