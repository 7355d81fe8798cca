//! What a node that cannot start says.

use std::io::Read;
use std::net::TcpListener;
use std::process::Child;

use serde_json::{Value, json};

use crate::support::*;

/// The one line in the log of a process that has not started.
fn why(mut child: Child) -> String {
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1), "{log}");
    let line = log.strip_prefix("mothspool: ").and_then(|line| line.strip_suffix('\n')).expect(&log);
    assert_eq!(line.lines().count(), 1, "{log}");
    line.to_string()
}

#[test]
fn a_failed_start_names_the_field_and_its_value() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let config = |field: &str, value: Value| {
        let mut config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "settings": {"services": [{"name": "view", "idempotency": "pure", "goal_time_us": 100_000,
                "deadline_us": 1_000_000}]}});
        config[field] = value;
        config.to_string()
    };
    for field in ["listen", "operator"] {
        let line = why(spawn_with_config(&config(field, address.clone().into())));
        assert_eq!(line, format!("{field} {address}: Address already in use (os error 98)"));
    }
    let path = write_config(&config("seed", 3.into()));
    let line = why(node_command().env("GW_CONFIG", &path).spawn().unwrap());
    assert!(line.starts_with(&format!("{path}: ")), "{line}");
    let line = why(node_command().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap());
    let cause = "No such file or directory (os error 2)";
    assert!(line.starts_with("/nowhere/config.json: ") && line.ends_with(cause), "{line}");
    let line = why(node_command().env_remove("GW_CONFIG").spawn().unwrap());
    assert_eq!(line, "GW_CONFIG does not name a configuration file");
}
