//! Error messages of a node that fails to start.

use std::net::TcpListener;

use serde_json::{Value, json};

use crate::support::*;

#[test]
fn a_failed_start_reports_the_field_and_its_value() {
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
        let line = expect_startup_error(spawn_with_config(&config(field, address.clone().into())));
        assert_eq!(
            line,
            format!(
                "cannot listen on {address} (configuration field {field}): \
                 Address already in use (os error 98)"
            )
        );
    }
    let path = write_config(&config("seed", 3.into()));
    let line = expect_startup_error(node_command().env("GW_CONFIG", &path).spawn().unwrap());
    assert!(line.starts_with(&format!("{path}: ")), "{line}");
    let line = expect_startup_error(node_command().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap());
    let cause = "No such file or directory (os error 2)";
    assert!(line.starts_with("/nowhere/config.json: ") && line.ends_with(cause), "{line}");
    let line = expect_startup_error(node_command().env_remove("GW_CONFIG").spawn().unwrap());
    assert_eq!(line, "GW_CONFIG is not set or is not UTF-8; it has to be the path of the configuration file");
}
