//! What must never happen, watched in every run by what the world itself sees, not by what sidecars say of themselves.

mod answers;
mod budgets;
mod coordinators;
mod leases;
mod lists;
mod regions;
mod repeats;

use std::collections::BTreeMap;

use crate::time::{Micros, millis};

pub use answers::Answers;
pub use budgets::Budgets;
pub use coordinators::{Coordinators, Reign};
pub use leases::Leases;
pub use lists::Lists;
pub use regions::{Allowed, Regions};
pub use repeats::{Place, Repeats};

/// A rule that may not be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer.
    OneAnswer,
    /// What may run once never runs twice, and what is keyed only in its scope and window.
    Repeats,
    /// Nothing new goes to a server later than 3 s after its sidecar was told that it takes nothing new.
    Drains,
    /// Nothing goes to a server that no list named.
    Strangers,
    /// All sidecars together do not send a cold server so much that it falls.
    Cold,
    /// One coordinator of a region at any moment, and one in any of its terms.
    Coordinators,
    /// What is leased of a bound adds up to no more than the bound.
    Leases,
    /// Retries stay a share of the fleet's first tries.
    Budgets,
    /// No request leaves the regions that its class may use.
    Regions,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub at: Micros,
    /// Which.
    pub rule: Rule,
    /// How.
    pub text: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.1} ms {:?}: {}", millis(self.at), self.rule, self.text)
    }
}

/// So many are kept with their words.
const KEPT: usize = 50;

/// Violations that were found.
#[derive(Debug, Default)]
pub struct Found {
    /// The first of them.
    pub first: Vec<Violation>,
    /// How many of each rule.
    pub counts: BTreeMap<Rule, u64>,
}

impl Found {
    /// Adds one.
    pub fn broken(&mut self, at: Micros, rule: Rule, text: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.first.len() < KEPT {
            self.first.push(Violation { at, rule, text: text() });
        }
    }

    /// How many in all.
    pub fn count(&self) -> u64 {
        self.counts.values().sum()
    }
}

/// All checkers of a run.
#[derive(Debug)]
pub struct Checks {
    /// One final answer.
    pub answers: Answers,
    /// Repeats.
    pub repeats: Repeats,
    /// Drains and strangers.
    pub lists: Lists,
    /// Coordinators.
    pub coordinators: Coordinators,
    /// Sums of leases.
    pub leases: Leases,
    /// The fleet's budgets.
    pub budgets: Budgets,
    /// Regions.
    pub regions: Regions,
    /// What they found.
    pub found: Found,
}

impl Checks {
    /// Checkers for so many sidecars; `retries` is the share of first tries and what may be saved up by the fleet.
    pub fn new(members: usize, retries: (f64, f64), drift: f64) -> Checks {
        Checks {
            answers: Answers::default(),
            repeats: Repeats::new(drift),
            lists: Lists::new(members),
            coordinators: Coordinators::default(),
            leases: Leases::default(),
            budgets: Budgets::new(retries.0, retries.1),
            regions: Regions::new(members),
            found: Found::default(),
        }
    }
}
