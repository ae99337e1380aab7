use std::collections::{BTreeMap, BTreeSet};

use super::{Found, Rule};
use crate::time::Micros;

/// The zones that the requests of each class may go to, by the number of the class; one without an entry: all.
pub type Allowed = BTreeMap<usize, BTreeSet<usize>>;

/// No request leaves the regions that its class may use: by the file of its own sidecar, or by one of a newer
/// generation that some sidecar has read, and from a time on by rules that must have reached everyone.
#[derive(Debug)]
pub struct Regions {
    own: Vec<(u64, Allowed)>,
    /// All files that were read, by generation.
    read: Vec<(u64, Allowed)>,
    all: Option<(Micros, Allowed)>,
}

fn inside(allowed: &Allowed, class: usize, zone: usize) -> bool {
    allowed.get(&class).is_none_or(|zones| zones.contains(&zone))
}

impl Regions {
    /// A checker for so many sidecars without rules.
    pub fn new(members: usize) -> Regions {
        Regions { own: vec![(0, Allowed::new()); members], read: Vec::new(), all: None }
    }

    /// A sidecar has read its operators' file.
    pub fn holds(&mut self, member: usize, generation: u64, allowed: Allowed) {
        let file = (generation, allowed);
        if !self.read.contains(&file) {
            self.read.push(file.clone());
        }
        self.own[member] = file;
    }

    /// Rules that bind everyone from a time on, whatever their own files say.
    pub fn bind(&mut self, from: Micros, allowed: Allowed) {
        self.all = Some((from, allowed));
    }

    /// Whether a sidecar's own rules, or newer ones of others, let requests of a class go to a zone.
    pub fn allows(&self, member: usize, class: usize, zone: usize) -> bool {
        let (generation, own) = &self.own[member];
        let newer = || self.read.iter().any(|(of, file)| of > generation && inside(file, class, zone));
        inside(own, class, zone) || newer()
    }

    /// A request of a class goes to a zone, by the list that its sidecar holds.
    pub fn sent(&self, at: Micros, member: usize, class: usize, zone: usize, found: &mut Found) {
        let bound = self.all.as_ref().is_none_or(|(from, all)| at < *from || inside(all, class, zone));
        if !(self.allows(member, class, zone) && bound) {
            found
                .broken(at, Rule::Regions, || format!("sidecar {member} sends class {class} to zone {zone}"));
        }
    }
}
