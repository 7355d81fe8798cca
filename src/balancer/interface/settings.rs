//! The settings that a node gets when it starts, and their validation.

use std::time::Duration;

use super::time::{as_micros_f64, duration_from_micros_f64, whole_micros};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It has an idempotency key, by which the endpoints of one scope drop retries for a limited time after
    /// the first attempt was sent.
    IdempotentWithKey {
        /// The endpoints that share their keys.
        scope: IdempotencyScope,
        /// How long endpoints remember a key.
        window: Duration,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// The endpoints that share idempotency keys, and drop retries of requests that one of them executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

impl Idempotency {
    /// Returns whether a client may safely retry a request at any node although it may have been executed.
    pub fn client_may_retry(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::IdempotentWithKey { scope: IdempotencyScope::All, .. }
        )
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency objective: a response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// Growth of the latency objective as a multiple of the request's expected work, up to the deadline.
    pub objective_per_work: f64,
    /// Maximum time that a client waits.
    pub deadline: Duration,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a late response earns.
    pub late_weight: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all nodes together.
    pub quota_per_second: f64,
    /// Fraction of the service's capacity that the tenant is entitled to, from 0 to 1.
    pub service_share: f64,
}

/// How the endpoint list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes without a subscription.
    Push,
    /// Discovery sends changes after [`Action::Subscribe`](super::Action::Subscribe); without a subscription
    /// the node has to poll.
    Poll {
        /// Maximum time between polls.
        interval: Duration,
    },
}

/// The settings that a node gets when it starts. Durations are rounded down to whole microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the load.
    pub node_count: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its class's priority weight that an over-quota request has.
    pub over_quota_weight: f64,
    /// Maximum number of attempts of a request.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a second attempt may be sent while the first is in flight.
    pub hedging: bool,
    /// Whether requests cost an endpoint less if it has recently served related ones, with the same key.
    pub key_affinity: bool,
    /// Whether the weight of an endpoint decreases while it has requests, and so depends on load as well as
    /// size.
    pub load_dependent_weights: bool,
    /// How the endpoint list reaches the node.
    pub discovery: DiscoveryMode,
    /// Minimum fraction of its capacity that an endpoint has when it starts.
    pub slow_start_from: f64,
    /// Maximum duration of the slow start: an endpoint has its full capacity after this time at the latest.
    pub slow_start_window: Duration,
    /// Multiple of its current capacity at which an endpoint in slow start fails.
    pub overload_multiple: f64,
    /// Clock granularity: the maximum step by which the clock advances from one event to the next.
    pub clock_granularity: Duration,
    /// Maximum Retry-After that a rejected client honours.
    pub max_retry_after: Duration,
}

/// A single node with discovery by push, one attempt per request, no cancellation, no hedging and no classes.
impl Default for Settings {
    fn default() -> Settings {
        Settings {
            node_count: 1,
            node_index: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            max_attempts: 1,
            cancellation: false,
            hedging: false,
            key_affinity: false,
            load_dependent_weights: false,
            discovery: DiscoveryMode::Push,
            slow_start_from: 0.1,
            slow_start_window: Duration::from_secs(30),
            overload_multiple: 2.0,
            clock_granularity: Duration::from_millis(5),
            max_retry_after: Duration::ZERO,
        }
    }
}

/// Reason why settings are invalid. Messages name a setting by its path in the deployment's settings, as
/// [`crate::settings_format`] reads them, since that is where operators have to correct it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no classes.
    #[error("settings: services is empty, so there are no request classes")]
    NoClasses,
    /// A count that has to be at least 1.
    #[error("settings: {field} is 0, but must be at least 1")]
    ZeroCount {
        /// The path of the setting.
        field: &'static str,
    },
    /// The node's index is not below the number of nodes.
    #[error("settings: rank is {node_index}, but must be below balancers, which is {node_count}")]
    NodeIndexOutOfRange {
        /// The index.
        node_index: u32,
        /// The number of nodes.
        node_count: u32,
    },
    /// The fraction of its capacity that an endpoint starts with is not above 0 and at most 1.
    #[error("settings: obligations.cold_from is {0}, but must be above 0 and at most 1")]
    SlowStartFromOutOfRange(f64),
    /// A number that has to be finite and at least 0.
    #[error("settings: {field} is {value}, but must be a finite number of at least 0")]
    NegativeOrNotFinite {
        /// The path of the setting.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A duration that has to be at least 1 µs.
    #[error("settings: {field} is {value:?}, but must be at least 1 µs")]
    DurationTooShort {
        /// The path of the setting.
        field: String,
        /// Its value.
        value: Duration,
    },
}

impl Settings {
    /// Checks that each setting is within its range, and that the settings are consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the first invalid setting and its value.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let Settings { node_index, node_count, slow_start_from, .. } = *self;
        if node_count == 0 {
            return Err(SettingsError::ZeroCount { field: "balancers" });
        }
        if node_index >= node_count {
            return Err(SettingsError::NodeIndexOutOfRange { node_index, node_count });
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::ZeroCount { field: "allowed.max_attempts" });
        }
        if !(slow_start_from > 0.0 && slow_start_from <= 1.0) {
            return Err(SettingsError::SlowStartFromOutOfRange(slow_start_from));
        }
        check_non_negative("obligations.fall_multiple", self.overload_multiple)?;
        check_non_negative("over_share_worth", self.over_quota_weight)?;
        self.tenants.iter().enumerate().try_for_each(|(i, tenant)| tenant.check(i))?;
        self.classes.iter().enumerate().try_for_each(|(i, class)| class.check(i))
    }
}

impl Tenant {
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        check_non_negative(&format!("parties.{index}.quota_rps"), self.quota_per_second)?;
        check_non_negative(&format!("parties.{index}.share"), self.service_share)
    }
}

impl RequestClass {
    /// Returns the latency objective of a request.
    ///
    /// ```text
    /// objective = min(latency_objective + objective_per_work * expected_work, deadline)
    /// ```
    ///
    /// Without `expected_work` it is `latency_objective`, but also at most the deadline.
    pub fn objective_for(&self, expected_work: Option<Duration>) -> Duration {
        let extra_us = expected_work.map_or(0.0, |work| as_micros_f64(work) * self.objective_per_work);
        let objective = self.latency_objective.saturating_add(duration_from_micros_f64(extra_us));
        objective.min(self.deadline)
    }

    fn check(&self, index: usize) -> Result<(), SettingsError> {
        check_duration(&format!("services.{index}.goal_time_us"), self.latency_objective)?;
        check_duration(&format!("services.{index}.deadline_us"), self.deadline)?;
        check_non_negative(&format!("services.{index}.points"), self.priority_weight)?;
        check_non_negative(&format!("services.{index}.late_value"), self.late_weight)?;
        check_non_negative(&format!("services.{index}.aim_stretch"), self.objective_per_work)
    }
}

fn check_non_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(SettingsError::NegativeOrNotFinite { field: field.to_string(), value })
}

fn check_duration(field: &str, value: Duration) -> Result<(), SettingsError> {
    if whole_micros(value) > 0 {
        return Ok(());
    }
    Err(SettingsError::DurationTooShort { field: field.to_string(), value })
}
