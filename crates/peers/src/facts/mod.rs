//! Gossip of facts: small records, each published by one member, that reach all members.
//!
//! A fact is identified by its owner, kind and key. Only its newest version is stored.
//!
//! **Versions.** The owner stamps each fact with the incarnation of its process and with a version that
//! increases with every fact it publishes. The higher pair of incarnation and version wins. Once a member
//! knows a newer incarnation of an owner, it accepts nothing from older ones.
//!
//! **Gossip.** In each period a member sends one datagram to each of [`FANOUT`] random living members. Facts
//! of rare kinds go first, and among them those sent least often. A member sends each fact up to
//! [`Facts::max_transmissions`] times, a number that grows with the logarithm of the cluster size. It sends a
//! fact less often if it also receives it from others. Frequent kinds ([`is_frequent`]) get the remaining
//! space: this member's own facts first, then the youngest. In the last datagram of a period the frequent
//! kinds go first. The traffic of a member is therefore bounded, whatever the size of the cluster. In a large
//! cluster, a member stores the frequent facts of a random sample of members, the newest first.
//!
//! **Synchronisation.** Once a period a member compares its rare facts with those of one random other member.
//! It sends 32 digests, each of the facts of a group of owners. A receiver that finds a difference replies
//! with digests of single owners. For the owners whose digests differ, both members send each other their
//! facts, in at most [`MAX_SYNC_DATAGRAMS`] datagrams per period. A member that was disconnected or restarted
//! catches up in this way. The time this takes grows with the number of facts it missed, not with the cluster
//! size.
//!
//! **Removal.** A fact that its owner withdraws stays stored with an empty body until it expires. The facts
//! of a member that is gone are removed. A fact that is not republished within [`Facts::expiry`] is removed
//! too. Members send ages, never timestamps. If several members send the same fact, the highest age counts.
//! Ages do not include the time that datagrams spend on the network.
//!
//! Whatever other members send, a member stores at most [`MAX_FACTS_PER_OWNER`] facts of one owner, of at
//! most [`MAX_FACT_BYTES`] each.

mod compare;
mod spread;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::api::{Config, Fact, FactKind, MAX_FACT_BYTES, MemberId, Millis};
use crate::wire::MAX_INCARNATION;

/// The maximum number of facts stored per owner, including withdrawn ones.
pub const MAX_FACTS_PER_OWNER: usize = 96;

/// The number of members that a member sends facts to in each period, in one datagram each.
pub const FANOUT: usize = 4;

/// The maximum number of datagrams of facts that a member sends per period for synchronisation.
pub const MAX_SYNC_DATAGRAMS: usize = 8;

/// The highest valid version. An owner that publishes a thousand facts per second reaches it in 24 days and
/// must then continue under a newer incarnation. Facts with a higher version are rejected as invalid.
const MAX_VERSION: u32 = 1 << 31;

/// The highest age that is sent, in milliseconds: four and a half hours, which is longer than any expiry.
const MAX_AGE_MS: u32 = 1 << 24;

/// Whether facts of a kind are published so often that the loss of one matters little. All other kinds are
/// called rare.
pub fn is_frequent(kind: FactKind) -> bool {
    matches!(kind, FactKind::LOAD | FactKind::LOAD_REPORT | FactKind::SHEDDING_LEVEL)
}

/// Whether a fact of a kind describes an event at one moment, so that its owner does not republish it
/// periodically.
fn is_event(kind: FactKind) -> bool {
    matches!(kind, FactKind::EJECTION_PROBE | FactKind::SERVER_STATE)
}

/// Identifies a fact. The order of the fields keeps all facts of a kind next to each other in a sorted map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FactId {
    kind: FactKind,
    owner: MemberId,
    key: u64,
}

/// The position of a fact in a send queue: its rank, the time of its publication and its id. Frequent facts
/// of this member itself come first, so that the facts stored by other members are a fair sample of the
/// members. The others are ordered by the number of transmissions, and then the youngest first.
type QueueEntry = (u8, Reverse<i64>, FactId);

/// A fact that this member stores, without its id.
#[derive(Debug)]
struct StoredFact {
    incarnation: u64,
    version: u32,
    body: Vec<u8>,
    /// When the owner published it, in milliseconds on this member's clock. Negative if the fact is older
    /// than the clock's zero.
    published_at: i64,
    /// How often this member has sent or received it, or `None` if it is no longer sent.
    transmissions: Option<u8>,
}

impl StoredFact {
    /// Returns its position in the send queue of the member `me`, or `None` if it is no longer sent.
    fn queue_entry(&self, me: MemberId, id: FactId) -> Option<QueueEntry> {
        let own_frequent = id.owner == me && is_frequent(id.kind);
        let rank = |transmissions: u8| if own_frequent { 0 } else { transmissions.saturating_add(1) };
        self.transmissions.map(|transmissions| (rank(transmissions), Reverse(self.published_at), id))
    }
}

/// A fact as it is sent to other members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedFact {
    /// The member that published the fact.
    pub owner: MemberId,
    /// The incarnation of the owner's process.
    pub incarnation: u64,
    /// The version, which increases with every fact that this incarnation of the owner publishes.
    pub version: u32,
    /// How long ago the owner published it, in milliseconds.
    pub age: u32,
    /// The fact itself.
    pub fact: Fact,
}

/// A change of another member's fact: it is new, has changed, was published again or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FactChange {
    /// The member that published the fact.
    pub owner: MemberId,
    /// The fact. An empty body means that it was withdrawn, has expired, or that its owner is gone.
    pub fact: Fact,
    /// The age of the fact in milliseconds.
    pub age: Millis,
}

/// The facts that a member stores, its own and those of others.
#[derive(Debug)]
pub struct Facts {
    me: MemberId,
    incarnation: u64,
    version: u32,
    period: Millis,
    stored: BTreeMap<FactId, StoredFact>,
    /// The state of each owner, indexed by member id.
    owners: Vec<OwnerState>,
    /// The facts of rare kinds that are still sent.
    rare_queue: BTreeSet<QueueEntry>,
    /// The facts of frequent kinds that are still sent.
    frequent_queue: BTreeSet<QueueEntry>,
    changes: Vec<FactChange>,
    /// When this member republishes its own rare facts.
    next_republish: Millis,
    /// When expired facts are removed next.
    next_expiry_check: Millis,
    rejected: u64,
    /// How many datagrams of facts may still be sent for synchronisation in this period.
    sync_datagrams_left: usize,
    rng: Pcg64Mcg,
}

/// What this member knows of one owner.
#[derive(Debug, Clone, Copy, Default)]
struct OwnerState {
    /// The newest known incarnation.
    incarnation: u64,
    /// The number of stored facts.
    fact_count: usize,
    /// The digest of the stored facts of rare kinds.
    digest: u32,
    /// Whether the owner is gone. Facts of it that others still send are then ignored.
    gone: bool,
}

impl Facts {
    /// Creates an empty store for a process that started with this incarnation.
    pub fn new(config: &Config, now: Millis, incarnation: u64, seed: u64) -> Facts {
        let mut owners = vec![OwnerState::default(); config.members.len()];
        if let Some(own) = owners.get_mut(usize::from(config.me.0)) {
            own.incarnation = incarnation;
        }
        let mut facts = Facts {
            me: config.me,
            incarnation,
            version: 0,
            period: config.timing.period.max(1),
            stored: BTreeMap::new(),
            owners,
            rare_queue: BTreeSet::new(),
            frequent_queue: BTreeSet::new(),
            changes: Vec::new(),
            next_republish: 0,
            next_expiry_check: now,
            rejected: 0,
            sync_datagrams_left: MAX_SYNC_DATAGRAMS,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        facts.next_republish = now.saturating_add(facts.republish_interval());
        facts
    }

    /// Returns how often a member sends a fact at most: 2 plus half the binary logarithm of the cluster size.
    /// Members that gossip does not reach this way get the fact by synchronisation.
    pub fn max_transmissions(&self) -> u8 {
        let doublings = usize::BITS - self.owners.len().leading_zeros();
        2 + u8::try_from(doublings / 2).unwrap_or(u8::MAX / 2)
    }

    /// Returns the interval, in milliseconds, at which a member republishes its rare facts. It grows with the
    /// number of members, so that all of them together republish about the same number per second in a
    /// cluster of any size.
    pub fn republish_interval(&self) -> Millis {
        self.period.saturating_mul(50 + 4 * self.owners.len() as u64).min(u64::from(MAX_AGE_MS) / 4)
    }

    /// Returns the age, in milliseconds, beyond which a fact of this kind expires.
    pub fn expiry(&self, kind: FactKind) -> Millis {
        match is_frequent(kind) {
            true => self.period.saturating_mul(15),
            false => self.republish_interval().saturating_mul(4),
        }
    }

    /// Returns the number of rejected facts. A fact is rejected if its owner is not configured, if it is too
    /// long, if its owner has too many, or if its stamp is out of range.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Publishes a fact of this member. An empty body withdraws the fact. Returns false if the body is too
    /// long or if this member has too many facts already.
    pub fn publish(&mut self, now: Millis, fact: Fact) -> bool {
        let id = FactId { kind: fact.kind, owner: self.me, key: fact.key };
        let stored = self.stored.get(&id);
        if stored.is_none() && fact.body.is_empty() {
            return true;
        }
        // An unchanged fact is not published anew, as the periodic republication covers it. Frequent kinds
        // and ejection probes are published each time.
        if stored.is_some_and(|stored| stored.body == fact.body)
            && !is_frequent(fact.kind)
            && fact.kind != FactKind::EJECTION_PROBE
        {
            return true;
        }
        let at_limit = self
            .owners
            .get(usize::from(self.me.0))
            .is_none_or(|owner| owner.fact_count >= MAX_FACTS_PER_OWNER);
        if fact.body.len() > MAX_FACT_BYTES || (stored.is_none() && at_limit) {
            self.rejected += 1;
            return false;
        }
        self.version = self.version.saturating_add(1);
        let (incarnation, version) = (self.incarnation, self.version);
        self.insert(
            id,
            StoredFact {
                incarnation,
                version,
                body: fact.body,
                published_at: to_signed(now),
                transmissions: Some(0),
            },
        );
        true
    }

    /// Returns the body of a fact and its age in milliseconds, unless it is unknown, withdrawn or expired.
    pub fn get(&self, now: Millis, owner: MemberId, kind: FactKind, key: u64) -> Option<(&[u8], Millis)> {
        let stored = self.stored.get(&FactId { kind, owner, key })?;
        let age = age(now, stored.published_at);
        (!stored.body.is_empty() && age <= self.expiry(kind)).then_some((&stored.body, age))
    }

    /// Returns the owner, key, body and age in milliseconds of each fact of a kind. Withdrawn and expired
    /// facts are left out.
    pub fn of_kind(
        &self,
        now: Millis,
        kind: FactKind,
    ) -> impl Iterator<Item = (MemberId, u64, &[u8], Millis)> {
        let first = FactId { kind, owner: MemberId(0), key: 0 };
        let last = FactId { kind, owner: MemberId(u16::MAX), key: u64::MAX };
        let expiry = self.expiry(kind);
        self.stored
            .range(first..=last)
            .map(move |(id, stored)| {
                (id.owner, id.key, stored.body.as_slice(), age(now, stored.published_at))
            })
            .filter(move |(_, _, body, age)| !body.is_empty() && *age <= expiry)
    }

    /// Returns this member's own facts that it has not withdrawn.
    pub fn own(&self) -> Vec<Fact> {
        self.stored
            .iter()
            .filter(|(id, stored)| id.owner == self.me && !stored.body.is_empty())
            .map(|(id, stored)| Fact { kind: id.kind, key: id.key, body: stored.body.clone() })
            .collect()
    }

    /// Returns the number of stored facts, including withdrawn ones.
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether no facts are stored.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<FactChange> {
        std::mem::take(&mut self.changes)
    }

    /// Merges the facts of a datagram part. Returns false if the part is malformed. The facts before the
    /// malformed one are merged nevertheless.
    pub fn receive(&mut self, now: Millis, mut part: &[u8]) -> bool {
        while !part.is_empty() {
            let Ok((stamped, rest)) = postcard::take_from_bytes::<StampedFact>(part) else { return false };
            self.merge(now, stamped);
            part = rest;
        }
        true
    }

    /// Merges one fact that another member sent. It is ignored if it is outdated or expired, or if its owner
    /// is this member or is gone.
    pub fn merge(&mut self, now: Millis, stamped: StampedFact) {
        let StampedFact { owner, incarnation, version, age: age_ms, fact } = stamped;
        let id = FactId { kind: fact.kind, owner, key: fact.key };
        let invalid = incarnation > MAX_INCARNATION
            || version > MAX_VERSION
            || age_ms > MAX_AGE_MS
            || fact.body.len() > MAX_FACT_BYTES;
        let Some(owner_state) = self.owners.get(usize::from(owner.0)).filter(|_| !invalid) else {
            self.rejected += 1;
            return;
        };
        // Only this member itself publishes its facts, and facts of an earlier incarnation are void.
        if owner == self.me
            || incarnation < owner_state.incarnation
            || (incarnation == owner_state.incarnation && owner_state.gone)
        {
            return;
        }
        if incarnation > owner_state.incarnation {
            self.mark_alive(owner, incarnation);
        }
        let published_at = to_signed(now) - i64::from(age_ms);
        if u64::from(age_ms) > self.expiry(fact.kind) {
            return;
        }
        let max_transmissions = self.max_transmissions();
        match self.stored.get_mut(&id) {
            Some(stored) if version < stored.version => return,
            Some(stored) if version == stored.version => {
                // The sender knows this fact and other members probably do, so it needs fewer transmissions
                // (Demers et al. 1987). Ages leave out network delays, so the highest age is the most
                // accurate.
                let old_entry = stored.queue_entry(self.me, id);
                stored.published_at = stored.published_at.min(published_at);
                stored.transmissions = stored
                    .transmissions
                    .map(|transmissions| transmissions + 1)
                    .filter(|transmissions| *transmissions < max_transmissions);
                let queue =
                    if is_frequent(id.kind) { &mut self.frequent_queue } else { &mut self.rare_queue };
                if let Some(old_entry) = old_entry {
                    queue.remove(&old_entry);
                    queue.extend(stored.queue_entry(self.me, id));
                }
                return;
            }
            Some(_) => {}
            None if self
                .owners
                .get(usize::from(owner.0))
                .is_none_or(|owner| owner.fact_count >= MAX_FACTS_PER_OWNER) =>
            {
                self.rejected += 1;
                return;
            }
            None => {}
        }
        let changed = self.stored.get(&id).map_or(!fact.body.is_empty(), |stored| stored.body != fact.body);
        // A republished fact with an unchanged body needs fewer transmissions.
        let transmissions = Some(if changed || is_event(fact.kind) || is_frequent(fact.kind) {
            0
        } else {
            self.max_transmissions() - 2
        });
        self.insert(
            id,
            StoredFact { incarnation, version, body: fact.body.clone(), published_at, transmissions },
        );
        // An unchanged body is still a change if the kind is frequent, because the fact is more recent, or if
        // it describes an event such as an ejection probe, because the time of the event matters.
        if changed || is_frequent(fact.kind) || is_event(fact.kind) {
            self.changes.push(FactChange { owner, fact, age: u64::from(age_ms) });
        }
    }

    /// Records that a process of a member is alive. Facts of its earlier incarnations are removed.
    pub fn mark_alive(&mut self, owner: MemberId, incarnation: u64) {
        let Some(owner_state) = self.owners.get_mut(usize::from(owner.0)) else { return };
        if owner == self.me || incarnation < owner_state.incarnation {
            return;
        }
        owner_state.gone = false;
        if incarnation == owner_state.incarnation {
            return;
        }
        owner_state.incarnation = incarnation;
        let former_ids = self.ids_of_owner(owner);
        self.remove_all(former_ids.into_iter());
    }

    /// Records that a member is gone and removes its facts.
    pub fn mark_gone(&mut self, owner: MemberId) {
        if owner != self.me
            && let Some(owner_state) = self.owners.get_mut(usize::from(owner.0))
        {
            owner_state.gone = true;
            let ids = self.ids_of_owner(owner);
            self.remove_all(ids.into_iter());
        }
    }

    /// Stores a fact in place of its earlier version, and queues it.
    fn insert(&mut self, id: FactId, stored: StoredFact) {
        self.remove(id);
        if let Some(owner) = self.owners.get_mut(usize::from(id.owner.0)) {
            owner.fact_count += 1;
            owner.digest ^= fact_digest(id, &stored);
        }
        let queue = if is_frequent(id.kind) { &mut self.frequent_queue } else { &mut self.rare_queue };
        queue.extend(stored.queue_entry(self.me, id));
        self.stored.insert(id, stored);
    }

    /// Removes a fact from the store, the digest of its owner and its queue.
    fn remove(&mut self, id: FactId) -> Option<StoredFact> {
        let stored = self.stored.remove(&id)?;
        if let Some(owner) = self.owners.get_mut(usize::from(id.owner.0)) {
            owner.fact_count = owner.fact_count.saturating_sub(1);
            owner.digest ^= fact_digest(id, &stored);
        }
        if let Some(entry) = stored.queue_entry(self.me, id) {
            let queue = if is_frequent(id.kind) { &mut self.frequent_queue } else { &mut self.rare_queue };
            queue.remove(&entry);
        }
        Some(stored)
    }

    /// Returns the ids of all facts of an owner, without iterating over the facts of other owners.
    fn ids_of_owner(&self, owner: MemberId) -> Vec<FactId> {
        let mut ids = Vec::new();
        let mut kind = Some(FactKind(0));
        while let Some(first) = kind {
            let start = FactId { kind: first, owner: MemberId(0), key: 0 };
            let Some((FactId { kind: found, .. }, _)) = self.stored.range(start..).next() else { break };
            let id_with_key = |key| FactId { kind: *found, owner, key };
            ids.extend(self.stored.range(id_with_key(0)..=id_with_key(u64::MAX)).map(|(id, _)| *id));
            kind = found.0.checked_add(1).map(FactKind);
        }
        ids
    }

    /// Removes facts, and records a change for each fact of another member that had not been withdrawn.
    fn remove_all(&mut self, ids: impl Iterator<Item = FactId>) {
        for id in ids {
            let Some(stored) = self.remove(id) else { continue };
            if !stored.body.is_empty() && id.owner != self.me {
                let fact = Fact { kind: id.kind, key: id.key, body: Vec::new() };
                self.changes.push(FactChange { owner: id.owner, fact, age: 0 });
            }
        }
    }
}

/// Encodes a fact with its stamp and its current age.
fn encode(now: Millis, id: FactId, stored: &StoredFact) -> Option<Vec<u8>> {
    let age = u32::try_from(age(now, stored.published_at)).unwrap_or(u32::MAX).min(MAX_AGE_MS);
    let fact = Fact { kind: id.kind, key: id.key, body: stored.body.clone() };
    let StoredFact { incarnation, version, .. } = *stored;
    postcard::to_allocvec(&StampedFact { owner: id.owner, incarnation, version, age, fact }).ok()
}

/// Returns what a fact contributes to its owner's digest: 0 for frequent kinds, which are not synchronised.
fn fact_digest(id: FactId, stored: &StoredFact) -> u32 {
    if is_frequent(id.kind) {
        return 0;
    }
    let mut hasher = fnv::FnvHasher::default();
    hasher.write_u8(id.kind.0);
    hasher.write_u64(id.key);
    hasher.write_u16(id.owner.0);
    hasher.write_u64(stored.incarnation);
    hasher.write_u32(stored.version);
    let hash = hasher.finish();
    (hash >> 32) as u32 ^ hash as u32
}

/// Converts a time to a signed number, so that times before the clock's zero can be expressed.
fn to_signed(now: Millis) -> i64 {
    i64::try_from(now).unwrap_or(i64::MAX)
}

/// Returns the age of a fact in milliseconds, which is 0 if it was published after `now`.
fn age(now: Millis, published_at: i64) -> Millis {
    u64::try_from(to_signed(now).saturating_sub(published_at)).unwrap_or(0)
}
