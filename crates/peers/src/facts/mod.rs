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
const HIGHEST_VERSION: u32 = 1 << 31;

/// The highest age that is sent, in milliseconds: four and a half hours, beyond any expiry.
const HIGHEST_AGE: u32 = 1 << 24;

/// Whether a kind is said anew all the time, so that a lost one matters little.
pub fn is_frequent(kind: FactKind) -> bool {
    matches!(kind, FactKind::LOAD | FactKind::LOAD_REPORT | FactKind::SHEDDING_LEVEL)
}

/// Whether a kind tells of a moment, so that its owner does not say it again by itself.
fn momentary(kind: FactKind) -> bool {
    matches!(kind, FactKind::EJECTION_PROBE | FactKind::SERVER_STATE)
}

/// What a fact is found by: in this order all of a kind stand together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    kind: FactKind,
    owner: MemberId,
    key: u64,
}

/// Where a fact waits to be told: frequent ones of this member's own first, so that what others hold is a fair sample
/// of members; then by how often it was told, the youngest first.
type Turn = (u8, Reverse<i64>, Place);

#[derive(Debug)]
struct Held {
    incarnation: u64,
    version: u32,
    body: Vec<u8>,
    /// When its owner said it, by this member's clock, which may have stood below zero then.
    said: i64,
    /// How often it was told, while it is still told.
    told: Option<u8>,
}

impl Held {
    /// Its turn at a member, if it is still told.
    fn turn(&self, me: MemberId, place: Place) -> Option<Turn> {
        let own = place.owner == me && is_frequent(place.kind);
        let rank = |told: u8| if own { 0 } else { told.saturating_add(1) };
        self.told.map(|told| (rank(told), Reverse(self.said), place))
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
    held: BTreeMap<Place, Held>,
    /// By owner: the newest incarnation that is known, how many facts are held, and the digest of the rare ones.
    owners: Vec<Owner>,
    rare: BTreeSet<Turn>,
    often: BTreeSet<Turn>,
    news: Vec<FactChange>,
    /// When own rare facts are said again, and expired ones are looked for.
    again: Millis,
    sweep: Millis,
    refused: u64,
    /// How many datagrams may be answered until the next period.
    answers: usize,
    rng: Pcg64Mcg,
}

#[derive(Debug, Clone, Copy, Default)]
struct Owner {
    incarnation: u64,
    held: usize,
    digest: u32,
    /// It is gone: what others still say of it is not taken.
    gone: bool,
}

impl Facts {
    /// No facts yet, at a process that started with this incarnation.
    pub fn new(config: &Config, now: Millis, incarnation: u64, seed: u64) -> Facts {
        let mut owners = vec![Owner::default(); config.members.len()];
        if let Some(mine) = owners.get_mut(usize::from(config.me.0)) {
            mine.incarnation = incarnation;
        }
        let mut facts = Facts {
            me: config.me,
            incarnation,
            version: 0,
            period: config.timing.period.max(1),
            held: BTreeMap::new(),
            owners,
            rare: BTreeSet::new(),
            often: BTreeSet::new(),
            news: Vec::new(),
            again: 0,
            sweep: now,
            refused: 0,
            answers: MAX_SYNC_DATAGRAMS,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        facts.again = now.saturating_add(facts.republish_interval());
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
        self.period.saturating_mul(50 + 4 * self.owners.len() as u64).min(u64::from(HIGHEST_AGE) / 4)
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
        self.refused
    }

    /// Says a fact of this member's own; one with an empty body takes it back. False: it is too long, or there are too many
    /// already.
    pub fn publish(&mut self, now: Millis, fact: Fact) -> bool {
        let place = Place { kind: fact.kind, owner: self.me, key: fact.key };
        let held = self.held.get(&place);
        if held.is_none() && fact.body.is_empty() {
            return true;
        }
        // What is the same already is said again by and by.
        if held.is_some_and(|held| held.body == fact.body)
            && !is_frequent(fact.kind)
            && fact.kind != FactKind::EJECTION_PROBE
        {
            return true;
        }
        let many =
            self.owners.get(usize::from(self.me.0)).is_none_or(|owner| owner.held >= MAX_FACTS_PER_OWNER);
        if fact.body.len() > MAX_FACT_BYTES || (held.is_none() && many) {
            self.refused += 1;
            return false;
        }
        self.version = self.version.saturating_add(1);
        let (incarnation, version) = (self.incarnation, self.version);
        self.insert(place, Held { incarnation, version, body: fact.body, said: signed(now), told: Some(0) });
        true
    }

    /// The body of a fact and its age in milliseconds.
    pub fn get(&self, now: Millis, owner: MemberId, kind: FactKind, key: u64) -> Option<(&[u8], Millis)> {
        let held = self.held.get(&Place { kind, owner, key })?;
        let age = age(now, held.said);
        (!held.body.is_empty() && age <= self.expiry(kind)).then_some((&held.body, age))
    }

    /// All facts of a kind: owner, key, body and age in milliseconds.
    pub fn of_kind(
        &self,
        now: Millis,
        kind: FactKind,
    ) -> impl Iterator<Item = (MemberId, u64, &[u8], Millis)> {
        let first = Place { kind, owner: MemberId(0), key: 0 };
        let last = Place { kind, owner: MemberId(u16::MAX), key: u64::MAX };
        let expiry = self.expiry(kind);
        self.held
            .range(first..=last)
            .map(move |(place, held)| (place.owner, place.key, held.body.as_slice(), age(now, held.said)))
            .filter(move |(_, _, body, age)| !body.is_empty() && *age <= expiry)
    }

    /// This member's own facts that stand.
    pub fn own(&self) -> Vec<Fact> {
        self.held
            .iter()
            .filter(|(place, held)| place.owner == self.me && !held.body.is_empty())
            .map(|(place, held)| Fact { kind: place.kind, key: place.key, body: held.body.clone() })
            .collect()
    }

    /// How many facts are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none are held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// What changed by what was heard, since the last time.
    pub fn take_changes(&mut self) -> Vec<FactChange> {
        std::mem::take(&mut self.news)
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
        let StampedFact { owner, incarnation, version, age: old, fact } = stamped;
        let place = Place { kind: fact.kind, owner, key: fact.key };
        let absurd = incarnation > MAX_INCARNATION
            || version > HIGHEST_VERSION
            || old > HIGHEST_AGE
            || fact.body.len() > MAX_FACT_BYTES;
        let Some(known) = self.owners.get(usize::from(owner.0)).filter(|_| !absurd) else {
            self.refused += 1;
            return;
        };
        // Of this member only itself speaks; a former self's words end with it.
        if owner == self.me
            || incarnation < known.incarnation
            || (incarnation == known.incarnation && known.gone)
        {
            return;
        }
        if incarnation > known.incarnation {
            self.mark_alive(owner, incarnation);
        }
        let said = signed(now) - i64::from(old);
        if u64::from(old) > self.expiry(fact.kind) {
            return;
        }
        let most = self.max_transmissions();
        match self.held.get_mut(&place) {
            Some(held) if version < held.version => return,
            Some(held) if version == held.version => {
                // Whoever tells it knows it, and the others likely do: it need not be told so often (Demers and others
                // 1987). The oldest word of it is nearest to the truth.
                let before = held.turn(self.me, place);
                held.said = held.said.min(said);
                held.told = held.told.map(|told| told + 1).filter(|told| *told < most);
                let queue = if is_frequent(place.kind) { &mut self.often } else { &mut self.rare };
                if let Some(before) = before {
                    queue.remove(&before);
                    queue.extend(held.turn(self.me, place));
                }
                return;
            }
            Some(_) => {}
            None if self
                .owners
                .get(usize::from(owner.0))
                .is_none_or(|owner| owner.held >= MAX_FACTS_PER_OWNER) =>
            {
                self.refused += 1;
                return;
            }
            None => {}
        }
        let changed = self.held.get(&place).map_or(!fact.body.is_empty(), |held| held.body != fact.body);
        // What is only said again need not be told as often.
        let told = Some(if changed || momentary(fact.kind) || is_frequent(fact.kind) {
            0
        } else {
            self.max_transmissions() - 2
        });
        self.insert(place, Held { incarnation, version, body: fact.body.clone(), said, told });
        // A frequent fact matters for being new, and one of a trial for its time.
        if changed || is_frequent(fact.kind) || momentary(fact.kind) {
            self.news.push(FactChange { owner, fact, age: u64::from(old) });
        }
    }

    /// Takes in that a process of a member lives: what its former self said ends.
    pub fn mark_alive(&mut self, owner: MemberId, incarnation: u64) {
        let Some(known) = self.owners.get_mut(usize::from(owner.0)) else { return };
        if owner == self.me || incarnation < known.incarnation {
            return;
        }
        known.gone = false;
        if incarnation == known.incarnation {
            return;
        }
        known.incarnation = incarnation;
        let former = self.of_owner(owner);
        self.end(former.into_iter());
    }

    /// Takes in that a member is gone: what it said ends.
    pub fn mark_gone(&mut self, owner: MemberId) {
        if owner != self.me
            && let Some(known) = self.owners.get_mut(usize::from(owner.0))
        {
            known.gone = true;
            let all = self.of_owner(owner);
            self.end(all.into_iter());
        }
    }

    fn insert(&mut self, place: Place, held: Held) {
        self.remove(place);
        if let Some(owner) = self.owners.get_mut(usize::from(place.owner.0)) {
            owner.held += 1;
            owner.digest ^= mark(place, &held);
        }
        let queue = if is_frequent(place.kind) { &mut self.often } else { &mut self.rare };
        queue.extend(held.turn(self.me, place));
        self.held.insert(place, held);
    }

    fn remove(&mut self, place: Place) -> Option<Held> {
        let held = self.held.remove(&place)?;
        if let Some(owner) = self.owners.get_mut(usize::from(place.owner.0)) {
            owner.held = owner.held.saturating_sub(1);
            owner.digest ^= mark(place, &held);
        }
        if let Some(turn) = held.turn(self.me, place) {
            let queue = if is_frequent(place.kind) { &mut self.often } else { &mut self.rare };
            queue.remove(&turn);
        }
        Some(held)
    }

    /// The places of all facts of an owner, without going through those of others.
    fn of_owner(&self, owner: MemberId) -> Vec<Place> {
        let mut places = Vec::new();
        let mut kind = Some(FactKind(0));
        while let Some(first) = kind {
            let start = Place { kind: first, owner: MemberId(0), key: 0 };
            let Some((Place { kind: found, .. }, _)) = self.held.range(start..).next() else { break };
            let of = |key| Place { kind: *found, owner, key };
            places.extend(self.held.range(of(0)..=of(u64::MAX)).map(|(place, _)| *place));
            kind = found.0.checked_add(1).map(FactKind);
        }
        places
    }

    fn end(&mut self, ended: impl Iterator<Item = Place>) {
        for place in ended {
            let Some(held) = self.remove(place) else { continue };
            if !held.body.is_empty() && place.owner != self.me {
                let fact = Fact { kind: place.kind, key: place.key, body: Vec::new() };
                self.news.push(FactChange { owner: place.owner, fact, age: 0 });
            }
        }
    }
}

fn encode(now: Millis, place: Place, held: &Held) -> Option<Vec<u8>> {
    let age = u32::try_from(age(now, held.said)).unwrap_or(u32::MAX).min(HIGHEST_AGE);
    let fact = Fact { kind: place.kind, key: place.key, body: held.body.clone() };
    let Held { incarnation, version, .. } = *held;
    postcard::to_allocvec(&StampedFact { owner: place.owner, incarnation, version, age, fact }).ok()
}

/// What a rare fact adds to its owner's digest; frequent ones are not compared.
fn mark(place: Place, held: &Held) -> u32 {
    if is_frequent(place.kind) {
        return 0;
    }
    let mut hasher = fnv::FnvHasher::default();
    hasher.write_u8(place.kind.0);
    hasher.write_u64(place.key);
    hasher.write_u16(place.owner.0);
    hasher.write_u64(held.incarnation);
    hasher.write_u32(held.version);
    let whole = hasher.finish();
    (whole >> 32) as u32 ^ whole as u32
}

fn signed(now: Millis) -> i64 {
    i64::try_from(now).unwrap_or(i64::MAX)
}

fn age(now: Millis, said: i64) -> Millis {
    u64::try_from(signed(now).saturating_sub(said)).unwrap_or(0)
}
