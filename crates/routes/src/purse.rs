//! Budgets for sends beyond the first: what first sends have earned and further ones have spent.

use serde::{Deserialize, Serialize};

use crate::policy::Budget;

/// What a send beyond the first is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Further {
    /// One that follows a failure.
    Retry,
    /// A second copy of one that is still awaited.
    Copy,
}

/// The budgets for each kind of further sends; where there is none they are not counted.
pub type Budgets = [Option<Budget>; 2];

/// Tokens saved up, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Purse([f64; 2]);

impl Purse {
    /// A purse that is as full as its budgets allow: a sidecar that has just started may retry.
    pub fn full(budgets: Budgets) -> Purse {
        Purse(budgets.map(|budget| budget.map_or(0.0, |budget| f64::from(budget.burst))))
    }

    /// Adds what one first send earns.
    pub fn earn(&mut self, budgets: Budgets) {
        for (tokens, budget) in self.0.iter_mut().zip(budgets) {
            if let Some(budget) = budget {
                *tokens = (*tokens + budget.share.0).min(f64::from(budget.burst));
            }
        }
    }

    /// The same under other budgets: what is left stays, as far as they allow, and what was not counted before
    /// begins full.
    pub fn within(self, before: Budgets, budgets: Budgets) -> Purse {
        let mut purse = Purse::full(budgets);
        for ((tokens, left), before) in purse.0.iter_mut().zip(self.0).zip(before) {
            *tokens = before.map_or(*tokens, |_| tokens.min(left));
        }
        purse
    }

    /// Whether there is enough for one more.
    pub fn holds(&self, kind: Further, budgets: Budgets) -> bool {
        budgets[kind as usize].is_none() || self.0[kind as usize] >= 1.0
    }

    /// Takes one for which there is enough.
    pub fn take(&mut self, kind: Further, budgets: Budgets) {
        if budgets[kind as usize].is_some() {
            self.0[kind as usize] -= 1.0;
        }
    }
}

/// Takes one from each of some purses, if each has enough.
pub fn spend<const N: usize>(kind: Further, purses: [(&mut Purse, Budgets); N]) -> bool {
    let may = purses.iter().all(|(purse, budgets)| purse.holds(kind, *budgets));
    if may {
        purses.into_iter().for_each(|(purse, budgets)| purse.take(kind, budgets));
    }
    may
}

#[cfg(test)]
mod tests;
