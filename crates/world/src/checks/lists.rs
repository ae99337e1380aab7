use std::collections::{BTreeMap, BTreeSet};

use super::{Found, Rule};
use crate::time::{Micros, millis};

/// So long after it was told a sidecar may still send something new, in microseconds.
const TOLD: Micros = 3_000_000;

/// Nothing new to servers that take nothing new, and nothing to strangers.
#[derive(Debug)]
pub struct Lists {
    named: BTreeSet<usize>,
    /// By sidecar: which servers take nothing new, and since when it was told so.
    leaving: Vec<BTreeMap<usize, Micros>>,
}

impl Lists {
    /// A checker for so many sidecars.
    pub fn new(members: usize) -> Lists {
        Lists { named: BTreeSet::new(), leaving: vec![BTreeMap::new(); members] }
    }

    /// A list of discovery named a server.
    pub fn named(&mut self, server: usize) {
        self.named.insert(server);
    }

    /// Whether a list named it.
    pub fn is_named(&self, server: usize) -> bool {
        self.named.contains(&server)
    }

    /// A sidecar was told how a server stands, by discovery or by a peer.
    pub fn told(&mut self, at: Micros, member: usize, server: usize, serving: bool) {
        let leaving = &mut self.leaving[member];
        if serving {
            leaving.remove(&server);
        } else {
            leaving.entry(server).or_insert(at);
        }
    }

    /// A sidecar's process ended, and with it what it was told.
    pub fn restarted(&mut self, member: usize) {
        self.leaving[member].clear();
    }

    /// Since when a sidecar has been told that a server takes nothing new.
    pub fn told_since(&self, member: usize, server: usize) -> Option<Micros> {
        self.leaving[member].get(&server).copied()
    }

    /// A send goes out.
    pub fn sent(&self, at: Micros, member: usize, server: usize, found: &mut Found) {
        if !self.named.contains(&server) {
            found.broken(at, Rule::Strangers, || format!("sidecar {member} sends to the stranger {server}"));
        }
        if let Some(since) = self.told_since(member, server).filter(|since| at > since + TOLD) {
            let text = || format!("sidecar {member} sends to {server}, told at {:.0} ms", millis(since));
            found.broken(at, Rule::Drains, text);
        }
    }
}
