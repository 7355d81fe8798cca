//! What a node is given once, at its start, and the checks of it.

use std::time::Duration;

use super::time::{as_micros_f64, duration_from_micros_f64, whole_micros};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution does no harm.
    Idempotent,
    /// Endpoints of one scope drop a retry for a time after the first attempt was sent, by the request's key.
    IdempotentWithKey {
        /// Which endpoints share the keys that they remember.
        scope: IdempotencyScope,
        /// For how long they remember a key.
        window: Duration,
    },
    /// It must never be executed twice.
    NonIdempotent,
}

/// The endpoints that drop each other's retries of a keyed request.
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
    /// Whether a client may send a request again, to any node, though it may have been executed.
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
    /// A response within this time earns the full weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's expected work, up to the deadline.
    pub objective_per_work: f64,
    /// The longest that a client waits.
    pub deadline: Duration,
    /// What a response within the objective is worth against those of other classes.
    pub priority_weight: f64,
    /// The part of the weight that a late response earns.
    pub late_weight: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all nodes, that are within its quota.
    pub quota_per_second: f64,
    /// The part of the service that it has a right to, from 0 to 1.
    pub service_share: f64,
}

/// How the endpoint list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    Push,
    /// Changes come after [`Action::Subscribe`](super::Action::Subscribe); without a subscription the node
    /// has to poll.
    Poll {
        /// The longest time without a poll.
        interval: Duration,
    },
}

/// What a node is given once, at its start. Durations count in whole microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many nodes share the work.
    pub node_count: u32,
    /// This node's number among them, from 0.
    pub node_index: u32,
    /// The classes of requests; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The part of its class's weight that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// The most attempts that a request may have.
    pub max_attempts: u16,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a second attempt may be sent while the first is in flight.
    pub hedging: bool,
    /// Whether related requests are cheaper at an endpoint that met their key lately.
    pub key_affinity: bool,
    /// Whether weights shrink while an endpoint has requests, and so tell of load as well as of size.
    pub load_dependent_weights: bool,
    /// How the endpoint list comes.
    pub discovery: DiscoveryMode,
    /// An endpoint that starts has at least this part of its capacity.
    pub slow_start_from: f64,
    /// An endpoint is warm after this time at most.
    pub slow_start_window: Duration,
    /// An endpoint that is warming up fails when it is sent this multiple of what it can do at that moment.
    pub overload_multiple: f64,
    /// The longest time between two events at which the clock moves.
    pub clock_granularity: Duration,
    /// The longest wait that a rejected client honours before it tries again.
    pub max_retry_after: Duration,
}

/// One node with pushed lists, one attempt a request, no cancelling or hedging, and no class yet.
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

/// Why settings were rejected. Messages name a setting by its path in the deployment's settings, as
/// [`crate::settings_format`] reads them, since that is where operators have to correct it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is nothing to serve.
    #[error("settings: there are no request classes: services is empty")]
    NoClasses,
    /// A count that has to be 1 or more.
    #[error("settings: {field} is 0, not at least 1")]
    ZeroCount {
        /// The path of the setting.
        field: &'static str,
    },
    /// The node's index is not that of one of the nodes.
    #[error("settings: rank is {node_index}, not below balancers, which is {node_count}")]
    NodeIndexOutOfRange {
        /// The index.
        node_index: u32,
        /// The number of nodes.
        node_count: u32,
    },
    /// The part of its capacity that an endpoint starts with.
    #[error("settings: obligations.cold_from is {0}, not above 0 and at most 1")]
    SlowStartFromOutOfRange(f64),
    /// A number that has to be finite and not negative.
    #[error("settings: {field} is {value}, not a finite number of 0 or more")]
    NegativeOrNotFinite {
        /// The path of the setting.
        field: String,
        /// Its value.
        value: f64,
    },
    /// A duration that has to be a microsecond or more.
    #[error("settings: {field} is {value:?}, not at least 1 µs")]
    DurationTooShort {
        /// The path of the setting.
        field: String,
        /// Its value.
        value: Duration,
    },
}

impl Settings {
    /// Checks that the settings make sense together.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first setting that does not, and its value.
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
    /// The latency objective of a request: `latency_objective + objective_per_work * work`, at most the
    /// deadline.
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
