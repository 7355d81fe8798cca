//! The configuration of the node: the file at the path in `GW_CONFIG`, with the settings in it.

mod error;
mod file;
mod limits;
mod settings_object;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mothspool::settings_format::parse_settings;
use mothspool::{Idempotency, RequestClass, Settings};

pub use self::error::ConfigError;
use self::error::FileError;
use self::file::{ConfigFile, parse_address};
pub use self::limits::{MAX_ADMIN_CONNECTIONS, ResourceLimits, max_buffered_bytes};
use self::settings_object::SettingsObject;
use crate::protocol::endpoint_list::EndpointList;

/// Maximum deadline of a request. A longer one in the settings is shortened to this; one from a client is
/// invalid.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Timeout for connecting to an endpoint if the settings have no `allowed.connect_timeout_us`.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which endpoints close a connection if the settings have no `allowed.keepalive_us`.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(5);
/// Environment variable with the address of the admin API, read if the file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "GW_OPERATOR";

/// Properties of a request class that the node needs to validate and limit requests.
#[derive(Clone, Copy)]
pub struct ClassRule {
    /// Index of the class in [`Settings::classes`].
    pub index: usize,
    /// Idempotency of its requests, which decides whether they may be retried.
    pub idempotency: Idempotency,
    /// Maximum time that a client waits for a response. It is at most [`MAX_DEADLINE`].
    pub deadline: Duration,
}

impl ClassRule {
    fn new(index: usize, class: &RequestClass) -> ClassRule {
        let deadline = class.deadline.min(MAX_DEADLINE);
        ClassRule { index, idempotency: class.idempotency, deadline }
    }
}

/// The configuration of a node.
pub struct Config {
    /// Name of the node, used in the log and by the state store.
    pub name: String,
    /// Address on which the node accepts connections from clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the admin API, if the node has one.
    pub admin: Option<SocketAddr>,
    /// Seed of random numbers. Each start generates a new one unless the file has one.
    pub seed: u64,
    /// Limits on connections and memory.
    pub limits: ResourceLimits,
    /// Last known endpoint list, which may be out of date.
    pub cached_list: EndpointList,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Request classes by name.
    pub classes: HashMap<String, ClassRule>,
    /// Indices of the tenants in [`Settings::tenants`], by name.
    pub tenants: HashMap<String, u32>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of the machine types, in the order of the settings.
    pub machine_types: Vec<String>,
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// Idle time after which endpoints close a connection.
    pub keepalive: Duration,
}

impl Config {
    /// Reads and checks the configuration file at `path`. If it has no address of the admin API, uses the one
    /// in `GW_OPERATOR`.
    pub fn read(path: &str) -> Result<Config, ConfigError> {
        let in_file = |source| ConfigError::File { path: path.into(), source };
        let mut config = Config::read_file(path).map_err(in_file)?;
        if config.admin.is_none() {
            config.admin = admin_address_from_environment()?;
        }
        Ok(config)
    }

    fn read_file(path: &str) -> Result<Config, FileError> {
        let file = ConfigFile::read(path)?;
        let addresses = file.parse_addresses()?;
        let object = SettingsObject(&file.settings);
        let settings = parse_settings(object.to_lines().as_bytes())?;
        settings.check()?;
        let rules = settings.classes.iter().enumerate().map(|(index, class)| ClassRule::new(index, class));
        let timeout = |key, default| object.allowed_duration(key).unwrap_or(default);
        Ok(Config {
            listen: addresses.listen,
            discovery: addresses.discovery,
            admin: addresses.admin,
            seed: parse_or_generate_seed(&file.seed, &file.name),
            limits: ResourceLimits::new(file.limits.sockets, file.limits.memory_mb),
            classes: object.object_names("services").into_iter().zip(rules).collect(),
            tenants: object.object_names("parties").into_iter().zip(0..).collect(),
            zones: object.strings("zones"),
            machine_types: object.strings("skus"),
            connect_timeout: timeout("connect_timeout_us", DEFAULT_CONNECT_TIMEOUT),
            keepalive: timeout("keepalive_us", DEFAULT_KEEPALIVE),
            name: file.name,
            cached_list: file.known,
            settings,
        })
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.values().map(|class| class.deadline).max().unwrap_or_default()
    }
}

fn admin_address_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(ADMIN_ADDRESS_VARIABLE) else { return Ok(None) };
    let in_environment = |source| ConfigError::Environment { variable: ADMIN_ADDRESS_VARIABLE, source };
    parse_address(&value).map(Some).map_err(in_environment)
}

/// Parses a hexadecimal seed. If that fails, generates one from the node's name and the time, so that it
/// differs between nodes and between starts.
fn parse_or_generate_seed(text: &str, name: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), now.as_micros() as u64)
    })
}
