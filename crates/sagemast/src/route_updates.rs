//! Changes of routes at run time: classes are added or replaced, and the estimates are kept. This module
//! makes no decisions.

use routes::policy::Budget;

use crate::api::*;
use crate::balancer::Balancer;

impl Balancer {
    /// Returns all classes, by [`ClassId`].
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// Returns whether a class has pending requests or outstanding attempts. These follow the class's
    /// settings until they end, so that the class must not be replaced before.
    pub fn is_class_in_use(&self, class: ClassId) -> bool {
        self.requests.values().any(|pending| pending.class == class)
            || self
                .endpoints
                .iter()
                .any(|(_, server)| server.outstanding.iter().any(|attempt| attempt.class == class))
    }

    /// Replaces a class that is not in use, or adds one at the end if `id` does not exist. The new class
    /// starts with the estimates of the class `known` and with the rest of that class's budgets, as far as
    /// its own budgets allow.
    pub fn set_class(&mut self, id: ClassId, class: Class, known: ClassId) {
        let mut estimate = self.estimates.classes[known.0];
        estimate.retry_budget =
            estimate.retry_budget.within(self.settings.classes[known.0].budgets(), class.budgets());
        self.slow_start.reset_class(id);
        if let Some(replaced) = self.settings.classes.get_mut(id.0) {
            (*replaced, self.estimates.classes[id.0]) = (class, estimate);
        } else {
            self.settings.classes.push(class);
            self.estimates.classes.push(estimate);
        }
    }

    /// Sets the budgets for retries and hedged requests of all classes together. The rest of the old budgets
    /// is kept, as far as the new ones allow.
    pub fn set_budgets(&mut self, retries: Option<Budget>, hedges: Option<Budget>) {
        let before = self.budgets();
        (self.settings.retry_budget, self.settings.hedge_budget) = (retries, hedges);
        self.estimates.retry_budget = self.estimates.retry_budget.within(before, self.budgets());
    }
}
