//! A fleet as stories speak of it.

mod given;
mod then;
mod when;

use world::time::{Micros, micros};
use world::{Fault, Spec, World};

/// One story.
#[derive(Debug, Default, cucumber::World)]
pub struct Story {
    spec: Spec,
    /// What is done to the world at its very beginning.
    first: Vec<Fault>,
    world: Option<World>,
    /// The sidecar that was spoken of last.
    spoken_of: Option<usize>,
    /// When something was last done to the world.
    mark: Micros,
}

impl Story {
    /// The world, which begins when it is first spoken of.
    fn world(&mut self) -> &mut World {
        let (spec, first) = (&self.spec, &mut self.first);
        self.world.get_or_insert_with(|| {
            let mut world = World::new(spec.clone());
            first.drain(..).for_each(|fault| world.act(fault));
            world
        })
    }

    /// Does something to the world now.
    fn act(&mut self, fault: Fault) {
        let world = self.world();
        world.act(fault);
        self.mark = world.now();
    }

    fn server(&mut self, name: &str) -> usize {
        let found = self.world().servers.iter().position(|server| server.name == name);
        found.unwrap_or_else(|| panic!("there is no server {name}"))
    }

    fn region(&mut self, name: &str) -> usize {
        self.world().region(name).unwrap_or_else(|| panic!("there is no region {name}"))
    }

    fn class(&self, name: &str) -> usize {
        let found = self.spec.classes.iter().position(|class| class.name == name);
        found.unwrap_or_else(|| panic!("there is no class {name}"))
    }

    /// A sidecar by the number that stories give it, from 1.
    fn sidecar(&mut self, number: usize) -> usize {
        let count = self.world().members.len();
        assert!((1..=count).contains(&number), "there are {count} sidecars");
        number - 1
    }

    /// The sidecars that words stand for: `everyone`, `region west`, `sidecar 3`, `every third sidecar`.
    fn sidecars(&mut self, who: &str) -> Vec<usize> {
        let count = self.world().members.len();
        if let Some(region) = who.strip_prefix("region ") {
            let region = self.region(region);
            return (0..count).filter(|member| self.world().members[*member].region == region).collect();
        }
        if let Some(numbers) = who.strip_prefix("sidecar ").or_else(|| who.strip_prefix("sidecars ")) {
            let number = |word: &str| word.trim().parse().unwrap_or_else(|_| panic!("{word:?} is no number"));
            let numbers: Vec<usize> = numbers.split(" and ").map(number).collect();
            return numbers.into_iter().map(|number| self.sidecar(number)).collect();
        }
        if let Some(region) = who.strip_prefix("the coordinator of ") {
            let region = self.region(region);
            let acting = self.world().checks.coordinators.acting(region).map(|reign| reign.member);
            self.spoken_of = acting;
            return vec![acting.unwrap_or_else(|| panic!("nobody acts in {who:?}"))];
        }
        match who {
            "everyone" | "every sidecar" | "all sidecars" => (0..count).collect(),
            "every second sidecar" => (0..count).step_by(2).collect(),
            "every third sidecar" => (0..count).step_by(3).collect(),
            "it" => self.spoken_of.into_iter().collect(),
            _ => panic!("who is {who:?}?"),
        }
    }

    /// Lets time pass until something holds; whether it did within so many seconds.
    fn until(&mut self, seconds: f64, holds: impl Fn(&World) -> bool) -> bool {
        let world = self.world();
        let end = world.now() + micros(seconds * 1e3);
        loop {
            if holds(world) {
                return true;
            }
            if world.now() >= end {
                return false;
            }
            world.run_until((world.now() + micros(20.0)).min(end));
        }
    }

    /// From when to when the last seconds are counted: what came in just now may not have its answer yet.
    fn last(&mut self, seconds: f64) -> (Micros, Micros) {
        let now = self.world().now();
        (now.saturating_sub(micros(seconds * 1e3)), now.saturating_sub(micros(1_000.0)))
    }
}

/// Names as `west and east` gives them.
fn names(text: &str) -> Vec<String> {
    text.split(" and ").map(|name| name.trim().to_owned()).collect()
}
