//! The cluster's guidance for this sidecar, and its meaning for a single request or server.
//!
//! This module makes no decisions: the cluster has made those that the guidance contains, and the balancer
//! makes those that it leaves open.

use std::ops::Bound;

use routes::purse::Budgets;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::state::{Candidate, PendingRequest};

/// The guidance that the cluster sent last.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClusterGuidance {
    current: Guidance,
    /// The assigned server that was sent a load poll last.
    last_polled: Option<UpstreamId>,
    /// The zones that requests may go to. Without it, they may go anywhere.
    pub residency: Option<Residency>,
}

impl ClusterGuidance {
    /// Replaces the guidance. A lease with an unchanged end time is the same lease: requests that were
    /// already sent under it still count.
    pub fn update(&mut self, mut guidance: Guidance) {
        for (id, lease) in guidance.slow_start_leases.iter_mut().flatten() {
            let known = self.current.slow_start_leases.as_ref().and_then(|cold| cold.get(id));
            if let Some(known) = known.filter(|known| known.until == lease.until) {
                lease.requests = lease.requests.min(known.requests);
            }
        }
        self.current = guidance;
    }

    /// Returns the budgets for retries and hedged requests of all classes together: the cluster's, or else
    /// those of the settings, which are the arguments.
    pub fn budgets(&self, [retries, hedges]: Budgets) -> Budgets {
        [
            self.current.retry_budget.map(Into::into).or(retries),
            self.current.hedge_budget.map(Into::into).or(hedges),
        ]
    }

    /// Returns the probability with which the cluster admits requests of a class. `None` admits all of them.
    pub fn admission_probability(&self, class: ClassId) -> Option<f64> {
        self.current.admit_probability.get(class.0).copied()
    }

    /// Returns whether this sidecar may send a server load polls.
    pub fn may_poll_load(&self, id: UpstreamId) -> bool {
        self.current.load_poll_targets.as_ref().is_none_or(|assigned| assigned.contains(&id))
    }

    /// Returns the next of the servers that the cluster assigns to this sidecar for load polls, in turn.
    pub fn next_load_poll(&mut self) -> Option<UpstreamId> {
        let assigned = self.current.load_poll_targets.as_ref()?;
        let after = self.last_polled.map_or(Bound::Unbounded, Bound::Excluded);
        self.last_polled = assigned.range((after, Bound::Unbounded)).next().or(assigned.first()).copied();
        self.last_polled
    }

    /// Returns whether this sidecar may send an ejection probe to a server whose ejection time is over.
    pub fn may_send_ejection_probe(&self, id: UpstreamId) -> bool {
        self.current.ejection_probe_targets.as_ref().is_none_or(|trials| trials.contains(&id))
    }

    /// Returns whether leases limit what this sidecar sends to servers in slow start.
    pub fn has_slow_start_leases(&self) -> bool {
        self.current.slow_start_leases.is_some()
    }

    /// Returns whether the lease on a server allows one more request. Returns `None` if the server is not in
    /// slow start or if there are no leases at all.
    pub fn lease_allows(&self, server: &Candidate, now: Millis) -> Option<bool> {
        let leases = self.current.slow_start_leases.as_ref().filter(|_| server.warm_fraction < 1.0)?;
        Some(leases.get(&server.id).is_some_and(|lease| lease.requests > 0 && now < lease.until))
    }

    /// Counts a request that was just sent against the server's lease.
    pub fn record_send(&mut self, server: &Candidate) {
        let lease = self.current.slow_start_leases.as_mut().and_then(|leases| leases.get_mut(&server.id));
        if let Some(lease) = lease.filter(|_| server.warm_fraction < 1.0) {
            lease.requests = lease.requests.saturating_sub(1);
        }
    }

    /// Maps a fraction of the Retry-After span into the part of the span that the cluster assigns to this
    /// sidecar. Without an assignment, the fraction stays as it is.
    pub fn retry_after_fraction(&self, fraction: f64) -> f64 {
        self.current
            .retry_after_slice
            .map_or(fraction, |[from, to]| (from + (to - from) * fraction).clamp(0.0, 1.0))
    }

    /// Returns the index of the zone set that a request's servers are drawn from, if it has one.
    pub fn zone_set(&self, pending: &PendingRequest) -> Option<usize> {
        self.residency.as_ref()?.zone_set(pending.class, pending.tenant)
    }

    /// Returns whether a request may go to a zone.
    pub fn allows(&self, pending: &PendingRequest, zone: ZoneId) -> bool {
        self.residency.as_ref().is_none_or(|residency| residency.allows(pending.class, pending.tenant, zone))
    }
}

impl Residency {
    /// Returns the index of a class's zone set. A class without an entry gets the index of a zone set that
    /// does not exist and may go nowhere: its rules are not known yet.
    fn zone_set_of_class(&self, class: ClassId) -> Option<usize> {
        self.classes.get(class.0).copied().unwrap_or(Some(usize::MAX))
    }

    /// Returns the index of a tenant's zone set. A tenant without an entry may go anywhere.
    fn zone_set_of_tenant(&self, tenant: TenantId) -> Option<usize> {
        self.tenants.get(tenant.0).copied().flatten()
    }

    /// Returns the index of the zone set that a request's servers are drawn from. The class's zone set takes
    /// precedence.
    fn zone_set(&self, class: ClassId, tenant: TenantId) -> Option<usize> {
        self.zone_set_of_class(class).or(self.zone_set_of_tenant(tenant))
    }

    /// Returns whether a request may go to a zone. Both the zone set of its class and that of its tenant must
    /// allow the zone.
    pub fn allows(&self, class: ClassId, tenant: TenantId, zone: ZoneId) -> bool {
        let zone_sets = [self.zone_set_of_class(class), self.zone_set_of_tenant(tenant)];
        zone_sets
            .into_iter()
            .flatten()
            .all(|index| self.zone_sets.get(index).is_some_and(|zones| zones.contains(&zone)))
    }
}
