//! Parses and validates the platform's settings object, and parses load reports.
//!
//! The first message of the simulator and the configuration file of the sidecar hold the same settings
//! object, so both programs parse it here.

use std::collections::HashMap;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

use routes::policy::Policy;
use serde::Deserialize;

use crate::api::*;

/// The settings object in its external form. Field names are its keys; unknown keys are ignored.
#[derive(Deserialize)]
pub struct PlatformSettings {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    zone: u64,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    peers_total: u32,
    #[serde(default)]
    fees: HashMap<String, f64>,
    allowed: Allowed,
    invariants: Invariants,
    #[serde(default)]
    period: f64,
    membership_mode: Membership,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    counted_by: String,
    telemetry: Telemetry,
}

/// A request class in the settings object.
#[derive(Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    hard_limit: f64,
    aim: f64,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireEffect,
    #[serde(default)]
    dedup_scope: WireScope,
    #[serde(default)]
    window: f64,
}

/// The values of `effect`: whether a request of the class may be executed more than once.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Repeatable,
    ByKey,
    Once,
}

/// The values of `dedup_scope`: the servers that discard a repeated request by its idempotency key.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// A tenant in the settings object.
#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

/// What the platform allows sidecars to do.
#[derive(Deserialize)]
struct Allowed {
    max_attempts: u32,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default = "default_keepalive")]
    keepalive: f64,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: f64,
}

fn default_keepalive() -> f64 {
    15_000.0
}

fn default_connect_timeout() -> f64 {
    250.0
}

/// The platform's rules about slow start and about polling discovery.
#[derive(Deserialize)]
struct Invariants {
    cold_share: f64,
    warm_up: f64,
    fall_multiple: f64,
    fall: f64,
    #[serde(default)]
    must_ask_in: f64,
}

/// How sidecars learn of changes to the server list: discovery pushes them, or sidecars must poll in time.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Membership {
    Automatic,
    Subscribe,
}

/// How servers report their load.
#[derive(Deserialize)]
struct Telemetry {
    #[serde(default)]
    how: String,
    #[serde(default)]
    columns: Vec<String>,
}

impl PlatformSettings {
    /// Converts the settings object to the decision module's settings.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_weight: self.over_share_worth,
            zone: ZoneId(self.zone),
            sidecars: self.peers_total,
            cross_zone_cost: self.cost("cross_zone"),
            load_poll_cost: self.cost("probe"),
            limits: Limits {
                max_attempts: self.allowed.max_attempts,
                concurrent_attempts: self.allowed.may_duplicate,
                load_polls: self.allowed.probes,
                cancel: self.allowed.cancel,
                max_retry_after: if self.allowed.retry_after { self.allowed.max_retry_after } else { 0.0 },
                tick: self.period,
            },
            slow_start: SlowStartRules {
                initial_share: self.invariants.cold_share,
                warm_up: self.invariants.warm_up,
                overload_multiple: self.invariants.fall_multiple,
                overload_window: self.invariants.fall,
            },
            weight_per_work: self.counted_by == "work",
            weights_are_capacities: matches!(self.weights.as_str(), "nominal" | "rough"),
            retry_budget: None,
            hedge_budget: None,
        }
    }

    /// The longest allowed time between two polls of discovery. `None` if discovery pushes its updates.
    pub fn discovery_poll_interval(&self) -> Option<Millis> {
        let must_poll = self.membership_mode == Membership::Subscribe;
        must_poll.then_some(self.invariants.must_ask_in).filter(|interval| interval.is_finite())
    }

    /// Whether sidecars may send messages to each other. As with every other permission, the default is no.
    pub fn peers_allowed(&self) -> bool {
        self.allowed.peers
    }

    /// The cost of an operation, as a fraction of a request's priority weight. 0 if the platform sets none.
    fn cost(&self, name: &str) -> f64 {
        self.fees.get(name).copied().filter(|cost| cost.is_finite() && *cost > 0.0).unwrap_or(0.0)
    }

    /// Returns an error for the first field whose value no sidecar can work with. The settings that the
    /// simulator sends always pass.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if self.classes.is_empty() {
            return Err(InvalidSetting::new("classes", "must not be empty"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(&format!("classes[{index}]"))?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            check_not_negative(&format!("tenants[{index}].quota_per_s"), tenant.quota_per_s)?;
        }
        check_unique("classes", ".name", self.class_names())?;
        check_unique("tenants", ".name", self.tenants.iter().map(|tenant| tenant.name.as_str()))?;
        check_unique("azs", "", self.azs.iter().map(String::as_str))?;
        check_unique("kinds", "", self.kinds.iter().map(String::as_str))?;
        check_not_negative("over_share_worth", self.over_share_worth)?;
        check_not_negative("period", self.period)?;
        self.allowed.validate()?;
        self.invariants.validate()?;
        if self.membership_mode == Membership::Subscribe {
            check_positive("invariants.must_ask_in", self.invariants.must_ask_in)?;
        }
        Ok(())
    }

    /// The name and idempotency of each class, in the order of class ids.
    pub fn classes(&self) -> Vec<(String, Idempotency)> {
        self.classes.iter().map(|class| (class.name.clone(), class.class().idempotency)).collect()
    }

    /// The names of the classes, in the order of class ids.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// The names of the tenants, in the order of tenant ids.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|tenant| tenant.name.clone()).collect()
    }

    /// The names of the zones that the settings list, in the order of zone numbers.
    pub fn zone_names(&self) -> &[String] {
        &self.azs
    }

    /// The number of a zone. A zone that the settings do not list gets a number that no listed zone has.
    pub fn zone_number(&self, name: &str) -> u64 {
        number_of_name(&self.azs, name)
    }

    /// The number of a kind of machine. A kind that the settings do not list gets a number that no listed
    /// kind has.
    pub fn kind_number(&self, name: &str) -> u64 {
        number_of_name(&self.kinds, name)
    }

    /// The total time that clients of each class wait for an answer, in the order of class ids.
    pub fn client_deadlines_ms(&self) -> impl Iterator<Item = Millis> {
        self.classes.iter().map(|class| class.hard_limit)
    }

    /// The longest time that any client waits for an answer, over all its attempts.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).fold(0.0, f64::max)
    }

    /// The shortest time that any client waits for an answer, over all its attempts. 0 if there are no
    /// classes.
    pub fn shortest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).reduce(f64::min).unwrap_or(0.0)
    }

    /// The time after which an idle connection is closed.
    pub fn keepalive_ms(&self) -> Millis {
        self.allowed.keepalive
    }

    /// The time in which a connection must be established.
    pub fn connect_timeout_ms(&self) -> Millis {
        self.allowed.connect_timeout
    }

    /// Whether servers send load reports along with their answers to requests.
    pub fn reports_in_answers(&self) -> bool {
        self.telemetry.how == "piggyback"
    }

    /// The metrics of a load report, in the order of its positional form.
    pub fn columns(&self) -> Vec<Column> {
        self.telemetry.columns.iter().map(|name| Column::named(name)).collect()
    }
}

/// A field of the settings object whose value no sidecar can work with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The path of the field within the settings object.
    pub field: String,
    /// What is wrong with the value.
    pub problem: String,
}

impl InvalidSetting {
    fn new(field: impl Into<String>, problem: impl Into<String>) -> InvalidSetting {
        InvalidSetting { field: field.into(), problem: problem.into() }
    }
}

impl Display for InvalidSetting {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.problem)
    }
}

impl Error for InvalidSetting {}

/// Times, weights and rates must be below this value, which no sensible setting reaches. As a time in
/// milliseconds it is more than eleven days.
const MAX_SETTING_VALUE: f64 = 1e9;

fn check_positive(field: &str, value: f64) -> Result<(), InvalidSetting> {
    if value > 0.0 && value < MAX_SETTING_VALUE {
        return Ok(());
    }
    Err(InvalidSetting::new(field, format!("must be above 0 and below {MAX_SETTING_VALUE}, but is {value}")))
}

fn check_not_negative(field: &str, value: f64) -> Result<(), InvalidSetting> {
    if (0.0..MAX_SETTING_VALUE).contains(&value) {
        return Ok(());
    }
    Err(InvalidSetting::new(
        field,
        format!("must be at least 0 and below {MAX_SETTING_VALUE}, but is {value}"),
    ))
}

/// Checks that the names in a list are unique. A duplicate name would be ambiguous.
fn check_unique<'a>(
    list: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), InvalidSetting> {
    let mut indices = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(other) = indices.insert(name, index) {
            let problem = format!("{list}[{other}]{field} has the same value {name:?}");
            return Err(InvalidSetting::new(format!("{list}[{index}]{field}"), problem));
        }
    }
    Ok(())
}

impl Allowed {
    fn validate(&self) -> Result<(), InvalidSetting> {
        if self.max_attempts == 0 {
            return Err(InvalidSetting::new("allowed.max_attempts", "must be at least 1, but is 0"));
        }
        check_not_negative("allowed.max_retry_after", self.max_retry_after)?;
        check_positive("allowed.keepalive", self.keepalive)?;
        check_positive("allowed.connect_timeout", self.connect_timeout)
    }
}

impl Invariants {
    fn validate(&self) -> Result<(), InvalidSetting> {
        check_positive("invariants.cold_share", self.cold_share)?;
        check_positive("invariants.warm_up", self.warm_up)?;
        check_positive("invariants.fall_multiple", self.fall_multiple)?;
        check_not_negative("invariants.fall", self.fall)
    }
}

impl WireClass {
    fn validate(&self, path: &str) -> Result<(), InvalidSetting> {
        if self.name.is_empty() {
            return Err(InvalidSetting::new(format!("{path}.name"), "must not be empty"));
        }
        check_positive(&format!("{path}.aim"), self.aim)?;
        check_positive(&format!("{path}.hard_limit"), self.hard_limit)?;
        check_positive(&format!("{path}.importance"), self.importance)?;
        check_not_negative(&format!("{path}.late_worth"), self.late_worth)?;
        check_not_negative(&format!("{path}.window"), self.window)
    }

    fn class(&self) -> Class {
        let scope = match self.dedup_scope {
            WireScope::All => DedupScope::All,
            WireScope::Zone => DedupScope::Zone,
            WireScope::Cell => DedupScope::Cell,
        };
        Class {
            latency_objective: self.aim,
            priority_weight: self.importance,
            late_weight: self.late_worth,
            idempotency: match self.effect {
                WireEffect::Repeatable => Idempotency::Idempotent,
                WireEffect::ByKey => Idempotency::ByKey { scope, window: self.window },
                WireEffect::Once => Idempotency::NotIdempotent,
            },
            policy: Policy::default(),
        }
    }
}

/// A metric in a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Column {
    /// The number of requests in flight at the server.
    InFlight,
    /// The utilisation of the server's cores.
    Utilisation,
    /// Requests served per second.
    Served,
    /// Errors per second.
    Errors,
    /// A metric that the module does not use.
    Other,
}

impl Column {
    fn named(name: &str) -> Column {
        match name {
            "inflight" => Column::InFlight,
            "util" => Column::Utilisation,
            "qps" => Column::Served,
            "eps" => Column::Errors,
            _ => Column::Other,
        }
    }
}

/// Builds a load report from values in the order of the given columns.
pub fn report_from_columns(columns: &[Column], values: &[f64]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(values) {
        match column {
            Column::InFlight => report.in_flight = Some(*value),
            Column::Utilisation => report.utilisation = Some(*value),
            Column::Served => report.served_per_s = Some(*value),
            Column::Errors => report.errors_per_s = Some(*value),
            Column::Other => {}
        }
    }
    report
}

/// The index of a name in a list. A name that is not in the list gets a number past the end of the list,
/// which is a hash of the name.
pub fn number_of_name(names: &[String], name: &str) -> u64 {
    let hash_of_unlisted =
        || name.bytes().fold(1 << 32, |hash: u64, byte| hash.wrapping_mul(257).wrapping_add(u64::from(byte)));
    names.iter().position(|known| known == name).map_or_else(hash_of_unlisted, |index| index as u64)
}

/// Parses a load report of the form `TEXT inflight=7, util=0.61`. Metrics that are not among the columns and
/// values that are not plausible are skipped. `None` if no metric remains.
pub fn report_from_text(columns: &[Column], text: &str) -> Option<LoadReport> {
    let metrics = text.trim().strip_prefix("TEXT")?;
    let (mut found, mut values) = (Vec::new(), Vec::new());
    for metric in metrics.split(',') {
        let Some((name, value)) = metric.split_once('=') else { continue };
        let column = Column::named(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=MAX_REPORT_VALUE).contains(v));
        if let (true, Some(value)) = (columns.contains(&column), value) {
            found.push(column);
            values.push(value);
        }
    }
    (!found.is_empty()).then(|| report_from_columns(&found, &values))
}

/// A larger value in a load report is not plausible and is skipped.
const MAX_REPORT_VALUE: f64 = 1e6;

#[cfg(test)]
mod tests;
