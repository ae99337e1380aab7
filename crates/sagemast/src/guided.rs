//! What the fleet told this sidecar, and what that comes to for one request or one server. Nothing is decided here: the
//! fleet did, and what it left out is the module's own.

use std::ops::Bound;

use routes::purse::Budgets;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::state::{Candidate, Held};

/// What the fleet told last.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Guided {
    told: Guidance,
    /// Whom its duties last had asked.
    asked: Option<UpstreamId>,
    /// Where requests may go.
    pub within: Option<Residency>,
}

impl Guided {
    /// Takes other guidance in place of what there is. What was sent of a lease stays sent while the lease is the same.
    pub fn take(&mut self, mut told: Guidance) {
        for (id, lease) in told.slow_start_leases.iter_mut().flatten() {
            let held = self.told.slow_start_leases.as_ref().and_then(|cold| cold.get(id));
            if let Some(held) = held.filter(|held| held.until == lease.until) {
                lease.requests = lease.requests.min(held.requests);
            }
        }
        self.told = told;
    }

    /// Budgets of further sends of all classes, given what the settings say.
    pub fn budgets(&self, [retries, copies]: Budgets) -> Budgets {
        [
            self.told.retry_budget.map(Into::into).or(retries),
            self.told.hedge_budget.map(Into::into).or(copies),
        ]
    }

    /// The chance that an arrival may be sent at all.
    pub fn admit(&self, class: ClassId) -> Option<f64> {
        self.told.admit_probability.get(class.0).copied()
    }

    /// Whether this sidecar may ask a server for its load.
    pub fn asks(&self, id: UpstreamId) -> bool {
        self.told.load_poll_targets.as_ref().is_none_or(|duties| duties.contains(&id))
    }

    /// The next of the servers whose load it is to ask for.
    pub fn duty(&mut self) -> Option<UpstreamId> {
        let duties = self.told.load_poll_targets.as_ref()?;
        let after = self.asked.map_or(Bound::Unbounded, Bound::Excluded);
        self.asked = duties.range((after, Bound::Unbounded)).next().or(duties.first()).copied();
        self.asked
    }

    /// Whether it may try an ejected server whose time is up.
    pub fn tries(&self, id: UpstreamId) -> bool {
        self.told.ejection_probe_targets.as_ref().is_none_or(|trials| trials.contains(&id))
    }

    /// Whether leases say what servers in slow start are sent.
    pub fn leases(&self) -> bool {
        self.told.slow_start_leases.is_some()
    }

    /// Whether a server may be sent one more by what was leased of it; nothing where it is not cold, or nothing is leased.
    pub fn leased(&self, to: &Candidate, now: Millis) -> Option<bool> {
        let cold = self.told.slow_start_leases.as_ref().filter(|_| to.warmth < 1.0)?;
        Some(cold.get(&to.id).is_some_and(|lease| lease.requests > 0 && now < lease.until))
    }

    /// Counts what was sent against the lease.
    pub fn sent(&mut self, to: &Candidate) {
        let lease = self.told.slow_start_leases.as_mut().and_then(|cold| cold.get_mut(&to.id));
        if let Some(lease) = lease.filter(|_| to.warmth < 1.0) {
            lease.requests = lease.requests.saturating_sub(1);
        }
    }

    /// Where a share of a span comes to lie within the slice of it that is this sidecar's.
    pub fn come_back(&self, share: f64) -> f64 {
        self.told.retry_after_slice.map_or(share, |[from, to]| (from + (to - from) * share).clamp(0.0, 1.0))
    }

    /// The ring of zones that a request is drawn from, where it has one.
    pub fn ring(&self, held: &Held) -> Option<usize> {
        self.within.as_ref()?.ring(held.class, held.tenant)
    }

    /// Whether a request may go to a zone.
    pub fn allows(&self, held: &Held, zone: ZoneId) -> bool {
        self.within.as_ref().is_none_or(|within| within.allows(held.class, held.tenant, zone))
    }
}

impl Residency {
    /// The place of a class's ring; of one that is not there, where nothing was told of the class.
    fn of_class(&self, class: ClassId) -> Option<usize> {
        self.classes.get(class.0).copied().unwrap_or(Some(usize::MAX))
    }

    fn of_tenant(&self, tenant: TenantId) -> Option<usize> {
        self.tenants.get(tenant.0).copied().flatten()
    }

    /// The ring that a request is drawn from.
    fn ring(&self, class: ClassId, tenant: TenantId) -> Option<usize> {
        self.of_class(class).or(self.of_tenant(tenant))
    }

    /// Whether a request may go to a zone: by its class and by its tenant.
    pub fn allows(&self, class: ClassId, tenant: TenantId, zone: ZoneId) -> bool {
        let rings = [self.of_class(class), self.of_tenant(tenant)];
        rings
            .into_iter()
            .flatten()
            .all(|ring| self.zone_sets.get(ring).is_some_and(|zones| zones.contains(&zone)))
    }
}
