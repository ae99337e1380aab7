//! The shedding level: how much of the offered load the cluster sheds, from 0 to 1.
//!
//! The level follows from two quantities, both averages over the members that this member hears from:
//!
//! - The offered work per second and member. It is counted, including the rejected requests, so that the end
//!   of an overload shows at once.
//! - The capacity: the work per second that the servers can do for each member. It is estimated. The estimate
//!   falls while more than [`TARGET_UNMET`] of the admitted work is rejected for lack of capacity or fails,
//!   and rises while less is.
//!
//! A change of the offered load moves the level without anything to estimate first. The capacity hardly
//! changes, and it is the quantity that members agree on, so that old reports do little harm.

use crate::api::Millis;

use super::admission::SheddingOrder;
use super::peer_loads::{ClusterMeans, LevelReport, trimmed_mean};
use super::rates::Rates;

/// The fraction of the admitted work that may remain unmet. With a smaller fraction, servers idle between
/// requests.
pub const TARGET_UNMET: f64 = 0.05;

/// Shedding begins when the unmet fraction exceeds this value for [`ENGAGE_AFTER`]. It is above
/// [`TARGET_UNMET`], so that a load that just fits does not turn shedding on and off.
const ENGAGE_UNMET: f64 = 0.08;

/// How long the unmet fraction must exceed [`ENGAGE_UNMET`] before shedding begins.
const ENGAGE_AFTER: Millis = 500;
/// How long no shedding must be needed before the capacity estimate is dropped.
const RELEASE_AFTER: Millis = 2_000;

/// The time constant of the capacity estimate, in seconds. The estimate follows the admitted work that the
/// servers had capacity for. It does not integrate the unmet work, which would wind it up while the level is
/// still moving.
const CAPACITY_TIME_CONSTANT_S: f64 = 1.5;
/// The estimate is lowered by at most this many times the currently unmet work, both on a logarithmic scale.
const MAX_DECREASE_FACTOR: f64 = 2.0;

/// After this many seconds in which the servers had capacity for all admitted work, the estimate grows
/// faster, so that recovered servers are used soon.
const SPARE_AFTER_S: f64 = 1.0;
/// The increase of the growth rate for each further second, as a fraction of the normal rate.
const SPARE_ACCELERATION: f64 = 2.0;
/// The maximum growth rate of the estimate: the increase of its logarithm per second.
const MAX_GROWTH_RATE: f64 = 0.4;

/// The fraction of the distance to the peers' capacity estimates that a member covers in one period.
const CAPACITY_COUPLING: f64 = 0.2;

/// The maximum increase of the level per second.
const MAX_RISE_PER_S: f64 = 0.8;
/// The maximum decrease of the level per second.
pub const MAX_FALL_PER_S: f64 = 1.5;

/// Where the goal lies this far beyond [`NEAR_DISTANCE`], the level moves towards it as fast as the limits
/// allow. A nearer goal is approached by a smaller fraction of the distance, because small differences
/// between samples of the cluster are mostly chance.
const FULL_STEP_DISTANCE: f64 = 0.1;
/// The smallest fraction of the distance to the goal that the level covers in one period.
const MIN_STEP_FRACTION: f64 = 0.12;

/// The fraction of the distance to the peers' levels that a member covers in one period.
const LEVEL_COUPLING: f64 = 0.6;
/// The maximum distance to the peers' levels that counts for [`LEVEL_COUPLING`]. While the level moves, the
/// peers' reports are up to a second old and must not hold it back.
const NEAR_DISTANCE: f64 = 0.03;

/// A goal below this counts as 0.
const MIN_LEVEL: f64 = 0.005;

/// The quantile of the classes' unmet fractions, weighted by work, that counts as the unmet fraction of the
/// cluster. A lack of capacity affects all classes, whereas a class that has lost its servers gains nothing
/// from shedding other classes.
const UNMET_QUANTILE: f64 = 0.3;

/// The time constant in seconds with which a higher failure rate becomes the baseline. Failures that shedding
/// does not end are not caused by overload.
const BASELINE_RISE_S: f64 = 15.0;
/// The time constant in seconds with which the baseline follows a lower failure rate.
const BASELINE_FALL_S: f64 = 1.0;

/// The time constant in seconds of the averages that move the level.
const AVERAGING_S: f64 = 0.5;
/// Growth of the in-flight requests below this fraction of the admission rate counts as steady.
const STEADY_GROWTH: f64 = 0.03;

/// Demand that the servers lacked the capacity for, as fractions of the admitted requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct UnmetDemand {
    /// Requests rejected for lack of capacity, or failed beyond the baseline.
    rejected_or_failed: f64,
    /// The growth of the in-flight requests.
    growth: f64,
}

impl UnmetDemand {
    /// The total unmet fraction, from 0 to 1.
    fn total(&self) -> f64 {
        (self.rejected_or_failed + (self.growth - STEADY_GROWTH).max(0.0)).clamp(0.0, 1.0)
    }
}

/// The shedding level of one member, and the capacity estimate behind it.
#[derive(Debug, Default)]
pub struct SheddingLevel {
    level: f64,
    /// The level that this member's own averages call for.
    desired: f64,
    /// The estimated work per second that the servers can do for each member. Absent while there is no
    /// overload.
    capacity: Option<f64>,
    unmet: UnmetDemand,
    /// The usual fraction of failures of each class.
    baseline_failures: Vec<f64>,
    /// The requests in flight at the previous step.
    in_flight: Option<f64>,
    /// Since when the unmet fraction exceeds [`ENGAGE_UNMET`], while there is no capacity estimate.
    overloaded_since: Option<Millis>,
    /// Since when the level and the desired level are 0, while there is a capacity estimate.
    inactive_since: Option<Millis>,
    /// For how many seconds the servers have had capacity for nearly all admitted work.
    spare_s: f64,
    /// The time of the last log message and the level in it.
    last_note: Option<(Millis, f64)>,
    note: Option<String>,
}

impl SheddingLevel {
    /// The current level, from 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The report to publish to the other members.
    pub fn report(&self) -> LevelReport {
        LevelReport { level: self.level, desired: self.desired, capacity: self.capacity }
    }

    /// Takes the log message on the latest change of the level, if there is a new one.
    pub fn take_note(&mut self) -> Option<String> {
        self.note.take()
    }

    /// Lowers the level towards 0 while no other member is heard, and drops all estimates.
    pub fn decay(&mut self, elapsed_s: f64) {
        let level = (self.level - MAX_FALL_PER_S * elapsed_s).max(0.0);
        let note = (self.level > 0.0 && level == 0.0)
            .then(|| "no other member is heard: cluster-wide shedding has ended".to_string());
        *self = SheddingLevel { level, note: note.or(self.note.take()), ..SheddingLevel::default() };
    }

    /// Updates the level after a period of `elapsed_s` seconds, from the averages over the members, the
    /// reports of the other members and the order in which classes are shed.
    pub fn step(
        &mut self,
        now: Millis,
        elapsed_s: f64,
        means: &ClusterMeans,
        reports: &[LevelReport],
        order: &SheddingOrder,
    ) {
        self.update_unmet(&means.classes, elapsed_s);
        let offered: f64 = means.classes.iter().map(|rates| rates.arrivals() * work(rates)).sum();
        self.update_capacity(now, elapsed_s, means, reports);
        let share = self.capacity.map_or(0.0, |capacity| 1.0 - capacity / offered.max(1e-9));
        self.desired = order.level_to_shed(share, &means.classes);
        let desired_levels = reports.iter().map(|report| report.desired).chain([self.desired]).collect();
        let goal = trimmed_mean(desired_levels).unwrap_or(0.0).clamp(0.0, 1.0);
        let peers = trimmed_mean(reports.iter().map(|report| report.level).collect()).unwrap_or(self.level);
        let no_demand = self.desired == 0.0 && goal < MIN_LEVEL;
        let distance = if no_demand { -self.level } else { goal - self.level };
        let step = if no_demand {
            distance
        } else {
            distance * ((distance.abs() - NEAR_DISTANCE) / FULL_STEP_DISTANCE).clamp(MIN_STEP_FRACTION, 1.0)
        };
        let coupling = if no_demand {
            0.0
        } else {
            LEVEL_COUPLING * (peers - self.level).clamp(-NEAR_DISTANCE, NEAR_DISTANCE)
        };
        let step = (step + coupling).clamp(-MAX_FALL_PER_S * elapsed_s, MAX_RISE_PER_S * elapsed_s);
        self.level = (self.level + step).clamp(0.0, 1.0);
        self.update_note(now, means);
    }

    /// Updates the unmet fraction of the admitted requests.
    fn update_unmet(&mut self, classes: &[Rates], elapsed_s: f64) {
        self.baseline_failures.resize(classes.len(), 0.0);
        let average = 1.0 - (-elapsed_s / AVERAGING_S).exp();
        let mut shares: Vec<(f64, f64)> = Vec::with_capacity(classes.len());
        for (rates, baseline) in classes.iter().zip(&mut self.baseline_failures) {
            if rates.admitted <= 0.0 {
                continue;
            }
            let failed = (rates.failed / rates.admitted).clamp(0.0, 1.0);
            let time_constant = if failed > *baseline { BASELINE_RISE_S } else { BASELINE_FALL_S };
            *baseline += (failed - *baseline) * (1.0 - (-elapsed_s / time_constant).exp());
            let rejected = rates.capacity_rejections() / rates.admitted;
            shares.push(((rejected + failed - *baseline).clamp(-1.0, 1.0), rates.admitted * work(rates)));
        }
        shares.sort_by(|one, other| one.0.total_cmp(&other.0));
        let total: f64 = shares.iter().map(|(_, weight)| weight).sum();
        let mut below = 0.0;
        let decisive = shares.iter().find(|(_, weight)| {
            below += weight;
            below >= UNMET_QUANTILE * total
        });
        let unmet = decisive.map_or(0.0, |(share, _)| *share);
        self.unmet.rejected_or_failed += average * (unmet - self.unmet.rejected_or_failed);
        let in_flight: f64 = classes.iter().map(|rates| rates.in_flight).sum();
        let admitted: f64 = classes.iter().map(|rates| rates.admitted).sum();
        let growth_per_s = self.in_flight.map_or(0.0, |before| (in_flight - before) / elapsed_s);
        let growth = if admitted > 0.0 { (growth_per_s / admitted).clamp(-1.0, 1.0) } else { 0.0 };
        self.in_flight = Some(in_flight);
        // Averaged over a longer time, so that a short rise and fall of the in-flight requests cancel out.
        self.unmet.growth += average / 2.0 * (growth - self.unmet.growth);
    }

    /// Starts, corrects or drops the capacity estimate.
    fn update_capacity(
        &mut self,
        now: Millis,
        elapsed_s: f64,
        means: &ClusterMeans,
        reports: &[LevelReport],
    ) {
        let unmet = self.unmet.total();
        let admitted: f64 = means.classes.iter().map(|rates| rates.admitted * work(rates)).sum();
        let peers: Vec<f64> =
            reports.iter().filter_map(|report| report.capacity).filter(|&known| known > 0.0).collect();
        let shedding =
            reports.iter().filter(|report| report.capacity.is_some() && report.desired > 0.0).count();
        let most_peers_shed = 2 * shedding > reports.len();
        let peers = trimmed_mean(peers);
        let Some(capacity) = self.capacity else {
            let since = *self.overloaded_since.get_or_insert(now);
            if unmet <= ENGAGE_UNMET {
                self.overloaded_since = None;
            }
            if most_peers_shed {
                self.capacity = peers;
            } else if unmet > ENGAGE_UNMET && now.saturating_sub(since) >= ENGAGE_AFTER {
                self.capacity = Some(admitted * (1.0 - unmet + TARGET_UNMET));
            }
            (self.inactive_since, self.spare_s) = (None, 0.0);
            return;
        };
        self.spare_s = if unmet < TARGET_UNMET / 2.0 { self.spare_s + elapsed_s } else { 0.0 };
        let acceleration = 1.0 + SPARE_ACCELERATION * (self.spare_s - SPARE_AFTER_S).max(0.0);
        // The admitted work that the servers had capacity for is their capacity if some admitted work was
        // unmet, and a lower bound of it otherwise. While the level is 0, the lower bound says nothing new.
        let observed = (admitted * (1.0 - unmet + TARGET_UNMET) / capacity).max(1e-3).ln();
        // When the offered load falls, the last unmet requests must not be taken for a loss of servers. The
        // estimate therefore falls by no more than the currently unmet work calls for, and as much again for
        // the unmet work that has not been reported yet.
        let max_decrease = MAX_DECREASE_FACTOR * (1.0 - unmet + TARGET_UNMET).max(0.1).ln();
        let rate = match unmet > TARGET_UNMET {
            true => observed.clamp(max_decrease, 0.0) / CAPACITY_TIME_CONSTANT_S,
            false if self.level > 0.0 => {
                (observed.max(0.0) / CAPACITY_TIME_CONSTANT_S * acceleration).min(MAX_GROWTH_RATE)
            }
            false => 0.0,
        };
        let coupling =
            peers.map_or(0.0, |peers| CAPACITY_COUPLING * (peers / capacity).ln().clamp(-1.0, 1.0));
        self.capacity = Some((capacity * (rate * elapsed_s + coupling).exp()).clamp(1e-6, 1e12));
        let inactive = self.level == 0.0 && self.desired == 0.0;
        let since = *self.inactive_since.get_or_insert(now);
        if !inactive {
            self.inactive_since = None;
        } else if now.saturating_sub(since) >= RELEASE_AFTER {
            (self.capacity, self.overloaded_since) = (None, None);
        }
    }

    /// Prepares a log message when shedding has begun or ended, or when the level has moved far since the
    /// last message.
    fn update_note(&mut self, now: Millis, means: &ClusterMeans) {
        let (at, before) = self.last_note.unwrap_or((0, 0.0));
        let switched = (before == 0.0) != (self.level == 0.0);
        let since_last = now.saturating_sub(at);
        let due = if switched {
            since_last >= 1_000
        } else {
            since_last >= 10_000 && (self.level - before).abs() >= 0.2
        };
        if !(due || switched && self.last_note.is_none()) {
            return;
        }
        self.last_note = Some((now, self.level));
        self.note = Some(format!(
            "shedding level {before:.2} -> {:.2}, desired {:.2}: {:.0}% of the admitted requests were rejected \
             for lack of capacity or failed, the in-flight requests grow by {:.0}% of the admission rate, \
             averaged over {} members",
            self.level,
            self.desired,
            100.0 * self.unmet.rejected_or_failed,
            100.0 * self.unmet.growth,
            means.members,
        ));
    }
}

/// The work of one request, in milliseconds. Classes without a known service time count alike.
fn work(rates: &Rates) -> f64 {
    rates.service_ms.max(1.0)
}
