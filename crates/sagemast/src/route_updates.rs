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
        self.requests.values().any(|held| held.class == class)
            || self
                .endpoints
                .iter()
                .any(|(_, server)| server.outstanding.iter().any(|out| out.class == class))
    }

    /// Puts a class in the place of one that is not in use, or behind all others. It begins with what is known of
    /// another: its times, its refusals and what is left of its budgets, as far as its own allow.
    pub fn set_class(&mut self, id: ClassId, class: Class, known: ClassId) {
        let mut service = self.estimates.classes[known.0];
        service.retry_budget =
            service.retry_budget.within(self.settings.classes[known.0].budgets(), class.budgets());
        self.slow_start.reset_class(id);
        if let Some(place) = self.settings.classes.get_mut(id.0) {
            (*place, self.estimates.classes[id.0]) = (class, service);
        } else {
            self.settings.classes.push(class);
            self.estimates.classes.push(service);
        }
    }

    /// Sets the budgets of all classes together. What is left of them stays, as far as they allow.
    pub fn set_budgets(&mut self, retries: Option<Budget>, copies: Option<Budget>) {
        let before = self.budgets();
        (self.settings.retry_budget, self.settings.hedge_budget) = (retries, copies);
        self.estimates.retry_budget = self.estimates.retry_budget.within(before, self.budgets());
    }
}
