//! Turns the shedding level into an admission probability for each class. Classes that earn the least for
//! the work that they cause are shed first.
//!
//! The classes are ordered by their priority weight per millisecond of work, and the range of the level
//! from 0 to 1 is divided among them in this order, into parts of equal length. The parts do not depend on
//! how much traffic each class has. So the same level means the same probabilities at every member,
//! whichever sample of the cluster the member has received figures from, and it is the level that the
//! members agree on.

use crate::api::ClassPriority;

use super::rates::Rates;

/// Classes whose priority weights per millisecond of work differ by less than this, as a logarithm, have
/// overlapping parts of the level's range; the closer they are, the larger the overlap. Two classes that
/// hardly differ must not swap places because of one member's estimate of their service times.
const OVERLAP_LOG_RATIO: f64 = 0.2;

/// The fraction of the work that [`SheddingOrder::level_to_shed`] counts as spread evenly over all classes.
/// It makes the level pass steadily through the part of a class that has hardly any traffic, instead of
/// jumping over it.
const EVEN_FRACTION: f64 = 0.05;

/// The order in which classes are shed as the level rises.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SheddingOrder {
    /// The level at which each class begins to be shed, and the level at which its admission probability
    /// reaches the floor.
    parts: Vec<[f64; 2]>,
    /// The minimum admission probability of every class.
    floor: f64,
}

impl SheddingOrder {
    /// Orders the classes by their priorities and service times. A service time of 0 is unknown, and the
    /// mean of the known ones takes its place. `floor` is the minimum admission probability.
    pub fn new(priorities: &[ClassPriority], classes: &[Rates], floor: f64) -> SheddingOrder {
        let known = || classes.iter().map(|rates| rates.service_ms).filter(|&time| time > 0.0);
        let mean = if known().count() > 0 { known().sum::<f64>() / known().count() as f64 } else { 1.0 };
        let values: Vec<f64> = (priorities.iter().enumerate())
            .map(|(class, priority)| {
                let time = classes.get(class).map(|rates| rates.service_ms).filter(|&time| time > 0.0);
                let work = if priority.per_work_unit { 1.0 } else { time.unwrap_or(mean) };
                let weight = if priority.priority_weight.is_finite() {
                    priority.priority_weight.max(1e-9)
                } else {
                    1e-9
                };
                (weight / work).ln()
            })
            .collect();
        let count = values.len() as f64;
        let parts = (values.iter())
            .map(|one| {
                let lower: f64 =
                    values.iter().map(|other| ((one - other) / OVERLAP_LOG_RATIO).clamp(0.0, 1.0)).sum();
                let higher: f64 =
                    values.iter().map(|other| ((other - one) / OVERLAP_LOG_RATIO).clamp(0.0, 1.0)).sum();
                [lower / count, 1.0 - higher / count]
            })
            .collect();
        let floor = if floor.is_finite() { floor.clamp(0.0, 1.0) } else { 1.0 };
        SheddingOrder { parts, floor }
    }

    /// Returns the admission probability of each class at the given level.
    pub fn admission_probabilities(&self, level: f64) -> Vec<f64> {
        self.parts.iter().map(|part| 1.0 - (1.0 - self.floor) * fraction_passed(*part, level)).collect()
    }

    /// Returns the level that sheds the given fraction of the work, or 1 if no level sheds that much.
    pub fn level_to_shed(&self, fraction: f64, classes: &[Rates]) -> f64 {
        let work: Vec<f64> =
            classes.iter().map(|rates| rates.arrivals() * rates.service_ms.max(1.0)).collect();
        let total: f64 = work.iter().sum();
        // If one of the values is NaN, nothing is shed.
        if !(fraction > 0.0 && total > 0.0) {
            return 0.0;
        }
        let even = EVEN_FRACTION / self.parts.len() as f64;
        let shed = |level: f64| -> f64 {
            let parts = self.parts.iter().zip(&work);
            parts
                .map(|(part, work)| {
                    (even + (1.0 - EVEN_FRACTION) * work / total) * fraction_passed(*part, level)
                })
                .sum::<f64>()
                * (1.0 - self.floor)
        };
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..20 {
            let middle = (low + high) / 2.0;
            if shed(middle) < fraction { low = middle } else { high = middle }
        }
        high
    }
}

/// Returns which fraction of a part of its range the level has passed.
fn fraction_passed([from, to]: [f64; 2], level: f64) -> f64 {
    ((level - from) / (to - from).max(1e-9)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rates(service_times: &[f64]) -> Vec<Rates> {
        service_times
            .iter()
            .map(|&service_ms| Rates { first_attempts: 10.0, service_ms, ..Rates::default() })
            .collect()
    }

    fn priorities(weights: &[f64], per_unit: bool) -> Vec<ClassPriority> {
        weights
            .iter()
            .map(|&weight| ClassPriority { priority_weight: weight, per_work_unit: per_unit })
            .collect()
    }

    #[test]
    fn the_lowest_priority_per_work_is_shed_first_and_no_class_below_the_floor() {
        // The weights per millisecond of work are 0.1, 0.5 and 0.05.
        let order =
            SheddingOrder::new(&priorities(&[4.0, 5.0, 20.0], false), &rates(&[40.0, 10.0, 400.0]), 0.05);
        for step in 0..=100 {
            let admit = order.admission_probabilities(f64::from(step) / 100.0);
            assert!(admit.iter().all(|&probability| probability >= 0.05 - 1e-9));
            assert!(admit[1] == 1.0 || admit[0] < 0.05 + 1e-9 && admit[2] < 0.05 + 1e-9, "{admit:?}");
            assert!(admit[0] == 1.0 || admit[2] < 0.05 + 1e-9, "{admit:?}");
        }
        assert!(order.admission_probabilities(1.0).iter().all(|&probability| probability < 0.05 + 1e-9));
        // If the weights apply to units of work, the service times do not matter.
        let order =
            SheddingOrder::new(&priorities(&[4.0, 5.0, 20.0], true), &rates(&[40.0, 10.0, 400.0]), 0.05);
        assert!(order.admission_probabilities(0.3)[0] < 0.2 && order.admission_probabilities(0.3)[2] == 1.0);
    }

    #[test]
    fn nearly_equal_classes_change_places_without_a_jump() {
        let probabilities = |second: f64| {
            SheddingOrder::new(&priorities(&[1.0, second], true), &rates(&[9.0, 9.0]), 0.0)
                .admission_probabilities(0.4)
        };
        let mut before = probabilities(0.5);
        for step in 0..200 {
            let after = probabilities(0.5 + f64::from(step) * 0.005);
            assert!(
                before.iter().zip(&after).all(|(one, other)| (one - other).abs() < 0.06),
                "{before:?} {after:?}"
            );
            before = after;
        }
        assert_eq!(probabilities(1.0), vec![0.6, 0.6]);
    }

    #[test]
    fn the_level_sheds_the_requested_fraction_of_the_work() {
        let classes = rates(&[40.0, 10.0, 400.0]);
        let order = SheddingOrder::new(&priorities(&[4.0, 5.0, 20.0], false), &classes, 0.05);
        for fraction in [0.1, 0.3, 0.5, 0.8] {
            let admit = order.admission_probabilities(order.level_to_shed(fraction, &classes));
            let shed: f64 = admit
                .iter()
                .zip(&classes)
                .map(|(probability, rates)| (1.0 - probability) * rates.service_ms)
                .sum::<f64>();
            assert!((shed / 450.0 - fraction).abs() < 0.04, "{fraction}: {}", shed / 450.0);
        }
        assert_eq!(
            (order.level_to_shed(0.99, &classes), order.level_to_shed(f64::NAN, &classes)),
            (1.0, 0.0)
        );
    }
}
