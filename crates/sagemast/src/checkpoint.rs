//! Takes a module up again from what was kept of it. Nothing is decided here.

use crate::api::*;
use crate::balancer::Balancer;

impl Balancer {
    /// Goes on from a checkpoint, which holds all but the settings; `None` where they do not fit each
    /// other.
    pub fn resume(mut self, settings: Settings) -> Option<Balancer> {
        let (classes, tenants) = (self.estimates.classes.len(), self.estimates.tenant_shares.len());
        let out = self.endpoints.iter().flat_map(|(_, upstream)| &upstream.outstanding).map(|out| out.class);
        let known = self.requests.values().map(|held| held.class).chain(out).all(|class| class.0 < classes);
        let fits = known && classes == settings.classes.len() && tenants == settings.tenants.len();
        self.settings = settings;
        fits.then_some(self)
    }
}
