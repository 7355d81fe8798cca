//! Configuration files.

use std::io::Read;

use serde_json::json;

use crate::support::*;

#[test]
fn a_configuration_without_tenants_zones_or_limits_is_followed() {
    let server = Server::new(|_, _| ok("slip"));
    let node = Node::configured(&[ready("a", &server)], |config| {
        for list in ["parties", "zones", "skus", "zone"] {
            config["settings"].as_object_mut().unwrap().remove(list);
        }
        config.as_object_mut().unwrap().remove("seed");
        config["limits"] = json!({"memory_mb": 1, "sockets": 30});
        config["settings"]["services"].as_array_mut().unwrap().truncate(2);
        config["settings"]["services"][0]["name"] = "chart".into();
    });
    let chart = request("GET", "/chart/1", "14.0", "", "");
    assert_eq!(node.client().ask(&chart).body, b"slip");
    assert_eq!(node.client().ask(&submit()).body, b"slip");
    for unknown in [view(), order()] {
        assert_eq!(node.client().ask(&unknown).status(), 404);
    }
    // More clients than there are connections for come one after the other.
    for _ in 0..20 {
        assert_eq!(node.client().ask(&chart).status(), 200);
    }
}

#[test]
fn a_bad_configuration_is_one_line_and_an_exit() {
    let nothing = || program().env_remove("GW_CONFIG").spawn().unwrap();
    let absent = || program().env("GW_CONFIG", "/nowhere/config.json").spawn().unwrap();
    for mut child in [nothing(), absent(), start(""), start("{}"), start("{\"name\": 3}")] {
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(!child.wait().unwrap().success());
    }
}
