//! Storage for the entries of a server list. It indexes them by server and by the order in which they
//! changed, so that a member can send another only what changed since a version.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use super::ChangedServers;
use crate::api::{ServerEntry, ServerKey, ServerState};

/// The largest size of an encoded entry, in bytes. A datagram holds one such entry and the message header. An
/// entry with a host name of 64 bytes fits if the names of its zone and kind of machine take 36 bytes
/// together.
pub const MAX_ENTRY_BYTES: usize = 150;

/// The largest number of servers in a list, not counting servers that are gone.
pub const MAX_ENTRIES: usize = 16_384;

/// The largest number of gone servers that are kept, so that members with an older list learn that they are
/// gone.
const MAX_GONE: usize = 1_024;

/// The position of an entry in the order of changes. All entries that changed after `version` are
/// above `Position { changed_at: version, key: u64::MAX }`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// The version at which the entry changed, or a later one at which the change was observed.
    pub changed_at: u64,
    /// The key of the server.
    pub key: u64,
}

/// An entry as it is stored and sent. It is encoded with `postcard`, so that equal entries have equal bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StoredEntry {
    /// The version at which the entry changed.
    pub changed_at: u64,
    /// The state of the server.
    pub state: ServerState,
    /// The encoded [`ServerEntry`].
    pub body: Vec<u8>,
}

/// All entries of a list, gone servers included.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Store {
    pub items: BTreeMap<ServerKey, StoredEntry>,
    /// The positions of all entries.
    order: BTreeSet<Position>,
    /// The number of gone servers in `items`.
    gone: usize,
    /// The number of serving servers in `items`.
    pub serving: usize,
    /// Gone servers that went away at this version or earlier may have been dropped. A member with an older
    /// list must pull the complete list.
    pub floor: u64,
    /// The sum of the hashes of all entries that are not gone.
    pub digest: u64,
    /// The number of entries that were left out because they are too large or too many.
    pub left_out: u64,
}

/// Encodes an entry. Returns `None` if it takes more than [`MAX_ENTRY_BYTES`] bytes.
pub(super) fn encode(entry: &ServerEntry) -> Option<Vec<u8>> {
    postcard::to_allocvec(entry).ok().filter(|body| body.len() <= MAX_ENTRY_BYTES)
}

/// Decodes an entry. Returns `None` if the bytes are too many, do not decode or continue after the entry.
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
    /// The number of servers in the list that are not gone.
    pub fn listed_count(&self) -> usize {
        self.items.len() - self.gone
    }

    /// Replaces the list by the complete list of a version. Servers that are missing from it are marked gone.
    pub fn replace_all(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        let listed: BTreeSet<ServerKey> = entries.iter().map(|entry| ServerKey::of(&entry.host)).collect();
        self.mark_missing_gone(&listed, version, changed);
        self.apply(entries, version, true, changed);
        // The new list may have a lower version than the old one. No entry can have changed after the new
        // version, so positions above that version move down to it.
        let too_new: Vec<Position> =
            self.order.range(Position { changed_at: version, key: u64::MAX }..).copied().collect();
        for position in too_new {
            self.move_to(ServerKey(position.key), version);
        }
        self.floor = self.floor.min(version);
    }

    /// Applies entries that changed at a version.
    pub fn update(&mut self, entries: &[ServerEntry], version: u64, changed: &mut ChangedServers) {
        self.apply(entries, version, false, changed);
    }

    /// Stores entries of the complete list of a version, or entries that changed at a version.
    fn apply(&mut self, entries: &[ServerEntry], version: u64, complete: bool, changed: &mut ChangedServers) {
        for entry in entries {
            let Some(body) = encode(entry) else {
                self.left_out += 1;
                continue;
            };
            let key = ServerKey::of(&entry.host);
            // A complete list also names entries that did not change. They keep their positions.
            if complete && self.items.get(&key).is_some_and(|item| item.body == body) {
                continue;
            }
            self.put(key, version, entry.state, body, changed);
        }
        self.drop_oldest_gone();
    }

    /// Marks all servers that are not in `listed` as gone since a version.
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

    /// Stores an entry that changed at a version. An equal entry still moves to the later position: it may
    /// have changed and changed back, and a member that received the first change must receive the second.
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

    /// Removes an entry and updates the counts and the digest.
    fn remove(&mut self, key: ServerKey) {
        let Some(item) = self.items.remove(&key) else { return };
        self.order.remove(&Position { changed_at: item.changed_at, key: key.0 });
        match item.state {
            ServerState::Gone => self.gone -= 1,
            _ => self.digest = self.digest.wrapping_sub(hash(&item.body)),
        }
        self.serving -= usize::from(item.state == ServerState::Serving);
    }

    /// Moves an entry to another version in the order of changes.
    fn move_to(&mut self, key: ServerKey, changed_at: u64) {
        if let Some(item) = self.items.get_mut(&key) {
            self.order.remove(&Position { changed_at: item.changed_at, key: key.0 });
            item.changed_at = changed_at;
            self.order.insert(Position { changed_at, key: key.0 });
        }
    }

    /// Moves all entries to one version and drops gone servers, because a new epoch begins.
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

    /// Drops the gone servers that went away first, until at most [`MAX_GONE`] remain.
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

    /// Returns the entries after a position, in the order of changes.
    pub fn after(&self, position: Position) -> impl Iterator<Item = (Position, &StoredEntry)> {
        let from = (std::ops::Bound::Excluded(position), std::ops::Bound::Unbounded);
        self.order
            .range(from)
            .filter_map(|position| self.items.get(&ServerKey(position.key)).map(|item| (*position, item)))
    }
}
