//! The rules among the members: the newest generation binds, and of two under one generation what both let through.
//!
//! What a member holds only ever goes two ways: to a newer generation, or within one to what its rules and another's have in
//! common. Both joins give the same in any order and however often (a semilattice), so that members who heard the same hold
//! the same, and no loss, doubling or restart of another loosens anything. Who wants to loosen raises the generation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::binding::{Binding, Verdict};
use crate::codec::{
    Digest, Head, PIECES, head_body, piece_bodies, pieces_of, read, read_head, read_piece, write,
};
use crate::content::{Content, Filter, mix};
use crate::names::Service;
use crate::rules::Rules;

/// The key of a head's fact; pieces have those from 1 on.
const HEAD: u64 = 0;

/// How long a new process listens where nobody is heard.
pub const LISTEN_MS: u64 = 1_000;

/// How long it listens at most where others are heard, but none that has rules and has itself listened: peers without
/// rules, or a fleet that starts as a whole. Facts reach a newcomer in less.
pub const LISTEN_MOST_MS: u64 = 3_000;

/// So many members tell the pieces of rules that more than these hold, so that what is told does not grow with the fleet.
const TELLERS: usize = 3;

/// More contents of one generation than this are not told apart: then all services wait.
const AWAITED_MOST: usize = 64;

/// Of so many members it is kept that they have the same awaited rules.
const CLAIMS_MOST: usize = 8;

/// So many digests of contents that were joined already are kept; one that is forgotten is joined again.
const JOINED_MOST: usize = 1_024;

/// Notes that nobody fetched are kept up to so many.
const NOTES_MOST: usize = 64;

/// Rules that were heard of and are not here yet.
#[derive(Debug, Clone)]
struct Awaited {
    head: Head,
    /// Who has them: member and life, with the step at which it had.
    claims: BTreeMap<(u16, u64), u32>,
}

/// One process's part in keeping the rules.
#[derive(Debug, Clone)]
pub struct Keeper {
    /// Its own member and life; none where there are no others.
    me: Option<(u16, u64)>,
    generation: u64,
    content: Arc<Content>,
    /// The content as it is told, and the digest of that.
    written: Vec<u8>,
    digest: Digest,
    /// How often the content has changed in this life.
    step: u32,
    before: Digest,
    differs: Filter,
    /// Contents of this generation that the present one is the join of, among others.
    joined: BTreeSet<Digest>,
    /// Heard of and not here yet, none older than what is held.
    awaited: BTreeMap<Digest, Awaited>,
    /// A generation of which more contents were heard of than are kept apart.
    flooded: Option<u64>,
    /// What each member holds, as far as heard.
    heads: BTreeMap<u16, (u64, Digest)>,
    /// Pieces by who told them.
    parts: BTreeMap<u16, BTreeMap<u64, (Digest, Vec<u8>)>>,
    /// Since when it listens, if it still does.
    listens: Option<u64>,
    binding: Binding,
    told: BTreeMap<u64, Vec<u8>>,
    notes: Vec<String>,
    refused: u64,
}

impl Keeper {
    /// A process without peers: its own rules bind at once.
    pub fn new(rules: &Rules, _now: u64) -> Keeper {
        let (generation, content) = (rules.generation(), Arc::new(rules.content()));
        let written = write(&content);
        let digest = Digest::of(generation, &written);
        let binding =
            Binding { version: 1, generation, content: content.clone(), awaited: None, listening: false };
        Keeper {
            me: None,
            generation,
            content,
            written,
            digest,
            step: 1,
            before: Digest([0; 16]),
            differs: Filter::ALL,
            joined: BTreeSet::from([digest]),
            awaited: BTreeMap::new(),
            flooded: None,
            heads: BTreeMap::new(),
            parts: BTreeMap::new(),
            listens: None,
            binding,
            told: BTreeMap::new(),
            notes: Vec::new(),
            refused: 0,
        }
    }

    /// A process with peers: member `me`, in a life that has a higher number than those before it. It listens first:
    /// what its rules are for may not be sent until another has told what it holds, or [`Keeper::listening`] gives up. One
    /// without rules ([`Rules::none`]) has nothing to tell until it has heard of some.
    pub fn among(rules: &Rules, me: u16, life: u64, now: u64) -> Keeper {
        let mut keeper = Keeper::new(rules, now);
        (keeper.me, keeper.listens) = (Some((me, life)), (rules.generation() > 0).then_some(now));
        keeper.bind();
        keeper
    }

    /// A member told a fact, or (an empty body) took it back or is gone. What is held or awaited stays so in that case.
    pub fn heard(&mut self, now: u64, owner: u16, key: u64, body: &[u8]) {
        if self.me.is_some_and(|(me, _)| me == owner) {
            return;
        }
        match (key, body.is_empty()) {
            (HEAD, true) => drop(self.heads.remove(&owner)),
            (HEAD, false) => match read_head(body) {
                Some(head) => self.head(owner, head),
                None => self.refused += 1,
            },
            (_, true) => {
                if let Some(parts) = self.parts.get_mut(&owner) {
                    parts.remove(&key);
                }
            }
            (_, false) => self.piece(owner, key, body),
        }
        self.listening(now, true);
        self.bind();
    }

    /// A new process listens until it has heard a member that has itself listened; or until [`LISTEN_MS`] have passed and
    /// nobody was heard at all, neither here nor (`heard_anyone`) by whoever calls this; or for [`LISTEN_MOST_MS`]. To be
    /// called at [`Keeper::listens_until`] or soon after.
    pub fn listening(&mut self, now: u64, heard_anyone: bool) {
        let Some(since) = self.listens else { return };
        let passed = now.saturating_sub(since);
        let alone = !heard_anyone && self.heads.is_empty() && self.parts.is_empty();
        if passed >= LISTEN_MOST_MS || (passed >= LISTEN_MS && alone) {
            self.listens = None;
            let generation = self.generation;
            self.note(format!(
                "residency: no member told of its rules: generation {generation} of the file holds"
            ));
            self.bind();
        }
    }

    /// When [`Keeper::listening`] should be called next, while it listens.
    pub fn listens_until(&self, now: u64) -> Option<u64> {
        let since = self.listens?;
        let first = since.saturating_add(LISTEN_MS);
        Some(if now < first { first } else { since.saturating_add(LISTEN_MOST_MS) })
    }

    /// The operators' file was read again. Newer rules are taken at once; of other ones under the held generation binds
    /// what both let through; older ones are refused, unless they say the same. Tells whether they were taken.
    pub fn reread(&mut self, _now: u64, rules: &Rules) -> bool {
        let (generation, content) = (rules.generation(), rules.content());
        let held = self.generation;
        if generation < held {
            let same = content == *self.content;
            if !same {
                self.note(format!(
                    "residency: generation {generation} of the file is older than {held}: refused"
                ));
            }
            return same;
        }
        if generation == held && content != *self.content {
            self.note(format!(
                "residency: the file has other rules under generation {held} than are held: what both let through \
                 binds; raise the generation to have them as they are"
            ));
        }
        let digest = Digest::of(generation, &write(&content));
        self.join(generation, content, digest);
        self.bind();
        true
    }

    /// What may be done with a request towards a zone: of its class, its route if it has one, and its tenant.
    pub fn verdict<'s>(&self, services: impl IntoIterator<Item = &'s Service>, zone: &str) -> Verdict {
        let mut all = Verdict::Allowed;
        for service in services {
            match self.binding.of(service).verdict(zone) {
                Verdict::Allowed => {}
                Verdict::Outside => all = Verdict::Outside,
                waiting @ Verdict::Waiting { .. } => return waiting,
            }
        }
        all
    }

    /// What binds now.
    pub fn binding(&self) -> &Binding {
        &self.binding
    }

    /// The generation that is held.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// What is held, by keys, whatever is waited for.
    pub fn content(&self) -> &Content {
        &self.content
    }

    /// The generation that is waited for, which may be the held one in another form.
    pub fn awaits(&self) -> Option<u64> {
        self.binding.awaited.map(|(generation, _)| generation)
    }

    /// Facts that could not be read or came under a key that there is not.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Lines for the operators since the last call.
    pub fn notes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.notes)
    }

    /// All that this member has to tell: key and body, [`crate::BODY_BYTES`] at most each.
    pub fn facts(&self) -> Vec<(u64, Vec<u8>)> {
        if self.generation == 0 {
            return Vec::new();
        }
        let mut facts = vec![(HEAD, head_body(&self.own_head()))];
        if self.is_teller() {
            facts.extend((HEAD + 1..).zip(piece_bodies(self.digest, &self.written)));
        }
        facts
    }

    /// The same as far as it changed since the last call; an empty body takes a fact back.
    pub fn news(&mut self) -> Vec<(u64, Vec<u8>)> {
        let present: BTreeMap<u64, Vec<u8>> = self.facts().into_iter().collect();
        let changed = present.iter().filter(|(key, body)| self.told.get(key) != Some(body));
        let mut news: Vec<(u64, Vec<u8>)> = changed.map(|(key, body)| (*key, body.clone())).collect();
        news.extend(self.told.keys().filter(|key| !present.contains_key(key)).map(|key| (*key, Vec::new())));
        self.told = present;
        news
    }

    fn own_head(&self) -> Head {
        let ruled = match self.content.closed {
            true => Filter::ALL,
            false => Filter::of(self.content.services.keys().copied()),
        };
        Head {
            settled: self.listens.is_none(),
            life: self.me.map_or(0, |(_, life)| life),
            step: self.step,
            generation: self.generation,
            digest: self.digest,
            pieces: u16::try_from(pieces_of(&self.written)).unwrap_or(u16::MAX),
            before: self.before,
            ruled,
            differs: self.differs,
        }
    }

    /// Whether this member tells the pieces: it is among the first few of those that hold the same, in an order that
    /// differs by digest. The first of all who do is so in anyone's eyes, so that there always is one; one that is gone
    /// stands in the way until its head has expired.
    fn is_teller(&self) -> bool {
        let Some((me, _)) = self.me else { return true };
        let [a, b, c, d, e, f, g, h, ..] = self.digest.0;
        let salt = u64::from_le_bytes([a, b, c, d, e, f, g, h]);
        let rank = |owner: u16| (mix(salt ^ mix(u64::from(owner))), owner);
        let holds = |held: &(u64, Digest)| *held == (self.generation, self.digest);
        let before_me = self.heads.iter().filter(|(owner, held)| holds(held) && rank(**owner) < rank(me));
        before_me.take(TELLERS).count() < TELLERS
    }

    /// A member says what it holds.
    fn head(&mut self, owner: u16, head: Head) {
        self.heads.insert(owner, (head.generation, head.digest));
        if head.settled {
            self.listens = None;
        }
        if head.generation < self.generation {
            return;
        }
        // In one life the rules of a generation only tighten, so that what a member held before, or at a lower step, is
        // part of what it holds now. Who has the later ones needs no earlier ones.
        let claim = (owner, head.life);
        let step_of = |awaited: &Awaited| {
            awaited.claims.get(&claim).copied().filter(|_| awaited.head.generation == head.generation)
        };
        if self.awaited.values().filter_map(step_of).any(|step| step > head.step) {
            return;
        }
        self.awaited.retain(|digest, awaited| {
            let later = *digest == head.before && awaited.head.generation == head.generation
                || step_of(awaited).is_some_and(|step| step < head.step);
            *digest == head.digest || !later
        });
        if head.generation == self.generation && self.joined.contains(&head.digest) {
            return;
        }
        if let Some(awaited) = self.awaited.get_mut(&head.digest) {
            if awaited.claims.len() < CLAIMS_MOST || awaited.claims.contains_key(&claim) {
                awaited.claims.insert(claim, head.step);
            }
        } else if self.has_room(head.generation) {
            let (generation, digest, step) = (head.generation, head.digest, head.step);
            if self.newest_awaited().is_none_or(|newest| newest < generation) {
                let held = self.generation;
                self.note(format!(
                    "residency: member {owner} has rules of generation {generation}, here is {held}: what they are for waits"
                ));
            }
            self.awaited.insert(digest, Awaited { head, claims: BTreeMap::from([(claim, step)]) });
            let owners: Vec<u16> = self.parts.keys().copied().collect();
            for owner in owners {
                self.assemble(owner, digest);
            }
        }
    }

    /// The newest generation that was heard of and is not held, or not in all its forms. It alone says what waits; older
    /// ones are taken over when they come, so that members agree on them meanwhile.
    fn newest_awaited(&self) -> Option<u64> {
        self.awaited.values().map(|awaited| awaited.head.generation).chain(self.flooded).max()
    }

    /// Makes room for one more content of a generation, at the cost of older ones.
    fn has_room(&mut self, generation: u64) -> bool {
        if self.awaited.len() < AWAITED_MOST {
            return true;
        }
        let oldest = self.awaited.iter().min_by_key(|(_, awaited)| awaited.head.generation);
        match oldest.map(|(digest, awaited)| (*digest, awaited.head.generation)) {
            Some((digest, oldest)) if oldest < generation => {
                self.awaited.remove(&digest);
                true
            }
            _ if self.newest_awaited() == Some(generation) => {
                if self.flooded.replace(generation) != Some(generation) {
                    self.note(format!(
                        "residency: more than {AWAITED_MOST} different rules under generation {generation}: all \
                         services wait for a newer one"
                    ));
                }
                false
            }
            _ => false,
        }
    }

    /// A member tells a piece of the rules that it holds.
    fn piece(&mut self, owner: u16, key: u64, body: &[u8]) {
        let Some((digest, bytes)) = read_piece(body).filter(|_| key <= HEAD + PIECES as u64) else {
            self.refused += 1;
            return;
        };
        let parts = self.parts.entry(owner).or_default();
        if self.joined.contains(&digest) {
            parts.remove(&key);
            return;
        }
        parts.insert(key, (digest, bytes.to_vec()));
        self.assemble(owner, digest);
    }

    /// Takes awaited rules over if one member's pieces of them are all here and are what the digest says.
    fn assemble(&mut self, owner: u16, digest: Digest) {
        let Some(Awaited { head, .. }) = self.awaited.get(&digest) else { return };
        let Some(parts) = self.parts.get(&owner) else { return };
        let generation = head.generation;
        let piece =
            |key: u64| parts.get(&key).filter(|(of, _)| *of == digest).map(|(_, bytes)| bytes.as_slice());
        let pieces: Option<Vec<&[u8]>> = (HEAD + 1..=HEAD + u64::from(head.pieces)).map(piece).collect();
        let Some(written) = pieces.map(|pieces| pieces.concat()) else { return };
        if Digest::of(generation, &written) != digest {
            return;
        }
        if let Some(content) = read(&written) {
            self.join(generation, content, digest);
            self.note(format!("residency: has the rules of generation {generation} from member {owner}"));
        }
    }

    /// Takes over rules that are not older than those held.
    fn join(&mut self, generation: u64, content: Content, digest: Digest) {
        if generation > self.generation {
            self.joined.clear();
            self.hold(generation, content);
        } else {
            let both = self.content.meet(&content);
            if both != *self.content {
                self.hold(generation, both);
            }
        }
        if self.joined.len() >= JOINED_MOST {
            self.joined.clear();
        }
        self.joined.extend([digest, self.digest]);
        let (held, joined) = (self.generation, &self.joined);
        self.awaited.retain(|digest, awaited| awaited.head.generation >= held && !joined.contains(digest));
        self.flooded = self.flooded.filter(|generation| *generation >= held);
        for parts in self.parts.values_mut() {
            parts.retain(|_, (digest, _)| !joined.contains(digest));
        }
    }

    fn hold(&mut self, generation: u64, content: Content) {
        self.differs = match content.closed || self.content.closed {
            true => Filter::ALL,
            false => Filter::of(content.differing(&self.content)),
        };
        self.before = self.digest;
        self.written = write(&content);
        self.digest = Digest::of(generation, &self.written);
        self.step = self.step.saturating_add(1);
        (self.generation, self.content) = (generation, Arc::new(content));
    }

    /// Brings the binding up to date, with a new version if that changes it.
    fn bind(&mut self) {
        let concerned = |awaited: &Awaited| {
            let Head { before, ruled, differs, .. } = awaited.head;
            if before == self.digest { ruled.and(differs) } else { ruled }
        };
        let newest = self.newest_awaited();
        let awaited = newest.map(|newest| {
            let of_newest = self.awaited.values().filter(|awaited| awaited.head.generation == newest);
            let all = of_newest.map(concerned).fold(Filter::NONE, Filter::or);
            (newest, if self.flooded == newest.into() { Filter::ALL } else { all })
        });
        let bound = Binding {
            version: self.binding.version,
            generation: self.generation,
            content: self.content.clone(),
            awaited,
            listening: self.listens.is_some(),
        };
        if bound != self.binding {
            self.binding = Binding { version: bound.version + 1, ..bound };
        }
    }

    fn note(&mut self, line: String) {
        if self.notes.len() < NOTES_MOST {
            self.notes.push(line);
        }
    }
}
