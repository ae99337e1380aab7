//! Limits what all sidecars together send to a server in slow start, that is, one that has started recently.
//!
//! The settings allow a server in slow start a number of requests per window. Each sidecar that shares the
//! server gets an equal quota of them, in whole slots. A fractional quota is rounded at random: 2.3 becomes 2
//! slots at some sidecars and 3 at others, so that all quotas together come to the intended sum. Each sidecar
//! uses its own random numbers for this.
//!
//! A slot admits one request and becomes free again one window later. Therefore no window holds more requests
//! than there are slots, whatever load reports say, however many sidecars there are and however unevenly
//! their traffic is distributed. An unused slot stays available until it is used.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::api::{ClassId, Millis, UpstreamId};
use crate::balancer::Balancer;
use crate::groups::{DrawFrom, Pool};
use crate::state::{Candidate, PendingRequest, Upstream};

/// The fraction of a server's allowance that is handed out as slots. The rest is a safety margin: capacities,
/// service times and the number of sidecars that share a server are estimates, and the sum of the randomly
/// rounded quotas varies.
const ALLOCATED_SHARE: f64 = 0.5;
/// Within this fraction of the window, a sidecar uses at most this fraction of its slots at a server, rounded
/// up. Using all slots at once would build a queue of several seconds.
const BURST_FRACTION: f64 = 0.25;
/// The fraction of its slots that a sidecar has when a server starts. It has all of them one window later.
const INITIAL_SLOT_SHARE: f64 = 0.25;
/// The random rounding of a quota is repeated after this many windows, at a different time at each sidecar.
/// Without that, a server could have few slots for its entire slow start. The redraws can admit more requests
/// in a window, by about one part in this number.
const REDRAW_WINDOWS: f64 = 8.0;
/// The highest capacity that a server is assumed to have if the server list holds no capacities. The mean of
/// its kind can be far above the server's own capacity.
const MAX_UNLISTED_CAPACITY: f64 = 1.0;
/// The number of servers that are checked for a free slot. It covers most of a sidecar's subset in a large
/// cluster.
const MAX_COLD_CHECKS: usize = 16;
/// The number of answers that the initially assumed service time counts for.
const PRIOR_ANSWERS: f64 = 4.0;
/// The number of answers that the mean service time covers. Older ones fade out.
const MAX_REMEMBERED_ANSWERS: f64 = 200.0;
/// An answer counts as at most this many times the mean service time. A longer time comes from a server that
/// hung and says nothing about the work.
const MAX_ANSWER_RATIO: f64 = 5.0;
/// The weight of an arrival in the mean work per request, after the first few arrivals.
const MIN_ARRIVAL_STEP: f64 = 0.02;

/// A sum of service times and the number of answers in it.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct ServiceTimes {
    sum: Millis,
    count: f64,
}

/// What this sidecar has sent to servers in slow start, and the estimates that their allowance is computed
/// from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    /// Makes the random numbers of this sidecar differ from those of others.
    salt: u64,
    /// The time of the module's first event. A server that had started before may have been sent requests by
    /// a previous process of this sidecar.
    first_event_at: Option<Millis>,
    /// The times of this sidecar's sends within the window, by server, oldest first.
    #[serde(with = "indexmap::map::serde_seq")]
    send_times: IndexMap<UpstreamId, VecDeque<Millis>, FxBuildHasher>,
    /// The index of the cold server at which the next search for a free slot starts, before wrap-around.
    next_cold_index: usize,
    /// Service times by class, from answers of warm servers to requests that did not wait in a queue.
    service_times: Vec<ServiceTimes>,
    /// The mean service time of the arriving requests.
    mean_service_time: Millis,
    /// The number of arrivals in that mean.
    arrival_count: f64,
}

impl SlowStart {
    /// Starts without any sends.
    pub fn new(salt: u64) -> SlowStart {
        SlowStart { salt, ..SlowStart::default() }
    }

    /// Records the time of the first event. Later calls have no effect.
    pub fn record_first_event(&mut self, now: Millis) {
        self.first_event_at.get_or_insert(now);
    }

    /// Records a send to a server in slow start.
    pub fn record_send(&mut self, server: UpstreamId, now: Millis, window: Millis) {
        let times = self.send_times.entry(server).or_default();
        while times.front().is_some_and(|at| *at <= now - window) {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Drops the servers that were last sent a request before the window.
    pub fn drop_sends_before(&mut self, window_start: Millis) {
        self.send_times.retain(|_, times| times.back().is_some_and(|at| *at > window_start));
    }

    /// Whether fewer than `limit` requests were sent to a server after the given time.
    fn sent_fewer_since(&self, server: UpstreamId, since: Millis, limit: usize) -> bool {
        let Some(times) = self.send_times.get(&server) else { return limit > 0 };
        let index = times.len().checked_sub(limit);
        limit > 0 && index.and_then(|index| times.get(index)).is_none_or(|at| *at <= since)
    }

    /// Drops the service times of a class whose id is given to another class.
    pub fn reset_class(&mut self, class: ClassId) {
        if let Some(times) = self.service_times.get_mut(class.0) {
            *times = ServiceTimes::default();
        }
    }

    /// Adds the service time of an answer from a warm server, for a request that did not wait in a queue.
    /// `assumed` is the class's initially assumed service time.
    pub fn record_answer(&mut self, class: ClassId, time: Millis, assumed: Millis) {
        let longest = MAX_ANSWER_RATIO * self.service_time(class, assumed);
        if self.service_times.len() <= class.0 {
            self.service_times.resize(class.0 + 1, ServiceTimes::default());
        }
        let Some(times) = self.service_times.get_mut(class.0) else { return };
        if times.count >= MAX_REMEMBERED_ANSWERS {
            times.sum *= 1.0 - 1.0 / MAX_REMEMBERED_ANSWERS;
            times.count *= 1.0 - 1.0 / MAX_REMEMBERED_ANSWERS;
        }
        times.sum += time.min(longest);
        times.count += 1.0;
    }

    /// Updates the mean work per request with an arrival.
    pub fn record_arrival(&mut self, class: ClassId, assumed: Millis) {
        self.arrival_count += 1.0;
        let step = MIN_ARRIVAL_STEP.max(1.0 / self.arrival_count);
        self.mean_service_time += step * (self.service_time(class, assumed) - self.mean_service_time);
    }

    /// The mean service time of a class. The assumed one counts as [`PRIOR_ANSWERS`] answers.
    fn service_time(&self, class: ClassId, assumed: Millis) -> Millis {
        let times = self.service_times.get(class.0).copied().unwrap_or_default();
        (PRIOR_ANSWERS * assumed + times.sum) / (PRIOR_ANSWERS + times.count)
    }

    /// Rounds a quota to whole slots at random. The probability of rounding up is the fractional part.
    fn whole_slots(&self, server: UpstreamId, quota: f64, now: Millis, window: Millis) -> usize {
        let seed = splitmix64(self.salt ^ splitmix64(server.0));
        let period = (now / (REDRAW_WINDOWS * window).max(1.0) + unit_fraction(seed)).floor();
        (quota + unit_fraction(splitmix64(seed ^ period.to_bits()))) as usize
    }
}

/// The SplitMix64 generator's step and finalizer. Inputs that differ in one bit give unrelated results.
fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Maps the upper half of a number to a fraction from 0 to below 1.
fn unit_fraction(number: u64) -> f64 {
    (number >> 32) as f64 / 4_294_967_296.0
}

impl Balancer {
    /// Whether a server may be sent one more request as far as slow start is concerned. A server in slow
    /// start needs a lease from the cluster or, where the cluster hands out no leases, a free slot. Any other
    /// server may be sent the request.
    pub(crate) fn slow_start_admits(&self, candidate: &Candidate) -> bool {
        let by_slots = || {
            candidate.warm_fraction >= 1.0
                || self
                    .endpoints
                    .get(candidate.id)
                    .is_some_and(|server| self.has_free_slot(candidate.id, server))
        };
        self.guidance.lease_allows(candidate, self.now).unwrap_or_else(by_slots)
    }

    /// Draws a pair of candidates. Each cold server in the pair is replaced by a cold server that has a free
    /// slot for this sidecar, if one is found. From the second round on, when an earlier pair had no
    /// capacity, such a server is also offered as a third candidate. Returns `None` if a drawn server may not
    /// be sent the request.
    pub(crate) fn draw_candidates(
        &mut self,
        zone_set: Option<usize>,
        from: DrawFrom,
        round: usize,
        pending: &PendingRequest,
    ) -> Option<[Option<Candidate>; 3]> {
        let ids = self.endpoints.draw_pair(zone_set, from, |n| self.rng.rand_range(0..n))?;
        let [Some(one), Some(other)] = ids.map(|id| self.evaluate(id, pending)) else { return None };
        let mut drawn = [Some(one), Some(other), None];
        if !matches!(from, DrawFrom::Ready | DrawFrom::Warm) || self.guidance.has_slow_start_leases() {
            return Some(drawn);
        }
        for candidate in &mut drawn {
            let replaceable = candidate.map_or(round > 0, |server| server.pool == Pool::Cold);
            if let Some(server) = replaceable.then(|| self.next_cold_candidate(zone_set, pending)).flatten() {
                *candidate = Some(server);
            }
        }
        Some(drawn)
    }

    /// Checks the next cold servers in turn, and returns the first that has a free slot and may be sent the
    /// request.
    fn next_cold_candidate(
        &mut self,
        zone_set: Option<usize>,
        pending: &PendingRequest,
    ) -> Option<Candidate> {
        let cold = self.endpoints.count(zone_set, &[Pool::Cold]);
        for _ in 0..cold.min(MAX_COLD_CHECKS) {
            self.slow_start.next_cold_index = self.slow_start.next_cold_index.wrapping_add(1);
            let id = self.endpoints.cold_endpoint(zone_set, self.slow_start.next_cold_index % cold)?;
            let has_slot = self.endpoints.get(id).is_some_and(|server| self.has_free_slot(id, server));
            if let Some(candidate) = has_slot.then(|| self.evaluate(id, pending)).flatten() {
                return Some(candidate);
            }
        }
        None
    }

    /// How many requests other sidecars have in flight at a server: the usual number, and the number that the
    /// server's reports give.
    ///
    /// The usual number for a server in slow start is at most its current capacity, because all sidecars have
    /// few slots there. Its newest report takes effect at once, so that a queue is noticed as soon as it is
    /// reported. The slots also make this safe where many sidecars read the same report.
    pub(crate) fn others_in_flight(&self, server: &Upstream) -> (f64, f64) {
        let warm_fraction = server.warm_fraction(self.now, &self.settings.slow_start);
        if warm_fraction >= 1.0 {
            return (self.estimates.others_in_flight, server.others_in_flight);
        }
        let reported = f64::from(server.last_report[0]) - server.outstanding.len() as f64;
        (
            self.estimates.others_in_flight.min(warm_fraction * self.capacity(server)),
            server.others_in_flight.max(reported),
        )
    }

    /// Whether this sidecar has a free slot at a server, within both the window and the burst limit.
    fn has_free_slot(&self, id: UpstreamId, server: &Upstream) -> bool {
        let window = self.settings.slow_start.overload_window;
        let slots = self.slow_start.whole_slots(id, self.send_quota(server), self.now, window);
        let burst = (BURST_FRACTION * slots as f64).ceil() as usize;
        self.slow_start.sent_fewer_since(id, self.now - window, slots)
            && self.slow_start.sent_fewer_since(id, self.now - BURST_FRACTION * window, burst)
    }

    /// This sidecar's quota of the requests that a server may be sent in a window, in requests of mean work.
    /// It is based on the capacity that the server had when the window began.
    fn send_quota(&self, server: &Upstream) -> f64 {
        let rules = &self.settings.slow_start;
        let started = server.started_at.unwrap_or(f64::MIN);
        let warm_fraction = server.warm_fraction((self.now - rules.overload_window).max(started), rules);
        let work = self.slow_start.mean_service_time.max(f64::MIN_POSITIVE);
        let allowed = rules.overload_multiple
            * warm_fraction
            * self.assured_capacity(self.capacity(server))
            * rules.overload_window
            / work;
        // If residency rules restrict requests to zone sets, a server can be in other subsets than the
        // unrestricted one, so that any sidecar may share it.
        let sidecars = if self.endpoints.zone_set_count() > 0 {
            f64::from(self.settings.sidecars)
        } else {
            self.estimates.sidecars_per_server
        };
        // What a previous process of this sidecar sent to the server within the last window is not known. If
        // the server had started before this process, the quota grows from 0 over one window.
        let first_event_at = self.slow_start.first_event_at.unwrap_or(self.now);
        let (from, initial) =
            if first_event_at > started { (first_event_at, 0.0) } else { (started, INITIAL_SLOT_SHARE) };
        let available = ((self.now - from) / rules.overload_window.max(1.0)).clamp(initial, 1.0);
        ALLOCATED_SHARE * allowed * available / sidecars.max(1.0)
    }

    /// The capacity that a server can be relied on to have, given its estimated capacity. An estimate that is
    /// not based on listed capacities is limited to [`MAX_UNLISTED_CAPACITY`].
    fn assured_capacity(&self, capacity: f64) -> f64 {
        if self.settings.weights_are_capacities { capacity } else { capacity.min(MAX_UNLISTED_CAPACITY) }
    }
}
