//! How a member that is behind gets what changed from one that is ahead: datagram by datagram, from where it had
//! come to.
//!
//! A part says after which place of the source's order it follows and ends with its last entry's place. So parts
//! may be lost, doubled or come in any order: those that follow are chained to what is there, and the asker asks
//! again from where the chain ends. Places of two sources do not compare, so that a change of source begins again
//! from the asker's own version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub use super::store::Position;
use super::store::{MAX_ENTRIES, MAX_ENTRY_BYTES, decode};
use super::{ChangedServers, ListReplica, Rank};
use crate::api::{MemberId, Millis, ServerKey, ServerState};
use crate::coordinator::{self, Output};

/// Bytes of entries in a part: 200, less 38 for all else at its longest.
const MAX_PART_BYTES: usize = MAX_ENTRY_BYTES + 12;
/// Parts that answer one asking.
const PARTS_PER_REQUEST: u32 = 8;
/// Parts that a member sends in a period, to all who ask.
const MAX_PARTS_PER_PERIOD: u32 = 64;
/// Askings without progress before another source is tried.
const MAX_ATTEMPTS: u32 = 6;
/// After how many rounds a was_difference that led to another list than its source's may be mended again by pulling the
/// whole.
const REPAIR_INTERVALS: u64 = 20;

/// The body of a fact of the kind `LIST`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListFact {
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
    Query {
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
        after: Position,
    },
    /// Some of it.
    Part {
        /// What is held.
        rank: Rank,
        /// After this place...
        after: Position,
        /// ...come these entries: the version at which each changed, and itself.
        items: Vec<(u64, Vec<u8>)>,
    },
    /// Nothing comes after this.
    End {
        /// What is held.
        rank: Rank,
        /// After this place.
        after: Position,
        /// Of all entries.
        digest: u64,
        /// Ends up to this version may be forgotten.
        floor: u64,
    },
    /// Ends since that version are forgotten: all must be pulled.
    TooOld {
        /// What is held.
        rank: Rank,
    },
}

/// What a pull of the whole has brought so far: version, standing and entry of each server.
type StagedEntries = BTreeMap<ServerKey, (u64, ServerState, Vec<u8>)>;

/// A pull that goes on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pull {
    pub source: MemberId,
    /// What the source holds.
    rank: Rank,
    /// The version that it began from, 0 for all.
    since: u64,
    /// All up to here is there.
    complete_to: Position,
    /// Parts that follow something that is not there yet: from and up to.
    out_of_order: BTreeMap<Position, Position>,
    /// After which place there is nothing, the digest and the floor.
    end: Option<(Position, u64, u64)>,
    /// For the whole: taken only when it is there, so that what is missing is known to be gone.
    staged: Option<StagedEntries>,
    /// Parts chained since the last asking.
    parts_received: u32,
    attempts: u32,
    /// When to ask again.
    pub retry_at: Millis,
}

impl Pull {
    fn new(source: MemberId, rank: Rank, held: Rank) -> Pull {
        let complete = rank.epoch != held.epoch || held.version == 0;
        let since = if complete { 0 } else { held.version };
        let complete_to =
            if complete { Position::default() } else { Position { changed_at: since, key: u64::MAX } };
        Pull {
            source,
            rank,
            since,
            complete_to,
            out_of_order: BTreeMap::new(),
            end: None,
            staged: complete.then(StagedEntries::new),
            parts_received: 0,
            attempts: 0,
            retry_at: 0,
        }
    }

    fn advance(&mut self) {
        while let Some(through) = self.out_of_order.remove(&self.complete_to) {
            self.complete_to = through;
            self.parts_received += 1;
            self.attempts = 0;
        }
        let complete_to = self.complete_to;
        self.out_of_order.retain(|from, _| *from > complete_to);
    }
}

fn send(to: MemberId, message: Message, actions: &mut Vec<Output>) {
    actions.push(Output::Send { to, message: coordinator::Message::List(message) });
}

impl ListReplica {
    /// A member's message about lists.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        message: Message,
        changed: &mut ChangedServers,
        actions: &mut Vec<Output>,
    ) {
        match message {
            Message::Query { rank } => {
                self.record_rank_and_live(from, rank, false);
                send(from, Message::Have { rank: self.rank, live: self.live }, actions);
            }
            Message::Have { rank, live } => self.record_rank_and_live(from, rank, live),
            Message::Pull { epoch, since, after } => self.send_parts(now, from, epoch, since, after, actions),
            Message::Part { rank, after, items } => {
                if self.belongs_to_pull(from, rank) {
                    self.apply_part(rank, after, &items, changed);
                    self.continue_pull(now, changed, actions);
                }
            }
            Message::End { rank, after, digest, floor } => {
                if self.belongs_to_pull(from, rank) {
                    if let Some(pull) = &mut self.pull {
                        pull.end = Some((after, digest, floor));
                    }
                    self.continue_pull(now, changed, actions);
                }
            }
            Message::TooOld { rank } => {
                if self.belongs_to_pull(from, rank) {
                    self.pull = Some(Pull::new(from, rank, Rank::default()));
                    self.request_parts(now, actions);
                }
            }
        }
    }

    /// Answers a pull with a burst of parts.
    fn send_parts(
        &mut self,
        now: Millis,
        to: MemberId,
        epoch: u32,
        since: u64,
        after: Position,
        actions: &mut Vec<Output>,
    ) {
        if epoch != self.rank.epoch {
            send(to, Message::Have { rank: self.rank, live: self.live }, actions);
            return;
        }
        if since != 0 && since < self.store.floor {
            send(to, Message::TooOld { rank: self.rank }, actions);
            return;
        }
        if now.saturating_sub(self.parts_sent.0) >= self.config.retry_interval {
            self.parts_sent = (now, 0);
        }
        let mut position = after;
        for _ in 0..PARTS_PER_REQUEST {
            if self.parts_sent.1 >= MAX_PARTS_PER_PERIOD {
                return;
            }
            self.parts_sent.1 += 1;
            let mut items = Vec::new();
            let mut bytes = 0;
            let from = position;
            for (next, item) in self.store.after(from) {
                // A version takes 10 bytes at most, a length 2.
                bytes += item.body.len() + 12;
                if bytes > MAX_PART_BYTES {
                    break;
                }
                items.push((item.changed_at, item.body.clone()));
                position = next;
            }
            if items.is_empty() {
                let (digest, floor) = (self.store.digest, self.store.floor);
                send(to, Message::End { rank: self.rank, after: from, digest, floor }, actions);
                return;
            }
            send(to, Message::Part { rank: self.rank, after: from, items }, actions);
        }
    }

    /// Whether a part of this rank belongs to the present pull. A newer one from its source does, but then what
    /// came ahead of the chain does not: an entry may have moved from there to the end.
    fn belongs_to_pull(&mut self, from: MemberId, rank: Rank) -> bool {
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
            pull.out_of_order.clear();
            pull.end = None;
        }
        true
    }

    /// Takes a part's entries, where they are in order and whole.
    fn apply_part(
        &mut self,
        rank: Rank,
        after: Position,
        items: &[(u64, Vec<u8>)],
        changed: &mut ChangedServers,
    ) {
        let mut through = after;
        let mut decoded = Vec::with_capacity(items.len());
        for (changed_at, body) in items {
            let Some(entry) = decode(body).filter(|entry| !entry.host.is_empty()) else {
                self.rejected += 1;
                return;
            };
            let key = ServerKey::of(&entry.host);
            let position = Position { changed_at: *changed_at, key: key.0 };
            if position <= through || *changed_at > rank.version {
                self.rejected += 1;
                return;
            }
            through = position;
            decoded.push((key, *changed_at, entry.state, body.clone()));
        }
        let Some(pull) = &mut self.pull else { return };
        if through <= pull.complete_to
            || (after > pull.complete_to && pull.out_of_order.len() >= PARTS_PER_REQUEST as usize)
        {
            return;
        }
        // A part that overlaps what is there leads on from there, for both are in the source's order.
        pull.out_of_order.insert(after.max(pull.complete_to), through);
        for (key, changed_at, state, body) in decoded {
            match &mut pull.staged {
                Some(staged) => {
                    let newer = staged.get(&key).is_none_or(|(old, ..)| *old < changed_at);
                    if newer && (staged.len() < 2 * MAX_ENTRIES) {
                        staged.insert(key, (changed_at, state, body));
                    }
                }
                None => {
                    if self.store.items.get(&key).is_none_or(|old| old.changed_at < changed_at) {
                        self.store.put(key, changed_at, state, body, changed);
                    }
                }
            }
        }
        pull.advance();
    }

    /// Ends the pull where all is there, or asks for more where the last asking is answered.
    fn continue_pull(&mut self, now: Millis, changed: &mut ChangedServers, actions: &mut Vec<Output>) {
        let Some(pull) = &self.pull else { return };
        match pull.end {
            Some((after, digest, floor)) if after <= pull.complete_to => {
                self.finish(now, digest, floor, changed, actions);
            }
            _ if pull.parts_received >= PARTS_PER_REQUEST => self.request_parts(now, actions),
            _ => {}
        }
    }

    fn finish(
        &mut self,
        now: Millis,
        digest: u64,
        floor: u64,
        changed: &mut ChangedServers,
        actions: &mut Vec<Output>,
    ) {
        let Some(pull) = self.pull.take() else { return };
        let was_difference = pull.staged.is_none();
        if let Some(staged) = pull.staged {
            if pull.rank.epoch != self.rank.epoch {
                self.store.rebase(pull.rank.version);
                self.own_version = None;
            }
            let staged_keys: BTreeSet<ServerKey> = staged.keys().copied().collect();
            for (key, (changed_at, state, body)) in staged {
                self.store.put(key, changed_at, state, body, changed);
            }
            self.store.mark_missing_gone(&staged_keys, pull.rank.version, changed);
            self.store.floor = floor;
        }
        self.rank = pull.rank;
        if self.store.digest == digest {
            return;
        }
        let repaired_recently = self
            .repaired_at
            .is_some_and(|at| now.saturating_sub(at) < REPAIR_INTERVALS * self.config.query_interval);
        if was_difference && !repaired_recently {
            self.repaired_at = Some(now);
            self.pull = Some(Pull::new(pull.source, pull.rank, Rank::default()));
            self.request_parts(now, actions);
        }
    }

    /// Asks the pull's source for what comes next.
    fn request_parts(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(pull) = &mut self.pull else { return };
        pull.parts_received = 0;
        pull.attempts += 1;
        pull.retry_at = now + self.config.retry_interval;
        let message = Message::Pull { epoch: pull.rank.epoch, since: pull.since, after: pull.complete_to };
        send(pull.source, message, actions);
    }

    /// Where discovery does not answer: pulls from one that is ahead, and looks for such now and then.
    pub(super) fn run_pull(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if let Some(pull) = &self.pull
            && now >= pull.retry_at
        {
            if pull.attempts < MAX_ATTEMPTS {
                self.request_parts(now, actions);
            } else {
                let source = pull.source;
                self.remove_member(source);
            }
        }
        if self.pull.is_none() {
            self.start_pull(now, actions);
        }
        if now >= self.next_query_at {
            self.next_query_at =
                now + self.config.query_interval + self.random_below(self.config.query_interval);
            let others = u64::from(self.config.members.saturating_sub(1));
            if others > 0 {
                // Any member but this one, each with the same chance.
                let drawn = u16::try_from(self.random_below(others)).unwrap_or(0);
                let to = MemberId(if drawn >= self.config.me.0 { drawn + 1 } else { drawn });
                send(to, Message::Query { rank: self.rank }, actions);
            }
        }
    }

    /// Chooses by chance among those who hold the newest, so that one is not asked by all.
    fn start_pull(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(newest) =
            self.peer_lists.values().map(|(rank, _)| *rank).max().filter(|rank| *rank > self.rank)
        else {
            return;
        };
        let holders: Vec<MemberId> = self
            .peer_lists
            .iter()
            .filter(|(_, (rank, _))| *rank == newest)
            .map(|(member, _)| *member)
            .collect();
        let drawn = self.random_below(holders.len() as u64);
        if let Some(source) = holders.get(usize::try_from(drawn).unwrap_or(0)) {
            self.pull = Some(Pull::new(*source, newest, self.rank));
            self.request_parts(now, actions);
        }
    }
}
