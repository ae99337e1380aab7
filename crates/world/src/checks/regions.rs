use std::collections::{BTreeMap, BTreeSet};

use super::{Found, Rule};
use crate::time::Micros;

/// The zones that the requests of each class may go to, by the number of the class; one without an entry: all.
pub type Allowed = BTreeMap<usize, BTreeSet<usize>>;

/// No request leaves the regions that its class may use: by the rules of its own sidecar's file at least, and from a
/// time on by rules that must have reached everyone.
#[derive(Debug)]
pub struct Regions {
    own: Vec<Allowed>,
    all: Option<(Micros, Allowed)>,
}

impl Regions {
    /// A checker for so many sidecars without rules.
    pub fn new(members: usize) -> Regions {
        Regions { own: vec![Allowed::new(); members], all: None }
    }

    /// A sidecar's own rules, from its operators' file.
    pub fn holds(&mut self, member: usize, allowed: Allowed) {
        self.own[member] = allowed;
    }

    /// Rules that bind everyone from a time on, whatever their own files say.
    pub fn bind(&mut self, from: Micros, allowed: Allowed) {
        self.all = Some((from, allowed));
    }

    /// Whether a sidecar's own rules let requests of a class go to a zone.
    pub fn allows(&self, member: usize, class: usize, zone: usize) -> bool {
        self.own[member].get(&class).is_none_or(|zones| zones.contains(&zone))
    }

    /// A request of a class goes to a zone, by the list that its sidecar holds.
    pub fn sent(&self, at: Micros, member: usize, class: usize, zone: usize, found: &mut Found) {
        let inside = |allowed: &Allowed| allowed.get(&class).is_none_or(|zones| zones.contains(&zone));
        let bound = self.all.as_ref().is_none_or(|(from, allowed)| at < *from || inside(allowed));
        if !(self.allows(member, class, zone) && bound) {
            found
                .broken(at, Rule::Regions, || format!("sidecar {member} sends class {class} to zone {zone}"));
        }
    }
}
