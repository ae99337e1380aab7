//! Every decision of the load balancer. The types it speaks in are in `src/api.rs`.
//!
//! Ordinary path: per request draw two ready servers at random and send to the one with the smaller
//! projected utilisation (m+1)/κ. Read on in the order a request meets it: arrival, choice, room, look, send,
//! outcome; then limits, reports, health, the list.

use std::collections::BTreeMap;

use oorandom::Rand64;
use ordered_float::OrderedFloat;
use routes::purse::{self, Budgets, Further, Purse};
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::cluster_guidance::ClusterGuidance;
use crate::fleet::Fleet;
use crate::groups::{From, Pool};
use crate::slow_start::SlowStart;
use crate::state::*;

/// A report older than this is renewed when its server is drawn: servers renew theirs no oftener.
const REPORT_REFRESH_AGE: Millis = 300.0;
/// From this age on a report tells less and less, over [`ESTIMATE_DECAY_TIME`]; the fleet's mean takes its place.
const REPORT_STALE_AGE: Millis = 1_000.0;
/// What others have in flight at a server is averaged over about this time: a report is a second old when
/// it comes, and every sidecar reads the same one, so that by single readings all crowd the same server at
/// once.
const OTHERS_AVERAGING_TIME: Millis = 3_000.0;
/// Servers average their utilisation over about this time.
const SERVER_AVERAGING_TIME: Millis = 700.0;
/// Reports tell κ while a server's utilisation, averaged over about this time, is below this.
const LOW_UTILISATION: f64 = 0.6;
const UTILISATION_AVERAGING_TIME: Millis = 3_000.0;
/// Where the list tells no sizes, busier reports count until so many calm ones are known: not saturated
/// ones.
const ENOUGH_LOW_LOAD_REPORTS: f64 = 20.0;
const SATURATED_UTILISATION: f64 = 0.9;
/// Weight of a report in κ, which is a property of machines and does not change from one second to the
/// next.
const CAPACITY_SMOOTHING: f64 = 0.005;
/// How many reports a listed size counts for.
const LISTED_CAPACITY_REPORTS: f64 = 20.0;
/// A first try, by which the platform prices probes, pays for them with this share of its worth, and so many
/// are saved up: all sidecars ask the same servers, so that more of them must ask less each.
const PROBE_SPENDING_SHARE: f64 = 0.02;
const MAX_PROBE_BUDGET: f64 = 8.0;
/// Below this reported utilisation in-flight / utilisation is mostly rounding.
const MIN_REPORTED_UTILISATION: f64 = 0.1;
/// Weight of a new sample in the slowness and the failure rate of one server.
const SERVER_SMOOTHING: f64 = 0.15;
/// Weight of a new sample in what all servers or all arrivals feed.
const GLOBAL_SMOOTHING: f64 = 0.02;
/// The service time assumed at first, as a share of the class's aim.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.15;
/// What was learnt of a server, its slowness or its load, fades over this time when nothing new is learnt.
const ESTIMATE_DECAY_TIME: Millis = 2_000.0;
/// An unanswered send counts as this share of an answer that took as long: service times spread.
const UNANSWERED_WEIGHT: f64 = 0.5;
/// A send is accepted while its answer is expected after no more than this many times what it would take on
/// an idle mean server, where nearly all that servers hold was sent by others: what three cores in use to
/// three quarters come to by queueing theory. Beyond, queues grow faster than reports tell.
const MAX_SLOWDOWN: f64 = 1.75;
/// Room shrinks while more of what was accepted is late than this: crowded servers slow down unforeseen.
const LATE_ANSWERS_TARGET: f64 = 0.15;
/// How strongly a request's chance depends on what it earns, where nearly all is refused; half as strongly
/// where this share is; and how much smaller than that of others a chance may become.
const PRIORITY_STRENGTH: f64 = 0.8;
const PRIORITY_HALF_STRENGTH_AT: f64 = 0.1;
const MIN_PRIORITY_FACTOR: f64 = 0.7;
/// A server is sent no more than it works on at once and a share of that to wait there, and its wait may be
/// longer by that share: this one for a sidecar by itself, less the more share it and send unseen. What waits
/// at a server slows it down; what waits at a client does not.
const EXTRA_QUEUE_SHARE: f64 = 1.5;
const EXTRA_QUEUE_EXPONENT: f64 = 0.7;
/// A server this little used, with one request more, counts as idle.
const IDLE_UTILISATION: f64 = 0.5;
/// And so does one that holds no more than this with it, whatever its size is taken for.
const IDLE_REQUESTS: f64 = 2.0;
/// Pairs drawn for a request at the most: a near one and one of all, and so many more by the share that a
/// sidecar sees of the load. The more are drawn in a full fleet, the likelier a server is found that only an
/// old report calls free, and all sidecars find the same.
const MAX_PAIRS: [f64; 2] = [2.0, 4.0];
/// A sidecar deals with a subset of the servers: it hears of each in time, and its connections are open.
/// So many sidecars share each server, which chance spreads evenly enough (by a sixth), and so many servers
/// are the least to choose among.
const SIDECARS_PER_SERVER: f64 = 32.0;
const MIN_SUBSET_SIZE: f64 = 16.0;
/// What late answers taught of room fades over this time.
const HEADROOM_RECOVERY_TIME: Millis = 20_000.0;
/// A refused client is asked to stay away for up to this share of its aim.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// An attempt is given at least this multiple of its expected time before another is tried.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// What is out for this many service times, while the server answers others, is taken for lost.
const LOST_AFTER_SERVICE_TIMES: f64 = 5.0;
/// Time left to the aim when another attempt is tried, in service times.
const RETRY_RESERVE: f64 = 1.5;
/// A server is ejected when its failure rate is this far above that of its peers.
const EJECTION_MARGIN: f64 = 0.4;
/// At most this share of the servers may be ejected: if more look bad, we or the network may be at fault.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// First and longest time a server stays ejected before a trial.
const EJECTION_TIMES: [Millis; 2] = [1_000.0, 8_000.0];
/// By how much a server's limit is cut each time that it turns a request away, and how far at the most.
const LIMIT_DECREASE: f64 = 0.75;
const MIN_LIMIT_FRACTION: f64 = 0.2;
/// First and longest time for which a server that turned a request away is left alone.
const BACKOFF_TIMES: [Millis; 2] = [100.0, 1_600.0];
/// The share of a cold server's allowance that a fleet's leases give out: speeds and costs are estimates.
pub const SLOW_START_LEASE_SHARE: f64 = 0.5;

/// The decision module of one sidecar. The same seed, settings and events give the same actions.
#[derive(Debug, Serialize, Deserialize)]
pub struct Balancer {
    #[serde(skip)]
    pub(crate) settings: Settings,
    #[serde(with = "crate::serde_helpers::rng")]
    pub(crate) rng: Rand64,
    pub(crate) now: Millis,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) endpoints: Fleet,
    pub(crate) estimates: Estimates,
    pub(crate) guidance: ClusterGuidance,
    pub(crate) slow_start: SlowStart,
}

impl Balancer {
    /// A module that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        // Until answers tell, a service time that leaves room for a queue and another try.
        let service = |class: &Class| {
            ClassEstimate::new(class.aim * INITIAL_SERVICE_TIME_SHARE, Purse::full(class.budgets()))
        };
        let service = settings.classes.iter().map(service).collect();
        let seen = Estimates::new(service, settings.tenants.len(), Purse::full(settings.budgets()));
        Balancer {
            settings,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            requests: BTreeMap::new(),
            endpoints: Fleet::new(seed),
            estimates: seen,
            guidance: ClusterGuidance::default(),
            slow_start: SlowStart::new(seed),
        }
    }

    /// Takes in one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.endpoints.pass_time(self.now, &self.settings.safety);
        self.slow_start.begin(self.now);
        match event {
            Event::Arrived { request, class, tenant, time_left, repeat } => {
                let earned = if repeat { 0.0 } else { PROBE_SPENDING_SHARE / self.settings.probe_fee };
                self.estimates.probe_budget = (self.estimates.probe_budget + earned).min(MAX_PROBE_BUDGET);
                self.on_arrived(
                    request,
                    PendingRequest::new(class, tenant, self.now, time_left.max(0.0)),
                    actions,
                )
            }
            Event::Finished(end) => {
                self.record_outcome(end, actions);
                self.on_finished(end, actions);
            }
            Event::Abandoned(request) => self.close_request(request, actions),
            Event::Probed { upstream, answered, report } => self.on_probed(upstream, answered, report),
            Event::Listed(news) => self.on_list_update(news),
            Event::Guided(told) => {
                let before = self.budgets();
                self.guidance.update(*told);
                self.estimates.retry_budget = self.estimates.retry_budget.within(before, self.budgets());
            }
            Event::Reported { upstream, report, age } => self.record_report(upstream, report, age),
            Event::Tried { upstream, well } => self.on_ejection_probe_result(upstream, well),
            Event::Within(residency) => {
                self.endpoints.bound(&residency.rings);
                self.guidance.residency = Some(residency);
                self.select_subset();
            }
            Event::Woke(token) => self.on_timer(RequestId(token >> 1), token & 1 == 1, actions),
        }
    }

    fn on_arrived(&mut self, request: RequestId, mut pending: PendingRequest, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request) {
            return;
        }
        let id = pending.class;
        let Some(class) = self.settings.classes.get(id.0) else {
            return actions.push(Action::Refuse { request, retry_after: 0.0, reason: Reason::default() });
        };
        pending.deadline =
            pending.deadline.min(pending.arrived_at + class.policy.overall.map_or(f64::MAX, |all| all.0));
        self.estimates.classes[pending.class.0].retry_budget.earn(class.budgets());
        self.estimates.retry_budget.earn(self.budgets());
        for (number, share) in self.estimates.tenant_shares.iter_mut().enumerate() {
            *share += GLOBAL_SMOOTHING * (f64::from(u8::from(number == pending.tenant.0)) - *share);
        }
        let density = self.worth_density(pending.class);
        let usual = self.estimates.mean_worth_density.get_or_insert(density);
        *usual += GLOBAL_SMOOTHING * (density - *usual);
        self.slow_start.arrived(id, class.aim * INITIAL_SERVICE_TIME_SHARE);
        self.requests.insert(request, pending);
        // Asked whether or not they are drawn: the others hear of these servers by this sidecar alone.
        self.guidance.next_probe().into_iter().for_each(|id| self.probe(id, actions));
        match self.guidance.admission_probability(id) {
            Some(chance) if self.rng.rand_float() >= chance => {
                self.reject_or_fail(request, Reason::Shed, actions)
            }
            _ => self.dispatch(request, actions),
        }
    }

    /// Sends a request to the best place there is, or ends it.
    fn dispatch(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        let to = self.choose_server(request, &pending, actions);
        self.estimates.rejection_rate +=
            GLOBAL_SMOOTHING * (f64::from(u8::from(to.is_none())) - self.estimates.rejection_rate);
        match to {
            Some(to) => {
                self.send(request, to, self.endpoints.serving(self.guidance.ring(&pending)) > 1, actions)
            }
            None => self.reject_or_fail(request, self.endpoints.lack(self.guidance.ring(&pending)), actions),
        }
    }

    /// Draws pairs until one has a member with room; it goes to the one with the smaller projected
    /// utilisation.
    fn choose_server(
        &mut self,
        request: RequestId,
        pending: &PendingRequest,
        actions: &mut Vec<Action>,
    ) -> Option<Candidate> {
        let ring = self.guidance.ring(pending);
        let within = self.eligible_endpoints(ring, pending)?;
        let spared = self.endpoints.count(ring, &[Pool::Warm, Pool::Cold]) > pending.attempts.len();
        let (room, left) = (self.slowdown_limit(), self.headroom_scale() * self.time_to_objective(pending));
        let most = self.visibility_factor() * self.headroom_scale();
        let favoured = self.rng.rand_float() < self.admission_probability(pending);
        // An idle one always has room: a service time learnt in a jam would lock everyone out.
        // What bounds a cold one is its allowance: unheard of, it seems to hold what warm ones hold.
        let bounded =
            |to: &Candidate| to.expected_slowdown <= room && to.occupancy <= most * to.limit_fraction;
        let fits = |to: &Candidate| to.expected_latency <= left && (to.pool == Pool::Cold || bounded(to));
        let (mut last, mut cold_drawn) = ([None; 3], false);
        let pairs = (MAX_PAIRS[0] + MAX_PAIRS[1] * (self.visibility_factor() - 1.0)).round() as usize;
        for round in 0.. {
            // One that a cold pair was drawn in vain for does not count.
            if round >= pairs + usize::from(cold_drawn) {
                break;
            }
            let from = match within {
                // A near server that has room answers sooner; its limit keeps it from being filled up.
                From::Ready if round == 0 && self.settings.crossing_fee > 0.0 => From::Near,
                // What a cold pair must not be sent yet goes to warm servers: clients would only ask again.
                From::Ready if cold_drawn => From::Warm,
                within => within,
            };
            let drawn = self.draw(ring, from, round, pending);
            let Some(ids) = drawn.map(|drawn| drawn.map(|to| to.map(|to| to.id))) else { continue };
            last = drawn.unwrap_or_default();
            let mut by_use = last;
            by_use.sort_by_key(|to| {
                to.map_or(OrderedFloat(f64::MAX), |to| OrderedFloat(to.projected_utilisation))
            });
            for to in by_use.into_iter().flatten() {
                // One that has just failed this request is the likeliest to fail it again.
                let failed = spared && pending.attempts.iter().any(|t| t.upstream == to.id);
                let others = to.pool == Pool::Trial && !self.guidance.may_send_ejection_probe(to.id);
                let waits = (to.pool == Pool::Waiting || others) && from != From::Everyone;
                if failed || waits || to.backing_off || !(to.idle || favoured && fits(&to)) {
                    continue;
                }
                cold_drawn |= to.pool == Pool::Cold;
                if self.admits(&to) {
                    ids.into_iter().flatten().for_each(|id| self.probe(id, actions));
                    return Some(to);
                }
            }
        }
        // A pair is asked all the same: else none would ever be seen to have room again.
        last.iter().flatten().for_each(|drawn| self.probe(drawn.id, actions));
        self.log_rejection(request, pending, &last, actions);
        None
    }

    /// Whom a request may go to, by what may have run already.
    fn eligible_endpoints(&self, ring: Option<usize>, pending: &PendingRequest) -> Option<From> {
        // Everyone looks bad: rather ask someone than no one.
        let healthy = self.endpoints.count(ring, &[Pool::Warm, Pool::Cold]) > 0;
        let anyone = Some(if healthy { From::Ready } else { From::Everyone });
        let Some(first) = pending.attempts.iter().find(|t| t.pending || t.may_have_run) else {
            return anyone;
        };
        match self.settings.classes[pending.class.0].effect {
            Effect::Repeatable => anyone,
            Effect::Once => None,
            // The window counts from the first send that may have run; a tick is kept in hand.
            Effect::ByKey { window, .. }
                if self.now + self.settings.limits.tick >= first.sent_at + window =>
            {
                None
            }
            Effect::ByKey { scope: Scope::All, .. } => anyone,
            Effect::ByKey { scope: Scope::Zone, .. } => Some(From::Zone(first.zone)),
            Effect::ByKey { scope: Scope::Cell, .. } => Some(From::Cell(first.cell)),
        }
    }

    /// How many times its service time an answer may take, less while answers are late. The same for all: by
    /// what its time leaves of its aim, the class that takes longest would bear all refusals. Its own wait
    /// must only make its aim.
    pub(crate) fn slowdown_limit(&self) -> f64 {
        MAX_SLOWDOWN * self.visibility_factor() * self.headroom_scale()
    }

    /// How much more than where nearly all comes from others may be sent to a server, since more of what it
    /// holds is known: own sends at once and exactly, others' by reports a second old and the fleet's mean.
    fn visibility_factor(&self) -> f64 {
        1.0 + EXTRA_QUEUE_SHARE / self.estimates.sidecars_per_server.max(1.0).powf(EXTRA_QUEUE_EXPONENT)
    }

    /// The chance that a request may go to a server that is not idle: what earns less than the usual for its
    /// service time stands back, the more so the more has to be refused. A chance and not a tighter limit:
    /// where sidecars know little but the fleet's mean, a limit lets in all of a class or nothing.
    fn admission_probability(&self, pending: &PendingRequest) -> f64 {
        let density = self.worth_density(pending.class);
        let usual = self.estimates.mean_worth_density.unwrap_or(density);
        let strength = PRIORITY_STRENGTH * self.estimates.rejection_rate
            / (self.estimates.rejection_rate + PRIORITY_HALF_STRENGTH_AT);
        (density / usual).powf(strength).clamp(MIN_PRIORITY_FACTOR, 1.0)
            * self.worth_fraction(pending).powf(strength)
    }

    /// What was learnt of late answers fades: after a jam hardly any answers come to unlearn it by.
    pub(crate) fn headroom_scale(&self) -> f64 {
        decay_to_one(
            self.estimates.headroom_scale,
            self.now - self.estimates.headroom_updated_at,
            HEADROOM_RECOVERY_TIME,
        )
    }

    /// What a request of a class earns for its service time, which a worth that counts by work has in it.
    fn worth_density(&self, class: ClassId) -> f64 {
        let work = if self.settings.worth_by_work {
            1.0
        } else {
            self.estimates.classes[class.0].service_time.max(1.0)
        };
        self.settings.classes[class.0].worth.max(f64::MIN_POSITIVE) / work
    }

    /// The share of its class's worth that a request earns. No sidecar can know which tenants are over their
    /// quota; those with more of our arrivals than of all quotas are the likeliest.
    fn worth_fraction(&self, pending: &PendingRequest) -> f64 {
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota = self.settings.tenants.get(pending.tenant.0).map_or(0.0, |tenant| tenant.quota_per_s);
        let share = self.estimates.tenant_shares.get(pending.tenant.0).copied().unwrap_or(0.0);
        let within = if quota > 0.0 && share > 0.0 { (quota / quotas / share).min(1.0) } else { 1.0 };
        within + (1.0 - within) * self.settings.over_quota_worth
    }

    /// Time until the answer loses its worth.
    pub(crate) fn time_to_objective(&self, pending: &PendingRequest) -> Millis {
        pending.deadline.min(pending.arrived_at + self.settings.classes[pending.class.0].aim) - self.now
    }

    /// Ends a request: refused where that is safe to say, else failed.
    fn reject_or_fail(&mut self, request: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let safe = match self.settings.classes[pending.class.0].effect {
            Effect::Repeatable | Effect::ByKey { scope: Scope::All, .. } => true,
            Effect::ByKey { .. } | Effect::Once => !pending.attempts.iter().any(|t| t.may_have_run),
        };
        if safe {
            // Soon enough to make its aim yet, and spread: all that were refused together come back.
            let spread = self.guidance.retry_after_fraction(self.rng.rand_float());
            let soon = RETRY_AFTER_SHARE * self.settings.classes[pending.class.0].aim * spread;
            let retry_after = soon.min(self.settings.limits.max_retry_after);
            actions.push(Action::Refuse { request, retry_after, reason });
        } else {
            actions.push(Action::Fail(request));
        }
    }

    // --- A server as it looks now ------------------------------------------------------------

    /// A server's projected utilisation and expected answer time for this request.
    pub(crate) fn evaluate(&self, id: UpstreamId, pending: &PendingRequest) -> Option<Candidate> {
        let server = self.endpoints.get(id).filter(|server| self.guidance.allows(pending, server.zone))?;
        let (in_flight, kappa) = (self.estimated_in_flight(server), self.capacity(server));
        let warmth = server.warm_fraction(self.now, &self.settings.safety);
        let slowness = self.slowness(server) / warmth;
        let used = (in_flight + 1.0) / kappa;
        let depth = used.max(1.0);
        Some(Candidate {
            id,
            pool: server.placement.map_or(Pool::Waiting, |(_, pool)| pool),
            warm_fraction: warmth,
            projected_utilisation: used * slowness,
            occupancy: used,
            queue_depth: depth,
            backing_off: self.now < server.backoff_until,
            limit_fraction: if self.has_known_capacity(server) {
                server.limit_fraction_at(self.now)
            } else {
                f64::MAX
            },
            // An empty one is idle whatever its size: else nothing could ever correct what was learnt.
            idle: in_flight + 1.0 <= (IDLE_UTILISATION * kappa).max(IDLE_REQUESTS),
            expected_slowdown: slowness * depth,
            expected_latency: self.estimates.classes[pending.class.0].service_time * slowness * depth,
        })
    }

    /// κ: how many requests a server works on at once. Its listed weight says how it compares with others
    /// of its kind, and what reports below saturation say of the kind as a whole how large that is.
    pub(crate) fn capacity(&self, upstream: &Upstream) -> f64 {
        let kind = self.estimates.kinds.get(&upstream.kind).unwrap_or(&self.estimates.all_servers);
        (upstream.weight * kind.capacity_per_weight()).max(0.1)
    }

    /// Whether κ is known well enough to hold a server to it.
    fn has_known_capacity(&self, upstream: &Upstream) -> bool {
        let calm = self.estimates.kinds.get(&upstream.kind).map_or(0.0, |kind| kind.low_load_reports);
        self.settings.sizes_listed || calm >= ENOUGH_LOW_LOAD_REPORTS
    }

    /// m: what others have there by its reports, and our own sends, of which we know at once. An unheard
    /// server takes the mean of the known ones.
    fn estimated_in_flight(&self, upstream: &Upstream) -> f64 {
        let age = (self.now - upstream.reported_at - REPORT_STALE_AGE).max(0.0);
        let (usual, told) = self.others(upstream);
        let others = usual + (told - usual) * (-age / ESTIMATE_DECAY_TIME).exp();
        // What is out for long while the server answers others is lost or hangs, and holds no place there.
        let longest = self.estimates.classes.iter().map(|service| service.service_time).fold(1.0, f64::max);
        let since = self.now - LOST_AFTER_SERVICE_TIMES * longest * self.decayed_slowness(upstream).max(1.0);
        let lost = if upstream.last_answer_at < since {
            0
        } else {
            upstream.outstanding.partition_point(|o| o.sent_at < since)
        };
        (upstream.outstanding.len() - lost) as f64 + others
    }

    /// Service time relative to the mean server, from answers and from sends that are long unanswered.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let learnt = self.decayed_slowness(upstream);
        // A server that hangs gives no answers to learn from: the time since its last one tells.
        let ageing = upstream.outstanding.first().map_or(0.0, |oldest| {
            UNANSWERED_WEIGHT * (self.now - oldest.sent_at.max(upstream.last_answer_at))
                / (oldest.candidate.queue_depth * self.estimates.classes[oldest.class.0].service_time)
        });
        learnt.max(ageing).max(0.05)
    }

    /// What answers told of its slowness; as that is forgotten, the slowness of its kind takes its place.
    fn decayed_slowness(&self, upstream: &Upstream) -> f64 {
        let kind = self.estimates.kinds.get(&upstream.kind).filter(|kind| kind.answer_count > 0.0);
        let pace = kind.unwrap_or(&self.estimates.all_servers).mean_slowness;
        pace + (upstream.slowness - pace)
            * (-(self.now - upstream.slowness_updated_at) / ESTIMATE_DECAY_TIME).exp()
    }

    fn probe(&mut self, id: UpstreamId, actions: &mut Vec<Action>) {
        let asks =
            self.guidance.may_probe(id) && self.settings.limits.probes && self.estimates.probe_budget >= 1.0;
        let Some(upstream) = self.endpoints.get_mut(id).filter(|server| asks && server.serving) else {
            return;
        };
        let waiting = upstream.probe_sent_at.is_some_and(|sent| self.now - sent < REPORT_STALE_AGE);
        if !waiting && self.now - upstream.reported_at > REPORT_REFRESH_AGE {
            upstream.probe_sent_at = Some(self.now);
            self.estimates.probe_budget -= 1.0;
            actions.push(Action::Probe(id));
        }
    }

    fn send(&mut self, request: RequestId, to: Candidate, others: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request) else { return };
        let timeout = self.attempt_timeout(pending, to, others);
        let (class, attempt) = (pending.class, AttemptNo(pending.attempts.len() as u32));
        let may = self.settings.limits.duplicates && pending.attempts.is_empty();
        if let Some(copy) = self.settings.classes[class.0].policy.second_copy.filter(|_| may) {
            let after = copy.after.ms(self.estimates.classes[class.0].hedge_delay);
            actions.push(Action::WakeAt { at: self.now + after, token: request.0 << 1 | 1 });
        }
        let Some(upstream) = self.endpoints.get_mut(to.id) else { return };
        upstream.outstanding.push(OutstandingAttempt {
            request,
            attempt,
            class,
            sent_at: self.now,
            candidate: to,
        });
        let this = Attempt::new(to.id, upstream, self.now);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempts.push(this);
        }
        self.guidance.record_send(&to);
        if to.warm_fraction < 1.0 {
            self.slow_start.sent(to.id, self.now, self.settings.safety.fall);
        }
        self.endpoints.settle(to.id, &self.settings.safety);
        actions.push(Action::Send { request, upstream: to.id, timeout });
    }

    /// Long enough for this attempt, short enough for another to make the aim. What waits at a server past
    /// the time at which its answer is worth anything is in the way of others.
    fn attempt_timeout(&self, pending: &PendingRequest, to: Candidate, others: bool) -> Millis {
        let class = &self.settings.classes[pending.class.0];
        let most = class.policy.attempt_timeout.map_or(f64::MAX, |most| most.0);
        let end = if class.late_worth > 0.0 {
            pending.deadline - self.now
        } else {
            self.time_to_objective(pending)
        };
        let left = end.max(0.0).min(most);
        let last = pending.attempts.len() as u32 + 1 >= self.settings.limits.max_attempts;
        let retries = self.estimates.retry_budget.holds(Further::Retry, self.budgets());
        if last || !others || class.effect == Effect::Once || !retries {
            return left;
        }
        let spare = pending.arrived_at + class.aim
            - self.now
            - RETRY_RESERVE * self.estimates.classes[pending.class.0].service_time;
        spare.max(TIMEOUT_MULTIPLE * to.expected_latency).min(left)
    }

    /// Goes on with the request after an attempt has ended.
    fn on_finished(&mut self, end: Finished, actions: &mut Vec<Action>) {
        let (request, outcome) = (end.request, end.outcome);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let Some(this) = pending.attempts.get_mut(end.attempt.0 as usize).filter(|t| t.pending) else {
            return;
        };
        this.pending = false;
        this.may_have_run = outcome.may_have_run();
        let late = self.now > pending.arrived_at + self.settings.classes[pending.class.0].aim;
        let step = if outcome == Outcome::Full { 0.0 } else { GLOBAL_SMOOTHING }
            * (LATE_ANSWERS_TARGET - f64::from(u8::from(late)));
        self.estimates.headroom_scale = (self.headroom_scale() * (1.0 + step)).clamp(0.25, 1.0);
        self.estimates.headroom_updated_at = self.now;
        if end.closed || outcome == Outcome::Ok {
            return self.close_request(request, actions);
        }
        let no_copy_out = |pending: &&PendingRequest| !pending.attempts.iter().any(|t| t.pending);
        let Some(pending) = self.requests.get(&request).filter(no_copy_out) else { return };
        let policy = &self.settings.classes[pending.class.0].policy;
        let (sends, ran) =
            (pending.attempts.len() as u32, pending.attempts.iter().filter(|t| t.may_have_run).count());
        let attempts_left =
            sends < self.settings.limits.max_attempts && policy.follows(outcome.failure(), sends, ran as u32);
        let pause = policy.backoff.map_or(0.0, |backoff| backoff.pause_ms(sends, self.rng.rand_float()));
        let worth_it = self.time_to_objective(pending) > pause && outcome != Outcome::NotSent;
        // What never left this machine costs no server anything.
        let is_free = outcome == Outcome::LocalFailure;
        match attempts_left && worth_it && (is_free || self.spend_budget(pending.class, Further::Retry)) {
            true if pause > 0.0 => {
                actions.push(Action::WakeAt { at: self.now + pause, token: request.0 << 1 })
            }
            true => self.dispatch(request, actions),
            false => self.reject_or_fail(request, Reason::Overload, actions),
        }
    }

    /// How many further sends all requests together may have: by the fleet, else by the settings.
    pub(crate) fn budgets(&self) -> Budgets {
        self.guidance.budgets(self.settings.budgets())
    }

    /// Takes one of the further sends that all requests together and those of the class may have.
    fn spend_budget(&mut self, class: ClassId, kind: Further) -> bool {
        let (all, own) = (self.budgets(), self.settings.classes[class.0].budgets());
        let purses = [
            (&mut self.estimates.retry_budget, all),
            (&mut self.estimates.classes[class.0].retry_budget, own),
        ];
        purse::spend(kind, purses)
    }

    /// A pause before another send is over, or it is time for a second copy.
    fn on_timer(&mut self, request: RequestId, copy: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        match &pending.attempts[..] {
            [.., _] if !copy && !pending.attempts.iter().any(|t| t.pending) => {
                self.dispatch(request, actions)
            }
            // Elsewhere or not at all: behind the first it would only wait as well.
            [first] if copy && first.pending && self.settings.limits.max_attempts > 1 => {
                let to = self.choose_server(request, &pending, actions).filter(|to| to.id != first.upstream);
                if let Some(to) = to.filter(|_| self.spend_budget(pending.class, Further::Copy)) {
                    self.send(request, to, false, actions);
                }
            }
            _ => {}
        }
    }

    /// Forgets a request that has its answer, and stops what is still out for it.
    fn close_request(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let cancel = self.settings.limits.cancel;
        for (number, _) in pending.attempts.iter().enumerate().filter(|(_, t)| t.pending && cancel) {
            actions.push(Action::Cancel { request, attempt: AttemptNo(number as u32) });
        }
    }

    /// Learns from an attempt's end, whether or not its request is still held.
    fn record_outcome(&mut self, end: Finished, actions: &mut Vec<Action>) {
        let Finished { upstream: id, outcome, latency, .. } = end;
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let Some(sent) = upstream.remove_outstanding(end.request, end.attempt) else { return };
        let silent = upstream.last_answer_at <= sent.sent_at;
        self.endpoints.settle(id, &self.settings.safety);
        self.endpoints.forget(id);
        // Where a copy has won, the one that it overtook says as much as one whose time was up.
        let copied = self.settings.classes[sent.class.0].policy.second_copy.is_some();
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) || (copied && outcome == Outcome::Cancelled) {
            self.update_service_estimates(id, sent, latency, outcome == Outcome::Ok);
        }
        if let Some(report) = end.report {
            self.record_report(id, report, 0.0);
        }
        self.reduce_limit(end, sent, actions);
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => true,
            // Under overload good servers time out too; one that answered nothing in all that time hangs.
            Outcome::TimedOut if silent && latency >= TIMEOUT_MULTIPLE * sent.candidate.expected_latency => {
                true
            }
            _ => return,
        };
        self.update_health(id, failed, actions);
    }

    /// A server that turned a request away takes less than its size tells: fewer are held there for a
    /// while. One that does so at once is left alone as well, longer each time: it looks idle by its counts
    /// and would win every draw. Neither is a failure of the server, nor tells it anything of the others.
    fn reduce_limit(&mut self, end: Finished, sent: OutstandingAttempt, actions: &mut Vec<Action>) {
        let Finished { upstream: id, outcome, latency, .. } = end;
        let Some(server) = self.endpoints.get_mut(id) else { return };
        if outcome == Outcome::Ok {
            server.backoff_duration = 0.0;
        }
        // One that was sent before the limit was cut says nothing of what it is now.
        if outcome != Outcome::Full || sent.sent_at < server.limit_updated_at {
            return;
        }
        server.limit_fraction = (server.limit_fraction_at(self.now) * LIMIT_DECREASE).max(MIN_LIMIT_FRACTION);
        server.limit_updated_at = self.now;
        if latency < sent.candidate.expected_latency / 2.0 {
            server.backoff_duration =
                (2.0 * server.backoff_duration).clamp(BACKOFF_TIMES[0], BACKOFF_TIMES[1]);
            server.backoff_until = self.now + server.backoff_duration;
        }
        let limit = server.limit_fraction;
        let text = format!("server {} turned a request away after {latency:.0} ms: limit={limit:.2}", id.0);
        actions.push(Action::Log { about: None, text });
    }

    /// An answer tells the class's service time and this server's pace, with the queue taken out; a
    /// time-out tells that the server is at least this slow.
    fn update_service_estimates(
        &mut self,
        id: UpstreamId,
        sent: OutstandingAttempt,
        latency: Millis,
        answered: bool,
    ) {
        // What a cold server takes longer is no sign of crowding, nor of the speed it will have.
        let Some(server) = self.endpoints.get(id).filter(|_| latency > 0.0) else { return };
        let (known, warmth) =
            (self.decayed_slowness(server), server.warm_fraction(self.now, &self.settings.safety));
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let alone = latency * warmth / sent.candidate.queue_depth;
        let service = &mut self.estimates.classes[sent.class.0];
        let pace = alone / service.service_time;
        let (seen, weight) =
            if answered { (pace, SERVER_SMOOTHING) } else { (known.max(UNANSWERED_WEIGHT * pace), 1.0) };
        upstream.slowness = known + weight * (seen - known);
        upstream.slowness_updated_at = self.now;
        self.estimates.kinds.entry(upstream.kind).or_default().add_answer(seen, GLOBAL_SMOOTHING);
        self.estimates.all_servers.add_answer(seen, GLOBAL_SMOOTHING);
        upstream.last_answer_at = if answered { self.now } else { upstream.last_answer_at };
        // The median of sends that met no queue tells the service time: behind one that we underrate,
        // answers are late, and a service time learnt from them would have us refuse work that there is
        // room for.
        if answered && sent.candidate.queue_depth <= 1.0 {
            service.add_sample(alone, GLOBAL_SMOOTHING);
            if warmth >= 1.0 {
                let assumed = self.settings.classes[sent.class.0].aim * INITIAL_SERVICE_TIME_SHARE;
                self.slow_start.answered(sent.class, alone, assumed);
            }
        }
        let copy = self.settings.classes[sent.class.0].policy.second_copy.filter(|_| answered);
        if let Some(share) = copy.and_then(|copy| copy.after.share()) {
            service.hedge_delay *=
                1.0 + GLOBAL_SMOOTHING * (share - f64::from(u8::from(latency <= service.hedge_delay)));
        }
    }

    fn on_probed(&mut self, id: UpstreamId, answered: bool, report: Option<Report>) {
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        upstream.probe_sent_at = None;
        if let (Some(report), true) = (report, answered) {
            self.record_report(id, report, 0.0);
        }
    }

    /// Takes in a server's own figures as they were so long ago, unless newer ones are known.
    fn record_report(&mut self, id: UpstreamId, report: Report, age: Millis) {
        let at = self.now - age.max(0.0);
        let Some(upstream) = self.endpoints.get_mut(id).filter(|server| at >= server.reported_at) else {
            return;
        };
        let Some(in_flight) = report.in_flight.filter(|m| m.is_finite() && *m >= 0.0) else { return };
        // Reports are renewed now and then: one that comes again is no news, and would count for more than
        // one.
        let figures =
            [report.in_flight, report.utilisation, report.served_per_s].map(|f| f.unwrap_or(-1.0) as f32);
        let again = std::mem::replace(&mut upstream.last_report, figures) == figures;
        if again && upstream.reported_at > self.now - REPORT_STALE_AGE {
            upstream.reported_at = at;
            return;
        }
        let since = at - upstream.reported_at;
        let utilisation = report.utilisation.filter(|u| *u >= 0.0).map(|u| u.min(1.0));
        if let Some(utilisation) = utilisation {
            upstream.mean_utilisation += (1.0 - (-since / UTILISATION_AVERAGING_TIME).exp())
                * (utilisation - upstream.mean_utilisation);
        }
        let others = (in_flight - upstream.outstanding.len() as f64).max(0.0);
        upstream.others_in_flight +=
            (1.0 - (-since / OTHERS_AVERAGING_TIME).exp()) * (others - upstream.others_in_flight);
        upstream.reported_at = at;
        // By time: where many sidecars share the probes, reports are too rare here to average by their count.
        let elapsed = self.now - std::mem::replace(&mut self.estimates.others_updated_at, self.now);
        let step = GLOBAL_SMOOTHING.max(1.0 - (-elapsed / OTHERS_AVERAGING_TIME).exp());
        self.estimates.others_in_flight +=
            step * (upstream.others_in_flight - self.estimates.others_in_flight);
        let Some(utilisation) = utilisation.filter(|u| *u >= MIN_REPORTED_UTILISATION) else { return };
        // Servers that start with us begin their mean at 0: early ratios would call them huge.
        if self.now < *self.estimates.first_report_at.get_or_insert(self.now) + 2.0 * SERVER_AVERAGING_TIME {
            return;
        }
        // A queue is in the in-flight count, too, so that a busy server's ratio tells how busy it is and
        // not how large, and serves only until calm ones are known. Whether it is busy is told by its slow
        // mean: chosen by the moment, the ratio would lean to one side.
        let calm = upstream.mean_utilisation < LOW_UTILISATION && utilisation < SATURATED_UTILISATION;
        let any = !self.settings.sizes_listed && utilisation < SATURATED_UTILISATION;
        let prior = if self.settings.sizes_listed { LISTED_CAPACITY_REPORTS } else { 1.0 };
        let (id, per_weight) = (upstream.kind, in_flight / upstream.weight);
        for kind in [self.estimates.kinds.entry(id).or_default(), &mut self.estimates.all_servers] {
            if calm || (any && kind.low_load_reports < ENOUGH_LOW_LOAD_REPORTS) {
                let step = CAPACITY_SMOOTHING.max(1.0 / (1.0 + prior + kind.report_count));
                kind.add_report(per_weight, utilisation, step, calm);
            }
        }
    }

    /// Counts an outcome for or against a server: outlier ejection with half-open trials.
    fn update_health(&mut self, id: UpstreamId, failed: bool, actions: &mut Vec<Action>) {
        let count = self.endpoints.serving(None) as f64;
        let bar = EJECTION_MARGIN + self.endpoints.mean_failure_rate();
        let ejected = self.endpoints.count(None, &[Pool::Trial, Pool::Waiting]) as f64;
        let may_eject = count > 1.0 && ejected + 1.0 <= (MAX_EJECTED_SHARE * count).max(1.0);
        let (now, spread) = (self.now, 0.75 + 0.5 * self.rng.rand_float());
        let rate = self.endpoints.count_failure(id, failed, SERVER_SMOOTHING);
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let eject = |wait: Millis| Health::Ejected { until: now + wait * spread, duration: wait };
        match upstream.health {
            Health::Ready if failed && may_eject && rate > bar => {
                upstream.health = eject(EJECTION_TIMES[0]);
                actions
                    .push(Action::Log { about: None, text: format!("server {} ejected for failures", id.0) });
            }
            Health::Ejected { until, duration: wait } if failed && now >= until => {
                upstream.health = eject((wait * 2.0).min(EJECTION_TIMES[1]));
            }
            // Only a trial brings it back: answers to what was sent before it was ejected still come in.
            Health::Ejected { until, .. } if !failed && now >= until && rate < bar => {
                upstream.health = Health::Ready;
                actions
                    .push(Action::Log { about: None, text: format!("server {} is back after trials", id.0) });
            }
            Health::Ready | Health::Ejected { .. } => {}
        }
        self.endpoints.settle(id, &self.settings.safety);
    }

    /// Another sidecar's trial ended: the server is back here as well, or left alone for longer.
    fn on_ejection_probe_result(&mut self, id: UpstreamId, well: bool) {
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let Health::Ejected { duration: wait, .. } = upstream.health else { return };
        let longer = Health::Ejected { until: self.now + wait, duration: wait };
        upstream.health = if well { Health::Ready } else { longer };
        self.endpoints.settle(id, &self.settings.safety);
    }

    // --- The server list ---------------------------------------------------------------------

    fn on_list_update(&mut self, news: ListNews) {
        let whole = !matches!(news, ListNews::Changed(_));
        let (ListNews::Restored(list) | ListNews::Complete(list) | ListNews::Changed(list)) = news;
        // Who is missing from a complete list is gone.
        if whole {
            self.endpoints.keep_only(&list);
        }
        let (home, safety) = (self.settings.zone, &self.settings.safety);
        list.iter().for_each(|entry| self.endpoints.update(entry, home, safety));
        self.slow_start.forget_before(self.now - safety.fall);
        self.select_subset();
    }

    fn select_subset(&mut self) {
        let sidecars = f64::from(self.settings.sidecars.max(1));
        let subset = |serving: usize| (SIDECARS_PER_SERVER * serving as f64 / sidecars).max(MIN_SUBSET_SIZE);
        let (home, safety) = (self.settings.zone, &self.settings.safety);
        let serving = self.endpoints.keep_subset(|serving| subset(serving) as usize, home, safety);
        self.estimates.sidecars_per_server = sidecars * (subset(serving) / serving as f64).min(1.0);
    }
}
