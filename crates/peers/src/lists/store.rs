//! The entries of a list, in the order in which they changed.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use super::ChangedServers;
use crate::api::{ServerEntry, ServerKey, ServerState};

/// The longest encoded entry, in bytes: a datagram holds one with its head. A host's name of 64 bytes fits with 36
/// bytes for the names of zone and machine.
pub const BODY: usize = 150;

/// How many servers a list holds at most, ended ones not counted.
pub const MAX_ENTRIES: usize = 16_384;

/// How many ended servers are remembered, so that members that are behind learn that they are gone.
const ENDED: usize = 1_024;

/// Where an entry is in the order of changes. All entries above `Place { at: version, key: u64::MAX }` changed
/// after that version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Place {
    /// The version at which it changed, or a later one at which this was seen.
    pub at: u64,
    /// Its server's key.
    pub key: u64,
}

/// An entry as it is kept and sent: encoded by `postcard`, so that equal entries are equal bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Item {
    pub at: u64,
    pub standing: ServerState,
    pub body: Vec<u8>,
}

/// All entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Store {
    pub items: BTreeMap<ServerKey, Item>,
    order: BTreeSet<Place>,
    /// Ended servers among the items.
    ended: usize,
    /// Serving ones.
    pub serving: usize,
    /// Ends at this version and before may be forgotten: who holds an older list must pull the whole.
    pub floor: u64,
    /// The sum of the hashes of all entries that have not ended.
    pub digest: u64,
    pub left_out: u64,
}

/// An entry of at most [`BODY`] bytes.
pub(super) fn encoded(entry: &ServerEntry) -> Option<Vec<u8>> {
    postcard::to_allocvec(entry).ok().filter(|body| body.len() <= BODY)
}

/// The entry that is in there, if there is one and nothing else.
pub(super) fn decoded(body: &[u8]) -> Option<ServerEntry> {
    if body.len() > BODY {
        return None;
    }
    postcard::take_from_bytes(body).ok().filter(|(_, rest)| rest.is_empty()).map(|(entry, _)| entry)
}

fn hash(body: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(body);
    hasher.finish()
}

impl Store {
    /// How many servers have not ended.
    pub fn live(&self) -> usize {
        self.items.len() - self.ended
    }

    /// The whole list of a version: who is missing has ended.
    pub fn replace(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        let named: BTreeSet<ServerKey> = entries.iter().map(|entry| ServerKey::of(&entry.host)).collect();
        self.end_others(&named, version, changed);
        self.change(entries, version, true, changed);
        // The list may be older than what was held: nothing in it changed after its own version.
        let late: Vec<Place> = self.order.range(Place { at: version, key: u64::MAX }..).copied().collect();
        for place in late {
            self.replace_at(ServerKey(place.key), version);
        }
        self.floor = self.floor.min(version);
    }

    /// Entries that changed at a version.
    pub fn update(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        self.change(entries, version, false, changed);
    }

    fn change(&mut self, entries: &[ServerEntry], version: u64, whole: bool, changed: &mut ChangedServers) {
        for entry in entries {
            let Some(body) = encoded(entry) else {
                self.left_out += 1;
                continue;
            };
            let key = ServerKey::of(&entry.host);
            // A whole list names all: those that are as they were did not change now.
            if whole && self.items.get(&key).is_some_and(|item| item.body == body) {
                continue;
            }
            self.put(key, version, entry.state, body, changed);
        }
        self.forget();
    }

    /// All that are not named have ended at a version.
    pub fn end_others(&mut self, named: &BTreeSet<ServerKey>, version: u64, changed: &mut ChangedServers) {
        let missing: Vec<ServerKey> = self
            .items
            .iter()
            .filter(|(key, item)| item.standing != ServerState::Gone && !named.contains(key))
            .map(|(key, _)| *key)
            .collect();
        for key in missing {
            let ended = self.items.get(&key).and_then(|item| decoded(&item.body));
            let body = ended.and_then(|entry| encoded(&ServerEntry { state: ServerState::Gone, ..entry }));
            if let Some(body) = body {
                self.put(key, version, ServerState::Gone, body, changed);
            }
        }
        self.forget();
    }

    /// An entry that changed at a version. An equal one takes the later place all the same: it may have changed and
    /// changed back, and who heard of the first change must hear of the second.
    pub fn put(
        &mut self,
        key: ServerKey,
        at: u64,
        standing: ServerState,
        body: Vec<u8>,
        changed: &mut ChangedServers,
    ) {
        let old = self.items.get(&key);
        if let Some(same) = old.filter(|old| old.body == body) {
            self.replace_at(key, at.max(same.at));
            return;
        }
        if old.is_none_or(|old| old.standing == ServerState::Gone)
            && standing != ServerState::Gone
            && self.live() >= MAX_ENTRIES
        {
            self.left_out += 1;
            return;
        }
        self.remove(key);
        self.order.insert(Place { at, key: key.0 });
        match standing {
            ServerState::Gone => self.ended += 1,
            _ => self.digest = self.digest.wrapping_add(hash(&body)),
        }
        self.serving += usize::from(standing == ServerState::Serving);
        self.items.insert(key, Item { at, standing, body });
        changed.push(key);
    }

    fn remove(&mut self, key: ServerKey) {
        let Some(item) = self.items.remove(&key) else { return };
        self.order.remove(&Place { at: item.at, key: key.0 });
        match item.standing {
            ServerState::Gone => self.ended -= 1,
            _ => self.digest = self.digest.wrapping_sub(hash(&item.body)),
        }
        self.serving -= usize::from(item.standing == ServerState::Serving);
    }

    fn replace_at(&mut self, key: ServerKey, at: u64) {
        if let Some(item) = self.items.get_mut(&key) {
            self.order.remove(&Place { at: item.at, key: key.0 });
            item.at = at;
            self.order.insert(Place { at, key: key.0 });
        }
    }

    /// Puts all entries at one version, and forgets who ended: an epoch begins.
    pub fn rebase(&mut self, version: u64) {
        let keys: Vec<ServerKey> = self.items.keys().copied().collect();
        for key in keys {
            match self.items.get(&key).map(|item| item.standing) {
                Some(ServerState::Gone) => self.remove(key),
                _ => self.replace_at(key, version),
            }
        }
        self.floor = version;
    }

    /// Forgets the oldest ends beyond [`ENDED`].
    fn forget(&mut self) {
        if self.ended <= ENDED {
            return;
        }
        let is_end = |place: &&Place| {
            self.items.get(&ServerKey(place.key)).is_some_and(|item| item.standing == ServerState::Gone)
        };
        let oldest: Vec<Place> = self.order.iter().filter(is_end).take(self.ended - ENDED).copied().collect();
        for place in oldest {
            self.floor = self.floor.max(place.at);
            self.remove(ServerKey(place.key));
        }
    }

    /// What changed after a place, in order.
    pub fn after(&self, place: Place) -> impl Iterator<Item = (Place, &Item)> {
        let from = (std::ops::Bound::Excluded(place), std::ops::Bound::Unbounded);
        self.order
            .range(from)
            .filter_map(|place| self.items.get(&ServerKey(place.key)).map(|item| (*place, item)))
    }
}
