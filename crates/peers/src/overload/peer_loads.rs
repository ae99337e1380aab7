//! What is known of the others: the newest figures of some members, and means over them that no single member can move
//! by more than its share.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis};

use super::rates::Rates;

/// Members whose figures are kept: enough for means within some hundredths, and a bound on memory and work in a
/// fleet of any size.
const KEPT: usize = 128;

/// Figures count less the older they are, by this time constant: the mean of a sample follows the load's end.
const WEIGHS_FOR: f64 = 350.0;

/// Figures older than this do not count at all.
const STALE: Millis = 3_000;

/// So many words on the level count, the newest, and none older than this: few enough that they are new, enough that
/// chance and lies are trimmed away.
const WORDS: usize = 20;
const WORD_COUNTS: Millis = 1_500;

/// How many times the fleet's usual total a member's figures may count for. A gateway in front of many clients may
/// honestly have several times as much as others.
const CAP: f64 = 4.0;

/// The share of members, those with the most, that what is usual is not asked of: who lies gains nothing there.
const LEFT_OUT: f64 = 0.125;

/// What a member's word on the level was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelReport {
    /// The level that it goes by.
    pub level: f64,
    /// The level that its own figures ask for.
    pub desired: f64,
    /// What it thinks the fleet's servers can do, for each member, in milliseconds of work a second; none where it sees
    /// no overload.
    pub capacity: Option<f64>,
}

#[derive(Debug, Default)]
struct PeerLoad {
    rates: Vec<Rates>,
    rates_at: Option<Millis>,
    word: Option<(Millis, LevelReport)>,
    at: Millis,
}

/// The newest figures of some members.
#[derive(Debug, Default)]
pub struct PeerLoads {
    heard: BTreeMap<MemberId, PeerLoad>,
}

/// Means over the members heard, for each member.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterMeans {
    /// By class; the service times are the medians of those known, so that they mean the same to all.
    pub classes: Vec<Rates>,
    /// How many members these come from.
    pub members: usize,
}

impl PeerLoads {
    /// Takes some classes' rates of a member.
    pub fn set_rates(
        &mut self,
        at: Millis,
        owner: MemberId,
        first: usize,
        rates: Vec<Rates>,
        classes: usize,
    ) {
        let heard = self.entry(at, owner);
        heard.rates.resize(classes, Rates::default());
        for (slot, rates) in heard.rates.iter_mut().skip(first).zip(rates) {
            *slot = rates;
        }
        heard.rates_at = Some(heard.rates_at.map_or(at, |before| before.max(at)));
    }

    /// Takes a member's word on the level.
    pub fn set_level_report(&mut self, at: Millis, owner: MemberId, word: LevelReport) {
        self.entry(at, owner).word = Some((at, word));
    }

    /// When anybody was last heard.
    pub fn last_heard(&self) -> Option<Millis> {
        self.heard.values().map(|heard| heard.at).max()
    }

    /// Forgets who has not been heard for long.
    pub fn expire(&mut self, now: Millis) {
        self.heard.retain(|_, heard| now.saturating_sub(heard.at) <= STALE);
    }

    /// The newest words of members.
    pub fn level_reports(&self, now: Millis) -> Vec<LevelReport> {
        let aged = self.heard.values().filter_map(|heard| heard.word);
        let mut words: Vec<(Millis, LevelReport)> =
            aged.map(|(at, word)| (now.saturating_sub(at), word)).collect();
        words.retain(|(age, _)| *age <= WORD_COUNTS);
        words.sort_by_key(|(age, _)| *age);
        words.into_iter().take(WORDS).map(|(_, word)| word).collect()
    }

    /// Means over the members heard and our own figures, which weigh as those of a member just heard.
    pub fn means(&self, now: Millis, own: &[Rates], classes: usize) -> ClusterMeans {
        let mut members: Vec<(f64, &[Rates])> = vec![(1.0, own)];
        for heard in self.heard.values() {
            let age = heard.rates_at.map_or(Millis::MAX, |at| now.saturating_sub(at));
            if age <= STALE {
                members.push(((-(age as f64) / WEIGHS_FOR).exp(), &heard.rates));
            }
        }
        let service_ms: Vec<f64> = (0..classes)
            .map(|class| {
                let of_class = members.iter().filter_map(|(_, rates)| rates.get(class));
                median(of_class.map(|rates| rates.service_ms).filter(|&time| time > 0.0).collect())
            })
            .collect();
        let factors = capped(&members, &service_ms);
        let mut sum = vec![Rates::default(); classes];
        let mut weight = 0.0;
        for ((share, rates), [load, held, unmet]) in members.iter().zip(factors) {
            weight += share;
            for (sum, rates) in sum.iter_mut().zip(*rates) {
                let counted = rates.scale_unmet(unmet).scaled(share * load);
                *sum = sum.plus(Rates { in_flight: rates.in_flight * share * held, ..counted });
            }
        }
        let classes = sum.into_iter().zip(service_ms);
        let classes =
            classes.map(|(sum, service_ms)| Rates { service_ms, ..sum.scaled(1.0 / weight) }).collect();
        ClusterMeans { classes, members: members.len() }
    }

    fn entry(&mut self, at: Millis, owner: MemberId) -> &mut PeerLoad {
        if self.heard.len() >= KEPT && !self.heard.contains_key(&owner) {
            let oldest = self.heard.iter().min_by_key(|(_, heard)| heard.at).map(|(&owner, _)| owner);
            oldest.and_then(|oldest| self.heard.remove(&oldest));
        }
        let heard = self.heard.entry(owner).or_default();
        heard.at = heard.at.max(at);
        heard
    }
}

/// By what each member's rates, held requests and requests without room are multiplied, so that none counts for more
/// than [`CAP`] times what is usual.
fn capped(members: &[(f64, &[Rates])], service_ms: &[f64]) -> Vec<[f64; 3]> {
    let totals: Vec<[f64; 3]> = (members.iter())
        .map(|(_, rates)| {
            let each = rates.iter().zip(service_ms).map(|(rates, time)| {
                let unmet = rates.capacity_rejections().max(0.0) + rates.failed;
                [rates.arrivals() * time.max(1.0), rates.in_flight, unmet * time.max(1.0)]
            });
            each.fold([0.0; 3], |sum, each| std::array::from_fn(|n| sum[n] + each[n]))
        })
        .collect();
    let caps: [f64; 3] =
        std::array::from_fn(|which| CAP * usual(totals.iter().map(|totals| totals[which]).collect()));
    let factor = |total: f64, cap: f64| if total > cap { cap / total } else { 1.0 };
    totals.iter().map(|totals| std::array::from_fn(|n| factor(totals[n], caps[n]))).collect()
}

/// The mean without those that have the most: an eighth, and at least one of three or more.
fn usual(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    let left_out = (figures.len() as f64 * LEFT_OUT).ceil() as usize;
    let kept = if figures.len() < 3 { figures.len() } else { figures.len() - left_out };
    mean(figures.get(..kept).unwrap_or_default())
}

/// The mean of what lies in the middle: a fifth at each end is left out, of three or more at least one each.
pub fn trimmed_mean(mut figures: Vec<f64>) -> Option<f64> {
    figures.retain(|figure| figure.is_finite());
    figures.sort_by(f64::total_cmp);
    let out = if figures.len() < 3 { 0 } else { (figures.len() / 5).max(1) };
    let middle = figures.get(out..figures.len() - out).filter(|middle| !middle.is_empty())?;
    Some(mean(middle))
}

fn mean(figures: &[f64]) -> f64 {
    if figures.is_empty() { 0.0 } else { figures.iter().sum::<f64>() / figures.len() as f64 }
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_member_moves_a_mean_by_its_own_share_at_most() {
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
            let mut table = PeerLoads::default();
            (1..others).for_each(|owner| table.set_rates(0, MemberId(owner), 0, honest.clone(), 1));
            let before = table.means(0, &honest, 1).classes[0];
            table.set_rates(0, MemberId(others), 0, vec![hostile], 1);
            let after = table.means(0, &honest, 1).classes[0];
            let share = CAP / f64::from(others + 1);
            assert!(after.first_attempts <= before.first_attempts * (1.0 + share), "{after:?}");
            assert!(after.in_flight <= before.in_flight * (1.0 + share), "{after:?}");
            assert_eq!(after.service_ms, 40.0);
        }
    }

    #[test]
    fn few_members_are_kept_and_the_oldest_go_first() {
        let mut table = PeerLoads::default();
        (0..1_000).for_each(|n| table.set_rates(n, MemberId(n as u16), 0, vec![Rates::default()], 1));
        assert_eq!(table.means(1_000, &[], 1).members, KEPT + 1);
        assert!(table.heard.contains_key(&MemberId(999)) && !table.heard.contains_key(&MemberId(800)));
        table.expire(10_000);
        assert_eq!(table.last_heard(), None);
    }

    #[test]
    fn ends_are_left_out_of_a_trimmed_mean() {
        assert_eq!(trimmed_mean(vec![0.5, 1e300, 0.3, 0.4, f64::NAN, -1e300, 0.4]), Some(0.4));
        assert_eq!(trimmed_mean(vec![9.0, 0.2, 0.1]), Some(0.2));
        assert_eq!(trimmed_mean(vec![]), None);
    }
}
