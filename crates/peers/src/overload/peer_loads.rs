//! The latest load and shedding level of other members, and averages over them. No single member can move an
//! average by more than a bounded fraction.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis};

use super::rates::Rates;

/// The maximum number of members whose load is stored. It is enough for averages that are accurate to a few
/// percent, and it bounds memory and work in a cluster of any size.
const MAX_PEERS: usize = 128;

/// The time constant, in milliseconds, with which the weight of a member's rates falls with their age, so
/// that the average follows the end of an overload.
const AGE_TIME_CONSTANT_MS: f64 = 350.0;

/// Rates older than this, in milliseconds, have no weight.
const MAX_AGE: Millis = 3_000;

/// The number of level reports that count: the latest ones. The number is small enough that the reports are
/// recent, and large enough that trimming removes chance outliers and false reports.
const MAX_LEVEL_REPORTS: usize = 20;
/// The maximum age of a level report that counts.
const MAX_LEVEL_REPORT_AGE: Millis = 1_500;

/// The maximum contribution of one member, as a multiple of the typical total. A gateway in front of many
/// clients may honestly have several times the load of other members.
const MAX_MULTIPLE: f64 = 4.0;

/// The fraction of members with the highest totals that the typical total ignores, so that a member that
/// reports false totals cannot raise it.
const EXCLUDED_FRACTION: f64 = 0.125;

/// What a member publishes about its shedding level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelReport {
    /// The level that the member applies.
    pub level: f64,
    /// The level that the member's own averages call for.
    pub desired: f64,
    /// The member's estimate of what the servers can do for each member, in milliseconds of work per second.
    /// Absent while the member sees no overload.
    pub capacity: Option<f64>,
}

/// What is known of one member.
#[derive(Debug, Default)]
struct PeerLoad {
    /// The rates of each class.
    rates: Vec<Rates>,
    /// The time of the latest rates.
    rates_at: Option<Millis>,
    /// The latest level report and its time.
    level_report: Option<(Millis, LevelReport)>,
    /// When the member was last heard.
    heard_at: Millis,
}

/// The latest load and level reports of up to [`MAX_PEERS`] members.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: BTreeMap<MemberId, PeerLoad>,
}

/// Averages per member, over the members heard.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterMeans {
    /// The averages of each class. A service time is the median of the known ones, so that it means the same
    /// to all members.
    pub classes: Vec<Rates>,
    /// The number of members that the averages cover.
    pub members: usize,
}

impl PeerLoads {
    /// Stores a member's rates of some classes, from the class with index `first` on.
    pub fn set_rates(
        &mut self,
        at: Millis,
        owner: MemberId,
        first: usize,
        rates: Vec<Rates>,
        classes: usize,
    ) {
        let peer = self.entry(at, owner);
        peer.rates.resize(classes, Rates::default());
        for (slot, rates) in peer.rates.iter_mut().skip(first).zip(rates) {
            *slot = rates;
        }
        peer.rates_at = Some(peer.rates_at.map_or(at, |before| before.max(at)));
    }

    /// Stores a member's level report.
    pub fn set_level_report(&mut self, at: Millis, owner: MemberId, report: LevelReport) {
        self.entry(at, owner).level_report = Some((at, report));
    }

    /// When any member was last heard.
    pub fn last_heard(&self) -> Option<Millis> {
        self.peers.values().map(|peer| peer.heard_at).max()
    }

    /// Removes members that have not been heard for longer than [`MAX_AGE`].
    pub fn expire(&mut self, now: Millis) {
        self.peers.retain(|_, peer| now.saturating_sub(peer.heard_at) <= MAX_AGE);
    }

    /// The latest level reports, at most [`MAX_LEVEL_REPORTS`] and none older than [`MAX_LEVEL_REPORT_AGE`].
    pub fn level_reports(&self, now: Millis) -> Vec<LevelReport> {
        let timed = self.peers.values().filter_map(|peer| peer.level_report);
        let mut reports: Vec<(Millis, LevelReport)> =
            timed.map(|(at, report)| (now.saturating_sub(at), report)).collect();
        reports.retain(|(age, _)| *age <= MAX_LEVEL_REPORT_AGE);
        reports.sort_by_key(|(age, _)| *age);
        reports.into_iter().take(MAX_LEVEL_REPORTS).map(|(_, report)| report).collect()
    }

    /// Averages over the members heard and this member's own rates, which weigh as much as rates that have
    /// just arrived.
    pub fn means(&self, now: Millis, own: &[Rates], classes: usize) -> ClusterMeans {
        let mut members: Vec<(f64, &[Rates])> = vec![(1.0, own)];
        for peer in self.peers.values() {
            let age = peer.rates_at.map_or(Millis::MAX, |at| now.saturating_sub(at));
            if age <= MAX_AGE {
                members.push(((-(age as f64) / AGE_TIME_CONSTANT_MS).exp(), &peer.rates));
            }
        }
        let service_ms: Vec<f64> = (0..classes)
            .map(|class| {
                let of_class = members.iter().filter_map(|(_, rates)| rates.get(class));
                median(of_class.map(|rates| rates.service_ms).filter(|&time| time > 0.0).collect())
            })
            .collect();
        let factors = cap_factors(&members, &service_ms);
        let mut sum = vec![Rates::default(); classes];
        let mut weight = 0.0;
        for ((member_weight, rates), [load, in_flight, unmet]) in members.iter().zip(factors) {
            weight += member_weight;
            for (sum, rates) in sum.iter_mut().zip(*rates) {
                let counted = rates.scale_unmet(unmet).scaled(member_weight * load);
                *sum = sum.plus(Rates { in_flight: rates.in_flight * member_weight * in_flight, ..counted });
            }
        }
        let classes = sum.into_iter().zip(service_ms);
        let classes =
            classes.map(|(sum, service_ms)| Rates { service_ms, ..sum.scaled(1.0 / weight) }).collect();
        ClusterMeans { classes, members: members.len() }
    }

    /// The entry of a member. If the limit is reached, the entry of the member heard least recently is
    /// removed.
    fn entry(&mut self, at: Millis, owner: MemberId) -> &mut PeerLoad {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&owner) {
            let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.heard_at).map(|(&owner, _)| owner);
            oldest.and_then(|oldest| self.peers.remove(&oldest));
        }
        let peer = self.peers.entry(owner).or_default();
        peer.heard_at = peer.heard_at.max(at);
        peer
    }
}

/// The factors for each member's rates, in-flight requests and unmet requests that limit its contribution to
/// [`MAX_MULTIPLE`] times the typical total.
fn cap_factors(members: &[(f64, &[Rates])], service_ms: &[f64]) -> Vec<[f64; 3]> {
    let totals: Vec<[f64; 3]> = (members.iter())
        .map(|(_, rates)| {
            let each = rates.iter().zip(service_ms).map(|(rates, time)| {
                let unmet = rates.capacity_rejections().max(0.0) + rates.failed;
                [rates.arrivals() * time.max(1.0), rates.in_flight, unmet * time.max(1.0)]
            });
            each.fold([0.0; 3], |sum, each| std::array::from_fn(|n| sum[n] + each[n]))
        })
        .collect();
    let caps: [f64; 3] = std::array::from_fn(|which| {
        MAX_MULTIPLE * typical(totals.iter().map(|totals| totals[which]).collect())
    });
    let factor = |total: f64, cap: f64| if total > cap { cap / total } else { 1.0 };
    totals.iter().map(|totals| std::array::from_fn(|n| factor(totals[n], caps[n]))).collect()
}

/// The mean without the highest values: without an eighth of them, and at least one if there are three or
/// more.
fn typical(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let excluded = (values.len() as f64 * EXCLUDED_FRACTION).ceil() as usize;
    let kept = if values.len() < 3 { values.len() } else { values.len() - excluded };
    mean(values.get(..kept).unwrap_or_default())
}

/// The mean without the lowest and the highest fifth of the values, and at least one at each end if there are
/// three or more. `None` if there are no finite values.
pub fn trimmed_mean(mut values: Vec<f64>) -> Option<f64> {
    values.retain(|value| value.is_finite());
    values.sort_by(f64::total_cmp);
    let trimmed = if values.len() < 3 { 0 } else { (values.len() / 5).max(1) };
    let middle = values.get(trimmed..values.len() - trimmed).filter(|middle| !middle.is_empty())?;
    Some(mean(middle))
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_member_moves_an_average_by_a_bounded_fraction() {
        let honest = vec![Rates {
            first_attempts: 50.0,
            rejected: 1.0,
            in_flight: 5.0,
            service_ms: 40.0,
            ..Rates::default()
        }];
        let hostile =
            Rates { first_attempts: 4e8, rejected: 4e8, in_flight: 4e8, service_ms: 4e8, ..Rates::default() };
        for others in [4_u16, 20, 100] {
            let mut peer_loads = PeerLoads::default();
            (1..others).for_each(|owner| peer_loads.set_rates(0, MemberId(owner), 0, honest.clone(), 1));
            let before = peer_loads.means(0, &honest, 1).classes[0];
            peer_loads.set_rates(0, MemberId(others), 0, vec![hostile], 1);
            let after = peer_loads.means(0, &honest, 1).classes[0];
            let bound = MAX_MULTIPLE / f64::from(others + 1);
            assert!(after.first_attempts <= before.first_attempts * (1.0 + bound), "{after:?}");
            assert!(after.in_flight <= before.in_flight * (1.0 + bound), "{after:?}");
            assert_eq!(after.service_ms, 40.0);
        }
    }

    #[test]
    fn number_of_members_is_limited_and_the_oldest_are_removed_first() {
        let mut peer_loads = PeerLoads::default();
        (0..1_000).for_each(|n| peer_loads.set_rates(n, MemberId(n as u16), 0, vec![Rates::default()], 1));
        assert_eq!(peer_loads.means(1_000, &[], 1).members, MAX_PEERS + 1);
        assert!(
            peer_loads.peers.contains_key(&MemberId(999)) && !peer_loads.peers.contains_key(&MemberId(800))
        );
        peer_loads.expire(10_000);
        assert_eq!(peer_loads.last_heard(), None);
    }

    #[test]
    fn trimmed_mean_leaves_out_both_ends() {
        assert_eq!(trimmed_mean(vec![0.5, 1e300, 0.3, 0.4, f64::NAN, -1e300, 0.4]), Some(0.4));
        assert_eq!(trimmed_mean(vec![9.0, 0.2, 0.1]), Some(0.2));
        assert_eq!(trimmed_mean(vec![]), None);
    }
}
