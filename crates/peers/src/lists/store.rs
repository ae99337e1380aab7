//! The entries of a list, in the order in which they changed.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use super::ChangedServers;
use crate::api::{ServerEntry, ServerKey, ServerState};

/// The longest encoded entry, in bytes: a datagram holds one with its head. A host's name of 64 bytes fits with 36
/// bytes for the names of zone and machine.
pub const MAX_ENTRY_BYTES: usize = 150;

/// How many servers a list holds at most, ended ones not counted.
pub const MAX_ENTRIES: usize = 16_384;

/// How many ended servers are remembered, so that members that are behind learn that they are gone.
const MAX_GONE: usize = 1_024;

/// Where an entry is in the order of changes. All entries above `Position { at: version, key: u64::MAX }` changed
/// after that version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// The version at which it changed, or a later one at which this was seen.
    pub changed_at: u64,
    /// Its server's key.
    pub key: u64,
}

/// An entry as it is kept and sent: encoded by `postcard`, so that equal entries are equal bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StoredEntry {
    pub changed_at: u64,
    pub state: ServerState,
    pub body: Vec<u8>,
}

/// All entries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Store {
    pub items: BTreeMap<ServerKey, StoredEntry>,
    order: BTreeSet<Position>,
    /// Ended servers among the items.
    gone: usize,
    /// Serving ones.
    pub serving: usize,
    /// Ends at this version and before may be forgotten: who holds an older list must pull the whole.
    pub floor: u64,
    /// The sum of the hashes of all entries that have not ended.
    pub digest: u64,
    pub left_out: u64,
}

/// An entry of at most [`MAX_ENTRY_BYTES`] bytes.
pub(super) fn encode(entry: &ServerEntry) -> Option<Vec<u8>> {
    postcard::to_allocvec(entry).ok().filter(|body| body.len() <= MAX_ENTRY_BYTES)
}

/// The entry that is in there, if there is one and nothing else.
pub(super) fn decode(body: &[u8]) -> Option<ServerEntry> {
    if body.len() > MAX_ENTRY_BYTES {
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
    pub fn listed_count(&self) -> usize {
        self.items.len() - self.gone
    }

    /// The whole list of a version: who is missing has ended.
    pub fn replace_all(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        let listed: BTreeSet<ServerKey> = entries.iter().map(|entry| ServerKey::of(&entry.host)).collect();
        self.mark_missing_gone(&listed, version, changed);
        self.apply(entries, version, true, changed);
        // The list may be older than what was held: nothing in it changed after its own version.
        let too_new: Vec<Position> =
            self.order.range(Position { changed_at: version, key: u64::MAX }..).copied().collect();
        for position in too_new {
            self.move_to(ServerKey(position.key), version);
        }
        self.floor = self.floor.min(version);
    }

    /// Entries that changed at a version.
    pub fn update(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        self.apply(entries, version, false, changed);
    }

    fn apply(&mut self, entries: &[ServerEntry], version: u64, complete: bool, changed: &mut ChangedServers) {
        for entry in entries {
            let Some(body) = encode(entry) else {
                self.left_out += 1;
                continue;
            };
            let key = ServerKey::of(&entry.host);
            // A whole list names all: those that are as they were did not change now.
            if complete && self.items.get(&key).is_some_and(|item| item.body == body) {
                continue;
            }
            self.put(key, version, entry.state, body, changed);
        }
        self.drop_oldest_gone();
    }

    /// All that are not named have ended at a version.
    pub fn mark_missing_gone(
        &mut self,
        listed: &BTreeSet<ServerKey>,
        version: u64,
        changed: &mut ChangedServers,
    ) {
        let missing: Vec<ServerKey> = self
            .items
            .iter()
            .filter(|(key, item)| item.state != ServerState::Gone && !listed.contains(key))
            .map(|(key, _)| *key)
            .collect();
        for key in missing {
            let entry = self.items.get(&key).and_then(|item| decode(&item.body));
            let body = entry.and_then(|entry| encode(&ServerEntry { state: ServerState::Gone, ..entry }));
            if let Some(body) = body {
                self.put(key, version, ServerState::Gone, body, changed);
            }
        }
        self.drop_oldest_gone();
    }

    /// An entry that changed at a version. An equal one takes the later place all the same: it may have changed and
    /// changed back, and who heard of the first change must hear of the second.
    pub fn put(
        &mut self,
        key: ServerKey,
        changed_at: u64,
        state: ServerState,
        body: Vec<u8>,
        changed: &mut ChangedServers,
    ) {
        let old = self.items.get(&key);
        if let Some(unchanged) = old.filter(|old| old.body == body) {
            self.move_to(key, changed_at.max(unchanged.changed_at));
            return;
        }
        if old.is_none_or(|old| old.state == ServerState::Gone)
            && state != ServerState::Gone
            && self.listed_count() >= MAX_ENTRIES
        {
            self.left_out += 1;
            return;
        }
        self.remove(key);
        self.order.insert(Position { changed_at, key: key.0 });
        match state {
            ServerState::Gone => self.gone += 1,
            _ => self.digest = self.digest.wrapping_add(hash(&body)),
        }
        self.serving += usize::from(state == ServerState::Serving);
        self.items.insert(key, StoredEntry { changed_at, state, body });
        changed.push(key);
    }

    fn remove(&mut self, key: ServerKey) {
        let Some(item) = self.items.remove(&key) else { return };
        self.order.remove(&Position { changed_at: item.changed_at, key: key.0 });
        match item.state {
            ServerState::Gone => self.gone -= 1,
            _ => self.digest = self.digest.wrapping_sub(hash(&item.body)),
        }
        self.serving -= usize::from(item.state == ServerState::Serving);
    }

    fn move_to(&mut self, key: ServerKey, changed_at: u64) {
        if let Some(item) = self.items.get_mut(&key) {
            self.order.remove(&Position { changed_at: item.changed_at, key: key.0 });
            item.changed_at = changed_at;
            self.order.insert(Position { changed_at, key: key.0 });
        }
    }

    /// Puts all entries at one version, and forgets who ended: an epoch begins.
    pub fn rebase(&mut self, version: u64) {
        let keys: Vec<ServerKey> = self.items.keys().copied().collect();
        for key in keys {
            match self.items.get(&key).map(|item| item.state) {
                Some(ServerState::Gone) => self.remove(key),
                _ => self.move_to(key, version),
            }
        }
        self.floor = version;
    }

    /// Forgets the oldest ends beyond [`MAX_GONE`].
    fn drop_oldest_gone(&mut self) {
        if self.gone <= MAX_GONE {
            return;
        }
        let is_gone = |position: &&Position| {
            self.items.get(&ServerKey(position.key)).is_some_and(|item| item.state == ServerState::Gone)
        };
        let oldest: Vec<Position> =
            self.order.iter().filter(is_gone).take(self.gone - MAX_GONE).copied().collect();
        for position in oldest {
            self.floor = self.floor.max(position.changed_at);
            self.remove(ServerKey(position.key));
        }
    }

    /// What changed after a place, in order.
    pub fn after(&self, position: Position) -> impl Iterator<Item = (Position, &StoredEntry)> {
        let from = (std::ops::Bound::Excluded(position), std::ops::Bound::Unbounded);
        self.order
            .range(from)
            .filter_map(|position| self.items.get(&ServerKey(position.key)).map(|item| (*position, item)))
    }
}
