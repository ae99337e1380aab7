//! Reads the settings object and load reports. The simulator's first message and the sidecar's configuration
//! hold the same object, so both programs read it here.

use std::collections::HashMap;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

use routes::policy::Policy;
use serde::Deserialize;

use crate::api::*;

/// The settings object as it stands on the wire. Keys that are not listed here are passed over.
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

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

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

#[derive(Deserialize)]
struct Invariants {
    cold_share: f64,
    warm_up: f64,
    fall_multiple: f64,
    fall: f64,
    #[serde(default)]
    must_ask_in: f64,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Membership {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Telemetry {
    #[serde(default)]
    how: String,
    #[serde(default)]
    columns: Vec<String>,
}

impl PlatformSettings {
    /// The settings in the module's terms.
    pub fn settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_weight: self.over_share_worth,
            zone: ZoneId(self.zone),
            sidecars: self.peers_total,
            cross_zone_cost: self.fee("cross_zone"),
            load_poll_cost: self.fee("probe"),
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

    /// The time in milliseconds in which discovery must be asked; `None` where news of servers come by themselves.
    pub fn discovery_poll_interval(&self) -> Option<Millis> {
        let asked = self.membership_mode == Membership::Subscribe;
        asked.then_some(self.invariants.must_ask_in).filter(|within| within.is_finite())
    }

    /// Whether sidecars may send each other messages. Like every other allowance, one that is not given is not there.
    pub fn peers_allowed(&self) -> bool {
        self.allowed.peers
    }

    /// What one of these costs, as a share of a request's worth; nothing where the platform names no price.
    fn fee(&self, name: &str) -> f64 {
        self.fees.get(name).copied().filter(|fee| fee.is_finite() && *fee > 0.0).unwrap_or(0.0)
    }

    /// Tells the first field that no sidecar could work with; the simulator's own settings always pass.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if self.classes.is_empty() {
            return Err(InvalidSetting::new("classes", "there are none"));
        }
        for (place, class) in self.classes.iter().enumerate() {
            class.check(&format!("classes[{place}]"))?;
        }
        for (place, tenant) in self.tenants.iter().enumerate() {
            not_negative(&format!("tenants[{place}].quota_per_s"), tenant.quota_per_s)?;
        }
        all_different("classes", ".name", self.class_names())?;
        all_different("tenants", ".name", self.tenants.iter().map(|tenant| tenant.name.as_str()))?;
        all_different("azs", "", self.azs.iter().map(String::as_str))?;
        all_different("kinds", "", self.kinds.iter().map(String::as_str))?;
        not_negative("over_share_worth", self.over_share_worth)?;
        not_negative("period", self.period)?;
        self.allowed.check()?;
        self.invariants.check()?;
        if self.membership_mode == Membership::Subscribe {
            positive("invariants.must_ask_in", self.invariants.must_ask_in)?;
        }
        Ok(())
    }

    /// Names and effects of the classes, by class id.
    pub fn classes(&self) -> Vec<(String, Idempotency)> {
        self.classes.iter().map(|class| (class.name.clone(), class.class().idempotency)).collect()
    }

    /// Names of the classes, by class id.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Names of the tenants, by tenant id.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|tenant| tenant.name.clone()).collect()
    }

    /// Names of the zones that the settings name, by their numbers.
    pub fn zone_names(&self) -> &[String] {
        &self.azs
    }

    /// The number of a zone. One that the settings do not name gets a number that no other has.
    pub fn zone_number(&self, name: &str) -> u64 {
        number_of_name(&self.azs, name)
    }

    /// The number of a kind of machine, likewise.
    pub fn kind_number(&self, name: &str) -> u64 {
        number_of_name(&self.kinds, name)
    }

    /// How long clients of each class wait, by class id.
    pub fn client_deadlines_ms(&self) -> impl Iterator<Item = Millis> {
        self.classes.iter().map(|class| class.hard_limit)
    }

    /// The longest that any client waits, over all its tries.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).fold(0.0, f64::max)
    }

    /// The shortest time that any client waits, over all its tries. 0 where there is no class.
    pub fn shortest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).reduce(f64::min).unwrap_or(0.0)
    }

    /// After this long without use connections are closed.
    pub fn keepalive_ms(&self) -> Millis {
        self.allowed.keepalive
    }

    /// A connection that has not come up by then has failed.
    pub fn connect_timeout_ms(&self) -> Millis {
        self.allowed.connect_timeout
    }

    /// Whether answers to requests hold load reports.
    pub fn reports_in_answers(&self) -> bool {
        self.telemetry.how == "piggyback"
    }

    /// The figures of a load report, in the order of a positional one.
    pub fn columns(&self) -> Vec<Column> {
        self.telemetry.columns.iter().map(|name| Column::named(name)).collect()
    }
}

/// A field of the settings that no sidecar could work with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The field, by its path within the settings.
    pub field: String,
    /// What is wrong with it.
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

/// No time, worth or rate is as large as this in earnest; a time in milliseconds reaches over eleven days.
const LARGEST: f64 = 1e9;

fn positive(field: &str, value: f64) -> Result<(), InvalidSetting> {
    if value > 0.0 && value < LARGEST {
        return Ok(());
    }
    Err(InvalidSetting::new(field, format!("{value} is not above 0 and below {LARGEST}")))
}

fn not_negative(field: &str, value: f64) -> Result<(), InvalidSetting> {
    if (0.0..LARGEST).contains(&value) {
        return Ok(());
    }
    Err(InvalidSetting::new(field, format!("{value} is not 0 or more and below {LARGEST}")))
}

/// Names of one list that stand for different things. A name that comes twice cannot say which is meant.
fn all_different<'a>(
    list: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), InvalidSetting> {
    let mut places = HashMap::new();
    for (place, name) in names.enumerate() {
        if let Some(other) = places.insert(name, place) {
            let problem = format!("{list}[{other}]{field} is {name:?}, too");
            return Err(InvalidSetting::new(format!("{list}[{place}]{field}"), problem));
        }
    }
    Ok(())
}

impl Allowed {
    fn check(&self) -> Result<(), InvalidSetting> {
        if self.max_attempts == 0 {
            return Err(InvalidSetting::new("allowed.max_attempts", "0 leaves no attempt"));
        }
        not_negative("allowed.max_retry_after", self.max_retry_after)?;
        positive("allowed.keepalive", self.keepalive)?;
        positive("allowed.connect_timeout", self.connect_timeout)
    }
}

impl Invariants {
    fn check(&self) -> Result<(), InvalidSetting> {
        positive("invariants.cold_share", self.cold_share)?;
        positive("invariants.warm_up", self.warm_up)?;
        positive("invariants.fall_multiple", self.fall_multiple)?;
        not_negative("invariants.fall", self.fall)
    }
}

impl WireClass {
    fn check(&self, path: &str) -> Result<(), InvalidSetting> {
        if self.name.is_empty() {
            return Err(InvalidSetting::new(format!("{path}.name"), "it is empty"));
        }
        positive(&format!("{path}.aim"), self.aim)?;
        positive(&format!("{path}.hard_limit"), self.hard_limit)?;
        positive(&format!("{path}.importance"), self.importance)?;
        not_negative(&format!("{path}.late_worth"), self.late_worth)?;
        not_negative(&format!("{path}.window"), self.window)
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

/// A figure in a load report that the module can use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Column {
    /// Requests in hand.
    InFlight,
    /// How busy the cores are.
    Utilisation,
    /// Requests served a second.
    Served,
    /// Errors a second.
    Errors,
    /// One that the module has no use for.
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

/// Puts the figures of a report in their places.
pub fn report_from_columns(columns: &[Column], stats: &[f64]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(stats) {
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

/// The place of a name in a list; for a stranger a number past the end, drawn from the name itself.
pub fn number_of_name(names: &[String], name: &str) -> u64 {
    let stranger =
        || name.bytes().fold(1 << 32, |sum: u64, byte| sum.wrapping_mul(257).wrapping_add(u64::from(byte)));
    names.iter().position(|known| known == name).map_or_else(stranger, |place| place as u64)
}

/// Reads a load report of the form `TEXT inflight=7, util=0.61`: the figures that the settings name. `None`
/// where there is no sound one.
pub fn report_from_text(columns: &[Column], text: &str) -> Option<LoadReport> {
    let figures = text.trim().strip_prefix("TEXT")?;
    let (mut used, mut stats) = (Vec::new(), Vec::new());
    for figure in figures.split(',') {
        let Some((name, value)) = figure.split_once('=') else { continue };
        let column = Column::named(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=MOST).contains(v));
        if let (true, Some(value)) = (columns.contains(&column), value) {
            used.push(column);
            stats.push(value);
        }
    }
    (!used.is_empty()).then(|| report_from_columns(&used, &stats))
}

/// No figure of a load report is larger in earnest.
const MOST: f64 = 1e6;

#[cfg(test)]
mod tests;
