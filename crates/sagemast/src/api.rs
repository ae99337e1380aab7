//! The interface of the decision module: its settings, the events it takes in and the actions it returns.
//!
//! Times are in milliseconds on the caller's clock, which never goes backwards. The module never reads a
//! clock and does no I/O. The sidecar turns what happens into [`Event`]s and carries out the [`Action`]s
//! that the module returns.

use std::collections::{BTreeMap, BTreeSet};

use routes::policy::{Budget, Failure, Policy};
use routes::purse::Budgets;
use routes::units::Share;
use serde::{Deserialize, Serialize};

/// A point in time on the caller's clock or a duration, in milliseconds.
pub type Millis = f64;

/// One request as it reached this sidecar. A client's retry is a new request with an id of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A server that requests can be sent to. A server keeps its id across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamId(pub u64);

/// The number of an attempt within its request: 0 for the first attempt, 1 for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNo(pub u32);

/// Index of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]. Ignored where no tenants are configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub usize);

/// An availability zone. Traffic within a zone is cheaper than traffic between zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ZoneId(pub u64);

/// A small group of servers within one zone that share their record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u64);

/// A kind of machine, as discovery lists it. Servers of one kind are assumed to perform alike until their
/// own reports and answers say otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub u64);

/// Which servers recognise and discard a repeated request by its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers in the zone where the first execution may have taken place.
    Zone,
    /// The servers in the cell where the first execution may have taken place.
    Cell,
}

/// Whether executing a request twice does harm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// The request is idempotent: executing it again does no harm.
    Idempotent,
    /// The request carries an idempotency key. Executing it again does no harm on the servers in `scope`,
    /// until `window` has passed since the first attempt that may have been executed.
    ByKey {
        /// The servers that discard a repeat.
        scope: DedupScope,
        /// How long they remember the key.
        window: Millis,
    },
    /// The request is not idempotent: it must never be executed twice.
    NotIdempotent,
}

/// The settings of a class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Millis,
    /// What an answer within the latency objective earns.
    pub priority_weight: f64,
    /// The fraction of the priority weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// The policy of the route that this class belongs to. The module decides everything that the policy
    /// leaves open.
    pub policy: Policy,
}

impl Class {
    /// The retry budget and the hedge budget of this class.
    pub fn budgets(&self) -> Budgets {
        [self.policy.retry_budget, self.policy.second_copy.map(|copy| copy.budget)]
    }
}

/// A tenant: a customer with a quota of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The tenant's quota in requests per second, summed over all sidecars.
    pub quota_per_s: f64,
}

/// What the platform allows the sidecar to do.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time, as hedging needs.
    pub concurrent_attempts: bool,
    /// Whether servers may be polled for their load.
    pub load_polls: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancel: bool,
    /// The longest `Retry-After` that clients honour when they are refused. 0 if they honour none.
    pub max_retry_after: Millis,
    /// The shortest time between two batches of events.
    pub tick: Millis,
}

/// The platform's two rules about servers that have started recently: how fast their capacity grows, and
/// how much load makes them fail.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SlowStartRules {
    /// The fraction of its full capacity that a server has when it starts.
    pub initial_share: f64,
    /// The time after its start at which a server has its full capacity.
    pub warm_up: Millis,
    /// A server that is still warming up fails if it is sent more than this multiple of its current
    /// capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_window: Millis,
}

/// The settings that the module is created with. They refer to classes, tenants and zones by number only.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`]. May be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its priority weight that a request above its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// The zone of this sidecar.
    pub zone: ZoneId,
    /// The number of sidecars, this one included.
    pub sidecars: u32,
    /// The cost of sending a request to another zone, as a fraction of a mean request's priority weight.
    pub cross_zone_cost: f64,
    /// The cost of one load poll, as a fraction of a mean request's priority weight.
    pub load_poll_cost: f64,
    /// What the sidecar may do.
    pub limits: Limits,
    /// The rules for servers that have started recently.
    pub slow_start: SlowStartRules,
    /// Whether the weights in the server list are capacities: roughly how many requests a server works on
    /// concurrently.
    pub weights_are_capacities: bool,
    /// Whether a class's priority weight counts per unit of work instead of per request.
    pub weight_per_work: bool,
    /// The retry budget of all classes together. Without one, [`DEFAULT_RETRY_BUDGET`] applies.
    pub retry_budget: Option<Budget>,
    /// The hedge budget of all classes together. Without one, only the budgets of the classes apply.
    pub hedge_budget: Option<Budget>,
}

/// The retry budget of all classes together where the operators set none: a fraction of the first attempts,
/// and the number of retries that can be saved up.
pub const DEFAULT_RETRY_BUDGET: Budget = Budget { share: Share(0.1), burst: 10 };

impl Settings {
    /// The retry budget and the hedge budget of all classes together.
    pub fn budgets(&self) -> Budgets {
        [Some(self.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)), self.hedge_budget]
    }
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The server accepts new requests.
    Serving,
    /// The server finishes its requests in flight, or is already gone. It gets no new requests.
    #[serde(rename = "leaving")]
    Draining,
}

/// A server as discovery lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The server's id.
    pub upstream: UpstreamId,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's cell.
    pub cell: CellId,
    /// The kind of machine that the server runs on.
    pub kind: KindId,
    /// Whether the server accepts new requests.
    pub lifecycle: Lifecycle,
    /// The server's capacity relative to others, or 1 if discovery does not know it.
    pub weight: f64,
    /// When the server last started, if that was recent.
    pub started: Option<Millis>,
}

/// An update of the server list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListUpdate {
    /// The complete list as cached before a restart of the sidecar. It may be outdated.
    Restored(Vec<Listing>),
    /// The complete list. A server that is missing from it is gone.
    Complete(Vec<Listing>),
    /// Only the servers whose entries have changed.
    Changed(Vec<Listing>),
}

/// A server's report of its own load. Any metric can be missing or have an implausible value.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests in flight at the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    /// The utilisation of the server's cores, from 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub utilisation: Option<f64>,
    /// Requests served per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served_per_s: Option<f64>,
    /// Errors per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The server answered the request successfully.
    Ok,
    /// The server answered with an error. The request may have been executed.
    Error,
    /// The server was full and rejected the request without looking at it. It was not executed.
    Full,
    /// No answer arrived in time. The request may have been executed, or may still be.
    TimedOut,
    /// The server could not be reached. The request was not executed.
    Unreachable,
    /// The connection broke. The request may have been executed.
    Reset,
    /// The sidecar cancelled the attempt. The request may have been executed.
    Cancelled,
    /// The attempt never left this sidecar.
    NotSent,
    /// This machine could not open a connection, for a reason of its own. The request was not executed, and
    /// the outcome says nothing about the server.
    LocalFailure,
}

impl Outcome {
    /// The name of this outcome in a route's policy. `None` if neither the server nor the network made the
    /// attempt fail.
    pub fn failure(self) -> Option<Failure> {
        match self {
            Outcome::Full => Some(Failure::Full),
            Outcome::Unreachable => Some(Failure::Unreachable),
            Outcome::Error => Some(Failure::Error),
            Outcome::TimedOut => Some(Failure::Timeout),
            Outcome::Reset => Some(Failure::Reset),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFailure => None,
        }
    }

    /// Whether the server may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotSent | Outcome::LocalFailure)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The server that the attempt was sent to.
    pub upstream: UpstreamId,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time since the attempt was sent.
    pub latency: Millis,
    /// Whether the request already has its final answer.
    #[serde(rename = "closed")]
    pub request_closed: bool,
    /// The load report in the server's answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<LoadReport>,
}

/// Directives that the sidecars of a cluster agreed on. Where a directive is absent, the module decides by
/// itself.
///
/// A checkpoint stores this struct in a format that identifies fields by position. No field may be left out
/// when it is serialised.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Guidance {
    /// The admission probability of each class, indexed by [`ClassId`]. A class without an entry is always
    /// admitted.
    #[serde(default, rename = "admit")]
    pub admit_probability: Vec<f64>,
    /// The retry budget of all classes together. Replaces the one in the settings.
    #[serde(default, rename = "retries")]
    pub retry_budget: Option<Allowance>,
    /// The hedge budget of all classes together. Replaces the one in the settings.
    #[serde(default, rename = "copies")]
    pub hedge_budget: Option<Allowance>,
    /// The servers that this sidecar polls for their load. It polls no others.
    #[serde(default, rename = "probes")]
    pub load_poll_targets: Option<BTreeSet<UpstreamId>>,
    /// The ejected servers that this sidecar sends ejection probes to. It probes no others.
    #[serde(default, rename = "trials")]
    pub ejection_probe_targets: Option<BTreeSet<UpstreamId>>,
    /// How many requests this sidecar may send to each server in slow start, in place of its own random
    /// allocation. Servers without a lease get none.
    #[serde(default, rename = "cold", with = "crate::serde_helpers::map_as_pairs")]
    pub slow_start_leases: Option<BTreeMap<UpstreamId, SlowStartLease>>,
    /// The slice of the `Retry-After` range that this sidecar uses for refused clients: its start and end,
    /// as fractions of the range.
    #[serde(default, rename = "come_back")]
    pub retry_after_slice: Option<[f64; 2]>,
}

/// A budget for retries or hedged requests: a fraction of the first attempts, with a limit on what can be
/// saved up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// The budget as a fraction of the first attempts.
    pub share: f64,
    /// The number of attempts that can be saved up.
    pub burst: u32,
}

impl From<Allowance> for Budget {
    fn from(Allowance { share, burst }: Allowance) -> Budget {
        Budget { share: Share(if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 }), burst }
    }
}

/// Permission for one sidecar to send a limited number of requests to a server in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLease {
    /// The number of requests. Later guidance may repeat a lease with its original number. As long as its
    /// end is unchanged, requests already sent under the lease stay deducted.
    pub requests: u32,
    /// When the lease ends, on the caller's clock.
    pub until: Millis,
}

/// Data residency: the zones that requests may go to. A request is restricted by the zone set of its class
/// and by the zone set of its tenant, where these have one.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Residency {
    /// The zone sets. An empty set allows no zone at all.
    #[serde(rename = "rings")]
    pub zone_sets: Vec<BTreeSet<ZoneId>>,
    /// The index of each class's zone set, indexed by [`ClassId`]. `None` means that the class may go
    /// anywhere. A class past the end of this list, or with an index past the end of `zone_sets`, may go
    /// nowhere: the class is new, and its rules have not arrived yet.
    pub classes: Vec<Option<usize>>,
    /// The index of each tenant's zone set, indexed by [`TenantId`]. A tenant past the end of this list may
    /// go anywhere.
    pub tenants: Vec<Option<usize>>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No server had capacity for the request.
    #[default]
    Overload,
    /// No server is serving in the zones that the request may go to.
    Residency,
    /// The cluster sheds requests of this class.
    Shed,
}

impl Reason {
    /// Whether the reason is overload, the default, which is not written out.
    pub fn is_overload(&self) -> bool {
        *self == Reason::Overload
    }
}

/// Something that happened. Events with the same time are passed in the order in which they happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request arrived from a client. The client must get one final answer.
    Arrived {
        /// The id of the request. Ids are never reused.
        request: RequestId,
        /// The class of the request.
        class: ClassId,
        /// The tenant of the request.
        tenant: TenantId,
        /// How long the client will wait for the answer.
        time_left: Millis,
        /// Whether the client marked the request as a retry.
        #[serde(default, rename = "repeat")]
        is_retry: bool,
    },
    /// An attempt ended. Each [`Action::Send`] gets this event exactly once.
    Finished(Finished),
    /// The client closed its request. It needs no answer any more.
    Abandoned(RequestId),
    /// A load poll ended.
    #[serde(rename = "probed")]
    LoadPolled {
        /// The server that was polled.
        upstream: UpstreamId,
        /// Whether the server answered.
        answered: bool,
        /// The server's load report, if the answer held one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        report: Option<LoadReport>,
    },
    /// Discovery updated the server list.
    Listed(ListUpdate),
    /// A timer set with [`Action::WakeAt`] expired. Carries the timer's token.
    Woke(u64),
    /// The cluster agreed on new directives. They replace the previous ones.
    Guided(Box<Guidance>),
    /// Another sidecar passed on a load report that a server gave it.
    Reported {
        /// The server that the report is about.
        upstream: UpstreamId,
        /// The server's load report.
        report: LoadReport,
        /// The age of the report.
        age: Millis,
    },
    /// Another sidecar's ejection probe of a server ended.
    #[serde(rename = "tried")]
    EjectionProbeEnded {
        /// The server that was probed.
        upstream: UpstreamId,
        /// Whether the server has recovered.
        #[serde(rename = "well")]
        recovered: bool,
    },
    /// The rules about where requests may go changed.
    #[serde(rename = "within")]
    ResidencyChanged(Residency),
}

/// An action for the sidecar to carry out. Actions are carried out at once, in the order of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        upstream: UpstreamId,
        /// The time after which the attempt has failed.
        timeout: Millis,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNo,
    },
    /// Answer that the request was not executed, so that the client can safely try again.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Millis,
        /// Why the request is refused.
        #[serde(default, skip_serializing_if = "Reason::is_overload")]
        reason: Reason,
    },
    /// Answer that the request failed. It may have been executed.
    Fail(RequestId),
    /// Poll a server for its load.
    #[serde(rename = "probe")]
    PollLoad(UpstreamId),
    /// Set a timer. The sidecar passes in [`Event::Woke`] with the token at this time or shortly after.
    WakeAt {
        /// When the timer expires.
        at: Millis,
        /// The token to pass back.
        token: u64,
    },
    /// Write a line to the log.
    Log {
        /// The request that the line is about, if there is one.
        about: Option<RequestId>,
        /// The text of the line.
        text: String,
    },
}
