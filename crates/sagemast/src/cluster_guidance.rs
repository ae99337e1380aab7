//! What the fleet told this sidecar, and what that comes to for one request or one server. Nothing is decided here: the
//! fleet did, and what it left out is the module's own.

use std::ops::Bound;

use routes::purse::Budgets;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::state::{Candidate, PendingRequest};

/// What the fleet told last.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ClusterGuidance {
    current: Guidance,
    /// Whom its duties last had asked.
    last_probed: Option<UpstreamId>,
    /// Where requests may go.
    pub residency: Option<Residency>,
}

impl ClusterGuidance {
    /// Takes other guidance in place of what there is. What was sent of a lease stays sent while the lease is the same.
    pub fn update(&mut self, mut told: Guidance) {
        for (id, lease) in told.slow_start_leases.iter_mut().flatten() {
            let held = self.current.slow_start_leases.as_ref().and_then(|cold| cold.get(id));
            if let Some(held) = held.filter(|held| held.until == lease.until) {
                lease.requests = lease.requests.min(held.requests);
            }
        }
        self.current = told;
    }

    /// Budgets of further sends of all classes, given what the settings say.
    pub fn budgets(&self, [retries, copies]: Budgets) -> Budgets {
        [
            self.current.retry_budget.map(Into::into).or(retries),
            self.current.hedge_budget.map(Into::into).or(copies),
        ]
    }

    /// The chance that an arrival may be sent at all.
    pub fn admission_probability(&self, class: ClassId) -> Option<f64> {
        self.current.admit_probability.get(class.0).copied()
    }

    /// Whether this sidecar may ask a server for its load.
    pub fn may_probe(&self, id: UpstreamId) -> bool {
        self.current.load_poll_targets.as_ref().is_none_or(|duties| duties.contains(&id))
    }

    /// The next of the servers whose load it is to ask for.
    pub fn next_probe(&mut self) -> Option<UpstreamId> {
        let duties = self.current.load_poll_targets.as_ref()?;
        let after = self.last_probed.map_or(Bound::Unbounded, Bound::Excluded);
        self.last_probed = duties.range((after, Bound::Unbounded)).next().or(duties.first()).copied();
        self.last_probed
    }

    /// Whether it may try an ejected server whose time is up.
    pub fn may_send_ejection_probe(&self, id: UpstreamId) -> bool {
        self.current.ejection_probe_targets.as_ref().is_none_or(|trials| trials.contains(&id))
    }

    /// Whether leases say what servers in slow start are sent.
    pub fn has_slow_start_leases(&self) -> bool {
        self.current.slow_start_leases.is_some()
    }

    /// Whether a server may be sent one more by what was leased of it; nothing where it is not cold, or nothing is leased.
    pub fn lease_allows(&self, to: &Candidate, now: Millis) -> Option<bool> {
        let cold = self.current.slow_start_leases.as_ref().filter(|_| to.warm_fraction < 1.0)?;
        Some(cold.get(&to.id).is_some_and(|lease| lease.requests > 0 && now < lease.until))
    }

    /// Counts what was sent against the lease.
    pub fn record_send(&mut self, to: &Candidate) {
        let lease = self.current.slow_start_leases.as_mut().and_then(|cold| cold.get_mut(&to.id));
        if let Some(lease) = lease.filter(|_| to.warm_fraction < 1.0) {
            lease.requests = lease.requests.saturating_sub(1);
        }
    }

    /// Where a share of a span comes to lie within the slice of it that is this sidecar's.
    pub fn retry_after_fraction(&self, share: f64) -> f64 {
        self.current
            .retry_after_slice
            .map_or(share, |[from, to]| (from + (to - from) * share).clamp(0.0, 1.0))
    }

    /// The ring of zones that a request is drawn from, where it has one.
    pub fn ring(&self, held: &PendingRequest) -> Option<usize> {
        self.residency.as_ref()?.ring(held.class, held.tenant)
    }

    /// Whether a request may go to a zone.
    pub fn allows(&self, held: &PendingRequest, zone: ZoneId) -> bool {
        self.residency.as_ref().is_none_or(|within| within.allows(held.class, held.tenant, zone))
    }
}

impl Residency {
    /// The place of a class's ring; of one that is not there, where nothing was told of the class.
    fn ring_of_class(&self, class: ClassId) -> Option<usize> {
        self.classes.get(class.0).copied().unwrap_or(Some(usize::MAX))
    }

    fn ring_of_tenant(&self, tenant: TenantId) -> Option<usize> {
        self.tenants.get(tenant.0).copied().flatten()
    }

    /// The ring that a request is drawn from.
    fn ring(&self, class: ClassId, tenant: TenantId) -> Option<usize> {
        self.ring_of_class(class).or(self.ring_of_tenant(tenant))
    }

    /// Whether a request may go to a zone: by its class and by its tenant.
    pub fn allows(&self, class: ClassId, tenant: TenantId, zone: ZoneId) -> bool {
        let rings = [self.ring_of_class(class), self.ring_of_tenant(tenant)];
        rings
            .into_iter()
            .flatten()
            .all(|ring| self.zone_sets.get(ring).is_some_and(|zones| zones.contains(&zone)))
    }
}
