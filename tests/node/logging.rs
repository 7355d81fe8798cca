//! The log on standard error.

use std::io::BufRead;

use crate::support::*;

/// Bytes that a pipe holds by default on Linux.
const PIPE_BYTES: usize = 64 << 10;
/// Least bytes that the log has for one request at the level `debug`.
const MIN_LOG_BYTES_PER_REQUEST: usize = 128;

/// Guards against a node that waits for the reader of its log.
#[test]
fn a_log_that_nobody_reads_does_not_stop_the_node() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let (node, _log) = Node::with_debug_log(&[ready_endpoint("a", &upstream)]);
    let mut client = node.client();
    for _ in 0..2 * PIPE_BYTES / MIN_LOG_BYTES_PER_REQUEST {
        assert_eq!(client.exchange(&view_request()).body, b"done");
    }
}

#[test]
fn the_log_follows_a_request_to_its_end() {
    let upstream = ScriptedEndpoint::new(|_, _| Reply::Never);
    let (node, log) = Node::with_debug_log(&[ready_endpoint("a", &upstream)]);
    let order = request_with_id("3d28b76dba0d0e06", "POST", "/order/1", "0.2", "", "xyz");
    assert_eq!(node.client().exchange(&order).status(), 504);
    let lines: Vec<String> = log
        .lines()
        .map_while(Result::ok)
        .filter(|line| line.contains("request=3d28b76dba0d0e06"))
        .take_while(|line| !line.contains("attempt ended"))
        .collect();
    for event in ["attempt started", "request being written", "request failed"] {
        assert!(lines.iter().any(|line| line.contains(event)), "no {event:?} in {lines:#?}");
    }
}
