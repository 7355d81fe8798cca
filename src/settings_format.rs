//! The text form of [`Settings`]: one `path=value` pair a line.
//!
//! The simulator sends settings in this form, and the node's configuration is brought to it, so that both
//! read them with the same code. A list of objects has its length under `LIST.count` and its objects under
//! `LIST.0`, `LIST.1` and so on. The paths are those of `../given/docs/WIRE-mothspool.md`, "Start-up
//! settings"; unknown ones are skipped, and an absent one has its value in [`Settings::default`] unless a
//! constant here says otherwise.

use std::collections::BTreeMap;
use std::str::{FromStr, Utf8Error};
use std::time::Duration;

use thiserror::Error;

use crate::balancer::{DiscoveryMode, Idempotency, IdempotencyScope, RequestClass, Settings, Tenant};

/// The deadline of a class that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(1);
/// The priority weight of a class that states none.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// The longest time between two polls of discovery where the settings state none.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The value of `weights` that stands for weights which shrink under load.
const LOAD_DEPENDENT_WEIGHTS: &str = "live";

/// Why a text holds no settings.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingsFormatError {
    /// The text is not UTF-8.
    #[error("settings are not UTF-8")]
    NotUtf8(#[source] Utf8Error),
    /// A value is not of its setting's type, or none of its choices.
    #[error("setting {path} is '{value}', expected {expected}")]
    InvalidValue {
        /// The setting's path.
        path: String,
        /// Its value as written.
        value: String,
        /// What it may be.
        expected: String,
    },
    /// A list announces more objects than there are lines, so some have none.
    #[error("setting {list}.count is {count}, but there are only {settings} settings")]
    TooManyObjects {
        /// The list's path.
        list: &'static str,
        /// How many objects it announces.
        count: usize,
        /// How many lines the text has.
        settings: usize,
    },
}

/// Reads a node's settings. Whether they make sense together is for [`Settings::check`] to say.
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

/// The class of requests at `path`.
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

/// Which endpoints share the keys that they have seen.
fn idempotency_scope(raw: &RawSettings<'_>, path: &str) -> Result<IdempotencyScope, SettingsFormatError> {
    match raw.text(path) {
        None | Some("all") => Ok(IdempotencyScope::All),
        Some("zone") => Ok(IdempotencyScope::Zone),
        Some("cell") => Ok(IdempotencyScope::Cell),
        Some(other) => Err(invalid_value(path, other, "all, zone or cell")),
    }
}

/// Whether requests of the class at `path` may execute more than once.
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

/// The tenant at `path`.
fn tenant(raw: &RawSettings<'_>, path: &str) -> Result<Tenant, SettingsFormatError> {
    Ok(Tenant {
        quota_per_second: raw.value(&format!("{path}.quota_rps"), 0.0)?,
        service_share: raw.value(&format!("{path}.share"), 0.0)?,
    })
}

/// How the endpoint list reaches the node.
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

/// The longest retry delay that clients honour; zero where they are given none.
fn max_retry_after(raw: &RawSettings<'_>, default: Duration) -> Result<Duration, SettingsFormatError> {
    match raw.flag("allowed.retry_after", false)? {
        true => raw.duration("allowed.max_retry_after_us", default),
        false => Ok(Duration::ZERO),
    }
}

fn invalid_value(path: &str, value: &str, expected: &str) -> SettingsFormatError {
    SettingsFormatError::InvalidValue { path: path.into(), value: value.into(), expected: expected.into() }
}

/// A type that a setting may have.
trait SettingValue: FromStr {
    /// What values of the type are called in errors.
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

/// The pairs of a text; of two with the same path, the later one counts.
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

    /// A boolean, which may also be written as a number.
    fn flag(&self, path: &str, default: bool) -> Result<bool, SettingsFormatError> {
        match self.text(path) {
            Some("1") => Ok(true),
            Some("0") => Ok(false),
            _ => self.value(path, default),
        }
    }

    /// A duration in microseconds. A fraction of one is cut off, and a negative duration is none.
    fn duration(&self, path: &str, default: Duration) -> Result<Duration, SettingsFormatError> {
        match self.text(path) {
            None => Ok(default),
            Some(_) => self.value(path, 0.0).map(|micros: f64| Duration::from_micros(micros as u64)),
        }
    }

    /// The objects of a list, each parsed from its path.
    fn objects<T>(
        &self,
        list: &'static str,
        parse: impl Fn(&RawSettings<'a>, &str) -> Result<T, SettingsFormatError>,
    ) -> Result<Vec<T>, SettingsFormatError> {
        let count = self.value(&format!("{list}.count"), 0)?;
        let settings = self.0.len();
        // Each object has at least one line of its own: no count makes the node allocate more than it was
        // sent.
        if count > settings {
            return Err(SettingsFormatError::TooManyObjects { list, count, settings });
        }
        (0..count).map(|index| parse(self, &format!("{list}.{index}"))).collect()
    }
}
