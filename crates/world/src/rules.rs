//! Rules of residency, as the operators' file of each sidecar has them.

use std::collections::{BTreeMap, BTreeSet};

use residency::{ClassFacts, Context, Regions, Rule, Rules, Scope, Section, Unruled};
use sagemast::api::Idempotency;

use crate::checks::Allowed;
use crate::member::Told;
use crate::spec::{ClassSpec, Spec};
use crate::world::World;

/// The rules of a file: their generation, and by class the regions that it may use.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct File {
    /// The generation.
    pub generation: u64,
    /// Regions by class.
    pub rules: Vec<(String, Vec<String>)>,
}

impl File {
    /// It, read and checked as a sidecar does.
    pub fn read(&self, spec: &Spec) -> Result<Rules, Vec<String>> {
        let regions = spec.regions.iter().map(|region| (region.name.clone(), region.zones.clone())).collect();
        let rule = |(class, regions): &(String, Vec<String>)| Rule {
            class: Some(class.clone()),
            regions: regions.clone(),
            ..Rule::default()
        };
        let section = Section {
            generation: self.generation,
            regions: Regions(regions),
            rules: self.rules.iter().map(rule).collect(),
            unruled: Unruled::Anywhere,
        };
        Rules::read(&section, &context(spec))
    }

    /// The zones that each ruled class may use.
    pub fn allowed(&self, spec: &Spec) -> Allowed {
        let zones = spec.zones();
        let inside = |regions: &[String]| -> BTreeSet<usize> {
            let named = |region: usize| regions.contains(&spec.regions[region].name);
            (0..zones.len()).filter(|zone| named(zones[*zone].1)).collect()
        };
        let class = |name: &str| spec.classes.iter().position(|class| class.name == name);
        self.rules.iter().filter_map(|(name, regions)| Some((class(name)?, inside(regions)))).collect()
    }
}

fn context(spec: &Spec) -> Context {
    let scope = |class: &ClassSpec| match class.class.idempotency {
        Idempotency::Idempotent | Idempotency::NotIdempotent => Scope::Free,
        Idempotency::ByKey { scope: sagemast::api::DedupScope::All, .. } => Scope::All,
        Idempotency::ByKey { scope: sagemast::api::DedupScope::Zone, .. } => Scope::Zone,
        Idempotency::ByKey { scope: sagemast::api::DedupScope::Cell, .. } => Scope::Cell,
    };
    Context {
        classes: spec.classes.iter().map(|c| ClassFacts { name: c.name.clone(), scope: scope(c) }).collect(),
        routes: Vec::new(),
        tenants: Vec::new(),
        zones: spec.zones().into_iter().map(|zone| zone.0).collect(),
        cells: BTreeMap::new(),
    }
}

impl World {
    /// The operators change a sidecar's file, and its process rereads it.
    pub(crate) fn reread(&mut self, member: usize, file: File) {
        self.members[member].file = Some(file);
        let incarnation = self.members[member].incarnation;
        self.tell(member, incarnation, Told::Reread);
    }

    /// A process reads its file; one that it cannot use leaves the rules that it has.
    pub(crate) fn rules_read(&mut self, member: usize) -> Option<Rules> {
        let file = self.members[member].file.clone()?;
        match file.read(&self.spec) {
            Ok(rules) => {
                self.checks.regions.holds(member, file.generation, file.allowed(&self.spec));
                Some(rules)
            }
            Err(faults) => {
                self.notes.push((self.now, member, format!("rules refused: {}", faults.join("; "))));
                None
            }
        }
    }
}
