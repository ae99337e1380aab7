//! How a member that is behind gets what changed from one that is ahead: datagram by datagram, from where it had
//! come to.
//!
//! A part says after which place of the source's order it follows and ends with its last entry's place. So parts
//! may be lost, doubled or come in any order: those that follow are chained to what is there, and the asker asks
//! again from where the chain ends. Places of two sources do not compare, so that a change of source begins again
//! from the asker's own version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub use super::store::Place;
use super::store::{BODY, MAX_ENTRIES, decoded};
use super::{ChangedServers, ListReplica, Rank};
use crate::api::{MemberId, Millis, ServerKey, ServerState};
use crate::coordinator::{self, Output};

/// Bytes of entries in a part: 200, less 38 for all else at its longest.
const PART: usize = BODY + 12;
/// Parts that answer one asking.
const BURST: u32 = 8;
/// Parts that a member sends in a period, to all who ask.
const PARTS: u32 = 64;
/// Askings without progress before another source is tried.
const TRIES: u32 = 6;
/// After how many rounds a difference that led to another list than its source's may be mended again by pulling the
/// whole.
const MEND: u64 = 20;

/// The body of a fact of the kind `LIST`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    /// How new the list is.
    pub rank: Rank,
    /// How many servers it has.
    pub count: u32,
    /// Of all its entries.
    pub digest: u64,
    /// Whether its holder's own discovery answers.
    pub live: bool,
}

/// What members tell each other about lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// I hold this: do you have a newer one?
    Ask {
        /// What is held.
        rank: Rank,
    },
    /// I hold this.
    Have {
        /// What is held.
        rank: Rank,
        /// Whether its holder's own discovery answers.
        live: bool,
    },
    /// Send what changed.
    Pull {
        /// In this epoch...
        epoch: u32,
        /// ...since this version, 0 for all...
        since: u64,
        /// ...after this place.
        after: Place,
    },
    /// Some of it.
    Part {
        /// What is held.
        rank: Rank,
        /// After this place...
        after: Place,
        /// ...come these entries: the version at which each changed, and itself.
        items: Vec<(u64, Vec<u8>)>,
    },
    /// Nothing comes after this.
    End {
        /// What is held.
        rank: Rank,
        /// After this place.
        after: Place,
        /// Of all entries.
        digest: u64,
        /// Ends up to this version may be forgotten.
        floor: u64,
    },
    /// Ends since that version are forgotten: all must be pulled.
    Short {
        /// What is held.
        rank: Rank,
    },
}

/// What a pull of the whole has brought so far: version, standing and entry of each server.
type Fresh = BTreeMap<ServerKey, (u64, ServerState, Vec<u8>)>;

/// A pull that goes on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pull {
    pub source: MemberId,
    /// What the source holds.
    rank: Rank,
    /// The version that it began from, 0 for all.
    since: u64,
    /// All up to here is there.
    come: Place,
    /// Parts that follow something that is not there yet: from and up to.
    ahead: BTreeMap<Place, Place>,
    /// After which place there is nothing, the digest and the floor.
    end: Option<(Place, u64, u64)>,
    /// For the whole: taken only when it is there, so that what is missing is known to be gone.
    fresh: Option<Fresh>,
    /// Parts chained since the last asking.
    parts: u32,
    tries: u32,
    /// When to ask again.
    pub again: Millis,
}

impl Pull {
    fn new(source: MemberId, rank: Rank, held: Rank) -> Pull {
        let whole = rank.epoch != held.epoch || held.version == 0;
        let since = if whole { 0 } else { held.version };
        let come = if whole { Place::default() } else { Place { at: since, key: u64::MAX } };
        Pull {
            source,
            rank,
            since,
            come,
            ahead: BTreeMap::new(),
            end: None,
            fresh: whole.then(Fresh::new),
            parts: 0,
            tries: 0,
            again: 0,
        }
    }

    fn chain(&mut self) {
        while let Some(upto) = self.ahead.remove(&self.come) {
            self.come = upto;
            self.parts += 1;
            self.tries = 0;
        }
        let come = self.come;
        self.ahead.retain(|from, _| *from > come);
    }
}

fn send(to: MemberId, message: Message, out: &mut Vec<Output>) {
    out.push(Output::Send { to, message: coordinator::Message::List(message) });
}

impl ListReplica {
    /// A member's message about lists.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        message: Message,
        changed: &mut ChangedServers,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ask { rank } => {
                self.told(from, rank, false);
                send(from, Message::Have { rank: self.rank, live: self.live }, out);
            }
            Message::Have { rank, live } => self.told(from, rank, live),
            Message::Pull { epoch, since, after } => self.serve(now, from, epoch, since, after, out),
            Message::Part { rank, after, items } => {
                if self.follows(from, rank) {
                    self.take(rank, after, &items, changed);
                    self.go_on(now, changed, out);
                }
            }
            Message::End { rank, after, digest, floor } => {
                if self.follows(from, rank) {
                    if let Some(pull) = &mut self.pull {
                        pull.end = Some((after, digest, floor));
                    }
                    self.go_on(now, changed, out);
                }
            }
            Message::Short { rank } => {
                if self.follows(from, rank) {
                    self.pull = Some(Pull::new(from, rank, Rank::default()));
                    self.ask(now, out);
                }
            }
        }
    }

    /// Answers a pull with a burst of parts.
    fn serve(
        &mut self,
        now: Millis,
        to: MemberId,
        epoch: u32,
        since: u64,
        after: Place,
        out: &mut Vec<Output>,
    ) {
        if epoch != self.rank.epoch {
            send(to, Message::Have { rank: self.rank, live: self.live }, out);
            return;
        }
        if since != 0 && since < self.store.floor {
            send(to, Message::Short { rank: self.rank }, out);
            return;
        }
        if now.saturating_sub(self.served.0) >= self.pace.retry_interval {
            self.served = (now, 0);
        }
        let mut place = after;
        for _ in 0..BURST {
            if self.served.1 >= PARTS {
                return;
            }
            self.served.1 += 1;
            let mut items = Vec::new();
            let mut bytes = 0;
            let from = place;
            for (next, item) in self.store.after(from) {
                // A version takes 10 bytes at most, a length 2.
                bytes += item.body.len() + 12;
                if bytes > PART {
                    break;
                }
                items.push((item.at, item.body.clone()));
                place = next;
            }
            if items.is_empty() {
                let (digest, floor) = (self.store.digest, self.store.floor);
                send(to, Message::End { rank: self.rank, after: from, digest, floor }, out);
                return;
            }
            send(to, Message::Part { rank: self.rank, after: from, items }, out);
        }
    }

    /// Whether a part of this rank belongs to the present pull. A newer one from its source does, but then what
    /// came ahead of the chain does not: an entry may have moved from there to the end.
    fn follows(&mut self, from: MemberId, rank: Rank) -> bool {
        self.record_rank(from, rank);
        let Some(pull) = &mut self.pull else { return false };
        if pull.source != from || rank < pull.rank {
            return false;
        }
        if rank.epoch != pull.rank.epoch {
            self.pull = None;
            return false;
        }
        if rank > pull.rank {
            pull.rank = rank;
            pull.ahead.clear();
            pull.end = None;
        }
        true
    }

    /// Takes a part's entries, where they are in order and whole.
    fn take(&mut self, rank: Rank, after: Place, items: &[(u64, Vec<u8>)], changed: &mut ChangedServers) {
        let mut upto = after;
        let mut read = Vec::with_capacity(items.len());
        for (at, body) in items {
            let Some(entry) = decoded(body).filter(|entry| !entry.host.is_empty()) else {
                self.refused += 1;
                return;
            };
            let key = ServerKey::of(&entry.host);
            let place = Place { at: *at, key: key.0 };
            if place <= upto || *at > rank.version {
                self.refused += 1;
                return;
            }
            upto = place;
            read.push((key, *at, entry.state, body.clone()));
        }
        let Some(pull) = &mut self.pull else { return };
        if upto <= pull.come || (after > pull.come && pull.ahead.len() >= BURST as usize) {
            return;
        }
        // A part that overlaps what is there leads on from there, for both are in the source's order.
        pull.ahead.insert(after.max(pull.come), upto);
        for (key, at, standing, body) in read {
            match &mut pull.fresh {
                Some(fresh) => {
                    let newer = fresh.get(&key).is_none_or(|(old, ..)| *old < at);
                    if newer && (fresh.len() < 2 * MAX_ENTRIES) {
                        fresh.insert(key, (at, standing, body));
                    }
                }
                None => {
                    if self.store.items.get(&key).is_none_or(|old| old.at < at) {
                        self.store.put(key, at, standing, body, changed);
                    }
                }
            }
        }
        pull.chain();
    }

    /// Ends the pull where all is there, or asks for more where the last asking is answered.
    fn go_on(&mut self, now: Millis, changed: &mut ChangedServers, out: &mut Vec<Output>) {
        let Some(pull) = &self.pull else { return };
        match pull.end {
            Some((after, digest, floor)) if after <= pull.come => {
                self.finish(now, digest, floor, changed, out);
            }
            _ if pull.parts >= BURST => self.ask(now, out),
            _ => {}
        }
    }

    fn finish(
        &mut self,
        now: Millis,
        digest: u64,
        floor: u64,
        changed: &mut ChangedServers,
        out: &mut Vec<Output>,
    ) {
        let Some(pull) = self.pull.take() else { return };
        let difference = pull.fresh.is_none();
        if let Some(fresh) = pull.fresh {
            if pull.rank.epoch != self.rank.epoch {
                self.store.rebase(pull.rank.version);
                self.direct = None;
            }
            let named: BTreeSet<ServerKey> = fresh.keys().copied().collect();
            for (key, (at, standing, body)) in fresh {
                self.store.put(key, at, standing, body, changed);
            }
            self.store.end_others(&named, pull.rank.version, changed);
            self.store.floor = floor;
        }
        self.rank = pull.rank;
        if self.store.digest == digest {
            return;
        }
        let lately = self.mended.is_some_and(|at| now.saturating_sub(at) < MEND * self.pace.query_interval);
        if difference && !lately {
            self.mended = Some(now);
            self.pull = Some(Pull::new(pull.source, pull.rank, Rank::default()));
            self.ask(now, out);
        }
    }

    /// Asks the pull's source for what comes next.
    fn ask(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(pull) = &mut self.pull else { return };
        pull.parts = 0;
        pull.tries += 1;
        pull.again = now + self.pace.retry_interval;
        let message = Message::Pull { epoch: pull.rank.epoch, since: pull.since, after: pull.come };
        send(pull.source, message, out);
    }

    /// Where discovery does not answer: pulls from one that is ahead, and looks for such now and then.
    pub(super) fn keep_pulling(&mut self, now: Millis, out: &mut Vec<Output>) {
        if let Some(pull) = &self.pull
            && now >= pull.again
        {
            if pull.tries < TRIES {
                self.ask(now, out);
            } else {
                let source = pull.source;
                self.remove_member(source);
            }
        }
        if self.pull.is_none() {
            self.begin_pull(now, out);
        }
        if now >= self.round {
            self.round = now + self.pace.query_interval + self.draw(self.pace.query_interval);
            let others = u64::from(self.pace.members.saturating_sub(1));
            if others > 0 {
                // Any member but this one, each with the same chance.
                let drawn = u16::try_from(self.draw(others)).unwrap_or(0);
                let to = MemberId(if drawn >= self.pace.me.0 { drawn + 1 } else { drawn });
                send(to, Message::Ask { rank: self.rank }, out);
            }
        }
    }

    /// Chooses by chance among those who hold the newest, so that one is not asked by all.
    fn begin_pull(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(newest) = self.heard.values().map(|(rank, _)| *rank).max().filter(|rank| *rank > self.rank)
        else {
            return;
        };
        let holders: Vec<MemberId> =
            self.heard.iter().filter(|(_, (rank, _))| *rank == newest).map(|(member, _)| *member).collect();
        let drawn = self.draw(holders.len() as u64);
        if let Some(source) = holders.get(usize::try_from(drawn).unwrap_or(0)) {
            self.pull = Some(Pull::new(*source, newest, self.rank));
            self.ask(now, out);
        }
    }
}
