//! The records of the balancer: pending requests, servers and the estimates drawn from answers and reports.
//! This module makes no decisions.
//!
//! A capture stores checkpoints of these records by position, without field names. Fields may be renamed, but
//! their order and number must not change.

use std::collections::BTreeMap;

use routes::purse::Purse;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::groups::Pool;

/// A server's limit, once lowered because the server rejected requests, recovers over this time.
const LIMIT_RECOVERY_TIME: Millis = 2_000.0;
/// A time before all others. It is finite because a checkpoint stores times as numbers.
const NEVER: Millis = f64::MIN;

/// Returns a factor that was `share` when it was measured, `since` ago, and returns to 1 exponentially with
/// the time constant `over`.
pub(crate) fn decay_to_one(share: f64, since: Millis, over: Millis) -> f64 {
    1.0 - (1.0 - share) * (-since / over).exp()
}

/// One attempt of a pending request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Millis,
    /// Whether the attempt has not ended yet.
    pub pending: bool,
    /// Whether the server may have executed the request. True until the outcome shows that it has not.
    pub may_have_run: bool,
}

impl Attempt {
    /// Creates the record of an attempt that was just sent to a server.
    pub fn new(id: UpstreamId, server: &Upstream, sent_at: Millis) -> Attempt {
        Attempt {
            upstream: id,
            zone: server.zone,
            cell: server.cell,
            sent_at,
            pending: true,
            may_have_run: true,
        }
    }
}

/// A request that has no final answer yet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived_at: Millis,
    pub deadline: Millis,
    /// All attempts so far, by their numbers.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived_at: Millis, time_left: Millis) -> PendingRequest {
        let deadline = arrived_at + time_left;
        PendingRequest { class, tenant, arrived_at, deadline, attempts: Vec::new() }
    }
}

/// An attempt of this sidecar that a server has not answered. It stays on record until the attempt ends, even
/// if its request is closed before.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct OutstandingAttempt {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    pub sent_at: Millis,
    /// The evaluation of the server at the time of sending.
    pub candidate: Candidate,
}

/// Estimates for one class. Times come from answers that met no queue.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ClassEstimate {
    /// Running median of the service time at a mean server, including network time.
    pub service_time: Millis,
    pub samples: f64,
    /// Remaining retries and hedged requests of the class.
    pub retry_budget: Purse,
    /// Time after which a hedged request is sent, if the class's policy states the delay as a percentile.
    pub hedge_delay: Millis,
}

impl ClassEstimate {
    pub fn new(service_time: Millis, retry_budget: Purse) -> ClassEstimate {
        ClassEstimate { service_time, samples: 0.0, retry_budget, hedge_delay: service_time }
    }

    /// Moves the median one step towards a sample. The first steps are larger.
    pub fn add_sample(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.service_time * step.max(0.5 / self.samples);
        self.service_time += if sample > self.service_time { step } else { -step };
    }
}

/// Estimates for one kind of machine, or for all servers together.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct KindEstimate {
    /// Running mean of the reported requests in flight per unit of listed weight. Its ratio to `utilisation`
    /// is κ per unit of listed weight.
    pub in_flight: f64,
    /// Running mean of the utilisation in the same reports.
    pub utilisation: f64,
    pub report_count: f64,
    /// How many of these reports came from servers with a low load.
    pub low_load_reports: f64,
    /// Geometric running mean of the service time relative to that of the mean server.
    pub mean_slowness: f64,
    pub answer_count: f64,
}

impl Default for KindEstimate {
    fn default() -> KindEstimate {
        // Before the first report, κ is the listed weight.
        KindEstimate {
            in_flight: 0.5,
            utilisation: 0.5,
            report_count: 0.0,
            low_load_reports: 0.0,
            mean_slowness: 1.0,
            answer_count: 0.0,
        }
    }
}

impl KindEstimate {
    /// Returns κ per unit of listed weight.
    pub fn capacity_per_weight(&self) -> f64 {
        self.in_flight.max(0.01) / self.utilisation.max(0.01)
    }

    /// Adds a server's report to the running means. `in_flight` is per unit of the server's listed weight.
    pub fn add_report(&mut self, in_flight: f64, utilisation: f64, step: f64, low_load: bool) {
        self.report_count += 1.0;
        self.low_load_reports += f64::from(u8::from(low_load));
        self.in_flight += step * (in_flight - self.in_flight);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Adds an answer's service time, relative to the mean server's, to the running mean.
    pub fn add_answer(&mut self, slowness: f64, step: f64) {
        self.answer_count += 1.0;
        self.mean_slowness *=
            (slowness.max(0.01) / self.mean_slowness).powf(step.max(1.0 / (1.0 + self.answer_count)));
    }
}

/// Estimates that concern more than one server.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Estimates {
    /// By [`ClassId`].
    pub classes: Vec<ClassEstimate>,
    /// By kind of machine.
    pub kinds: BTreeMap<KindId, KindEstimate>,
    /// For all servers together.
    pub all_servers: KindEstimate,
    /// Running mean of the requests that other sidecars have in flight at a server. It stands in for servers
    /// without a recent report.
    pub others_in_flight: f64,
    pub others_updated_at: Millis,
    /// How many sidecars share a server, including this one.
    pub sidecars_per_server: f64,
    /// Running share of the requests for which no server had headroom.
    pub rejection_rate: f64,
    /// Number of load polls that arrivals have earned and that are not spent yet.
    pub load_poll_budget: f64,
    /// Remaining retries and hedged requests of all classes together.
    pub retry_budget: Purse,
    /// Factor on the headroom, below 1 while answers are late. It returns to 1 with time.
    pub headroom_scale: f64,
    pub headroom_updated_at: Millis,
    /// Running mean of the arrivals' priority weight per unit of service time.
    pub mean_weight_density: Option<f64>,
    /// Each tenant's share of the arrivals at this sidecar.
    pub tenant_shares: Vec<f64>,
    pub first_report_at: Option<Millis>,
    /// When the reasons for a rejection were last logged.
    pub last_explained_at: Millis,
}

impl Estimates {
    pub fn new(classes: Vec<ClassEstimate>, tenants: usize, retry_budget: Purse) -> Estimates {
        Estimates {
            classes,
            others_updated_at: NEVER,
            retry_budget,
            headroom_scale: 1.0,
            headroom_updated_at: NEVER,
            tenant_shares: vec![0.0; tenants],
            last_explained_at: NEVER,
            ..Estimates::default()
        }
    }
}

/// Whether a server is in service or ejected as an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    Ready,
    /// No requests until `until`, then ejection probes. `duration` is the length of this ejection without
    /// jitter.
    Ejected {
        until: Millis,
        duration: Millis,
    },
}

/// All that is known of one server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Upstream {
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    /// Whether the server takes new requests.
    pub serving: bool,
    /// The set that holds the server among those that requests are drawn from: its side (0 for the own zone,
    /// 1 for others) and its state. `None` for a server that is in no set.
    pub placement: Option<(usize, Pool)>,
    pub weight: f64,
    pub started_at: Option<Millis>,
    /// Slow running mean of the reported utilisation, from 0 to 1.
    pub mean_utilisation: f64,
    /// Running mean of the requests that other sidecars have in flight there: the reported number less this
    /// sidecar's own.
    pub others_in_flight: f64,
    pub reported_at: Millis,
    /// The figures of the newest report. They show whether the next report repeats it.
    pub last_report: [f32; 3],
    /// When a load poll was sent that has not been answered yet.
    pub load_poll_sent_at: Option<Millis>,
    /// Attempts that the server has not answered, oldest first.
    pub outstanding: Vec<OutstandingAttempt>,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub slowness_updated_at: Millis,
    pub last_answer_at: Millis,
    /// Running failure rate in millionths.
    pub failure_rate_ppm: u32,
    pub health: Health,
    /// No requests are sent until this time, because the server has rejected one at once.
    pub backoff_until: Millis,
    /// Length of the last backoff. 0 if the server has served a request since.
    pub backoff_duration: Millis,
    /// The share of its capacity that the server accepted when it last rejected a request.
    pub limit_fraction: f64,
    pub limit_updated_at: Millis,
}

/// A server as evaluated for one request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub pool: Pool,
    /// The share of its full capacity that a server in slow start has for certain. 1 for other servers.
    pub warm_fraction: f64,
    /// Utilisation including this request, weighted by the server's slowness.
    pub projected_utilisation: f64,
    /// Requests in flight including this one, divided by the number that the server works on at once.
    pub occupancy: f64,
    /// Expected response time as a multiple of the server's own service time, because of its queue.
    pub queue_depth: f64,
    /// Whether the server is avoided because it has just rejected a request.
    pub backing_off: bool,
    /// The share of its capacity that the server accepts. `f64::MAX` if its capacity is not known.
    pub limit_fraction: f64,
    pub idle: bool,
    /// Expected response time as a multiple of the mean server's service time.
    pub expected_slowdown: f64,
    /// Expected response time.
    pub expected_latency: Millis,
}

impl Upstream {
    pub fn new(entry: &Listing) -> Upstream {
        Upstream {
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            serving: entry.lifecycle == Lifecycle::Serving,
            placement: None,
            weight: entry.weight,
            started_at: entry.started,
            mean_utilisation: 0.0,
            others_in_flight: 0.0,
            reported_at: NEVER,
            last_report: [-1.0; 3],
            load_poll_sent_at: None,
            outstanding: Vec::new(),
            slowness: 1.0,
            slowness_updated_at: NEVER,
            last_answer_at: NEVER,
            failure_rate_ppm: 0,
            health: Health::Ready,
            backoff_until: NEVER,
            backoff_duration: 0.0,
            limit_fraction: 1.0,
            limit_updated_at: NEVER,
        }
    }

    /// Applies a discovery entry. A restart of the server under the same id resets everything but the
    /// outstanding attempts.
    pub fn update_listing(&mut self, entry: &Listing) {
        if entry.started.is_some_and(|at| self.started_at.is_none_or(|known| at > known)) {
            let outstanding = std::mem::take(&mut self.outstanding);
            *self = Upstream { outstanding, ..Upstream::new(entry) };
        }
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.kind = entry.kind;
        self.serving = entry.lifecycle == Lifecycle::Serving;
        self.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
    }

    /// Returns the server's state at `now`, and the time at which the state may change without an event.
    pub fn pool_at(&self, now: Millis, rules: &SlowStartRules) -> (Pool, Option<Millis>) {
        let warm_at = self.started_at.map(|started| started + rules.warm_up).filter(|at| now < *at);
        match (self.health, warm_at) {
            (Health::Ejected { until, .. }, _) if now < until => (Pool::Waiting, Some(until)),
            // The server is half-open once its time is up: it gets one ejection probe at a time.
            (Health::Ejected { .. }, _) if self.outstanding.is_empty() => (Pool::Trial, None),
            (Health::Ejected { .. }, _) => (Pool::Waiting, None),
            (Health::Ready, Some(at)) => (Pool::Cold, Some(at)),
            (Health::Ready, None) => (Pool::Warm, None),
        }
    }

    /// Returns the share of its full capacity that the server has for certain. During slow start it rises
    /// linearly from `initial_share` to 1.
    pub fn warm_fraction(&self, now: Millis, rules: &SlowStartRules) -> f64 {
        match self.started_at {
            Some(started) if now < started + rules.warm_up => {
                let age = (now - started).max(0.0);
                (rules.initial_share + (1.0 - rules.initial_share) * age / rules.warm_up).max(0.01)
            }
            _ => 1.0,
        }
    }

    /// Returns the share of its capacity that the server accepts. A reduction fades with time.
    pub fn limit_fraction_at(&self, now: Millis) -> f64 {
        decay_to_one(self.limit_fraction, now - self.limit_updated_at, LIMIT_RECOVERY_TIME)
    }

    /// Removes an outstanding attempt and returns it.
    pub fn remove_outstanding(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Option<OutstandingAttempt> {
        let matches = |o: &OutstandingAttempt| o.request == request && o.attempt == attempt;
        Some(self.outstanding.remove(self.outstanding.iter().position(matches)?))
    }
}
