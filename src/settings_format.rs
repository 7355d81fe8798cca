//! Parser for the text form of [`Settings`], which has one `path=value` pair per line.
//!
//! The simulator sends settings in this form, and the node converts its configuration to it, so that both
//! use the same parser. For a list of objects, `LIST.count` is its length, and the paths of its objects
//! start with `LIST.0`, `LIST.1` and so on. The paths are specified in `../given/docs/WIRE-mothspool.md`,
//! section "Start-up settings". Unknown paths are skipped. An absent setting has its value from
//! [`Settings::default`] unless this module gives it another default.

use std::collections::BTreeMap;
use std::str::{FromStr, Utf8Error};
use std::time::Duration;

use thiserror::Error;

use crate::balancer::{DiscoveryMode, Idempotency, IdempotencyScope, RequestClass, Settings, Tenant};

/// Deadline of a class without `deadline_us`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(1);
/// Priority weight of a class without `points`.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// Maximum time between two polls of discovery if `obligations.ask_every_us` is absent.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Value of `weights` for endpoint weights that decrease under load.
const LOAD_DEPENDENT_WEIGHTS: &str = "live";

/// An error in the text form of settings.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsFormatError {
    /// The text is not UTF-8.
    #[error("settings are not UTF-8")]
    NotUtf8(#[source] Utf8Error),
    /// A value has the wrong type, or is none of the values that its setting allows.
    #[error("setting {path} is '{value}', expected {expected}")]
    InvalidValue {
        /// Path of the setting.
        path: String,
        /// Value as written in the text.
        value: String,
        /// Description of the valid values.
        expected: String,
    },
    /// The count of a list exceeds the number of settings in the text, so some objects have no setting.
    #[error(
        "setting {list}.count is {count}, but each object needs at least one setting of its own, and the \
        total number of settings is {settings}"
    )]
    TooManyObjects {
        /// Path of the list.
        list: &'static str,
        /// Value of `LIST.count`.
        count: usize,
        /// Number of settings in the text.
        settings: usize,
    },
}

/// Parses the settings of a node. [`Settings::check`] then checks their ranges and consistency.
pub fn parse_settings(text: &[u8]) -> Result<Settings, SettingsFormatError> {
    let text = std::str::from_utf8(text).map_err(SettingsFormatError::NotUtf8)?;
    let raw = RawSettings::new(text);
    let default = Settings::default();
    Ok(Settings {
        node_count: raw.value("balancers", default.node_count)?,
        node_index: raw.value("rank", default.node_index)?,
        classes: raw.objects("services", request_class)?,
        tenants: raw.objects("parties", tenant)?,
        over_quota_weight: raw.value("over_share_worth", default.over_quota_weight)?,
        max_attempts: raw.value("allowed.max_attempts", default.max_attempts)?,
        cancellation: raw.flag("allowed.cancelling", default.cancellation)?,
        hedging: raw.flag("allowed.second_copies", default.hedging)?,
        key_affinity: raw.flag("domain.warm_keys", default.key_affinity)?,
        load_dependent_weights: raw.text("weights") == Some(LOAD_DEPENDENT_WEIGHTS),
        discovery: discovery_mode(&raw)?,
        slow_start_from: raw.value("obligations.cold_from", default.slow_start_from)?,
        slow_start_window: raw.duration("obligations.warm_up_us", default.slow_start_window)?,
        overload_multiple: raw.value("obligations.fall_multiple", default.overload_multiple)?,
        clock_granularity: raw.duration("step_us", default.clock_granularity)?,
        max_retry_after: max_retry_after(&raw, default.max_retry_after)?,
    })
}

/// Parses the request class at `path`.
fn request_class(raw: &RawSettings<'_>, path: &str) -> Result<RequestClass, SettingsFormatError> {
    let key = |name: &str| format!("{path}.{name}");
    let scope = idempotency_scope(raw, &key("dedup_scope"))?;
    let idempotency = idempotency(raw, path, scope)?;
    let deadline = raw.duration(&key("deadline_us"), DEFAULT_DEADLINE)?;
    Ok(RequestClass {
        latency_objective: raw.duration(&key("goal_time_us"), deadline)?,
        objective_per_work: raw.value(&key("aim_stretch"), 0.0)?,
        deadline,
        priority_weight: raw.value(&key("points"), DEFAULT_PRIORITY_WEIGHT)?,
        late_weight: raw.value(&key("late_value"), 0.0)?,
        idempotency,
    })
}

/// Parses the scope at `path`: which endpoints share the idempotency keys that they remember.
fn idempotency_scope(raw: &RawSettings<'_>, path: &str) -> Result<IdempotencyScope, SettingsFormatError> {
    match raw.text(path) {
        None | Some("all") => Ok(IdempotencyScope::All),
        Some("zone") => Ok(IdempotencyScope::Zone),
        Some("cell") => Ok(IdempotencyScope::Cell),
        Some(other) => Err(invalid_value(path, other, "all, zone or cell")),
    }
}

/// Parses whether requests of the class at `path` may be executed more than once.
fn idempotency(
    raw: &RawSettings<'_>,
    path: &str,
    scope: IdempotencyScope,
) -> Result<Idempotency, SettingsFormatError> {
    let idempotency_path = format!("{path}.idempotency");
    match raw.text(&idempotency_path) {
        None | Some("side_effect") => Ok(Idempotency::NonIdempotent),
        Some("pure") => Ok(Idempotency::Idempotent),
        Some("token") => {
            let window = raw.duration(&format!("{path}.window_us"), Duration::ZERO)?;
            Ok(Idempotency::IdempotentWithKey { scope, window })
        }
        Some(other) => Err(invalid_value(&idempotency_path, other, "pure, token or side_effect")),
    }
}

/// Parses the tenant at `path`.
fn tenant(raw: &RawSettings<'_>, path: &str) -> Result<Tenant, SettingsFormatError> {
    Ok(Tenant {
        quota_per_second: raw.value(&format!("{path}.quota_rps"), 0.0)?,
        service_share: raw.value(&format!("{path}.share"), 0.0)?,
    })
}

/// Parses how the node gets the endpoint list.
fn discovery_mode(raw: &RawSettings<'_>) -> Result<DiscoveryMode, SettingsFormatError> {
    match raw.text("discovery") {
        None | Some("automatic") => Ok(DiscoveryMode::Push),
        Some("subscribe") => {
            let interval = raw.duration("obligations.ask_every_us", DEFAULT_POLL_INTERVAL)?;
            Ok(DiscoveryMode::Poll { interval })
        }
        Some(other) => Err(invalid_value("discovery", other, "automatic or subscribe")),
    }
}

/// Parses the longest `Retry-After` that clients honour. It is zero if the settings do not allow
/// `Retry-After`.
fn max_retry_after(raw: &RawSettings<'_>, default: Duration) -> Result<Duration, SettingsFormatError> {
    match raw.flag("allowed.retry_after", false)? {
        true => raw.duration("allowed.max_retry_after_us", default),
        false => Ok(Duration::ZERO),
    }
}

fn invalid_value(path: &str, value: &str, expected: &str) -> SettingsFormatError {
    SettingsFormatError::InvalidValue { path: path.into(), value: value.into(), expected: expected.into() }
}

/// A type of setting values.
trait SettingValue: FromStr {
    /// Description of the valid values in errors.
    const EXPECTED: &'static str;
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";
}

impl SettingValue for u16 {
    const EXPECTED: &'static str = "a whole number up to 65535";
}

impl SettingValue for u32 {
    const EXPECTED: &'static str = "a whole number up to 4294967295";
}

impl SettingValue for usize {
    const EXPECTED: &'static str = "a whole number";
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number";
}

/// Values of the settings in a text by path. If a path occurs more than once, its last value is used.
struct RawSettings<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> RawSettings<'a> {
    fn new(text: &'a str) -> RawSettings<'a> {
        RawSettings(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    fn value<T: SettingValue>(&self, path: &str, default: T) -> Result<T, SettingsFormatError> {
        let Some(text) = self.text(path) else {
            return Ok(default);
        };
        text.parse().map_err(|_| invalid_value(path, text, T::EXPECTED))
    }

    /// Parses a boolean, which may also be written as `1` or `0`.
    fn flag(&self, path: &str, default: bool) -> Result<bool, SettingsFormatError> {
        match self.text(path) {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => self.value(path, default),
        }
    }

    /// Parses a duration in microseconds. Fractions are truncated, and a negative duration becomes zero.
    fn duration(&self, path: &str, default: Duration) -> Result<Duration, SettingsFormatError> {
        match self.text(path) {
            None => Ok(default),
            Some(_) => self.value(path, 0.0).map(|micros: f64| Duration::from_micros(micros as u64)),
        }
    }

    /// Parses the objects of a list, each from its path.
    fn objects<T>(
        &self,
        list: &'static str,
        parse: impl Fn(&RawSettings<'a>, &str) -> Result<T, SettingsFormatError>,
    ) -> Result<Vec<T>, SettingsFormatError> {
        let count = self.value(&format!("{list}.count"), 0)?;
        let settings = self.0.len();
        // Each object needs at least one setting of its own. This check prevents a large count in a short
        // text from making the node allocate more than the size of the text.
        if count > settings {
            return Err(SettingsFormatError::TooManyObjects { list, count, settings });
        }
        (0..count).map(|index| parse(self, &format!("{list}.{index}"))).collect()
    }
}
