//! The budget of servers in slow start: what all sidecars together may send a server that started not long ago.
//!
//! Of what the settings allow a server in a window each sidecar that shares it has an equal part, in whole
//! places: one that comes to 2.3 is 2 places at some sidecars and 3 at others, by private random numbers, so
//! that all parts together come to what they should. A place lets one request pass and is free again a window
//! later. So no window holds more requests than there are places, whatever reports say and however many
//! sidecars there are or uneven their traffic is, and a place that is not used is kept for as long as it is not.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::api::{ClassId, Millis, UpstreamId};
use crate::balancer::Balancer;
use crate::groups::{DrawFrom, Pool};
use crate::state::{Candidate, PendingRequest, Upstream};

/// The share of a server's allowance that is given out in places: sizes, service times and the number of
/// sidecars that share a server are estimates, and what places come to spreads by chance.
const ALLOCATED_SHARE: f64 = 0.5;
/// Of its places for a server a sidecar uses no more than this share, rounded up, within this share of the window: all
/// at once they would be a queue of seconds.
const BURST_FRACTION: f64 = 0.25;
/// When a server starts, sidecars have this share of their places there; all of them a window later.
const INITIAL_SLOT_SHARE: f64 = 0.25;
/// Whether a part is rounded up or down is drawn anew after so many windows, at each sidecar at another time: else one
/// server might have few places for all its slow start. In a window so many more requests may come.
const REDRAW_WINDOWS: f64 = 8.0;
/// The size that a server is taken for at most where the list tells no sizes: its kind's mean may be far above it.
const MAX_UNLISTED_CAPACITY: f64 = 1.0;
/// How many servers are looked at for one with a free place: in large fleets most of a sidecar's subset.
const MAX_COLD_CHECKS: usize = 16;
/// How many answers the service time assumed at first counts for, and how many the newest ones count for.
const PRIOR_ANSWERS: f64 = 4.0;
const MAX_REMEMBERED_ANSWERS: f64 = 200.0;
/// One answer counts for no more than this many mean ones: a server that hung tells nothing of the work.
const MAX_ANSWER_RATIO: f64 = 5.0;
/// Weight of an arrival in the mean work of a request, once there are some.
const MIN_ARRIVAL_STEP: f64 = 0.02;

/// A sum of service times and how many they are.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct ServiceTimes {
    sum: Millis,
    count: f64,
}

/// What one sidecar sent servers in slow start, and what their allowance is reckoned from.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    /// Makes this sidecar's random numbers differ from those of others.
    salt: u64,
    /// When the module was told its first event. A server that had started before may have been sent requests by an
    /// earlier life of this sidecar.
    first_event_at: Option<Millis>,
    /// Times of our sends within the window, by server, oldest first.
    #[serde(with = "indexmap::map::serde_seq")]
    send_times: IndexMap<UpstreamId, VecDeque<Millis>, FxBuildHasher>,
    /// Where the next look for a server with a free place begins.
    next_cold_index: usize,
    /// Answers of warm servers by class, which met no queue.
    service_times: Vec<ServiceTimes>,
    /// Mean service time of the arrivals, and how many it is of.
    mean_service_time: Millis,
    arrival_count: f64,
}

impl SlowStart {
    /// Nothing sent yet.
    pub fn new(salt: u64) -> SlowStart {
        SlowStart { salt, ..SlowStart::default() }
    }

    /// Notes when the first event came.
    pub fn record_first_event(&mut self, now: Millis) {
        self.first_event_at.get_or_insert(now);
    }

    /// Counts a send to a server in slow start.
    pub fn record_send(&mut self, server: UpstreamId, now: Millis, window: Millis) {
        let times = self.send_times.entry(server).or_default();
        while times.front().is_some_and(|at| *at <= now - window) {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Forgets sends that lie before the window.
    pub fn drop_sends_before(&mut self, from: Millis) {
        self.send_times.retain(|_, times| times.back().is_some_and(|at| *at > from));
    }

    /// Whether fewer than `most` sends to a server are later than a time.
    fn sent_fewer_since(&self, server: UpstreamId, from: Millis, most: usize) -> bool {
        let Some(times) = self.send_times.get(&server) else { return most > 0 };
        let place = times.len().checked_sub(most);
        most > 0 && place.and_then(|place| times.get(place)).is_none_or(|at| *at <= from)
    }

    /// Forgets how long a class takes, which another one takes the place of.
    pub fn reset_class(&mut self, class: ClassId) {
        if let Some(answers) = self.service_times.get_mut(class.0) {
            *answers = ServiceTimes::default();
        }
    }

    /// Averages in the time of an answer of a warm server that met no queue.
    pub fn record_answer(&mut self, class: ClassId, time: Millis, assumed: Millis) {
        let longest = MAX_ANSWER_RATIO * self.service_time(class, assumed);
        if self.service_times.len() <= class.0 {
            self.service_times.resize(class.0 + 1, ServiceTimes::default());
        }
        let Some(answers) = self.service_times.get_mut(class.0) else { return };
        if answers.count >= MAX_REMEMBERED_ANSWERS {
            answers.sum *= 1.0 - 1.0 / MAX_REMEMBERED_ANSWERS;
            answers.count *= 1.0 - 1.0 / MAX_REMEMBERED_ANSWERS;
        }
        answers.sum += time.min(longest);
        answers.count += 1.0;
    }

    /// Averages in the work of an arrival.
    pub fn record_arrival(&mut self, class: ClassId, assumed: Millis) {
        self.arrival_count += 1.0;
        let step = MIN_ARRIVAL_STEP.max(1.0 / self.arrival_count);
        self.mean_service_time += step * (self.service_time(class, assumed) - self.mean_service_time);
    }

    fn service_time(&self, class: ClassId, assumed: Millis) -> Millis {
        let answers = self.service_times.get(class.0).copied().unwrap_or_default();
        (PRIOR_ANSWERS * assumed + answers.sum) / (PRIOR_ANSWERS + answers.count)
    }

    /// A part in whole places, rounded up with a chance that is what it is beyond a whole number.
    fn whole_slots(&self, server: UpstreamId, part: f64, now: Millis, window: Millis) -> usize {
        let own = splitmix64(self.salt ^ splitmix64(server.0));
        let drawn = (now / (REDRAW_WINDOWS * window).max(1.0) + unit_fraction(own)).floor();
        (part + unit_fraction(splitmix64(own ^ drawn.to_bits()))) as usize
    }
}

/// The finalizer of SplitMix64: numbers that differ in one bit come out unlike.
fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A number's upper half as a share of 1, under 1.
fn unit_fraction(number: u64) -> f64 {
    (number >> 32) as f64 / 4_294_967_296.0
}

impl Balancer {
    /// Whether a server in slow start may be sent one more: by what the fleet leased of it, else by our places. Any
    /// other server may.
    pub(crate) fn slow_start_admits(&self, to: &Candidate) -> bool {
        let by_places = || {
            to.warm_fraction >= 1.0
                || self.endpoints.get(to.id).is_some_and(|it| self.has_free_slot(to.id, it))
        };
        self.guidance.lease_allows(to, self.now).unwrap_or_else(by_places)
    }

    /// A pair, in which servers in slow start that have a place for us stand for those that were drawn. Where the first
    /// pair had no room, one is offered beside the next. Nothing where a member may not be sent the request.
    pub(crate) fn draw_candidates(
        &mut self,
        ring: Option<usize>,
        from: DrawFrom,
        round: usize,
        held: &PendingRequest,
    ) -> Option<[Option<Candidate>; 3]> {
        let ids = self.endpoints.draw_pair(ring, from, |n| self.rng.rand_range(0..n))?;
        let [Some(one), Some(other)] = ids.map(|id| self.evaluate(id, held)) else { return None };
        let mut drawn = [Some(one), Some(other), None];
        if !matches!(from, DrawFrom::Ready | DrawFrom::Warm) || self.guidance.has_slow_start_leases() {
            return Some(drawn);
        }
        for place in &mut drawn {
            let offers = place.map_or(round > 0, |to| to.pool == Pool::Cold);
            if let Some(to) = offers.then(|| self.next_cold_candidate(ring, held)).flatten() {
                *place = Some(to);
            }
        }
        Some(drawn)
    }

    /// The next servers in slow start are looked at for one that has a free place and that the request may go to.
    fn next_cold_candidate(&mut self, ring: Option<usize>, held: &PendingRequest) -> Option<Candidate> {
        let cold = self.endpoints.count(ring, &[Pool::Cold]);
        for _ in 0..cold.min(MAX_COLD_CHECKS) {
            self.slow_start.next_cold_index = self.slow_start.next_cold_index.wrapping_add(1);
            let id = self.endpoints.cold_endpoint(ring, self.slow_start.next_cold_index % cold)?;
            let has_place = self.endpoints.get(id).is_some_and(|server| self.has_free_slot(id, server));
            if let Some(to) = has_place.then(|| self.evaluate(id, held)).flatten() {
                return Some(to);
            }
        }
        None
    }

    /// What others usually have in flight at a server, and what its reports tell of it. In slow start it has no more
    /// than it works on at once, since all sidecars have few places there. That others read the same report does no
    /// harm for the same reason, so a queue told of at last counts at once.
    pub(crate) fn others_in_flight(&self, server: &Upstream) -> (f64, f64) {
        let warmth = server.warm_fraction(self.now, &self.settings.slow_start);
        if warmth >= 1.0 {
            return (self.estimates.others_in_flight, server.others_in_flight);
        }
        let reported = f64::from(server.last_report[0]) - server.outstanding.len() as f64;
        (
            self.estimates.others_in_flight.min(warmth * self.capacity(server)),
            server.others_in_flight.max(reported),
        )
    }

    fn has_free_slot(&self, id: UpstreamId, server: &Upstream) -> bool {
        let window = self.settings.slow_start.overload_window;
        let places = self.slow_start.whole_slots(id, self.send_quota(server), self.now, window);
        let at_once = (BURST_FRACTION * places as f64).ceil() as usize;
        self.slow_start.sent_fewer_since(id, self.now - window, places)
            && self.slow_start.sent_fewer_since(id, self.now - BURST_FRACTION * window, at_once)
    }

    /// Our part of what a server may be sent in a window, in requests of mean work: by the capacity that it had
    /// when the window began.
    fn send_quota(&self, server: &Upstream) -> f64 {
        let safety = &self.settings.slow_start;
        let started = server.started_at.unwrap_or(f64::MIN);
        let warmth = server.warm_fraction((self.now - safety.overload_window).max(started), safety);
        let work = self.slow_start.mean_service_time.max(f64::MIN_POSITIVE);
        let allowed = safety.overload_multiple
            * warmth
            * self.assured_capacity(self.capacity(server))
            * safety.overload_window
            / work;
        // Where requests are bound to zones, a server may stand in other sets than those of the whole subset.
        let sharers = if self.endpoints.zone_set_count() > 0 {
            f64::from(self.settings.sidecars)
        } else {
            self.estimates.sidecars_per_server
        };
        // What an earlier life of this sidecar sent in the last window is not known.
        let began = self.slow_start.first_event_at.unwrap_or(self.now);
        let (from, first) = if began > started { (began, 0.0) } else { (started, INITIAL_SLOT_SHARE) };
        let known = ((self.now - from) / safety.overload_window.max(1.0)).clamp(first, 1.0);
        ALLOCATED_SHARE * allowed * known / sharers.max(1.0)
    }

    /// The size that a server surely has, given the one that is learnt.
    fn assured_capacity(&self, size: f64) -> f64 {
        if self.settings.weights_are_capacities { size } else { size.min(MAX_UNLISTED_CAPACITY) }
    }
}
