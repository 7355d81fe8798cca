//! The program under test, its configuration file and its state directory.

use std::io::Read;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::{Value, json};

/// Starts the program with this configuration.
pub fn spawn_with_config(config: &str) -> Child {
    node_command().env("GW_CONFIG", write_config(config)).spawn().unwrap()
}

/// Writes a configuration to a new file and returns its path.
pub fn write_config(config: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/config-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).unwrap();
    path
}

/// Returns a command for the program under test, with standard error on a pipe.
pub fn node_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mothspool"));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Returns a command for the program under test that inherits `socket` as descriptor 5.
pub fn command_with_inherited_socket(socket: &impl AsFd) -> Command {
    program_with_inherited_socket(env!("CARGO_BIN_EXE_mothspool").as_ref(), socket)
}

/// Returns a command for `program`, which may be another version of the node, that inherits `socket` as
/// descriptor 5.
pub fn program_with_inherited_socket(program: &Path, socket: &impl AsFd) -> Command {
    let mut shell = Command::new("sh");
    shell.args(["-c", "exec \"$0\" 5<&0 0</dev/null"]).arg(program);
    shell.stdin(socket.as_fd().try_clone_to_owned().unwrap());
    shell.stdout(Stdio::null()).stderr(Stdio::piped()).env("GW_PASSED_SOCKET", "5");
    shell
}

/// Checks that the process exits with status 1 after logging one line, and returns this line without the
/// program's name.
pub fn expect_startup_error(mut child: Child) -> String {
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1), "{log}");
    let line = log.strip_prefix("mothspool: ").and_then(|line| line.strip_suffix('\n')).expect(&log);
    assert_eq!(line.lines().count(), 1, "{log}");
    line.to_string()
}

/// Returns a command for the program under test that loads the fault injection library, with these variables
/// for it.
pub fn command_with_faults(faults: &[(&str, &str)]) -> Command {
    let mut command = node_command();
    command.env("LD_PRELOAD", fault_injection_library()).envs(faults.iter().copied());
    command
}

/// Returns the path of the library that injects faults, which `cargo test` builds as an example.
pub fn fault_injection_library() -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_mothspool")).parent().unwrap();
    let path = folder.join("examples/libfault_injection.so");
    assert!(path.exists(), "build it with `cargo build --examples`");
    path
}

/// Creates an empty directory for the state file of one test.
pub fn state_dir() -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/state-{}-{number}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path.into()
}

/// Returns settings with one class for each kind of idempotency.
pub fn settings() -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "dedup_scope": "cell", "window_us": 10_000_000,
            "goal_time_us": 4_000_000, "deadline_us": 15_000_000, "points": 1.0, "late_value": 0.2})
    };
    json!({"balancers": 1, "rank": 0, "zone": 0, "zones": ["sapporo-a", "sapporo-b"], "skus": ["std-1c"],
        "discovery": "automatic", "step_us": 5000, "over_share_worth": 0.05,
        "allowed": {"max_attempts": 3, "cancelling": true, "second_copies": true, "retry_after": true,
            "max_retry_after_us": 2_000_000, "connect_timeout_us": 2_000_000, "keepalive_us": 60_000_000},
        "obligations": {"cold_from": 0.12, "warm_up_us": 21_000_000, "fall_multiple": 3.0},
        "parties": [{"name": "acme", "quota_rps": 100.0, "share": 1.0}],
        "services": [class("view", "pure"), class("submit", "token"), class("order", "side_effect")]})
}
