//! The section `residency` against what the platform and the other sections say.

use std::collections::BTreeSet;

use ::residency::{ClassFacts, Context, RouteFacts, Rules, Scope};
use routes::Table;
use routes::matching::{Match, left_over};
use routes::policy::Platform;
use sagemast::api::{self, Idempotency};
use sagemast::settings::PlatformSettings as SettingsObject;

use super::Operator;

/// What the platform says to rules of residency: it stays as it was at the start.
#[derive(Debug, Clone)]
pub struct Facts {
    classes: Vec<ClassFacts>,
    tenants: Vec<String>,
    zones: BTreeSet<String>,
}

impl Operator {
    /// The rules of residency that the file sets, checked against the platform, the routes and the members. All that is
    /// wrong is told, each with its place.
    pub fn residency(
        &self,
        facts: &Facts,
        platform: &Platform,
        table: &Table,
    ) -> Result<Option<Rules>, Vec<String>> {
        let Some(section) = &self.residency else { return Ok(None) };
        let rules = Rules::read(section, &facts.context(platform, table));
        let mut faults = self.members_apart(section);
        match rules {
            Ok(rules) if faults.is_empty() => Ok(Some(rules)),
            Ok(_) => Err(faults),
            Err(more) => {
                faults.splice(0..0, more);
                Err(faults)
            }
        }
    }

    /// Members whose zone is not one of their region, where both sections name that region.
    fn members_apart(&self, section: &::residency::Section) -> Vec<String> {
        let members = self.peers.iter().flat_map(|peers| &peers.members).enumerate();
        members
            .filter_map(|(place, member)| {
                let (region, zones) = section.regions.0.iter().find(|(name, _)| *name == member.region)?;
                let (name, zone) = (&member.name, &member.zone);
                (!zones.contains(zone)).then(|| {
                    format!(
                        "peers.members[{place}].zone: {name:?} is in zone {zone:?}, which residency.regions.{region} \
                         does not hold"
                    )
                })
            })
            .collect()
    }
}

impl Facts {
    /// What the settings say.
    pub fn new(settings: &SettingsObject) -> Facts {
        let scope = |effect: &Idempotency| match effect {
            Idempotency::Idempotent | Idempotency::NotIdempotent => Scope::Free,
            Idempotency::ByKey { scope: api::DedupScope::All, .. } => Scope::All,
            Idempotency::ByKey { scope: api::DedupScope::Zone, .. } => Scope::Zone,
            Idempotency::ByKey { scope: api::DedupScope::Cell, .. } => Scope::Cell,
        };
        let classes = settings.classes();
        Facts {
            classes: classes
                .iter()
                .map(|(name, effect)| ClassFacts { name: name.clone(), scope: scope(effect) })
                .collect(),
            tenants: settings.tenant_names(),
            zones: settings.zone_names().iter().cloned().collect(),
        }
    }

    /// What there is, for the checks of the rules.
    fn context(&self, platform: &Platform, table: &Table) -> Context {
        let Facts { classes, tenants, zones } = self.clone();
        let routes = (0..table.routes.len()).map(|place| route(platform, table, place)).collect();
        // Cells come with the list, which may be any by then.
        Context { classes, routes, tenants, zones, cells: Default::default() }
    }
}

fn route(platform: &Platform, table: &Table, place: usize) -> RouteFacts {
    let own = &table.routes[place];
    let takes = |matching: &Match, index| {
        platform.classes.get(index).is_some_and(|class| matching.takes(index, class))
    };
    let classes = platform.classes.iter().enumerate().filter(|(index, _)| takes(&own.matching, *index));
    let classes = classes.filter_map(|(_, class)| match left_over(class, &own.matching, &[]) {
        Ok(request) => Some((class.name.clone(), request?.to_string())),
        // Too entangled to find one: that there is none is not known.
        Err(_) => Some((class.name.clone(), String::new())),
    });
    // Any other that asks for headers of the same classes counts as inside it: a rule more is refused then, not fewer.
    let by_headers = table.routes.iter().any(|other| {
        let meets = (0..platform.classes.len()).any(|i| takes(&own.matching, i) && takes(&other.matching, i));
        meets && !other.matching.headers.is_empty()
    });
    RouteFacts { name: own.name.clone(), classes: classes.collect(), by_headers }
}
