use std::collections::BTreeMap;

use super::{Found, Rule};
use crate::time::Micros;

/// A time during which a sidecar acted as coordinator of a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reign {
    /// The region.
    pub region: usize,
    /// The sidecar.
    pub member: usize,
    /// Its term, as text that is the same for the same term.
    pub term: String,
    /// From when.
    pub from: Micros,
    /// To when; `None` while it acts.
    pub to: Option<Micros>,
}

/// One acting coordinator a region at any moment of true time, and one in any term.
#[derive(Debug, Default)]
pub struct Coordinators {
    /// Whoever acted, in order.
    pub reigns: Vec<Reign>,
    holders: BTreeMap<(usize, String), usize>,
}

impl Coordinators {
    /// What a sidecar that runs says of itself: its term if it acts for its region now.
    pub fn sees(
        &mut self,
        at: Micros,
        (region, member): (usize, usize),
        term: Option<String>,
        found: &mut Found,
    ) {
        let own =
            self.reigns.iter_mut().rev().find(|r| r.to.is_none() && r.region == region && r.member == member);
        let before = own.as_ref().map(|reign| reign.term.clone());
        if before == term {
            return;
        }
        if let Some(reign) = own {
            reign.to = Some(at);
        }
        let Some(term) = term else { return };
        if let Some(other) = self.acting(region) {
            let text = || format!("{member} and {} both act in region {region}", other.member);
            found.broken(at, Rule::Coordinators, text);
        }
        let holder = *self.holders.entry((region, term.clone())).or_insert(member);
        if holder != member {
            let text = || format!("{member} and {holder} both have term {term} of region {region}");
            found.broken(at, Rule::Coordinators, text);
        }
        self.reigns.push(Reign { region, member, term, from: at, to: None });
    }

    /// Who acts in a region now.
    pub fn acting(&self, region: usize) -> Option<&Reign> {
        self.reigns.iter().rev().find(|reign| reign.to.is_none() && reign.region == region)
    }

    /// When someone first acted in a region at or after a time.
    pub fn first_after(&self, region: usize, at: Micros) -> Option<Micros> {
        let acts = |reign: &&Reign| reign.region == region && reign.to.is_none_or(|to| to > at);
        self.reigns.iter().find(acts).map(|reign| reign.from.max(at))
    }
}
