use super::*;
use crate::dice::Dice;

#[test]
fn equal_chances_are_told_from_unequal_ones_also_where_each_has_few_requests() {
    let mut dice = Dice::new(3, "spread", 0);
    let mut draw = |chance: f64| (30.0, (0..30).filter(|_| dice.chance(chance)).count() as f64);
    let equal: Vec<_> = (0..1_000).map(|_| draw(0.4)).collect();
    assert!(spread(&equal) < 0.1, "chance alone: {}", spread(&equal));
    let halves: Vec<_> = (0..1_000).map(|member| draw(if member < 500 { 0.3 } else { 0.5 })).collect();
    assert!((0.3..0.5).contains(&spread(&halves)), "two deviations each way: {}", spread(&halves));
    let mut odd = equal;
    odd[7] = (300.0, 0.0);
    assert!(spread(&odd) > 0.1, "one that serves none: {}", spread(&odd));
}

#[test]
fn the_ideal_serves_the_densest_first() {
    let spec = Spec::default();
    let part = crate::tally::Part {
        ability: 100.0,
        // Orders earn 0.1 a millisecond, quotes 0.025.
        offered: vec![(100.0, 10), (80.0, 1), (0.0, 0), (0.0, 0)],
        ..Default::default()
    };
    assert!((ideal(&spec, &[part]) - (8.0 + 10.0 * 0.2)).abs() < 1e-9);
}
