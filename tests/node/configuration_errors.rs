//! Error messages of a node that is started with an invalid configuration.

use serde_json::{Value, json};

use crate::support::*;

/// Returns a valid configuration.
fn valid_config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"memory_mb": 32, "sockets": 64},
        "known": {"rev": 41, "all": true,
            "targets": [{"uid": "a", "endpoint": "127.0.0.1:1", "state": "ready"}]},
        "settings": {"services": [{"name": "view", "idempotency": "pure", "deadline_us": 1_000_000}]}})
}

/// Starts a node with this configuration and returns the line that it logs before it exits, without the path
/// of the file. `admin` is the value of `GW_OPERATOR`.
fn startup_error(config: &str, admin: Option<&str>) -> String {
    let path = write_config(config);
    let mut command = node_command();
    command.env("GW_CONFIG", &path);
    if let Some(address) = admin {
        command.env("GW_OPERATOR", address);
    }
    let line = expect_startup_error(command.spawn().unwrap());
    line.strip_prefix(&format!("{path}: ")).unwrap_or(&line).to_string()
}

/// Returns the line that a node logs if the valid configuration is changed to have `value` at a JSON pointer.
fn startup_error_with(pointer: &str, value: Value) -> String {
    let mut config = valid_config();
    *config.pointer_mut(pointer).expect(pointer) = value;
    startup_error(&config.to_string(), None)
}

#[test]
fn an_invalid_address_is_logged_with_its_field_and_value() {
    for field in ["listen", "discovery"] {
        let line = startup_error_with(&format!("/{field}"), json!("127.0.0.1"));
        let expected = format!("{field}: \"127.0.0.1\" is not an IP address with a port: ");
        assert!(line.starts_with(&expected), "{line}");
    }
    let mut config = valid_config();
    config["operator"] = json!("localhost:80");
    let line = startup_error(&config.to_string(), None);
    assert!(line.starts_with("operator: \"localhost:80\" is not an IP address with a port: "), "{line}");
    let line = startup_error(&valid_config().to_string(), Some("nowhere"));
    assert!(line.starts_with("GW_OPERATOR: \"nowhere\" is not an IP address with a port: "), "{line}");
}

#[test]
fn an_invalid_address_in_the_endpoint_list_is_logged_with_its_field_value_and_position() {
    let line = startup_error_with("/known/targets/0/endpoint", json!("10.1.0.18"));
    assert!(line.starts_with("known: targets: endpoint: \"10.1.0.18\": "), "{line}");
    assert!(line.contains(" at line 1 column "), "{line}");
}

#[test]
fn a_value_of_the_wrong_type_is_logged_with_its_field_and_position() {
    let wrong = [
        ("/name", json!(3), "name: invalid type: integer `3`, expected a string"),
        ("/seed", json!(7), "seed: invalid type: integer `7`, expected a string"),
        ("/limits/sockets", json!("many"), "limits: sockets: invalid type: string \"many\", expected usize"),
        ("/limits/memory_mb", json!(-1), "limits: memory_mb: invalid value: integer `-1`, expected usize"),
        ("/limits", json!(4), "limits: invalid type: integer `4`, expected limits"),
        ("/known", json!(4), "known: invalid type: integer `4`, expected an endpoint list"),
        ("/known/rev", json!("x"), "known: rev: invalid type: string \"x\", expected u64"),
        ("/known/targets/0/state", json!("asleep"), "known: targets: state: unknown variant `asleep`"),
    ];
    for (pointer, value, expected) in wrong {
        let line = startup_error_with(pointer, value);
        assert!(line.starts_with(expected), "{pointer}: {line}");
        assert!(line.contains(" at line 1 column "), "{pointer}: {line}");
    }
}

#[test]
fn a_missing_field_is_logged_by_its_name() {
    for field in ["name", "listen", "discovery", "settings"] {
        let mut config = valid_config();
        config.as_object_mut().unwrap().remove(field);
        let line = startup_error(&config.to_string(), None);
        assert!(line.starts_with(&format!("missing field `{field}` at line 1 column ")), "{line}");
    }
}

#[test]
fn an_invalid_setting_is_logged_with_its_path_and_value() {
    let line = startup_error_with("/settings/services/0/idempotency", json!("perhaps"));
    assert!(line.contains("services.0.idempotency") && line.contains("perhaps"), "{line}");
    let line = startup_error_with("/settings/services/0/deadline_us", json!("soon"));
    assert!(line.contains("services.0.deadline_us") && line.contains("soon"), "{line}");
}

#[test]
fn settings_that_are_out_of_range_or_inconsistent_are_logged_with_their_path_and_value() {
    let mut config = valid_config();
    config["settings"]["balancers"] = json!(3);
    config["settings"]["rank"] = json!(3);
    let line = startup_error(&config.to_string(), None);
    assert_eq!(line, "settings: rank is 3, but must be below balancers, which is 3");
    // `goal_time_us` is not set, so it defaults to `deadline_us`, and it is checked first.
    let line = startup_error_with("/settings/services/0/deadline_us", json!(0));
    assert!(line.starts_with("settings: services.0.goal_time_us is 0ns"), "{line}");
}
