//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are milliseconds on the caller's own clock, which only moves forward. The module never
//! reads a clock and does no I/O: the sidecar turns what happens into [`Event`]s and carries out
//! the [`Action`]s that come back.

use std::collections::{BTreeMap, BTreeSet};

use routes::policy::{Budget, Failure, Policy};
use routes::purse::Budgets;
use routes::units::Share;
use serde::{Deserialize, Serialize};

/// Milliseconds: a point on the caller's clock, or a span.
pub type Millis = f64;

/// One try of a client, as it entered this sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A server that requests can be sent to. The same id means the same server across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamId(pub u64);

/// The number of a send of one request: 0 for the first, 1 for the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNo(pub u32);

/// Index of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]; ignored where there are none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub usize);

/// A place whose members reach each other cheaply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ZoneId(pub u64);

/// A small set of servers inside one zone that share their memory of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u64);

/// A kind of machine, as discovery lists it: servers of one kind are taken to be alike until heard from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KindId(pub u64);

/// Which servers discard repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of the zone that may have run it.
    Zone,
    /// The servers of the cell that may have run it.
    Cell,
}

/// What running a request twice would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// No harm within the scope and for the window counted from the first send that may have run.
    ByKey {
        /// Who discards repeats.
        scope: DedupScope,
        /// For how long.
        window: Millis,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub latency_objective: Millis,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// The share of the worth that a later answer still earns.
    pub late_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// What its route sets beyond that; the module decides all that it leaves out.
    pub policy: Policy,
}

impl Class {
    /// How many retries and second copies its requests may have.
    pub fn budgets(&self) -> Budgets {
        [self.policy.retry_budget, self.policy.second_copy.map(|copy| copy.budget)]
    }
}

/// A customer with a share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, summed over all sidecars.
    pub quota_per_s: f64,
}

/// What the caller's surroundings allow.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Limits {
    /// Sends of one request, at most.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at the same time.
    pub concurrent_attempts: bool,
    /// Whether probes may be sent.
    pub load_polls: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// The longest wait that clients heed when refused; 0 where they heed none.
    pub max_retry_after: Millis,
    /// The shortest time between two rounds of events.
    pub tick: Millis,
}

/// The figures of the two rules about servers that leave or have just started.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SlowStartRules {
    /// A server starts with at least this share of its capacity.
    pub initial_share: f64,
    /// And has all of it after this long.
    pub warm_up: Millis,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold server falls over.
    pub overload_window: Millis,
}

/// What the module is told at start. It never learns names.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Request classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its worth that a request above its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// The zone of this sidecar.
    pub zone: ZoneId,
    /// How many sidecars there are, this one included.
    pub sidecars: u32,
    /// What one zone crossing costs, as a fraction of a mean request's worth.
    pub cross_zone_cost: f64,
    /// What one probe costs, likewise.
    pub load_poll_cost: f64,
    /// Allowances.
    pub limits: Limits,
    /// Rule figures.
    pub slow_start: SlowStartRules,
    /// Whether listed weights are sizes: how many requests a server works on at once, give or take.
    pub weights_are_capacities: bool,
    /// Whether a class's worth is that of a unit of work and not of a request.
    pub weight_per_work: bool,
    /// How many retries there may be over all classes; [`DEFAULT_RETRY_BUDGET`] where nothing is said.
    pub retry_budget: Option<Budget>,
    /// How many second copies; where nothing is said, as many as those of the classes come to.
    pub hedge_budget: Option<Budget>,
}

/// Further attempts that all requests may have together, where the operators say nothing: a share of first ones, and
/// so many saved up.
pub const DEFAULT_RETRY_BUDGET: Budget = Budget { share: Share(0.1), burst: 10 };

impl Settings {
    /// How many retries and second copies all requests may have together.
    pub fn budgets(&self) -> Budgets {
        [Some(self.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)), self.hedge_budget]
    }
}

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It does.
    Serving,
    /// It finishes what it has, or is gone: nothing new goes there.
    #[serde(rename = "leaving")]
    Draining,
}

/// A server as discovery lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// What kind of machine it is.
    pub kind: KindId,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Its size compared with others; 1 where nothing is known.
    pub weight: f64,
    /// When it last started, where that is not long ago.
    pub started: Option<Millis>,
}

/// News from discovery.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListUpdate {
    /// The complete list as last held before a restart; may be old.
    Restored(Vec<Listing>),
    /// The complete list; who is missing is gone.
    Complete(Vec<Listing>),
    /// Only what changed.
    Changed(Vec<Listing>),
}

/// A server's own report of its load. Any figure may be missing or absurd.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests it holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<f64>,
    /// How busy its cores are, 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub utilisation: Option<f64>,
    /// Requests served a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served_per_s: Option<f64>,
    /// Errors a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or may yet.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never left this sidecar.
    NotSent,
    /// No connection could be opened, for a reason of this machine's: it never ran, and says nothing of the server.
    LocalFailure,
}

impl Outcome {
    /// What a route's policy calls it; nothing where the send did not fail by the server or the network.
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

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NotSent | Outcome::LocalFailure)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Which of its sends.
    pub attempt: AttemptNo,
    /// Where it went.
    pub upstream: UpstreamId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub latency: Millis,
    /// Whether the client has its final answer.
    #[serde(rename = "closed")]
    pub request_closed: bool,
    /// A report that came with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<LoadReport>,
}

/// What the sidecars of a fleet agreed on. What is absent leaves the module to itself. A checkpoint holds it in a form
/// that knows fields by their places: none may be left out.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Guidance {
    /// By [`ClassId`], the chance that an arrival may be sent at all; a class without one always may.
    #[serde(default, rename = "admit")]
    pub admit_probability: Vec<f64>,
    /// Retries that all classes together may make, in place of what the settings say.
    #[serde(default, rename = "retries")]
    pub retry_budget: Option<Allowance>,
    /// Second copies, likewise.
    #[serde(default, rename = "copies")]
    pub hedge_budget: Option<Allowance>,
    /// Servers whose load this sidecar asks for, and no others.
    #[serde(default, rename = "probes")]
    pub load_poll_targets: Option<BTreeSet<UpstreamId>>,
    /// Ejected servers that this sidecar tries again, and no others.
    #[serde(default, rename = "trials")]
    pub ejection_probe_targets: Option<BTreeSet<UpstreamId>>,
    /// What it may send cold servers, instead of going by chance; nothing to those that are not named.
    #[serde(default, rename = "cold", with = "crate::serde_helpers::map_as_pairs")]
    pub slow_start_leases: Option<BTreeMap<UpstreamId, SlowStartLease>>,
    /// Where in the span that refused clients are asked to stay away theirs lie: from and to, as shares of it.
    #[serde(default, rename = "come_back")]
    pub retry_after_slice: Option<[f64; 2]>,
}

/// Further sends, as a share of first ones, and so many saved up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// The share.
    pub share: f64,
    /// What may be saved up.
    pub burst: u32,
}

impl From<Allowance> for Budget {
    fn from(Allowance { share, burst }: Allowance) -> Budget {
        Budget { share: Share(if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 }), burst }
    }
}

/// What one sidecar may send a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLease {
    /// So many whole requests. One lease is told again as it was given: what was sent of it stays sent while its end
    /// is the same.
    pub requests: u32,
    /// Until then, on the caller's clock.
    pub until: Millis,
}

/// Where requests may go: each to the zones of its class's ring and of its tenant's, where they have one.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Residency {
    /// The zones of each ring; one without zones lets nothing through.
    #[serde(rename = "rings")]
    pub zone_sets: Vec<BTreeSet<ZoneId>>,
    /// By [`ClassId`], the place of its ring; `None` where it may go anywhere. A class past the end, or a ring
    /// that is not there, may go nowhere: it is new, and its rules have not been told yet.
    pub classes: Vec<Option<usize>>,
    /// By [`TenantId`], likewise; a tenant past the end may go anywhere.
    pub tenants: Vec<Option<usize>>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No server had room for it.
    #[default]
    Overload,
    /// No server serves in the zones that it may go to.
    Residency,
    /// The fleet sheds its class.
    Shed,
}

impl Reason {
    /// Whether it is the usual one, which needs no word.
    pub fn is_overload(&self) -> bool {
        *self == Reason::Overload
    }
}

/// Something that happened. Events at one time are handed over in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A client's try came in and is owed one final answer.
    Arrived {
        /// Its id, never used again.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client waits.
        time_left: Millis,
        /// Whether the client says that it tries again.
        #[serde(default, rename = "repeat")]
        is_retry: bool,
    },
    /// An attempt ended; each [`Action::Send`] gets this once.
    Finished(Finished),
    /// The client left; nothing more is owed.
    Abandoned(RequestId),
    /// A probe came back.
    #[serde(rename = "probed")]
    LoadPolled {
        /// Who was asked.
        upstream: UpstreamId,
        /// Whether it answered.
        answered: bool,
        /// Its report.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        report: Option<LoadReport>,
    },
    /// News from discovery.
    Listed(ListUpdate),
    /// A timer set with [`Action::WakeAt`] came due.
    Woke(u64),
    /// What the fleet agreed on, in place of what it said before.
    Guided(Box<Guidance>),
    /// A server told another sidecar its load.
    Reported {
        /// Whose load it is.
        upstream: UpstreamId,
        /// Its report.
        report: LoadReport,
        /// How long ago it was.
        age: Millis,
    },
    /// Another sidecar's trial of an ejected server ended.
    #[serde(rename = "tried")]
    EjectionProbeEnded {
        /// The server.
        upstream: UpstreamId,
        /// Whether it is back.
        #[serde(rename = "well")]
        recovered: bool,
    },
    /// Where requests may go from now on.
    #[serde(rename = "within")]
    ResidencyChanged(Residency),
}

/// Something for the sidecar to do now, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Give the attempt up after this long.
        timeout: Millis,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its sends.
        attempt: AttemptNo,
    },
    /// Final answer: not done, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Millis,
        /// Why.
        #[serde(default, skip_serializing_if = "Reason::is_overload")]
        reason: Reason,
    },
    /// Final answer: failed, with no promise about effects.
    Fail(RequestId),
    /// Ask a server for its load.
    #[serde(rename = "probe")]
    PollLoad(UpstreamId),
    /// Hand back [`Event::Woke`] with this token at this time or soon after.
    WakeAt {
        /// When.
        at: Millis,
        /// What to hand back.
        token: u64,
    },
    /// A line for the operators.
    Log {
        /// The request that it is about, if it is about one.
        about: Option<RequestId>,
        /// The line.
        text: String,
    },
}
