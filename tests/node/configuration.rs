//! Starts with a minimal configuration and with an invalid one.

use serde_json::json;

use crate::support::*;

#[test]
fn optional_configuration_may_be_absent() {
    let upstream = ScriptedEndpoint::new(|_, _| ok("done"));
    let node = Node::with_config(&[ready_endpoint("a", &upstream)], |config| {
        for list in ["parties", "zones", "skus", "zone"] {
            config["settings"].as_object_mut().unwrap().remove(list);
        }
        config.as_object_mut().unwrap().remove("seed");
        config["limits"] = json!({"memory_mb": 1, "sockets": 30});
        config["settings"]["services"].as_array_mut().unwrap().truncate(2);
        config["settings"]["services"][0]["name"] = "chart".into();
    });
    let chart = request("GET", "/chart/1", "14.0", "", "");
    assert_eq!(node.client().exchange(&chart).body, b"done");
    assert_eq!(node.client().exchange(&submit_request()).body, b"done");
    for unknown in [view_request(), order_request()] {
        assert_eq!(node.client().exchange(&unknown).status(), 404);
    }
    // More clients connect, one after the other, than the connection limit allows at once.
    for _ in 0..20 {
        assert_eq!(node.client().exchange(&chart).status(), 200);
    }
}

#[test]
fn an_invalid_configuration_logs_one_line_and_exits() {
    let without_path = || node_command().env_remove("GW_CONFIG").spawn().unwrap();
    let missing_file = || node_command().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap();
    for child in [
        without_path(),
        missing_file(),
        spawn_with_config(""),
        spawn_with_config("{}"),
        spawn_with_config("{\"name\": 3}"),
    ] {
        expect_startup_error(child);
    }
}
