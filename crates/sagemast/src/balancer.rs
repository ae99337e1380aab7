//! All decisions of the load balancer. The types of its interface are in `src/api.rs`.
//!
//! For an ordinary request, the balancer draws two ready servers at random and sends the request to the one
//! with the smaller projected utilisation (m+1)/κ, where m is the number of requests in flight at the server
//! and κ is its capacity. The methods follow the path of a request: arrival, choice of a server, headroom,
//! evaluation of one server, sending, outcome. Limits, load reports, health and the server list come after.

use std::collections::BTreeMap;

use oorandom::Rand64;
use ordered_float::OrderedFloat;
use routes::purse::{self, Budgets, Further, Purse};
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::cluster_guidance::ClusterGuidance;
use crate::endpoints::Endpoints;
use crate::groups::{DrawFrom, Pool};
use crate::slow_start::SlowStart;
use crate::state::*;

/// A drawn server is sent a load poll when its load report is older than this. Servers do not refresh their
/// figures more often, so that an earlier load poll would return the same report.
const REPORT_REFRESH_AGE: Millis = 300.0;
/// From this age on a report loses weight over [`ESTIMATE_DECAY_TIME`], and the mean of all servers takes its
/// place.
const REPORT_STALE_AGE: Millis = 1_000.0;
/// Averaging time for the number of requests that other sidecars have in flight at a server. A report is a
/// second old when it arrives, and all sidecars read the same one: if they went by single reports, all of
/// them would send to the same server at once.
const OTHERS_AVERAGING_TIME: Millis = 3_000.0;
/// Servers average the utilisation that they report over about this time.
const SERVER_AVERAGING_TIME: Millis = 700.0;
/// A report counts as low load, and updates κ, while the server's utilisation is below this on average over
/// [`UTILISATION_AVERAGING_TIME`].
const LOW_UTILISATION: f64 = 0.6;
const UTILISATION_AVERAGING_TIME: Millis = 3_000.0;
/// If the server list gives no sizes, reports of busier servers update κ as well until this many low-load
/// reports have come in. Reports of saturated servers never do.
const ENOUGH_LOW_LOAD_REPORTS: f64 = 20.0;
const SATURATED_UTILISATION: f64 = 0.9;
/// Smallest weight of a report in κ. It is low because κ is a property of the machines, which does not change
/// from one second to the next.
const CAPACITY_SMOOTHING: f64 = 0.005;
/// Number of reports that a size given by the server list counts for.
const LISTED_CAPACITY_REPORTS: f64 = 20.0;
/// A client's first attempt earns this share of its priority weight for load polls; the platform states the
/// price of a load poll in the same unit. All sidecars poll the same servers, so that the more sidecars there
/// are, the fewer load polls each may send.
const LOAD_POLL_SPENDING_SHARE: f64 = 0.02;
/// Largest number of load polls that can be saved up.
const MAX_LOAD_POLL_BUDGET: f64 = 8.0;
/// Below this reported utilisation, the ratio of in-flight requests to utilisation is mostly rounding error.
const MIN_REPORTED_UTILISATION: f64 = 0.1;
/// Weight of a new sample in the slowness and in the failure rate of one server.
const SERVER_SMOOTHING: f64 = 0.15;
/// Weight of a new sample in averages over all servers or over all arrivals.
const GLOBAL_SMOOTHING: f64 = 0.02;
/// Initial estimate of the service time, as a share of the class's latency objective.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.15;
/// Estimates of one server's slowness and load decay over this time if no new samples come in.
const ESTIMATE_DECAY_TIME: Millis = 2_000.0;
/// An unanswered attempt counts as an answer that took this share of the time it has been waiting. The share
/// is below 1 because service times vary.
const UNANSWERED_WEIGHT: f64 = 0.5;
/// Longest acceptable response time if nearly all load of the servers comes from other sidecars, as a
/// multiple of the response time of an idle mean server. By queueing theory, three cores with a utilisation
/// of three quarters reach this value. Above it, queues grow faster than load reports show.
const MAX_SLOWDOWN: f64 = 1.75;
/// Headroom shrinks while more than this share of the accepted requests is answered late: crowded servers
/// slow down in ways that the estimates do not predict.
const LATE_ANSWERS_TARGET: f64 = 0.15;
/// Exponent of a request's relative priority weight in its admission probability when nearly all requests are
/// rejected.
const PRIORITY_STRENGTH: f64 = 0.8;
/// Rejection rate at which the exponent is half of [`PRIORITY_STRENGTH`].
const PRIORITY_HALF_STRENGTH_AT: f64 = 0.1;
/// Lower bound for the factor that a class's priority weight contributes to the admission probability.
const MIN_PRIORITY_FACTOR: f64 = 0.7;
/// A server is sent at most as many requests as it works on at once, and this share of them in addition, to
/// queue there. Its response time may be longer by the same share. This value applies to a sidecar that does
/// not share its servers. Requests that queue at a server slow it down; those that wait at a client do not.
const EXTRA_QUEUE_SHARE: f64 = 1.5;
/// The share is divided by the number of sidecars per server to this power, since a sidecar does not see
/// what the others send.
const EXTRA_QUEUE_EXPONENT: f64 = 0.7;
/// A server counts as idle if one more request keeps its utilisation at or below this.
const IDLE_UTILISATION: f64 = 0.5;
/// A server also counts as idle if it holds at most this many requests including the new one, whatever its
/// estimated capacity.
const IDLE_REQUESTS: f64 = 2.0;
/// Largest number of pairs that are drawn for a request. The first value stands for one pair from the own
/// zone and one from all servers. The second value, times the excess of [`Balancer::visibility_factor`] over
/// 1, is added: a sidecar that sees more of the load may draw more. While all servers are full, each further
/// draw makes it likelier to find a server that is free by an outdated report only, and all sidecars find the
/// same one.
const MAX_PAIRS: [f64; 2] = [2.0, 4.0];
/// A sidecar uses a subset of the servers, so that it hears of each one's load in time and keeps connections
/// to it open. About this many sidecars share each server. The random choice of subsets spreads the number by
/// a sixth, which is even enough.
const SIDECARS_PER_SERVER: f64 = 32.0;
/// Smallest number of servers in a subset.
const MIN_SUBSET_SIZE: f64 = 16.0;
/// The effect of late answers on the headroom fades over this time.
const HEADROOM_RECOVERY_TIME: Millis = 20_000.0;
/// Upper bound for the Retry-After time of a rejected client, as a share of its latency objective.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// An attempt may take at least this multiple of its expected latency before a retry replaces it.
const TIMEOUT_MULTIPLE: f64 = 4.0;
/// An attempt that is unanswered for this many service times, while the server answers others, counts as
/// lost.
const LOST_AFTER_SERVICE_TIMES: f64 = 5.0;
/// Time to reserve for a retry before the latency objective passes, in service times.
const RETRY_RESERVE: f64 = 1.5;
/// A server is ejected if its failure rate exceeds the mean rate of all servers by this margin.
const EJECTION_MARGIN: f64 = 0.4;
/// At most this share of the servers may be ejected. If more of them seem to fail, the fault may lie with
/// this sidecar or the network.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// First and longest time that a server stays ejected before an ejection probe.
const EJECTION_TIMES: [Millis; 2] = [1_000.0, 8_000.0];
/// Factor by which a server's limit shrinks each time that the server rejects a request.
const LIMIT_DECREASE: f64 = 0.75;
/// Lower bound for the limit, as a share of the server's capacity.
const MIN_LIMIT_FRACTION: f64 = 0.2;
/// First and longest time for which no requests are sent to a server that has rejected one.
const BACKOFF_TIMES: [Millis; 2] = [100.0, 1_600.0];
/// The share of the allowance of a server in slow start that the cluster hands out as leases. It is below 1
/// because the speed of servers and the cost of requests are estimates.
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
    pub(crate) endpoints: Endpoints,
    pub(crate) estimates: Estimates,
    pub(crate) guidance: ClusterGuidance,
    pub(crate) slow_start: SlowStart,
}

impl Balancer {
    /// Creates a balancer that knows its settings only. `seed` determines its random choices.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        // Until answers come in, the estimated service time leaves time for a queue and for a retry.
        let initial_estimate = |class: &Class| {
            ClassEstimate::new(
                class.latency_objective * INITIAL_SERVICE_TIME_SHARE,
                Purse::full(class.budgets()),
            )
        };
        let classes = settings.classes.iter().map(initial_estimate).collect();
        let estimates = Estimates::new(classes, settings.tenants.len(), Purse::full(settings.budgets()));
        Balancer {
            settings,
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            requests: BTreeMap::new(),
            endpoints: Endpoints::new(seed),
            estimates,
            guidance: ClusterGuidance::default(),
            slow_start: SlowStart::new(seed),
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.endpoints.advance_time(self.now, &self.settings.slow_start);
        self.slow_start.record_first_event(self.now);
        match event {
            Event::Arrived { request, class, tenant, time_left, is_retry } => {
                let earned =
                    if is_retry { 0.0 } else { LOAD_POLL_SPENDING_SHARE / self.settings.load_poll_cost };
                self.estimates.load_poll_budget =
                    (self.estimates.load_poll_budget + earned).min(MAX_LOAD_POLL_BUDGET);
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
            Event::LoadPolled { upstream, answered, report } => {
                self.on_load_polled(upstream, answered, report)
            }
            Event::Listed(update) => self.on_list_update(update),
            Event::Guided(guidance) => {
                let before = self.budgets();
                self.guidance.update(*guidance);
                self.estimates.retry_budget = self.estimates.retry_budget.within(before, self.budgets());
            }
            Event::Reported { upstream, report, age } => self.record_report(upstream, report, age),
            Event::EjectionProbeEnded { upstream, recovered } => {
                self.on_ejection_probe_result(upstream, recovered)
            }
            Event::ResidencyChanged(residency) => {
                self.endpoints.set_zone_sets(&residency.zone_sets);
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
        let density = self.weight_density(pending.class);
        let mean = self.estimates.mean_weight_density.get_or_insert(density);
        *mean += GLOBAL_SMOOTHING * (density - *mean);
        self.slow_start.record_arrival(id, class.latency_objective * INITIAL_SERVICE_TIME_SHARE);
        self.requests.insert(request, pending);
        // The cluster assigns these servers to this sidecar alone, and the other members get their load from
        // it. They are sent load polls even if no request draws them.
        self.guidance.next_load_poll().into_iter().for_each(|id| self.poll_load(id, actions));
        match self.guidance.admission_probability(id) {
            Some(probability) if self.rng.rand_float() >= probability => {
                self.reject_or_fail(request, Reason::Shed, actions)
            }
            _ => self.dispatch(request, actions),
        }
    }

    /// Sends a request to the best available server, or ends it if no server has headroom for it.
    fn dispatch(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        let chosen = self.choose_server(request, &pending, actions);
        self.estimates.rejection_rate +=
            GLOBAL_SMOOTHING * (f64::from(u8::from(chosen.is_none())) - self.estimates.rejection_rate);
        match chosen {
            Some(chosen) => self.send(
                request,
                chosen,
                self.endpoints.serving_count(self.guidance.zone_set(&pending)) > 1,
                actions,
            ),
            None => self.reject_or_fail(
                request,
                self.endpoints.refusal_reason(self.guidance.zone_set(&pending)),
                actions,
            ),
        }
    }

    /// Draws pairs until one of them contains a server with headroom for the request. Of a pair, the server
    /// with the smaller projected utilisation is preferred.
    fn choose_server(
        &mut self,
        request: RequestId,
        pending: &PendingRequest,
        actions: &mut Vec<Action>,
    ) -> Option<Candidate> {
        let zone_set = self.guidance.zone_set(pending);
        let eligible = self.eligible_endpoints(zone_set, pending)?;
        let untried_left = self.endpoints.count(zone_set, &[Pool::Warm, Pool::Cold]) > pending.attempts.len();
        let (max_slowdown, max_latency) =
            (self.slowdown_limit(), self.headroom_scale() * self.time_to_objective(pending));
        let max_occupancy = self.visibility_factor() * self.headroom_scale();
        let admitted = self.rng.rand_float() < self.admission_probability(pending);
        // An idle server always has headroom. Otherwise a service time that was measured under congestion
        // could lock out all requests. A server in slow start is bounded by its allowance instead: while
        // nothing is known of its load, it is assumed to hold as many requests as the warm servers.
        let within_limits = |server: &Candidate| {
            server.expected_slowdown <= max_slowdown
                && server.occupancy <= max_occupancy * server.limit_fraction
        };
        let has_headroom = |server: &Candidate| {
            server.expected_latency <= max_latency && (server.pool == Pool::Cold || within_limits(server))
        };
        let (mut last, mut cold_drawn) = ([None; 3], false);
        let pairs = (MAX_PAIRS[0] + MAX_PAIRS[1] * (self.visibility_factor() - 1.0)).round() as usize;
        for round in 0.. {
            // A pair does not count if it only offered a server in slow start that may not be sent more.
            if round >= pairs + usize::from(cold_drawn) {
                break;
            }
            let from = match eligible {
                // A server in the own zone answers sooner if it has headroom. Its limit protects it from
                // being filled up.
                DrawFrom::Ready if round == 0 && self.settings.cross_zone_cost > 0.0 => DrawFrom::LocalWarm,
                // If a server in slow start may not take the request yet, the next draw is from warm servers.
                // A rejected client would only send the request again.
                DrawFrom::Ready if cold_drawn => DrawFrom::Warm,
                eligible => eligible,
            };
            let drawn = self.draw_candidates(zone_set, from, round, pending);
            let Some(ids) = drawn.map(|drawn| drawn.map(|s| s.map(|s| s.id))) else { continue };
            last = drawn.unwrap_or_default();
            let mut by_utilisation = last;
            by_utilisation.sort_by_key(|server| {
                server.map_or(OrderedFloat(f64::MAX), |server| OrderedFloat(server.projected_utilisation))
            });
            for server in by_utilisation.into_iter().flatten() {
                // A server that has just failed this request is the likeliest to fail it again.
                let failed = untried_left && pending.attempts.iter().any(|a| a.upstream == server.id);
                let probed_by_others =
                    server.pool == Pool::Trial && !self.guidance.may_send_ejection_probe(server.id);
                let ejected =
                    (server.pool == Pool::Waiting || probed_by_others) && from != DrawFrom::AllServing;
                if failed
                    || ejected
                    || server.backing_off
                    || !(server.idle || admitted && has_headroom(&server))
                {
                    continue;
                }
                cold_drawn |= server.pool == Pool::Cold;
                if self.slow_start_admits(&server) {
                    ids.into_iter().flatten().for_each(|id| self.poll_load(id, actions));
                    return Some(server);
                }
            }
        }
        // The last pair is sent load polls even so. Otherwise the servers' estimates could never show free
        // capacity again.
        last.iter().flatten().for_each(|server| self.poll_load(server.id, actions));
        self.log_rejection(request, pending, &last, actions);
        None
    }

    /// Returns the servers that a request may go to, given its earlier attempts that may have run.
    fn eligible_endpoints(&self, zone_set: Option<usize>, pending: &PendingRequest) -> Option<DrawFrom> {
        // If all servers are ejected, any of them is better than none.
        let healthy = self.endpoints.count(zone_set, &[Pool::Warm, Pool::Cold]) > 0;
        let any = Some(if healthy { DrawFrom::Ready } else { DrawFrom::AllServing });
        let Some(first) = pending.attempts.iter().find(|a| a.pending || a.may_have_run) else { return any };
        match self.settings.classes[pending.class.0].idempotency {
            Idempotency::Idempotent => any,
            Idempotency::NotIdempotent => None,
            // The deduplication window starts with the first attempt that may have run. One tick is kept as a
            // safety margin.
            Idempotency::ByKey { window, .. }
                if self.now + self.settings.limits.tick >= first.sent_at + window =>
            {
                None
            }
            Idempotency::ByKey { scope: DedupScope::All, .. } => any,
            Idempotency::ByKey { scope: DedupScope::Zone, .. } => Some(DrawFrom::Zone(first.zone)),
            Idempotency::ByKey { scope: DedupScope::Cell, .. } => Some(DrawFrom::Cell(first.cell)),
        }
    }

    /// Returns the longest acceptable response time as a multiple of the service time. It shrinks while
    /// answers are late. The limit is the same for all classes: if it depended on how much of the latency
    /// objective the service time leaves, the class with the longest service time would take all rejections.
    /// A request's own expected latency only has to meet its latency objective.
    pub(crate) fn slowdown_limit(&self) -> f64 {
        MAX_SLOWDOWN * self.visibility_factor() * self.headroom_scale()
    }

    /// Returns how much more this sidecar may send to a server than one for which nearly all load comes from
    /// others. It knows its own attempts exactly and at once, but those of the others only by reports that
    /// are a second old, and by the mean of all servers.
    fn visibility_factor(&self) -> f64 {
        1.0 + EXTRA_QUEUE_SHARE / self.estimates.sidecars_per_server.max(1.0).powf(EXTRA_QUEUE_EXPONENT)
    }

    /// Returns the probability that a request may go to a server that is not idle. A request that earns less
    /// than the mean for its service time has a lower one, the more so the more requests are rejected. It is
    /// a probability and not a tighter limit: where sidecars know little more than the mean of all servers,
    /// a limit admits either all requests of a class or none.
    fn admission_probability(&self, pending: &PendingRequest) -> f64 {
        let density = self.weight_density(pending.class);
        let mean = self.estimates.mean_weight_density.unwrap_or(density);
        let strength = PRIORITY_STRENGTH * self.estimates.rejection_rate
            / (self.estimates.rejection_rate + PRIORITY_HALF_STRENGTH_AT);
        (density / mean).powf(strength).clamp(MIN_PRIORITY_FACTOR, 1.0)
            * self.weight_fraction(pending).powf(strength)
    }

    /// Returns the factor by which late answers reduce the headroom at present. The reduction fades with
    /// time, since after congestion hardly any answers come in that could undo it.
    pub(crate) fn headroom_scale(&self) -> f64 {
        decay_to_one(
            self.estimates.headroom_scale,
            self.now - self.estimates.headroom_updated_at,
            HEADROOM_RECOVERY_TIME,
        )
    }

    /// Returns the priority weight that a request of a class earns per unit of service time. A priority
    /// weight that is stated per unit of work already is that figure.
    fn weight_density(&self, class: ClassId) -> f64 {
        let work = if self.settings.weight_per_work {
            1.0
        } else {
            self.estimates.classes[class.0].service_time.max(1.0)
        };
        self.settings.classes[class.0].priority_weight.max(f64::MIN_POSITIVE) / work
    }

    /// Returns the share of its class's priority weight that a request is expected to earn. No sidecar can
    /// know which tenants exceed their quota. The likeliest ones are those whose share of this sidecar's
    /// arrivals is larger than their share of all quotas.
    fn weight_fraction(&self, pending: &PendingRequest) -> f64 {
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota = self.settings.tenants.get(pending.tenant.0).map_or(0.0, |tenant| tenant.quota_per_s);
        let share = self.estimates.tenant_shares.get(pending.tenant.0).copied().unwrap_or(0.0);
        let within = if quota > 0.0 && share > 0.0 { (quota / quotas / share).min(1.0) } else { 1.0 };
        within + (1.0 - within) * self.settings.over_quota_weight
    }

    /// Returns the time until an answer no longer meets the latency objective or the deadline.
    pub(crate) fn time_to_objective(&self, pending: &PendingRequest) -> Millis {
        pending.deadline.min(pending.arrived_at + self.settings.classes[pending.class.0].latency_objective)
            - self.now
    }

    /// Ends a request. It is rejected if the client may safely send it again, and fails otherwise.
    fn reject_or_fail(&mut self, request: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let safe = match self.settings.classes[pending.class.0].idempotency {
            Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. } => true,
            Idempotency::ByKey { .. } | Idempotency::NotIdempotent => {
                !pending.attempts.iter().any(|a| a.may_have_run)
            }
        };
        if safe {
            // The retry should come early enough to meet the latency objective. The times are spread, since
            // all clients that were rejected together return.
            let spread = self.guidance.retry_after_fraction(self.rng.rand_float());
            let delay = RETRY_AFTER_SHARE * self.settings.classes[pending.class.0].latency_objective * spread;
            let retry_after = delay.min(self.settings.limits.max_retry_after);
            actions.push(Action::Refuse { request, retry_after, reason });
        } else {
            actions.push(Action::Fail(request));
        }
    }

    // --- Evaluation of a server --------------------------------------------------------------

    /// Returns a server's projected utilisation and its expected response time for a request. Returns `None`
    /// if the server is unknown or the request may not go to its zone.
    pub(crate) fn evaluate(&self, id: UpstreamId, pending: &PendingRequest) -> Option<Candidate> {
        let server = self.endpoints.get(id).filter(|server| self.guidance.allows(pending, server.zone))?;
        let (in_flight, capacity) = (self.estimated_in_flight(server), self.capacity(server));
        let warm_fraction = server.warm_fraction(self.now, &self.settings.slow_start);
        let slowness = self.slowness(server) / warm_fraction;
        let occupancy = (in_flight + 1.0) / capacity;
        let queue_depth = occupancy.max(1.0);
        Some(Candidate {
            id,
            pool: server.placement.map_or(Pool::Waiting, |(_, pool)| pool),
            warm_fraction,
            projected_utilisation: occupancy * slowness,
            occupancy,
            queue_depth,
            backing_off: self.now < server.backoff_until,
            limit_fraction: if self.has_known_capacity(server) {
                server.limit_fraction_at(self.now)
            } else {
                f64::MAX
            },
            // A server without requests is idle whatever its estimated capacity. Otherwise a wrong estimate
            // could never be corrected.
            idle: in_flight + 1.0 <= (IDLE_UTILISATION * capacity).max(IDLE_REQUESTS),
            expected_slowdown: slowness * queue_depth,
            expected_latency: self.estimates.classes[pending.class.0].service_time * slowness * queue_depth,
        })
    }

    /// Returns κ, the number of requests that a server works on at once. The listed weight compares servers
    /// of one kind with each other. The scale of a kind comes from reports below saturation.
    pub(crate) fn capacity(&self, upstream: &Upstream) -> f64 {
        let kind = self.estimates.kinds.get(&upstream.kind).unwrap_or(&self.estimates.all_servers);
        (upstream.weight * kind.capacity_per_weight()).max(0.1)
    }

    /// Returns whether κ is known well enough to limit a server's requests by it.
    fn has_known_capacity(&self, upstream: &Upstream) -> bool {
        let reports = self.estimates.kinds.get(&upstream.kind).map_or(0.0, |kind| kind.low_load_reports);
        self.settings.weights_are_capacities || reports >= ENOUGH_LOW_LOAD_REPORTS
    }

    /// Returns m, the estimated number of requests in flight at a server: what others have there by its
    /// reports, plus this sidecar's own attempts, which it knows at once. A server without reports is assumed
    /// to have the mean of the known servers.
    fn estimated_in_flight(&self, upstream: &Upstream) -> f64 {
        let age = (self.now - upstream.reported_at - REPORT_STALE_AGE).max(0.0);
        let (mean, reported) = self.others_in_flight(upstream);
        let others = mean + (reported - mean) * (-age / ESTIMATE_DECAY_TIME).exp();
        // An attempt that stays unanswered for long while the server answers others is lost or hangs. It
        // does not occupy the server.
        let longest = self.estimates.classes.iter().map(|class| class.service_time).fold(1.0, f64::max);
        let since = self.now - LOST_AFTER_SERVICE_TIMES * longest * self.decayed_slowness(upstream).max(1.0);
        let lost = if upstream.last_answer_at < since {
            0
        } else {
            upstream.outstanding.partition_point(|attempt| attempt.sent_at < since)
        };
        (upstream.outstanding.len() - lost) as f64 + others
    }

    /// Returns a server's service time relative to the mean server, from its answers and from attempts that
    /// have been unanswered for long.
    fn slowness(&self, upstream: &Upstream) -> f64 {
        let learnt = self.decayed_slowness(upstream);
        // A server that hangs gives no answers to learn from. The time since its last answer counts instead.
        let unanswered = upstream.outstanding.first().map_or(0.0, |oldest| {
            UNANSWERED_WEIGHT * (self.now - oldest.sent_at.max(upstream.last_answer_at))
                / (oldest.candidate.queue_depth * self.estimates.classes[oldest.class.0].service_time)
        });
        learnt.max(unanswered).max(0.05)
    }

    /// Returns the slowness that a server's answers have shown. As this estimate gets old, it decays to the
    /// mean slowness of the server's kind.
    fn decayed_slowness(&self, upstream: &Upstream) -> f64 {
        let kind = self.estimates.kinds.get(&upstream.kind).filter(|kind| kind.answer_count > 0.0);
        let mean = kind.unwrap_or(&self.estimates.all_servers).mean_slowness;
        mean + (upstream.slowness - mean)
            * (-(self.now - upstream.slowness_updated_at) / ESTIMATE_DECAY_TIME).exp()
    }

    /// Sends a server a load poll if its report is old enough, no load poll is under way and the budget
    /// allows it.
    fn poll_load(&mut self, id: UpstreamId, actions: &mut Vec<Action>) {
        let may = self.guidance.may_poll_load(id)
            && self.settings.limits.load_polls
            && self.estimates.load_poll_budget >= 1.0;
        let Some(server) = self.endpoints.get_mut(id).filter(|server| may && server.serving) else { return };
        let waiting = server.load_poll_sent_at.is_some_and(|sent_at| self.now - sent_at < REPORT_STALE_AGE);
        if !waiting && self.now - server.reported_at > REPORT_REFRESH_AGE {
            server.load_poll_sent_at = Some(self.now);
            self.estimates.load_poll_budget -= 1.0;
            actions.push(Action::PollLoad(id));
        }
    }

    /// Starts an attempt. `has_alternatives` tells whether a retry could go to another server.
    fn send(
        &mut self,
        request: RequestId,
        candidate: Candidate,
        has_alternatives: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else { return };
        let timeout = self.attempt_timeout(pending, candidate, has_alternatives);
        let (class, attempt) = (pending.class, AttemptNo(pending.attempts.len() as u32));
        let may_hedge = self.settings.limits.concurrent_attempts && pending.attempts.is_empty();
        if let Some(hedge) = self.settings.classes[class.0].policy.second_copy.filter(|_| may_hedge) {
            let delay = hedge.after.ms(self.estimates.classes[class.0].hedge_delay);
            actions.push(Action::WakeAt { at: self.now + delay, token: request.0 << 1 | 1 });
        }
        let Some(upstream) = self.endpoints.get_mut(candidate.id) else { return };
        upstream.outstanding.push(OutstandingAttempt {
            request,
            attempt,
            class,
            sent_at: self.now,
            candidate,
        });
        let started = Attempt::new(candidate.id, upstream, self.now);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempts.push(started);
        }
        self.guidance.record_send(&candidate);
        if candidate.warm_fraction < 1.0 {
            self.slow_start.record_send(candidate.id, self.now, self.settings.slow_start.overload_window);
        }
        self.endpoints.update_pool(candidate.id, &self.settings.slow_start);
        actions.push(Action::Send { request, upstream: candidate.id, timeout });
    }

    /// Returns the timeout of an attempt: long enough for the attempt, short enough for a retry to meet the
    /// latency objective. A request that stays at a server after its answer no longer earns any priority
    /// weight delays others.
    fn attempt_timeout(
        &self,
        pending: &PendingRequest,
        candidate: Candidate,
        has_alternatives: bool,
    ) -> Millis {
        let class = &self.settings.classes[pending.class.0];
        let longest = class.policy.attempt_timeout.map_or(f64::MAX, |timeout| timeout.0);
        let useful = if class.late_weight > 0.0 {
            pending.deadline - self.now
        } else {
            self.time_to_objective(pending)
        };
        let left = useful.max(0.0).min(longest);
        let last = pending.attempts.len() as u32 + 1 >= self.settings.limits.max_attempts;
        let retries = self.estimates.retry_budget.holds(Further::Retry, self.budgets());
        if last || !has_alternatives || class.idempotency == Idempotency::NotIdempotent || !retries {
            return left;
        }
        let spare = pending.arrived_at + class.latency_objective
            - self.now
            - RETRY_RESERVE * self.estimates.classes[pending.class.0].service_time;
        spare.max(TIMEOUT_MULTIPLE * candidate.expected_latency).min(left)
    }

    /// Ends, retries or closes a request after one of its attempts has ended.
    fn on_finished(&mut self, end: Finished, actions: &mut Vec<Action>) {
        let (request, outcome) = (end.request, end.outcome);
        let Some(pending) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = pending.attempts.get_mut(end.attempt.0 as usize).filter(|a| a.pending) else {
            return;
        };
        attempt.pending = false;
        attempt.may_have_run = outcome.may_have_run();
        let late = self.now > pending.arrived_at + self.settings.classes[pending.class.0].latency_objective;
        let step = if outcome == Outcome::Full { 0.0 } else { GLOBAL_SMOOTHING }
            * (LATE_ANSWERS_TARGET - f64::from(u8::from(late)));
        self.estimates.headroom_scale = (self.headroom_scale() * (1.0 + step)).clamp(0.25, 1.0);
        self.estimates.headroom_updated_at = self.now;
        if end.request_closed || outcome == Outcome::Ok {
            return self.close_request(request, actions);
        }
        let none_pending = |pending: &&PendingRequest| !pending.attempts.iter().any(|a| a.pending);
        let Some(pending) = self.requests.get(&request).filter(none_pending) else { return };
        let policy = &self.settings.classes[pending.class.0].policy;
        let (sends, ran) =
            (pending.attempts.len() as u32, pending.attempts.iter().filter(|a| a.may_have_run).count());
        let attempts_left =
            sends < self.settings.limits.max_attempts && policy.follows(outcome.failure(), sends, ran as u32);
        let backoff = policy.backoff.map_or(0.0, |backoff| backoff.pause_ms(sends, self.rng.rand_float()));
        let worth_it = self.time_to_objective(pending) > backoff && outcome != Outcome::NotSent;
        // An attempt that never left this machine costs no server anything.
        let is_free = outcome == Outcome::LocalFailure;
        match attempts_left && worth_it && (is_free || self.spend_budget(pending.class, Further::Retry)) {
            true if backoff > 0.0 => {
                actions.push(Action::WakeAt { at: self.now + backoff, token: request.0 << 1 })
            }
            true => self.dispatch(request, actions),
            false => self.reject_or_fail(request, Reason::Overload, actions),
        }
    }

    /// Returns the budgets for retries and hedged requests of all classes together. Those of the cluster take
    /// precedence over the settings.
    pub(crate) fn budgets(&self) -> Budgets {
        self.guidance.budgets(self.settings.budgets())
    }

    /// Takes one retry or hedged request from the common budget and from that of the class. Returns whether
    /// both allow it.
    fn spend_budget(&mut self, class: ClassId, kind: Further) -> bool {
        let (common, own) = (self.budgets(), self.settings.classes[class.0].budgets());
        let budgets = [
            (&mut self.estimates.retry_budget, common),
            (&mut self.estimates.classes[class.0].retry_budget, own),
        ];
        purse::spend(kind, budgets)
    }

    /// Sends a retry whose backoff has ended or, if `hedge` is set, a hedged request.
    fn on_timer(&mut self, request: RequestId, hedge: bool, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request).cloned() else { return };
        match &pending.attempts[..] {
            [.., _] if !hedge && !pending.attempts.iter().any(|a| a.pending) => {
                self.dispatch(request, actions)
            }
            // The hedge goes to another server or is not sent: behind the first attempt it would only wait
            // in the same queue.
            [first] if hedge && first.pending && self.settings.limits.max_attempts > 1 => {
                let chosen = self
                    .choose_server(request, &pending, actions)
                    .filter(|server| server.id != first.upstream);
                if let Some(chosen) = chosen.filter(|_| self.spend_budget(pending.class, Further::Copy)) {
                    self.send(request, chosen, false, actions);
                }
            }
            _ => {}
        }
    }

    /// Removes a request that needs no answer any more, and cancels its pending attempts.
    fn close_request(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else { return };
        let cancel = self.settings.limits.cancel;
        for (number, _) in pending.attempts.iter().enumerate().filter(|(_, a)| a.pending && cancel) {
            actions.push(Action::Cancel { request, attempt: AttemptNo(number as u32) });
        }
    }

    /// Updates the estimates from the end of an attempt, even if its request is already closed.
    fn record_outcome(&mut self, end: Finished, actions: &mut Vec<Action>) {
        let Finished { upstream: id, outcome, latency, .. } = end;
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let Some(sent) = upstream.remove_outstanding(end.request, end.attempt) else { return };
        let silent = upstream.last_answer_at <= sent.sent_at;
        self.endpoints.update_pool(id, &self.settings.slow_start);
        self.endpoints.remove_if_unused(id);
        // If one of two hedged attempts wins, the cancelled one says as much about its server as a timeout.
        let hedged = self.settings.classes[sent.class.0].policy.second_copy.is_some();
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) || (hedged && outcome == Outcome::Cancelled) {
            self.update_service_estimates(id, sent, latency, outcome == Outcome::Ok);
        }
        if let Some(report) = end.report {
            self.record_report(id, report, 0.0);
        }
        self.reduce_limit(end, sent, actions);
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Unreachable | Outcome::Reset => true,
            // Under overload, attempts to healthy servers time out as well. A server that has not answered
            // any request in all of that time hangs.
            Outcome::TimedOut if silent && latency >= TIMEOUT_MULTIPLE * sent.candidate.expected_latency => {
                true
            }
            _ => return,
        };
        self.update_health(id, failed, actions);
    }

    /// Lowers the limit of a server that has rejected a request, since it takes less than its capacity
    /// suggests. The limit recovers with time. A server that rejects at once is also avoided for a while,
    /// longer each time: by its in-flight count it looks idle and would win every draw. Neither is a failure
    /// of the server, and neither affects the estimates of other servers.
    fn reduce_limit(&mut self, end: Finished, sent: OutstandingAttempt, actions: &mut Vec<Action>) {
        let Finished { upstream: id, outcome, latency, .. } = end;
        let Some(server) = self.endpoints.get_mut(id) else { return };
        if outcome == Outcome::Ok {
            server.backoff_duration = 0.0;
        }
        // An attempt that was sent before the last reduction says nothing about the present limit.
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

    /// Updates the class's service time and the server's slowness from an attempt's latency, without the time
    /// in the queue. A timeout shows that the server is at least this slow.
    fn update_service_estimates(
        &mut self,
        id: UpstreamId,
        sent: OutstandingAttempt,
        latency: Millis,
        answered: bool,
    ) {
        // The additional latency of a server in slow start indicates neither queueing nor its later speed.
        let Some(server) = self.endpoints.get(id).filter(|_| latency > 0.0) else { return };
        let (known, warm_fraction) =
            (self.decayed_slowness(server), server.warm_fraction(self.now, &self.settings.slow_start));
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let without_queue = latency * warm_fraction / sent.candidate.queue_depth;
        let class = &mut self.estimates.classes[sent.class.0];
        let slowness = without_queue / class.service_time;
        let (sample, weight) = if answered {
            (slowness, SERVER_SMOOTHING)
        } else {
            (known.max(UNANSWERED_WEIGHT * slowness), 1.0)
        };
        upstream.slowness = known + weight * (sample - known);
        upstream.slowness_updated_at = self.now;
        self.estimates.kinds.entry(upstream.kind).or_default().add_answer(sample, GLOBAL_SMOOTHING);
        self.estimates.all_servers.add_answer(sample, GLOBAL_SMOOTHING);
        upstream.last_answer_at = if answered { self.now } else { upstream.last_answer_at };
        // The service time is the median over attempts that met no queue. If the queue of a server is
        // underestimated, its answers are late, and a service time learnt from them would lead to rejections
        // while there is capacity.
        if answered && sent.candidate.queue_depth <= 1.0 {
            class.add_sample(without_queue, GLOBAL_SMOOTHING);
            if warm_fraction >= 1.0 {
                let assumed =
                    self.settings.classes[sent.class.0].latency_objective * INITIAL_SERVICE_TIME_SHARE;
                self.slow_start.record_answer(sent.class, without_queue, assumed);
            }
        }
        let hedge = self.settings.classes[sent.class.0].policy.second_copy.filter(|_| answered);
        if let Some(share) = hedge.and_then(|hedge| hedge.after.share()) {
            class.hedge_delay *=
                1.0 + GLOBAL_SMOOTHING * (share - f64::from(u8::from(latency <= class.hedge_delay)));
        }
    }

    fn on_load_polled(&mut self, id: UpstreamId, answered: bool, report: Option<LoadReport>) {
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        upstream.load_poll_sent_at = None;
        if let (Some(report), true) = (report, answered) {
            self.record_report(id, report, 0.0);
        }
    }

    /// Records a server's load report that is `age` old, unless a newer one is known.
    fn record_report(&mut self, id: UpstreamId, report: LoadReport, age: Millis) {
        let at = self.now - age.max(0.0);
        let Some(server) = self.endpoints.get_mut(id).filter(|s| at >= s.reported_at) else { return };
        let Some(in_flight) = report.in_flight.filter(|m| m.is_finite() && *m >= 0.0) else { return };
        // Servers refresh their reports from time to time. A repeated report holds no new information and
        // must not count twice.
        let figures =
            [report.in_flight, report.utilisation, report.served_per_s].map(|f| f.unwrap_or(-1.0) as f32);
        let repeated = std::mem::replace(&mut server.last_report, figures) == figures;
        if repeated && server.reported_at > self.now - REPORT_STALE_AGE {
            server.reported_at = at;
            return;
        }
        let since = at - server.reported_at;
        let utilisation = report.utilisation.filter(|u| *u >= 0.0).map(|u| u.min(1.0));
        if let Some(utilisation) = utilisation {
            server.mean_utilisation +=
                (1.0 - (-since / UTILISATION_AVERAGING_TIME).exp()) * (utilisation - server.mean_utilisation);
        }
        let others = (in_flight - server.outstanding.len() as f64).max(0.0);
        server.others_in_flight +=
            (1.0 - (-since / OTHERS_AVERAGING_TIME).exp()) * (others - server.others_in_flight);
        server.reported_at = at;
        // The mean of all servers moves by elapsed time. If many sidecars share the load polls, reports
        // arrive too rarely here for an average by their count.
        let elapsed = self.now - std::mem::replace(&mut self.estimates.others_updated_at, self.now);
        let step = GLOBAL_SMOOTHING.max(1.0 - (-elapsed / OTHERS_AVERAGING_TIME).exp());
        self.estimates.others_in_flight += step * (server.others_in_flight - self.estimates.others_in_flight);
        let Some(utilisation) = utilisation.filter(|u| *u >= MIN_REPORTED_UTILISATION) else { return };
        // Servers that start together with this sidecar begin their averages at 0. Early ratios of in-flight
        // requests to utilisation would overestimate their capacity by far.
        if self.now < *self.estimates.first_report_at.get_or_insert(self.now) + 2.0 * SERVER_AVERAGING_TIME {
            return;
        }
        // The in-flight count includes queued requests. The ratio of a busy server therefore shows how busy
        // it is and not how large, and is used only until low-load reports are known. The server's slow
        // average decides whether it is busy: a selection by single reports would bias the ratio.
        let low_load = server.mean_utilisation < LOW_UTILISATION && utilisation < SATURATED_UTILISATION;
        let any_load = !self.settings.weights_are_capacities && utilisation < SATURATED_UTILISATION;
        let prior = if self.settings.weights_are_capacities { LISTED_CAPACITY_REPORTS } else { 1.0 };
        let (id, per_weight) = (server.kind, in_flight / server.weight);
        for kind in [self.estimates.kinds.entry(id).or_default(), &mut self.estimates.all_servers] {
            if low_load || (any_load && kind.low_load_reports < ENOUGH_LOW_LOAD_REPORTS) {
                let step = CAPACITY_SMOOTHING.max(1.0 / (1.0 + prior + kind.report_count));
                kind.add_report(per_weight, utilisation, step, low_load);
            }
        }
    }

    /// Counts an outcome for or against a server. This is outlier ejection with half-open ejection probes.
    fn update_health(&mut self, id: UpstreamId, failed: bool, actions: &mut Vec<Action>) {
        let count = self.endpoints.serving_count(None) as f64;
        let threshold = EJECTION_MARGIN + self.endpoints.mean_failure_rate();
        let ejected = self.endpoints.count(None, &[Pool::Trial, Pool::Waiting]) as f64;
        let may_eject = count > 1.0 && ejected + 1.0 <= (MAX_EJECTED_SHARE * count).max(1.0);
        let (now, jitter) = (self.now, 0.75 + 0.5 * self.rng.rand_float());
        let rate = self.endpoints.record_outcome(id, failed, SERVER_SMOOTHING);
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let eject = |duration: Millis| Health::Ejected { until: now + duration * jitter, duration };
        match upstream.health {
            Health::Ready if failed && may_eject && rate > threshold => {
                upstream.health = eject(EJECTION_TIMES[0]);
                actions
                    .push(Action::Log { about: None, text: format!("server {} ejected for failures", id.0) });
            }
            Health::Ejected { until, duration } if failed && now >= until => {
                upstream.health = eject((duration * 2.0).min(EJECTION_TIMES[1]));
            }
            // Only an ejection probe returns a server to service. Answers to attempts from before the
            // ejection still arrive and must not.
            Health::Ejected { until, .. } if !failed && now >= until && rate < threshold => {
                upstream.health = Health::Ready;
                actions
                    .push(Action::Log { about: None, text: format!("server {} is back after trials", id.0) });
            }
            Health::Ready | Health::Ejected { .. } => {}
        }
        self.endpoints.update_pool(id, &self.settings.slow_start);
    }

    /// Applies the result of another sidecar's ejection probe: the server returns to service here as well, or
    /// stays ejected for longer.
    fn on_ejection_probe_result(&mut self, id: UpstreamId, recovered: bool) {
        let Some(upstream) = self.endpoints.get_mut(id) else { return };
        let Health::Ejected { duration, .. } = upstream.health else { return };
        let extended = Health::Ejected { until: self.now + duration, duration };
        upstream.health = if recovered { Health::Ready } else { extended };
        self.endpoints.update_pool(id, &self.settings.slow_start);
    }

    // --- The server list ---------------------------------------------------------------------

    fn on_list_update(&mut self, update: ListUpdate) {
        let complete = !matches!(update, ListUpdate::Changed(_));
        let (ListUpdate::Restored(list) | ListUpdate::Complete(list) | ListUpdate::Changed(list)) = update;
        // A server that is missing from a complete list is gone.
        if complete {
            self.endpoints.retain_listed(&list);
        }
        let (home, rules) = (self.settings.zone, &self.settings.slow_start);
        list.iter().for_each(|entry| self.endpoints.update(entry, home, rules));
        self.slow_start.drop_sends_before(self.now - rules.overload_window);
        self.select_subset();
    }

    /// Selects the subset of servers that this sidecar uses, and updates the number of sidecars that share a
    /// server.
    fn select_subset(&mut self) {
        let sidecars = f64::from(self.settings.sidecars.max(1));
        let subset = |serving: usize| (SIDECARS_PER_SERVER * serving as f64 / sidecars).max(MIN_SUBSET_SIZE);
        let (home, rules) = (self.settings.zone, &self.settings.slow_start);
        let serving = self.endpoints.select_subset(|serving| subset(serving) as usize, home, rules);
        self.estimates.sidecars_per_server = sidecars * (subset(serving) / serving as f64).min(1.0);
    }
}
