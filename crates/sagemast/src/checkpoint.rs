//! Resuming a balancer from a checkpoint. This module makes no decisions.

use crate::api::*;
use crate::balancer::Balancer;

impl Balancer {
    /// Resumes a balancer that was read from a checkpoint, which contains everything but the settings.
    /// Returns `None` if the settings do not match the checkpoint: both need the same number of classes and
    /// tenants, and every recorded request must belong to one of the classes.
    pub fn resume(mut self, settings: Settings) -> Option<Balancer> {
        let (classes, tenants) = (self.estimates.classes.len(), self.estimates.tenant_shares.len());
        let sent = self.endpoints.iter().flat_map(|(_, server)| &server.outstanding).map(|sent| sent.class);
        let known =
            self.requests.values().map(|pending| pending.class).chain(sent).all(|class| class.0 < classes);
        let matches = known && classes == settings.classes.len() && tenants == settings.tenants.len();
        self.settings = settings;
        matches.then_some(self)
    }
}
