//! The records that the decision module keeps. Nothing is decided here.

use std::collections::BTreeMap;

use routes::purse::Purse;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::groups::Pool;

/// What a server taught by turning requests away fades over this time.
const LIMIT_FORGETS: Millis = 2_000.0;
/// A time that lies before all others, but is finite: a checkpoint keeps times as numbers.
const NEVER: Millis = f64::MIN;

/// A share of the usual that was learnt so long ago and goes back to all of it over a time.
pub(crate) fn faded(share: f64, since: Millis, over: Millis) -> f64 {
    1.0 - (1.0 - share) * (-since / over).exp()
}

/// One send of a request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Try {
    pub upstream: UpstreamId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Millis,
    pub out: bool,
    pub may_have_run: bool,
}

impl Try {
    /// A send that has just gone out to this server.
    pub fn new(id: UpstreamId, to: &Upstream, sent: Millis) -> Try {
        Try { upstream: id, zone: to.zone, cell: to.cell, sent, out: true, may_have_run: true }
    }
}

/// A request that is owed an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Held {
    pub class: ClassId,
    pub tenant: TenantId,
    pub arrived: Millis,
    pub deadline: Millis,
    pub tries: Vec<Try>,
}

impl Held {
    pub fn new(class: ClassId, tenant: TenantId, arrived: Millis, time_left: Millis) -> Held {
        let deadline = arrived + time_left;
        Held { class, tenant, arrived, deadline, tries: Vec::new() }
    }
}

/// One of our sends that a server has not answered.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Outstanding {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub class: ClassId,
    pub sent: Millis,
    /// The server as it looked then.
    pub to: Candidate,
}

/// What is known of one class, times from answers that met no queue.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Service {
    /// Running median of its time at a mean server, network time included.
    pub time: Millis,
    pub samples: f64,
    /// Retries and second copies that it has left.
    pub purse: Purse,
    /// The time after which an answer counts as late enough for a second copy.
    pub late: Millis,
}

impl Service {
    pub fn new(time: Millis, purse: Purse) -> Service {
        Service { time, samples: 0.0, purse, late: time }
    }

    /// Steps the median towards a sample, at first in larger steps.
    pub fn add(&mut self, sample: Millis, step: f64) {
        self.samples += 1.0;
        let step = self.time * step.max(0.5 / self.samples);
        self.time += if sample > self.time { step } else { -step };
    }
}

/// What is known of one kind of machine, or of all of them.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Kind {
    /// Running means of what its servers report, by unit of listed weight; their ratio is κ.
    pub in_flight: f64,
    pub utilisation: f64,
    pub reports: f64,
    /// How many of them were of servers with little to do.
    pub calm: f64,
    /// Geometric running mean of its service time relative to the mean server's.
    pub pace: f64,
    pub answers: f64,
}

impl Default for Kind {
    fn default() -> Kind {
        // To begin with, κ is the listed weight.
        Kind { in_flight: 0.5, utilisation: 0.5, reports: 0.0, calm: 0.0, pace: 1.0, answers: 0.0 }
    }
}

impl Kind {
    /// κ by unit of listed weight.
    pub fn kappa(&self) -> f64 {
        self.in_flight.max(0.01) / self.utilisation.max(0.01)
    }

    /// Averages in a server's report.
    pub fn reported(&mut self, in_flight: f64, utilisation: f64, step: f64, calm: bool) {
        self.reports += 1.0;
        self.calm += f64::from(u8::from(calm));
        self.in_flight += step * (in_flight - self.in_flight);
        self.utilisation += step * (utilisation - self.utilisation);
    }

    /// Averages in an answer's time relative to the mean server's.
    pub fn answered(&mut self, pace: f64, step: f64) {
        self.answers += 1.0;
        self.pace *= (pace.max(0.01) / self.pace).powf(step.max(1.0 / (1.0 + self.answers)));
    }
}

/// What one sidecar has learnt of its surroundings as a whole.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Learnt {
    /// By class.
    pub service: Vec<Service>,
    /// By kind of machine, and of all together.
    pub kinds: BTreeMap<KindId, Kind>,
    pub fleet: Kind,
    /// Running mean of what others have in flight at a server, and when it was last learnt; stands in where a
    /// server was not heard of.
    pub others: f64,
    pub others_at: Millis,
    /// How many sidecars share a server, this one included.
    pub sharers: f64,
    /// Share of the arrivals that no server had room for.
    pub refused: f64,
    /// Probes that arrivals have earned and that are not spent yet.
    pub probes: f64,
    /// Retries and second copies that are left to all.
    pub purse: Purse,
    /// Room shrinks to this share of the usual while answers are late, and when it was last learnt.
    pub room_scale: f64,
    pub room_at: Millis,
    /// Worth per service time of the mean arrival.
    pub usual_density: Option<f64>,
    /// Each tenant's share of our arrivals.
    pub tenant_shares: Vec<f64>,
    /// When the first report came.
    pub first_at: Option<Millis>,
    /// When the grounds of a refusal were last told.
    pub explained_at: Millis,
}

impl Learnt {
    pub fn new(service: Vec<Service>, tenants: usize, purse: Purse) -> Learnt {
        Learnt {
            service,
            others_at: NEVER,
            purse,
            room_scale: 1.0,
            room_at: NEVER,
            tenant_shares: vec![0.0; tenants],
            explained_at: NEVER,
            ..Learnt::default()
        }
    }
}

/// Whether a server takes part in the draw.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    Ready,
    Ejected { until: Millis, wait: Millis },
}

/// What is known of one server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Upstream {
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub serving: bool,
    /// Which of the fleet's sets it stands in: side and state.
    pub pooled: Option<(usize, Pool)>,
    pub weight: f64,
    pub started: Option<Millis>,
    /// Slow running mean of what it reports, 0 to 1.
    pub mean_utilisation: f64,
    /// Running mean of what others have in flight there: its reports less our own.
    pub others: f64,
    pub reported_at: Millis,
    /// The newest report, to know the next one from its repetition.
    pub last_report: [f32; 3],
    pub probe_sent: Option<Millis>,
    pub outstanding: Vec<Outstanding>,
    /// Service time relative to the mean of all servers.
    pub slowness: f64,
    pub learnt_at: Millis,
    pub answered_at: Millis,
    /// Failure rate, in millionths.
    pub failures: u32,
    pub health: Health,
    /// It turned requests away and is left alone until then; for how long, 0 since it served one.
    pub shut_until: Millis,
    pub shut_for: Millis,
    /// The share of its size that it was last seen to take, and when.
    pub limit: f64,
    pub limited_at: Millis,
}

/// A server as one request sees it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Candidate {
    pub id: UpstreamId,
    pub pool: Pool,
    pub warmth: f64,
    pub projected: f64,
    /// What it would hold with this request, by what it works on at once.
    pub used: f64,
    /// How many times its own service time an answer is expected to take, for the queue before it.
    pub depth: f64,
    /// It turned a request away a moment ago.
    pub shut: bool,
    pub limit: f64,
    pub idle: bool,
    /// How many times the mean server's service time an answer is expected to take.
    pub crowding: f64,
    pub wait: Millis,
}

impl Upstream {
    pub fn new(entry: &Listing) -> Upstream {
        Upstream {
            zone: entry.zone,
            cell: entry.cell,
            kind: entry.kind,
            serving: entry.lifecycle == Lifecycle::Serving,
            pooled: None,
            weight: entry.weight,
            started: entry.started,
            mean_utilisation: 0.0,
            others: 0.0,
            reported_at: NEVER,
            last_report: [-1.0; 3],
            probe_sent: None,
            outstanding: Vec::new(),
            slowness: 1.0,
            learnt_at: NEVER,
            answered_at: NEVER,
            failures: 0,
            health: Health::Ready,
            shut_until: NEVER,
            shut_for: 0.0,
            limit: 1.0,
            limited_at: NEVER,
        }
    }

    /// Takes over what discovery says. A new life under the same id leaves nothing known but what is out.
    pub fn relist(&mut self, entry: &Listing) {
        if entry.started.is_some_and(|at| self.started.is_none_or(|known| at > known)) {
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
    pub fn state(&self, now: Millis, safety: &SlowStartRules) -> (Pool, Option<Millis>) {
        let warm_at = self.started.map(|started| started + safety.warm_up).filter(|at| now < *at);
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
    pub fn warmth(&self, now: Millis, safety: &SlowStartRules) -> f64 {
        match self.started {
            Some(started) if now < started + safety.warm_up => {
                let age = (now - started).max(0.0);
                (safety.initial_share + (1.0 - safety.initial_share) * age / safety.warm_up).max(0.01)
            }
            _ => 1.0,
        }
    }

    /// The share of its size that it takes, as far as that is not forgotten.
    pub fn limit_at(&self, now: Millis) -> f64 {
        faded(self.limit, now - self.limited_at, LIMIT_FORGETS)
    }

    /// Strikes a send off the books.
    pub fn take(&mut self, request: RequestId, attempt: AttemptNo) -> Option<Outstanding> {
        let matching = |o: &Outstanding| o.request == request && o.attempt == attempt;
        Some(self.outstanding.remove(self.outstanding.iter().position(matching)?))
    }
}
