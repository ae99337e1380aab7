//! Small records by owner that reach all members: the newest of an owner, kind and key wins.
//!
//! **Which is newer.** An owner stamps each of its facts with the incarnation of its process and a version that grows
//! with each. The higher pair wins, and of an owner of which a newer incarnation is known nothing older is taken.
//!
//! **How they spread.** Each period a member tells [`FANOUT`] random living members a datagram each. Rare kinds go first,
//! what was told least before the rest, each up to [`Facts::max_transmissions`] times, a number that grows with the logarithm of the
//! fleet, and less often where others told it too; frequent kinds ([`is_frequent`]) take what room is left, this member's own
//! first and then the youngest, and the last datagram of a period carries them first. So the traffic of a member is
//! bounded whatever the fleet, and in a large one what is held of frequent kinds is a random sample of members, the newest
//! first.
//!
//! **What is missed.** Once a period a member compares its rare facts with one random other: 32 digests of what owners
//! said, by the owner's place; whoever sees one that differs answers with digests by owner, and for those that differ
//! facts are told both ways, [`MAX_SYNC_DATAGRAMS`] datagrams in a period at most. A member that was cut off or started anew catches up so, in
//! a time that grows with what it missed and not with the fleet.
//!
//! **How they end.** A fact that its owner takes back stays as one with an empty body until that expires; one of a gone
//! member ends; so does one that was not said again for [`Facts::expiry`]. Only ages are sent, never times; a fact that is
//! told by several is as old as the oldest word of it. Ages leave out the time on the way.
//!
//! Whatever others say, an owner has at most [`MAX_FACTS_PER_OWNER`] facts, [`MAX_FACT_BYTES`] each.

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

/// How many facts of one owner are held at most, those taken back included.
pub const MAX_FACTS_PER_OWNER: usize = 96;

/// How many members are told facts in a period: one datagram each.
pub const FANOUT: usize = 4;

/// How many datagrams of facts a member tells by comparisons in a period at most.
pub const MAX_SYNC_DATAGRAMS: usize = 8;

/// The highest version. An owner that says a thousand facts a second gets there in 24 days; it then starts anew as a
/// newer incarnation would. A higher one is absurd.
const MAX_VERSION: u32 = 1 << 31;

/// The highest age that is sent, in milliseconds: four and a half hours, beyond any expiry.
const MAX_AGE_MS: u32 = 1 << 24;

/// Whether a kind is said anew all the time, so that a lost one matters little.
pub fn is_frequent(kind: FactKind) -> bool {
    matches!(kind, FactKind::LOAD | FactKind::LOAD_REPORT | FactKind::SHEDDING_LEVEL)
}

/// Whether a kind tells of a moment, so that its owner does not say it again by itself.
fn is_event(kind: FactKind) -> bool {
    matches!(kind, FactKind::EJECTION_PROBE | FactKind::SERVER_STATE)
}

/// What a fact is found by: in this order all of a kind stand together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FactId {
    kind: FactKind,
    owner: MemberId,
    key: u64,
}

/// Where a fact waits to be told: frequent ones of this member's own first, so that what others hold is a fair sample
/// of members; then by how often it was told, the youngest first.
type QueueEntry = (u8, Reverse<i64>, FactId);

#[derive(Debug)]
struct StoredFact {
    incarnation: u64,
    version: u32,
    body: Vec<u8>,
    /// When its owner said it, by this member's clock, which may have stood below zero then.
    published_at: i64,
    /// How often it was told, while it is still told.
    transmissions: Option<u8>,
}

impl StoredFact {
    /// Its turn at a member, if it is still told.
    fn queue_entry(&self, me: MemberId, id: FactId) -> Option<QueueEntry> {
        let own_frequent = id.owner == me && is_frequent(id.kind);
        let rank = |transmissions: u8| if own_frequent { 0 } else { transmissions.saturating_add(1) };
        self.transmissions.map(|transmissions| (rank(transmissions), Reverse(self.published_at), id))
    }
}

/// A fact as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedFact {
    /// Whose it is.
    pub owner: MemberId,
    /// The incarnation of the owner's process.
    pub incarnation: u64,
    /// Higher for what the owner said later.
    pub version: u32,
    /// How long ago the owner said it, in milliseconds.
    pub age: u32,
    /// What it says.
    pub fact: Fact,
}

/// What changed for this member by what it heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FactChange {
    /// Whose fact.
    pub owner: MemberId,
    /// The fact; with an empty body it ended.
    pub fact: Fact,
    /// Its age in milliseconds.
    pub age: Millis,
}

/// The facts that a member holds, its own and others'.
#[derive(Debug)]
pub struct Facts {
    me: MemberId,
    incarnation: u64,
    version: u32,
    period: Millis,
    stored: BTreeMap<FactId, StoredFact>,
    /// By owner: the newest incarnation that is known, how many facts are held, and the digest of the rare ones.
    owners: Vec<OwnerState>,
    rare_queue: BTreeSet<QueueEntry>,
    frequent_queue: BTreeSet<QueueEntry>,
    changes: Vec<FactChange>,
    /// When own rare facts are said again, and expired ones are looked for.
    next_republish: Millis,
    next_expiry_check: Millis,
    rejected: u64,
    /// How many datagrams may be answered until the next period.
    sync_datagrams_left: usize,
    rng: Pcg64Mcg,
}

#[derive(Debug, Clone, Copy, Default)]
struct OwnerState {
    incarnation: u64,
    fact_count: usize,
    digest: u32,
    /// It is gone: what others still say of it is not taken.
    gone: bool,
}

impl Facts {
    /// No facts yet, at a process that started with this incarnation.
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

    /// How often a member passes a fact on: 2 and half the logarithm of the fleet. With fewer than all reached by that,
    /// comparisons bring it to the rest.
    pub fn max_transmissions(&self) -> u8 {
        let doublings = usize::BITS - self.owners.len().leading_zeros();
        2 + u8::try_from(doublings / 2).unwrap_or(u8::MAX / 2)
    }

    /// How often a member says its rare facts again, in milliseconds: as much longer as there are more members, so that
    /// all together say as many in a second whatever the fleet.
    pub fn republish_interval(&self) -> Millis {
        self.period.saturating_mul(50 + 4 * self.owners.len() as u64).min(u64::from(MAX_AGE_MS) / 4)
    }

    /// How old a fact becomes, in milliseconds.
    pub fn expiry(&self, kind: FactKind) -> Millis {
        match is_frequent(kind) {
            true => self.period.saturating_mul(15),
            false => self.republish_interval().saturating_mul(4),
        }
    }

    /// Facts that were not taken: of nobody configured, too long, too many, absurd.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Says a fact of this member's own; one with an empty body takes it back. False: it is too long, or there are too many
    /// already.
    pub fn publish(&mut self, now: Millis, fact: Fact) -> bool {
        let id = FactId { kind: fact.kind, owner: self.me, key: fact.key };
        let stored = self.stored.get(&id);
        if stored.is_none() && fact.body.is_empty() {
            return true;
        }
        // What is the same already is said again by and by.
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

    /// The body of a fact and its age in milliseconds.
    pub fn get(&self, now: Millis, owner: MemberId, kind: FactKind, key: u64) -> Option<(&[u8], Millis)> {
        let stored = self.stored.get(&FactId { kind, owner, key })?;
        let age = age(now, stored.published_at);
        (!stored.body.is_empty() && age <= self.expiry(kind)).then_some((&stored.body, age))
    }

    /// All facts of a kind: owner, key, body and age in milliseconds.
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

    /// This member's own facts that stand.
    pub fn own(&self) -> Vec<Fact> {
        self.stored
            .iter()
            .filter(|(id, stored)| id.owner == self.me && !stored.body.is_empty())
            .map(|(id, stored)| Fact { kind: id.kind, key: id.key, body: stored.body.clone() })
            .collect()
    }

    /// How many facts are held.
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether none are held.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }

    /// What changed by what was heard, since the last time.
    pub fn take_changes(&mut self) -> Vec<FactChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in a part of facts. False: it is malformed, and those before the fault are taken.
    pub fn receive(&mut self, now: Millis, mut part: &[u8]) -> bool {
        while !part.is_empty() {
            let Ok((stamped, rest)) = postcard::take_from_bytes::<StampedFact>(part) else { return false };
            self.merge(now, stamped);
            part = rest;
        }
        true
    }

    /// Takes in one fact.
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
        // Of this member only itself speaks; a former self's words end with it.
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
                // Whoever tells it knows it, and the others likely do: it need not be told so often (Demers and others
                // 1987). The oldest word of it is nearest to the truth.
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
        // What is only said again need not be told as often.
        let transmissions = Some(if changed || is_event(fact.kind) || is_frequent(fact.kind) {
            0
        } else {
            self.max_transmissions() - 2
        });
        self.insert(
            id,
            StoredFact { incarnation, version, body: fact.body.clone(), published_at, transmissions },
        );
        // A frequent fact matters for being new, and one of a trial for its time.
        if changed || is_frequent(fact.kind) || is_event(fact.kind) {
            self.changes.push(FactChange { owner, fact, age: u64::from(age_ms) });
        }
    }

    /// Takes in that a process of a member lives: what its former self said ends.
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

    /// Takes in that a member is gone: what it said ends.
    pub fn mark_gone(&mut self, owner: MemberId) {
        if owner != self.me
            && let Some(owner_state) = self.owners.get_mut(usize::from(owner.0))
        {
            owner_state.gone = true;
            let ids = self.ids_of_owner(owner);
            self.remove_all(ids.into_iter());
        }
    }

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

    /// The places of all facts of an owner, without going through those of others.
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

fn encode(now: Millis, id: FactId, stored: &StoredFact) -> Option<Vec<u8>> {
    let age = u32::try_from(age(now, stored.published_at)).unwrap_or(u32::MAX).min(MAX_AGE_MS);
    let fact = Fact { kind: id.kind, key: id.key, body: stored.body.clone() };
    let StoredFact { incarnation, version, .. } = *stored;
    postcard::to_allocvec(&StampedFact { owner: id.owner, incarnation, version, age, fact }).ok()
}

/// What a rare fact adds to its owner's digest; frequent ones are not compared.
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

fn to_signed(now: Millis) -> i64 {
    i64::try_from(now).unwrap_or(i64::MAX)
}

fn age(now: Millis, published_at: i64) -> Millis {
    u64::try_from(to_signed(now).saturating_sub(published_at)).unwrap_or(0)
}
