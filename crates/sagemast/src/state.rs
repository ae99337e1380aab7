//! The records that the decision module keeps. Nothing is decided here.

use std::collections::BTreeMap;

use routes::purse::Purse;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::groups::Pool;

/// What a server taught by turning requests away fades over this time.
const LIMIT_RECOVERY_TIME: Millis = 2_000.0;
/// A time that lies before all others, but is finite: a checkpoint keeps times as numbers.
const NEVER: Millis = f64::MIN;

/// A share of the usual that was learnt so long ago and goes back to all of it over a time.
pub(crate) fn decay_to_one(share: f64, since: Millis, over: Millis) -> f64 {
    1.0 - (1.0 - share) * (-since / over).exp()
}

/// One send of a request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Millis,
    pub pending: bool,
    pub may_have_run: bool,
}

impl Attempt {
    /// A send that has just gone out to this server.
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Attempt {
        Attempt {
            upstream: id,
            zone: to.zone,
            cell: to.cell,
            sent_at: sent,
            pending: true,
            may_have_run: true,
        }
    }
}

/// A request that is owed an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PendingRequest {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived_at: Millis,
    pub deadline: Millis,
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> PendingRequest {
        let deadline = arrived + time_left;
        PendingRequest { class, tenant, arrived_at: arrived, deadline, attempts: Vec::new() }
    }
}

/// One of our sends that a server has not answered.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct OutstandingAttempt {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    pub sent_at: Millis,
    /// The server as it looked then.
    pub candidate: Candidate,
}

/// What is known of one class, times from answers that met no queue.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ClassEstimate {
    /// Running median of its time at a mean server, network time included.
    pub service_time: Millis,
    pub samples: f64,
    /// Retries and second copies that it has left.
    pub retry_budget: Purse,
    /// The time after which an answer counts as late enough for a second copy.
    pub hedge_delay: Millis,
}

impl ClassEstimate {
    pub fn new(time: Millis, purse: Purse) -> ClassEstimate {
        ClassEstimate { service_time: time, samples: 0.0, retry_budget: purse, hedge_delay: time }
    }

    /// Steps the median towards a sample, at first in larger steps.
    pub fn add_sample(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.service_time * step.max(0.5 / self.samples);
        self.service_time += if sample > self.service_time { step } else { -step };
    }
}

/// What is known of one kind of machine, or of all of them.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct KindEstimate {
    /// Running means of what its servers report, by unit of listed weight; their ratio is κ.
    pub in_flight: f64,
    pub utilisation: f64,
    pub report_count: f64,
    /// How many of them were of servers with little to do.
    pub low_load_reports: f64,
    /// Geometric running mean of its service time relative to the mean server's.
    pub mean_slowness: f64,
    pub answer_count: f64,
}

impl Default for KindEstimate {
    fn default() -> KindEstimate {
        // To begin with, κ is the listed weight.
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
    /// κ by unit of listed weight.
    pub fn capacity_per_weight(&self) -> f64 {
        self.in_flight.max(0.01) / self.utilisation.max(0.01)
    }

    /// Averages in a server's report.
    pub fn add_report(&mut self, in_flight: f64, utilisation: f64, step: f64, calm: bool) {
        self.report_count += 1.0;
        self.low_load_reports += f64::from(u8::from(calm));
        self.in_flight += step * (in_flight - self.in_flight);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Averages in an answer's time relative to the mean server's.
    pub fn add_answer(&mut self, pace: f64, step: f64) {
        self.answer_count += 1.0;
        self.mean_slowness *=
            (pace.max(0.01) / self.mean_slowness).powf(step.max(1.0 / (1.0 + self.answer_count)));
    }
}

/// What one sidecar has learnt of its surroundings as a whole.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Estimates {
    /// By class.
    pub classes: Vec<ClassEstimate>,
    /// By kind of machine, and of all together.
    pub kinds: BTreeMap<KindId, KindEstimate>,
    pub all_servers: KindEstimate,
    /// Running mean of what others have in flight at a server, and when it was last learnt; stands in where a
    /// server was not heard of.
    pub others_in_flight: f64,
    pub others_updated_at: Millis,
    /// How many sidecars share a server, this one included.
    pub sidecars_per_server: f64,
    /// Share of the arrivals that no server had room for.
    pub rejection_rate: f64,
    /// Probes that arrivals have earned and that are not spent yet.
    pub probe_budget: f64,
    /// Retries and second copies that are left to all.
    pub retry_budget: Purse,
    /// Room shrinks to this share of the usual while answers are late, and when it was last learnt.
    pub headroom_scale: f64,
    pub headroom_updated_at: Millis,
    /// Worth per service time of the mean arrival.
    pub mean_worth_density: Option<f64>,
    /// Each tenant's share of our arrivals.
    pub tenant_shares: Vec<f64>,
    /// When the first report came.
    pub first_report_at: Option<Millis>,
    /// When the grounds of a refusal were last told.
    pub last_explained_at: Millis,
}

impl Estimates {
    pub fn new(service: Vec<ClassEstimate>, tenants: usize, purse: Purse) -> Estimates {
        Estimates {
            classes: service,
            others_updated_at: NEVER,
            retry_budget: purse,
            headroom_scale: 1.0,
            headroom_updated_at: NEVER,
            tenant_shares: vec![0.0; tenants],
            last_explained_at: NEVER,
            ..Estimates::default()
        }
    }
}

/// Whether a server takes part in the draw.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    Ready,
    Ejected { until: Millis, duration: Millis },
}

/// What is known of one server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Upstream {
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub serving: bool,
    /// Which of the fleet's sets it stands in: side and state.
    pub placement: Option<(usize, Pool)>,
    pub weight: f64,
    pub started_at: Option<Millis>,
    /// Slow running mean of what it reports, 0 to 1.
    pub mean_utilisation: f64,
    /// Running mean of what others have in flight there: its reports less our own.
    pub others_in_flight: f64,
    pub reported_at: Millis,
    /// The newest report, to know the next one from its repetition.
    pub last_report: [f32; 3],
    pub probe_sent_at: Option<Millis>,
    pub outstanding: Vec<OutstandingAttempt>,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub slowness_updated_at: Millis,
    pub last_answer_at: Millis,
    /// Failure rate, in millionths.
    pub failure_rate_ppm: u32,
    pub health: Health,
    /// It turned requests away and is left alone until then; for how long, 0 since it served one.
    pub backoff_until: Millis,
    pub backoff_duration: Millis,
    /// The share of its size that it was last seen to take, and when.
    pub limit_fraction: f64,
    pub limit_updated_at: Millis,
}

/// A server as one request sees it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub pool: Pool,
    pub warm_fraction: f64,
    pub projected_utilisation: f64,
    /// What it would hold with this request, by what it works on at once.
    pub occupancy: f64,
    /// How many times its own service time an answer is expected to take, for the queue before it.
    pub queue_depth: f64,
    /// It turned a request away a moment ago.
    pub backing_off: bool,
    pub limit_fraction: f64,
    pub idle: bool,
    /// How many times the mean server's service time an answer is expected to take.
    pub expected_slowdown: f64,
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
            probe_sent_at: None,
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

    /// Takes over what discovery says. A new life under the same id leaves nothing known but what is out.
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

    /// The state it is in, and when time alone will change that.
    pub fn pool_at(&self, now: Millis, safety: &Safety) -> (Pool, Option<Millis>) {
        let warm_at = self.started_at.map(|started| started + safety.warm_up).filter(|at| now < *at);
        match (self.health, warm_at) {
            (Health::Ejected { until, .. }, _) if now < until => (Pool::Waiting, Some(until)),
            // Half-open after a while: one trial at a time.
            (Health::Ejected { .. }, _) if self.outstanding.is_empty() => (Pool::Trial, None),
            (Health::Ejected { .. }, _) => (Pool::Waiting, None),
            (Health::Ready, Some(at)) => (Pool::Cold, Some(at)),
            (Health::Ready, None) => (Pool::Warm, None),
        }
    }

    /// The share of its capacity that a server surely has: a line from the cold share to all of it.
    pub fn warm_fraction(&self, now: Millis, safety: &Safety) -> f64 {
        match self.started_at {
            Some(started) if now < started + safety.warm_up => {
                let age = (now - started).max(0.0);
                (safety.cold_share + (1.0 - safety.cold_share) * age / safety.warm_up).max(0.01)
            }
            _ => 1.0,
        }
    }

    /// The share of its size that it takes, as far as that is not forgotten.
    pub fn limit_fraction_at(&self, now: Millis) -> f64 {
        decay_to_one(self.limit_fraction, now - self.limit_updated_at, LIMIT_RECOVERY_TIME)
    }

    /// Strikes a send off the books.
    pub fn remove_outstanding(
        &mut self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Option<OutstandingAttempt> {
        let matching = |o: &OutstandingAttempt| o.request == request && o.attempt == attempt;
        Some(self.outstanding.remove(self.outstanding.iter().position(matching)?))
    }
}
