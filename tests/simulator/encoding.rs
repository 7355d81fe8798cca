//! Encoding of replies, whose bytes are written by hand from the tables of the wire's specification.

use std::time::Duration;

use mothspool::simulator::encode::Reply;
use mothspool::*;

use crate::{ENDPOINT, hex};

#[test]
fn encodes_every_action() {
    let mut reply = Reply::default();
    reply.push(3, Action::Send { request: 0x0007_dde1_5d3a_91c4, endpoint: ENDPOINT, begin_by: None });
    reply.push(
        3,
        Action::SetTimer { after: Duration::from_micros(500_000), token: TimerToken::Request(0x4d) },
    );
    reply.push(5, Action::Reject { request: 1, retry_after: Duration::from_micros(9) });
    reply.push(5, Action::Fail(2));
    reply.push(5, Action::Cancel(2, 1));
    reply.push(5, Action::Subscribe);
    let body = hex("0d00 0300  0100 c4913a5de1dd0700 0a124a07 8b13 00000000  0500 20a10700 4d00000000000000
         0d00 0500  0200 0100000000000000 09000000  0300 0200000000000000
         0400 0200000000000000 0100  0b00 01");
    let mut frame = hex("08000000");
    frame.extend((body.len() as u32 + 4).to_le_bytes());
    frame.extend(hex("0c000000"));
    frame.extend(body);
    assert_eq!(reply.to_frame(12), frame);
}
