use super::*;

fn route(method: Method, path: &str) -> Result<Route, CommandError> {
    Route::of(&Request::builder().method(method).uri(path).body(()).unwrap())
}

#[test]
fn maps_each_path_to_its_method_and_command() {
    let uid = || "s-0a1aeea2".to_string();
    let body = br#"{"host":"s-0a1aeea2"}"#;
    let commands = [
        (Method::GET, "/status", Command::Status),
        (Method::POST, "/maintenance/enter", Command::EnterMaintenance { uid: uid() }),
        (Method::POST, "/maintenance/exit", Command::ExitMaintenance { uid: uid() }),
        (Method::POST, "/standby", Command::EnterStandby),
        (Method::POST, "/active", Command::ExitStandby),
    ];
    for (method, path, command) in commands {
        let wrong_method = if method == Method::GET { Method::POST } else { Method::GET };
        let error = route(wrong_method, path).unwrap_err();
        assert!(matches!(&error, CommandError::WrongMethod { allowed } if *allowed == method), "{path}");
        assert_eq!(route(method, path).unwrap().command(body).unwrap(), command);
    }
    assert!(matches!(route(Method::GET, "/status/").unwrap_err(), CommandError::UnknownPath));
}

#[test]
fn only_commands_for_an_endpoint_need_a_body() {
    for route in [Route::Status, Route::EnterStandby, Route::ExitStandby] {
        assert!(route.command(b"not JSON").is_ok(), "{route:?}");
    }
    for route in [Route::EnterMaintenance, Route::ExitMaintenance] {
        let error = route.command(b"not JSON").unwrap_err();
        assert_eq!(error.to_string(), r#"not {"host":"ID"}"#);
    }
}
