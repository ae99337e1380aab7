//! Rules of residency in the module's terms: rings of zones by class and by tenant.

use std::collections::{BTreeMap, BTreeSet};

use residency::{Binding, Service, Stand, Verdict, key_of, zone_key};
use sagemast::api::{ClassId, Residency, TenantId, ZoneId};
use sagemast::settings::number_of_name;

use crate::api::ClassNames;

/// The services and zones of a sidecar by the rules' keys and the module's ids.
#[derive(Debug)]
pub(crate) struct Rings {
    /// The zones that the settings name; they tell a zone's id.
    named: Vec<String>,
    zones: BTreeMap<u64, ZoneId>,
    /// By class: its own name, and its route's where it has one.
    classes: Vec<Vec<u64>>,
    tenants: Vec<u64>,
    /// What the module was told last.
    told: Option<Residency>,
}

impl Rings {
    pub fn new(zones: Vec<String>, classes: &[ClassNames], tenants: &[String]) -> Rings {
        let tenants = tenants.iter().map(|name| key_of(&Service::Tenant(name.clone()))).collect();
        let (named, zones) = (zones.clone(), zones);
        let mut rings = Rings { named, zones: BTreeMap::new(), classes: Vec::new(), tenants, told: None };
        zones.iter().for_each(|zone| rings.meet(zone));
        rings.classes(classes);
        rings
    }

    /// Takes other classes.
    pub fn classes(&mut self, classes: &[ClassNames]) {
        let services = |names: &ClassNames| {
            let route = names.route.iter().map(|route| Service::Route(route.clone()));
            std::iter::once(Service::Class(names.class.clone())).chain(route).map(|s| key_of(&s)).collect()
        };
        self.classes = classes.iter().map(services).collect();
    }

    /// Learns of a zone. Rules name zones by keys, which only a name gives an id: one that no list and no settings have
    /// named has no servers.
    pub fn meet(&mut self, zone: &str) {
        let id = || ZoneId(number_of_name(&self.named, zone));
        self.zones.entry(zone_key(zone)).or_insert_with(id);
    }

    /// Where requests may go, if that is not what the module was told last. It is told nothing while nothing is ruled.
    pub fn news(&mut self, binding: &Binding) -> Option<Residency> {
        let mut rings: Vec<BTreeSet<ZoneId>> = Vec::new();
        let mut place = |ring: Option<BTreeSet<ZoneId>>| {
            let ring = ring?;
            Some(rings.iter().position(|other| *other == ring).unwrap_or_else(|| {
                rings.push(ring);
                rings.len() - 1
            }))
        };
        let ring = |services: &[u64]| {
            let stands = services.iter().map(|service| binding.of_key(*service));
            stands.fold(None, |ring, stand| met(ring, self.zones_of(stand)))
        };
        let classes = self.classes.iter().map(|services| place(ring(services))).collect();
        let tenants = self.tenants.iter().map(|tenant| place(ring(&[*tenant]))).collect();
        let residency = Residency { zone_sets: rings, classes, tenants };
        let nothing = self.told.is_none() && residency.zone_sets.is_empty();
        if nothing || self.told.as_ref() == Some(&residency) {
            return None;
        }
        self.told = Some(residency.clone());
        Some(residency)
    }

    /// The zones that a stand lets through; `None` for all.
    fn zones_of(&self, stand: Stand) -> Option<BTreeSet<ZoneId>> {
        match stand {
            Stand::Free => None,
            Stand::Within(keys) => Some(keys.iter().filter_map(|key| self.zones.get(key)).copied().collect()),
            Stand::Waiting(_) => Some(BTreeSet::new()),
        }
    }

    /// Whether a request may go to a zone, by its name.
    pub fn allows(&self, binding: &Binding, class: ClassId, tenant: TenantId, zone: &str) -> bool {
        let Some(services) = self.classes.get(class.0) else { return false };
        let all = services.iter().chain(self.tenants.get(tenant.0));
        all.map(|service| binding.of_key(*service).verdict(zone)).all(|verdict| verdict == Verdict::Allowed)
    }
}

/// What both let through.
fn met(one: Option<BTreeSet<ZoneId>>, other: Option<BTreeSet<ZoneId>>) -> Option<BTreeSet<ZoneId>> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.intersection(&other).copied().collect()),
        (one, other) => one.or(other),
    }
}
