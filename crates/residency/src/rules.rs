//! From the section to sound rules, whole or nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter, Write};

use crate::codec::{FILE_PIECES, GENERATION_MOST, pieces_of, write};
use crate::content::{Content, key_of, zone_key};
use crate::names::{ClassFacts, Context, RouteFacts, Scope, Service};
use crate::section::{Rule, Section};

/// One thing that is wrong with a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The keys that lead there, as in `residency.rules[2].regions[0]`.
    pub place: String,
    /// What is wrong, with what shows it.
    pub reason: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// Rules that were found sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rules {
    generation: u64,
    regions: BTreeMap<String, BTreeSet<String>>,
    rules: BTreeMap<Service, Ruled>,
    /// Known zones that are of no region, and so outside every rule.
    outside: BTreeSet<String>,
}

/// What a service may use.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ruled {
    regions: Vec<String>,
    zones: BTreeSet<String>,
}

impl Rules {
    /// Those of a file that has no section: generation 0, below all that a file can have, and nothing is ruled.
    pub fn none() -> Rules {
        let (regions, rules, outside) = Default::default();
        Rules { generation: 0, regions, rules, outside }
    }

    /// Reads and checks a section. All that is wrong comes at once, a line each with its place.
    pub fn read(section: &Section, context: &Context) -> Result<Rules, Vec<String>> {
        Rules::check(section, context).map_err(|faults| faults.iter().map(Fault::to_string).collect())
    }

    /// The same, with places and reasons apart.
    pub fn check(section: &Section, context: &Context) -> Result<Rules, Vec<Fault>> {
        let mut check = Check { context, faults: Vec::new() };
        let regions = check.regions(section);
        let services: Vec<Option<Service>> =
            section.rules.iter().enumerate().map(|(place, rule)| check.service(place, rule)).collect();
        let ruled: Vec<Ruled> = section
            .rules
            .iter()
            .enumerate()
            .map(|(place, rule)| check.ruled(place, rule, &regions))
            .collect();
        let rules: Vec<(usize, &Service, &Ruled)> = services
            .iter()
            .zip(&ruled)
            .enumerate()
            .filter_map(|(place, (service, ruled))| Some((place, service.as_ref()?, ruled)))
            .collect();
        check.overlaps(&rules);
        for (place, service, ruled) in &rules {
            check.keyed(*place, service, &ruled.zones, &rules);
        }
        let generation = section.generation;
        if !(1..=GENERATION_MOST).contains(&generation) {
            check.refuse("generation", format!("{generation} is not between 1 and {GENERATION_MOST}"));
        }
        let rules = rules.into_iter().map(|(_, service, ruled)| (service.clone(), ruled.clone())).collect();
        let is_outside = |zone: &&String| !regions.values().any(|zones| zones.contains(*zone));
        let outside = context.zones.iter().filter(is_outside).cloned().collect();
        let read = Rules { generation, regions, rules, outside };
        check.size(&read);
        if check.faults.is_empty() { Ok(read) } else { Err(check.faults) }
    }

    /// Which edition they are.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The zones that a service may use, if there is a rule for it.
    pub fn of(&self, service: &Service) -> Option<&BTreeSet<String>> {
        self.rules.get(service).map(|ruled| &ruled.zones)
    }

    /// All services that have a rule, with their zones.
    pub fn services(&self) -> impl Iterator<Item = (&Service, &BTreeSet<String>)> {
        self.rules.iter().map(|(service, ruled)| (service, &ruled.zones))
    }

    /// The region of a zone, if it is in one.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.iter().find(|(_, zones)| zones.contains(zone)).map(|(name, _)| name.as_str())
    }

    /// The same by keys, as members share it.
    pub fn content(&self) -> Content {
        let keys = |zones: &BTreeSet<String>| zones.iter().map(|zone| zone_key(zone)).collect();
        let services = self.services().map(|(service, zones)| (key_of(service), keys(zones))).collect();
        Content { closed: false, services }
    }

    /// Which rule holds for a request that is of these services, in words: its class, its route if it has one, and its
    /// tenant.
    pub fn explain(&self, services: &[Service]) -> String {
        let held: Vec<String> = services
            .iter()
            .filter_map(|service| {
                let Ruled { regions, zones } = self.rules.get(service)?;
                let regions: Vec<&str> = regions.iter().map(String::as_str).collect();
                let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
                let generation = self.generation;
                Some(format!(
                    "residency, generation {generation}: the rule of {service} keeps it in {}: zones {}",
                    regions.join(", "),
                    zones.join(", ")
                ))
            })
            .collect();
        if held.is_empty() {
            return format!("residency, generation {}: no rule is for it: any zone", self.generation);
        }
        held.join("\n")
    }

    /// All of it in a few lines, for who checks a file.
    pub fn summary(&self) -> String {
        let (regions, rules) = (self.regions.len(), self.rules.len());
        let mut text =
            format!("residency: generation {}, regions: {regions}, rules: {rules}", self.generation);
        for (service, Ruled { regions, zones }) in &self.rules {
            let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
            // Writing to a text cannot fail.
            let _ = write!(text, "\n  {service}: {}: zones {}", regions.join(", "), zones.join(", "));
        }
        if !self.outside.is_empty() {
            let zones: Vec<&str> = self.outside.iter().map(String::as_str).collect();
            let _ = write!(text, "\n  of no region, and so outside every rule: zones {}", zones.join(", "));
        }
        text
    }
}

/// The checks of a section.
struct Check<'c> {
    context: &'c Context,
    faults: Vec<Fault>,
}

impl<'c> Check<'c> {
    fn refuse(&mut self, place: impl Display, reason: impl Into<String>) {
        self.faults.push(Fault { place: format!("residency.{place}"), reason: reason.into() });
    }

    /// The zones by region; of what is given twice the first counts.
    fn regions(&mut self, section: &Section) -> BTreeMap<String, BTreeSet<String>> {
        let mut regions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let mut homes: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, zones) in &section.regions.0 {
            let at = format!("regions.{name}");
            if name.is_empty() {
                self.refuse("regions", "a region has no name");
            }
            if regions.contains_key(name) {
                self.refuse(&at, "another region has this name too");
                continue;
            }
            if zones.is_empty() {
                self.refuse(&at, "a region without a zone");
            }
            let mut own = BTreeSet::new();
            for (place, zone) in zones.iter().enumerate() {
                let at = format!("{at}[{place}]");
                if zone.is_empty() {
                    self.refuse(&at, "a zone has no name");
                } else if !self.context.zones.is_empty() && !self.context.zones.contains(zone) {
                    let near = nearest(zone, self.context.zones.iter());
                    self.refuse(&at, format!("there is no zone {zone:?}{near}"));
                }
                match homes.insert(zone, name) {
                    Some(home) if home == name => {
                        self.refuse(&at, format!("zone {zone:?} is named twice"));
                    }
                    Some(home) => {
                        let reason =
                            format!("zone {zone:?} is of region {home:?} already; it is of one only");
                        self.refuse(&at, reason);
                    }
                    None => drop(own.insert(zone.clone())),
                }
            }
            regions.insert(name.clone(), own);
        }
        regions
    }

    /// The service that a rule is for, if there is such a one.
    fn service(&mut self, place: usize, rule: &Rule) -> Option<Service> {
        let given = [
            rule.class.clone().map(Service::Class),
            rule.route.clone().map(Service::Route),
            rule.tenant.clone().map(Service::Tenant),
        ];
        let given: Vec<Service> = given.into_iter().flatten().collect();
        let service = match &given[..] {
            [one] => one.clone(),
            [] => {
                self.refuse(format!("rules[{place}]"), "for nobody: name a class, a route or a tenant");
                return None;
            }
            several => {
                let named: Vec<String> = several.iter().map(Service::to_string).collect();
                let reason = format!("for {}: a rule is for one service only", named.join(" and "));
                self.refuse(format!("rules[{place}]"), reason);
                return None;
            }
        };
        let (kind, name) = service.parts();
        let known = |kind: &str| -> Vec<&'c String> {
            match kind {
                "class" => self.context.classes.iter().map(|class| &class.name).collect(),
                "route" => self.context.routes.iter().map(|route| &route.name).collect(),
                _ => self.context.tenants.iter().collect(),
            }
        };
        if known(kind).into_iter().any(|known| known == name) {
            return Some(service);
        }
        let other = ["class", "route", "tenant"]
            .into_iter()
            .find(|other| known(other).into_iter().any(|known| known == name));
        let hint = match other {
            Some(other) => format!("; there is a {other} of that name"),
            None if known(kind).is_empty() => format!("; there is no {kind} at all"),
            None => nearest(name, known(kind)),
        };
        self.refuse(format!("rules[{place}].{kind}"), format!("there is no {service}{hint}"));
        None
    }

    /// The regions of a rule, and their zones.
    fn ruled(&mut self, place: usize, rule: &Rule, regions: &BTreeMap<String, BTreeSet<String>>) -> Ruled {
        let at = format!("rules[{place}].regions");
        let mut zones = BTreeSet::new();
        let mut all_known = true;
        for (nth, region) in rule.regions.iter().enumerate() {
            if rule.regions.iter().take(nth).any(|earlier| earlier == region) {
                self.refuse(format!("{at}[{nth}]"), format!("region {region:?} is named twice"));
            }
            match regions.get(region) {
                Some(own) => zones.extend(own.iter().cloned()),
                None => {
                    all_known = false;
                    let near = nearest(region, regions.keys());
                    self.refuse(format!("{at}[{nth}]"), format!("there is no region {region:?}{near}"));
                }
            }
        }
        if rule.regions.is_empty() {
            self.refuse(&at, "it leaves nobody: no region is named");
        } else if zones.is_empty() && all_known {
            self.refuse(&at, format!("it leaves nobody: no zone in {}", rule.regions.join(", ")));
        }
        Ruled { regions: rule.regions.clone(), zones }
    }

    /// Refuses rules that are for one request. Each is told beside the first that it overlaps with.
    fn overlaps(&mut self, rules: &[(usize, &Service, &Ruled)]) {
        for (nth, (place, service, _)) in rules.iter().enumerate() {
            let earlier = rules.iter().take(nth);
            let found = earlier
                .filter_map(|(other, theirs, _)| Some((other, theirs, self.shared(service, theirs)?)))
                .next();
            let Some((other, theirs, witness)) = found else { continue };
            let reason = if service == theirs {
                format!("{service} has a rule already, rules[{other}]")
            } else {
                format!(
                    "two rules for one request, this for {service} and rules[{other}] for {theirs}: {witness}"
                )
            };
            self.refuse(format!("rules[{place}]"), reason);
        }
    }

    /// A request that is of both services, if there can be one.
    fn shared(&self, one: &Service, other: &Service) -> Option<String> {
        match (one, other) {
            (one, other) if one == other => Some(String::new()),
            (Service::Class(class), Service::Tenant(tenant)) => {
                Some(format!("one of class {class:?} from tenant {tenant:?}"))
            }
            (Service::Route(route), Service::Class(class)) => {
                let example = self.route(route)?.classes.get(class)?;
                Some(format!("{} of class {class:?} by route {route:?}", told(example)))
            }
            (Service::Route(route), Service::Tenant(tenant)) => {
                let (class, example) = self.route(route)?.classes.first_key_value()?;
                Some(format!(
                    "{} of class {class:?} by route {route:?} from tenant {tenant:?}",
                    told(example)
                ))
            }
            (Service::Tenant(_), Service::Class(_))
            | (Service::Class(_), Service::Route(_))
            | (Service::Tenant(_), Service::Route(_)) => self.shared(other, one),
            // A request has one class, one tenant, and takes the narrowest route only.
            _ => None,
        }
    }

    fn route(&self, name: &str) -> Option<&'c RouteFacts> {
        self.context.routes.iter().find(|route| route.name == name)
    }

    /// Refuses a rule under which the repeats of a class with keys cannot stay where its keys are known. Zones are whole
    /// in a rule, so that a request by itself can always stay in its zone, and in its cell where cells lie in zones.
    /// Two things break that: a cell with servers on both sides, and a client who tries again with the same key but
    /// other headers, comes to another route and so under another rule.
    fn keyed(
        &mut self,
        place: usize,
        service: &Service,
        zones: &BTreeSet<String>,
        rules: &[(usize, &Service, &Ruled)],
    ) {
        let context = self.context;
        let route = if let Service::Route(name) = service { self.route(name) } else { None };
        let is_for = |class: &&ClassFacts| match service {
            Service::Class(name) => class.name == *name,
            Service::Route(_) => route.is_some_and(|route| route.classes.contains_key(&class.name)),
            Service::Tenant(_) => true,
        };
        for class in context.classes.iter().filter(is_for) {
            if class.scope == Scope::Cell
                && let Some((cell, inside, outside)) = split_cell(&context.cells, zones)
            {
                let reason = format!(
                    "repeats of class {:?} must stay in the cell of the first send, and cell {cell} has servers in \
                     {inside:?} inside and in {outside:?} outside",
                    class.name
                );
                self.refuse(format!("rules[{place}].regions"), reason);
            }
            let bound = match class.scope {
                Scope::Zone => "zone",
                Scope::Cell => "cell",
                Scope::All | Scope::Free => continue,
            };
            let Some(route) = route.filter(|route| route.by_headers) else { continue };
            let others = || {
                let with =
                    |other: &&RouteFacts| other.name != route.name && other.classes.contains_key(&class.name);
                context.routes.iter().filter(with)
            };
            let zones_of = |other: &RouteFacts| {
                let is_its = |service: &Service| *service == Service::Route(other.name.clone());
                rules.iter().find(|(_, service, _)| is_its(service)).map(|(_, _, ruled)| &ruled.zones)
            };
            let apart = others().find(|other| zones_of(other) != Some(zones));
            let elsewhere = match apart {
                Some(other) => format!("route {:?}, which is not kept in the same zones", other.name),
                None if others().next().is_none() => "no route, and so to any zone".to_owned(),
                None => continue,
            };
            let example = route.classes.get(&class.name).map_or("", String::as_str);
            let reason = format!(
                "repeats of class {:?} must stay in the {bound} of the first send, and {}, tried again with its key and \
                 other headers, comes to {elsewhere}",
                class.name,
                told(example)
            );
            self.refuse(format!("rules[{place}].route"), reason);
        }
    }

    /// Refuses what cannot be shared: too much, or names that share a key.
    fn size(&mut self, rules: &Rules) {
        let pieces = pieces_of(&write(&rules.content()));
        if pieces > FILE_PIECES {
            let reason = format!("{pieces} messages would be needed to tell them; {FILE_PIECES} at most");
            self.refuse("rules", reason);
        }
        let mut zones: BTreeMap<u64, &String> = BTreeMap::new();
        for zone in rules.regions.values().flatten() {
            if let Some(other) = zones.insert(zone_key(zone), zone) {
                self.refuse("regions", format!("zones {zone:?} and {other:?} have the same key: rename one"));
            }
        }
        let mut services: BTreeMap<u64, &Service> = BTreeMap::new();
        for service in rules.rules.keys() {
            if let Some(other) = services.insert(key_of(service), service) {
                self.refuse("rules", format!("{service} and {other} have the same key: rename one"));
            }
        }
    }
}

/// A request in a message.
fn told(example: &str) -> String {
    if example.is_empty() { "a request".to_owned() } else { format!("{example:?}") }
}

/// A cell that has servers both inside and outside, with a zone of each.
fn split_cell<'c>(
    cells: &'c BTreeMap<u64, BTreeSet<String>>,
    zones: &BTreeSet<String>,
) -> Option<(u64, &'c str, &'c str)> {
    cells.iter().find_map(|(cell, own)| {
        let inside = own.iter().find(|zone| zones.contains(*zone))?;
        let outside = own.iter().find(|zone| !zones.contains(*zone))?;
        Some((*cell, inside.as_str(), outside.as_str()))
    })
}

/// A hint at what may be meant: the name at the least distance, if that is small beside its length.
fn nearest<'n>(name: &str, known: impl IntoIterator<Item = &'n String>) -> String {
    let near = known
        .into_iter()
        .map(|known| (strsim::damerau_levenshtein(name, known), known))
        .min()
        .filter(|(distance, known)| *distance <= (known.chars().count() / 3).max(1));
    near.map(|(_, known)| format!("; {known:?} is meant?")).unwrap_or_default()
}
