//! From the level of shedding to the chance that a request of a class is let in: the cheapest for the work it makes
//! stand back first.
//!
//! The classes stand on the level's way from 0 to 1 in the order of what they earn for a millisecond of work, each with
//! an equal part of it. The parts do not depend on how much of each class comes: the same level means the same chances
//! at every member, whatever sample of the fleet it has heard, and that is what the members agree on.

use crate::api::ClassPriority;

use super::rates::Rates;

/// Classes whose earnings for their work differ by less than this, as a logarithm, share their parts more or less: two
/// that hardly differ must not change places by a member's idea of their service times.
const ALIKE: f64 = 0.2;

/// How much of the work counts as spread over all classes alike, in [`Order::level_for`]: a class of which hardly
/// anything comes is passed over steadily and not with a jump.
const SPREAD: f64 = 0.05;

/// The classes' places on the level's way.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Order {
    /// From which level on a class is shed, and from which on it is down at the floor.
    parts: Vec<[f64; 2]>,
    floor: f64,
}

impl Order {
    /// The order of classes with such worth and service times (0: unknown, then as long as the others').
    pub fn new(worth: &[ClassPriority], classes: &[Rates], floor: f64) -> Order {
        let known = || classes.iter().map(|rates| rates.service_ms).filter(|&time| time > 0.0);
        let usual = if known().count() > 0 { known().sum::<f64>() / known().count() as f64 } else { 1.0 };
        let earns: Vec<f64> = (worth.iter().enumerate())
            .map(|(class, worth)| {
                let time = classes.get(class).map(|rates| rates.service_ms).filter(|&time| time > 0.0);
                let work = if worth.per_work_unit { 1.0 } else { time.unwrap_or(usual) };
                let worth =
                    if worth.priority_weight.is_finite() { worth.priority_weight.max(1e-9) } else { 1e-9 };
                (worth / work).ln()
            })
            .collect();
        let count = earns.len() as f64;
        let parts = (earns.iter())
            .map(|one| {
                let cheaper: f64 = earns.iter().map(|other| ((one - other) / ALIKE).clamp(0.0, 1.0)).sum();
                let dearer: f64 = earns.iter().map(|other| ((other - one) / ALIKE).clamp(0.0, 1.0)).sum();
                [cheaper / count, 1.0 - dearer / count]
            })
            .collect();
        let floor = if floor.is_finite() { floor.clamp(0.0, 1.0) } else { 1.0 };
        Order { parts, floor }
    }

    /// By class, the chance to be let in.
    pub fn admit(&self, level: f64) -> Vec<f64> {
        self.parts.iter().map(|part| 1.0 - (1.0 - self.floor) * passed(*part, level)).collect()
    }

    /// The level at which such a share of the work is shed; 1 where no level sheds as much.
    pub fn level_for(&self, share: f64, classes: &[Rates]) -> f64 {
        let work: Vec<f64> =
            classes.iter().map(|rates| rates.arrivals() * rates.service_ms.max(1.0)).collect();
        let total: f64 = work.iter().sum();
        // A NaN among them is no reason to shed.
        if !(share > 0.0 && total > 0.0) {
            return 0.0;
        }
        let even = SPREAD / self.parts.len() as f64;
        let shed = |level: f64| -> f64 {
            let parts = self.parts.iter().zip(&work);
            parts
                .map(|(part, work)| (even + (1.0 - SPREAD) * work / total) * passed(*part, level))
                .sum::<f64>()
                * (1.0 - self.floor)
        };
        let (mut from, mut to) = (0.0, 1.0);
        for _ in 0..20 {
            let middle = (from + to) / 2.0;
            if shed(middle) < share { from = middle } else { to = middle }
        }
        to
    }
}

/// How far a level has passed through a part of its way.
fn passed([from, to]: [f64; 2], level: f64) -> f64 {
    ((level - from) / (to - from).max(1e-9)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn classes(times: &[f64]) -> Vec<Rates> {
        times
            .iter()
            .map(|&service_ms| Rates { first_attempts: 10.0, service_ms, ..Rates::default() })
            .collect()
    }

    fn worth(worth: &[f64], by_work: bool) -> Vec<ClassPriority> {
        worth.iter().map(|&worth| ClassPriority { priority_weight: worth, per_work_unit: by_work }).collect()
    }

    #[test]
    fn the_cheapest_for_its_work_goes_first_and_none_below_the_floor() {
        // 0.1, 0.5 and 0.05 a millisecond.
        let order = Order::new(&worth(&[4.0, 5.0, 20.0], false), &classes(&[40.0, 10.0, 400.0]), 0.05);
        for step in 0..=100 {
            let admit = order.admit(f64::from(step) / 100.0);
            assert!(admit.iter().all(|&chance| chance >= 0.05 - 1e-9));
            assert!(admit[1] == 1.0 || admit[0] < 0.05 + 1e-9 && admit[2] < 0.05 + 1e-9, "{admit:?}");
            assert!(admit[0] == 1.0 || admit[2] < 0.05 + 1e-9, "{admit:?}");
        }
        assert!(order.admit(1.0).iter().all(|&chance| chance < 0.05 + 1e-9));
        // Where worth is for work, service times do not matter.
        let order = Order::new(&worth(&[4.0, 5.0, 20.0], true), &classes(&[40.0, 10.0, 400.0]), 0.05);
        assert!(order.admit(0.3)[0] < 0.2 && order.admit(0.3)[2] == 1.0);
    }

    #[test]
    fn classes_that_hardly_differ_change_places_without_a_jump() {
        let chances =
            |second: f64| Order::new(&worth(&[1.0, second], true), &classes(&[9.0, 9.0]), 0.0).admit(0.4);
        let mut before = chances(0.5);
        for step in 0..200 {
            let after = chances(0.5 + f64::from(step) * 0.005);
            assert!(
                before.iter().zip(&after).all(|(one, other)| (one - other).abs() < 0.06),
                "{before:?} {after:?}"
            );
            before = after;
        }
        assert_eq!(chances(1.0), vec![0.6, 0.6]);
    }

    #[test]
    fn a_level_sheds_the_share_that_it_was_asked_for() {
        let of = classes(&[40.0, 10.0, 400.0]);
        let order = Order::new(&worth(&[4.0, 5.0, 20.0], false), &of, 0.05);
        for share in [0.1, 0.3, 0.5, 0.8] {
            let admit = order.admit(order.level_for(share, &of));
            let shed: f64 =
                admit.iter().zip(&of).map(|(chance, of)| (1.0 - chance) * of.service_ms).sum::<f64>();
            assert!((shed / 450.0 - share).abs() < 0.04, "{share}: {}", shed / 450.0);
        }
        assert_eq!((order.level_for(0.99, &of), order.level_for(f64::NAN, &of)), (1.0, 0.0));
    }
}
