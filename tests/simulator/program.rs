//! Tests of the program `mothspool-simulator` through its standard streams.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use crate::hex;

/// Runs the program with this input until it exits.
fn run_simulator(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mothspool-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program may exit before it has read all of a malformed input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn replies_to_each_batch_and_exits_at_the_end_of_input() {
    let out = run_simulator(&hex("0c000000 5a5c800000000000 01000000"));
    assert!(out.status.success());
    assert_eq!(out.stdout, hex("00000000 04000000 01000000"));
}

/// Each node gets a list of all endpoints, and the last node sends a request to one of them.
#[test]
fn hosts_1024_nodes_with_1024_endpoints() {
    /// Number of nodes, and of endpoints.
    const COUNT: u32 = 1024;
    let settings = format!(
        "balancers={COUNT}\nrank=1023\nservices.count=1\nservices.0.idempotency=pure\n\
         services.0.goal_time_us=300000\nservices.0.deadline_us=600000\nservices.0.points=1.0\n"
    );
    let mut frame = hex("5a5c800000000000 01000000");
    frame.extend(hex("0b00 00"));
    frame.extend(COUNT.to_le_bytes());
    for n in 0..COUNT {
        frame.extend(hex("02 0000000000000000 00 0a12"));
        frame.extend((n as u16).to_be_bytes());
        frame.extend(hex("8b13 0000 0000803f 00"));
    }
    for n in 0..COUNT as u16 {
        frame.extend(hex("0c00"));
        frame.extend(n.to_le_bytes());
        frame.extend(hex("0100 0700000000000000"));
        frame.extend((settings.len() as u32).to_le_bytes());
        frame.extend(settings.bytes());
        frame.extend(hex("0200 02 2900000000000000 00"));
    }
    frame.extend(hex("0300 c4913a5de1dd0700 00 80a90300 e02e0000 640ad2557c3bf091 01 02000000"));
    let input = [&(frame.len() as u32).to_le_bytes()[..], &frame].concat();
    let out = run_simulator(&input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let sent = hex("0100 c4913a5de1dd0700 0a12");
    assert!(out.stdout.windows(sent.len()).any(|part| part == sent));
}

#[test]
fn reports_malformed_input_in_one_line() {
    let header = "5a5c800000000000 01000000";
    let cases = [
        ("0c0000", "within a frame's length"),
        ("ffffffff 5a5c", "within a frame"),
        ("04000000 00000000", "left in the frame"),
        (&format!("0e000000 {header} 6300"), "unknown record code 99"),
        (&format!("13000000 {header} 0b00 00 ffffffff"), "left in the frame"),
        (&format!("1a000000 {header} 0100 0000000000000000 ffffffff"), "left in the frame"),
        (&format!("1a000000 {header} 0100 0000000000000000 00000000"), "no request classes"),
    ];
    for (input, message) in cases {
        let out = run_simulator(&hex(input));
        let log = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && log.contains(message), "{input}: {log}");
        assert!(log.lines().count() == 1 && !log.contains("panicked"), "{log}");
    }
}
