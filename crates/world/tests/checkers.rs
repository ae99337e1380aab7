//! Each checker catches the fault that is seeded for it, and none complains of sidecars without a fault.

use std::collections::{BTreeMap, BTreeSet};

use world::checks::{Allowed, Rule};
use world::time::micros;
use world::{Fault, Mode, Sabotage, Spec, World};

/// Three seconds, a server that starts anew, one that drains, and requests of class 0 kept in zone 0.
fn run(seed: u64, sabotage: Option<Sabotage>) -> BTreeMap<Rule, u64> {
    let spec = Spec { seed, members: 4, load: 0.5, ..Spec::default() };
    let mut world = World::new(spec);
    if let Some(sabotage) = sabotage {
        world.sabotage(sabotage);
    }
    if sabotage == Some(Sabotage::LeavesRegion) {
        world.checks.regions.holds(0, 1, Allowed::from([(0, BTreeSet::from([0]))]));
    }
    world.at(micros(1_000.0), Fault::Drain(1));
    world.at(micros(1_000.0), Fault::StartServer(4));
    world.run_for(8_000.0);
    world.close();
    std::mem::take(&mut world.checks.found.counts)
}

#[test]
fn each_checker_catches_its_fault() {
    for (sabotage, rule) in Sabotage::ALL {
        let found = run(5, Some(sabotage));
        assert!(found.get(&rule).is_some_and(|count| *count > 0), "{sabotage:?} breaks {rule:?}: {found:?}");
    }
}

#[test]
fn none_complains_without_a_fault() {
    for seed in 0..10 {
        assert_eq!(run(seed, None), BTreeMap::new(), "seed {seed}");
    }
}

/// What nobody thought of: faults of all kinds at once, drawn from the seed.
#[test]
fn random_faults_break_no_rule() {
    for seed in 0..24 {
        for mode in [Mode::Alone, Mode::Shared] {
            let found = world::chaos::play(seed, mode).checks.found;
            assert_eq!(found.count(), 0, "seed {seed} {mode:?}: {:?}", found.first);
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut world = World::new(Spec { seed, members: 5, load: 1.5, ..Spec::default() });
        world.at(micros(500.0), Fault::Stop(2));
        world.at(micros(1_500.0), Fault::Wake(2));
        world.run_for(3_000.0);
        world.figures(0, world.now())
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}
