//! Other routes while the module runs. Nothing is decided here: classes come and go, and what was learnt goes on.

use routes::policy::Budget;

use crate::api::*;
use crate::balancer::Balancer;

impl Balancer {
    /// The classes that it has.
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// Whether a class has requests or sends under way: until they are over they go by what it sets.
    pub fn is_class_in_use(&self, class: ClassId) -> bool {
        self.requests.values().any(|pending| pending.class == class)
            || self
                .endpoints
                .iter()
                .any(|(_, server)| server.outstanding.iter().any(|attempt| attempt.class == class))
    }

    /// Puts a class in the place of one that is not in use, or behind all others. It begins with what is known of
    /// another: its times, its refusals and what is left of its budgets, as far as its own allow.
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

    /// Sets the budgets of all classes together. What is left of them stays, as far as they allow.
    pub fn set_budgets(&mut self, retries: Option<Budget>, hedges: Option<Budget>) {
        let before = self.budgets();
        (self.settings.retry_budget, self.settings.hedge_budget) = (retries, hedges);
        self.estimates.retry_budget = self.estimates.retry_budget.within(before, self.budgets());
    }
}
