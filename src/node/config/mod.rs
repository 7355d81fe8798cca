//! The configuration: the file that `GW_CONFIG` names, and the settings in it.

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

/// No deadline of a request is longer, whatever the settings or a client say.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// How long a connection to an endpoint may take to come up, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// After what idle time endpoints close a connection, where the settings do not say.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(5);
/// The variable with the address of the admin API, where the file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "GW_OPERATOR";

/// A class of requests, as its requests are recognised and limited.
#[derive(Clone, Copy)]
pub struct ClassRule {
    /// Its index in [`Settings::classes`].
    pub index: usize,
    /// Whether its requests may be retried.
    pub idempotency: Idempotency,
    /// The longest that a client waits for a response; at most [`MAX_DEADLINE`].
    pub deadline: Duration,
}

impl ClassRule {
    fn new(index: usize, class: &RequestClass) -> ClassRule {
        let deadline = class.deadline.min(MAX_DEADLINE);
        ClassRule { index, idempotency: class.idempotency, deadline }
    }
}

/// The node's configuration.
pub struct Config {
    /// The node's name, for its log and its state store.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the admin API listens, if the node has one.
    pub admin: Option<SocketAddr>,
    /// The seed of random numbers; a new one with each start, unless the file has one.
    pub seed: u64,
    /// How descriptors and memory are divided.
    pub limits: ResourceLimits,
    /// The endpoint list as it was last known; it may be out of date.
    pub cached_list: EndpointList,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The request classes by name.
    pub classes: HashMap<String, ClassRule>,
    /// The tenants' indices in [`Settings::tenants`] by name.
    pub tenants: HashMap<String, u32>,
    /// The names of zones, in the settings' order.
    pub zones: Vec<String>,
    /// The names of machine types, in the settings' order.
    pub machine_types: Vec<String>,
    /// A connection to an endpoint that is not up after this has failed.
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for this long.
    pub keepalive: Duration,
}

impl Config {
    /// Reads the file at `path`.
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

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.values().map(|class| class.deadline).max().unwrap_or_default()
    }
}

fn admin_address_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(value) = std::env::var(ADMIN_ADDRESS_VARIABLE) else { return Ok(None) };
    let in_environment = |source| ConfigError::Environment { variable: ADMIN_ADDRESS_VARIABLE, source };
    parse_address(&value).map(Some).map_err(in_environment)
}

/// The seed that the file has in hexadecimal. Without one, nodes and their starts still differ.
fn parse_or_generate_seed(text: &str, name: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), now.as_micros() as u64)
    })
}
