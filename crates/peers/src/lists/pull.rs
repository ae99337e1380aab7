//! Pulls: how a member with an older list gets the changed entries from a member with a newer one.
//!
//! The source sends its entries in the order in which they changed, in datagrams called parts. Each part
//! names the position that it follows, and ends at the position of its last entry. Parts can therefore be
//! lost, duplicated or reordered: the receiver chains the parts that connect to what it already has, and asks
//! again from the position where the chain ends. Positions of two sources are not comparable, so a pull from
//! another source starts again from the receiver's own version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub use super::store::Position;
use super::store::{MAX_ENTRIES, MAX_ENTRY_BYTES, decode};
use super::{ChangedServers, ListReplica, Rank};
use crate::api::{MemberId, Millis, ServerKey, ServerState};
use crate::coordinator::{self, Output};

/// The largest number of bytes of entries in a part: the 200 bytes of a message, less 38 for everything else
/// in the message at its longest.
const MAX_PART_BYTES: usize = MAX_ENTRY_BYTES + 12;
/// The largest number of messages that answer one request. The receiver requests more after this number of
/// parts.
const PARTS_PER_REQUEST: u32 = 8;
/// The largest number of parts that a member sends per [`ListConfig::retry_interval`](super::ListConfig), to
/// all receivers together.
const MAX_PARTS_PER_PERIOD: u32 = 64;
/// The number of requests without progress after which the member gives up the source.
const MAX_ATTEMPTS: u32 = 6;
/// The shortest time between two repairs, in query intervals. A repair pulls the complete list, because
/// applying a difference has produced a list that differs from the source's.
const REPAIR_INTERVALS: u64 = 20;

/// The body of a fact of the kind [`FactKind::LIST_VERSION`](crate::api::FactKind::LIST_VERSION).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListFact {
    /// The rank of the list.
    pub rank: Rank,
    /// The number of servers in the list that are not gone.
    pub count: u32,
    /// The digest of all entries that are not gone.
    pub digest: u64,
    /// Whether the list is live: the publisher's own discovery is reachable and has sent this list.
    pub live: bool,
}

/// A message between members about their lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks which list the receiver holds, and tells it the sender's rank.
    Query {
        /// The rank of the list that the sender holds.
        rank: Rank,
    },
    /// Tells the receiver which list the sender holds.
    Have {
        /// The rank of the list that the sender holds.
        rank: Rank,
        /// Whether the list is live: the sender's own discovery is reachable and has sent this list.
        live: bool,
    },
    /// Requests the entries that changed.
    Pull {
        /// The epoch of the list to pull. A receiver whose list has another epoch answers with `Have`.
        epoch: u32,
        /// The version since which the entries changed, or 0 for the complete list.
        since: u64,
        /// The position after which the receiver starts sending.
        after: Position,
    },
    /// Some of the requested entries.
    Part {
        /// The rank of the list that the sender holds.
        rank: Rank,
        /// The position that this part directly follows.
        after: Position,
        /// The entries in the order of their positions: the version at which each changed, and its encoded
        /// form.
        items: Vec<(u64, Vec<u8>)>,
    },
    /// Says that there are no further entries.
    End {
        /// The rank of the list that the sender holds.
        rank: Rank,
        /// The position after which there are no entries.
        after: Position,
        /// The digest of all entries that are not gone.
        digest: u64,
        /// The sender may have forgotten servers that went away at this version or earlier.
        floor: u64,
    },
    /// Says that the sender may have forgotten servers that went away since the requested version, so that
    /// only the complete list can be pulled.
    TooOld {
        /// The rank of the list that the sender holds.
        rank: Rank,
    },
}

/// The entries that a pull of the complete list has received so far: the version at which each changed, its
/// state and its encoded form.
type StagedEntries = BTreeMap<ServerKey, (u64, ServerState, Vec<u8>)>;

/// A pull in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pull {
    /// The member that sends the entries.
    pub source: MemberId,
    /// The rank of the source's list.
    rank: Rank,
    /// The version that the pull started from, or 0 for the complete list.
    since: u64,
    /// Everything up to this position has been received.
    complete_to: Position,
    /// Parts that do not connect to `complete_to` yet: the position that each follows, and its last position.
    out_of_order: BTreeMap<Position, Position>,
    /// The contents of the [`Message::End`], if received: the position, the digest and the floor.
    end: Option<(Position, u64, u64)>,
    /// The entries of a pull of the complete list. They are applied only once all of them are there, because
    /// only then are missing servers known to be gone. `None` while pulling a difference, which is applied at
    /// once.
    staged: Option<StagedEntries>,
    /// The number of parts chained since the last request.
    parts_received: u32,
    /// The number of requests since the last progress.
    attempts: u32,
    /// When to send the request again.
    pub retry_at: Millis,
}

impl Pull {
    /// Creates a pull of the difference to the list that is held, or of the complete list if there is none or
    /// its epoch differs.
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

    /// Moves `complete_to` forward over the parts that connect to it.
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
    /// Processes a message from another member.
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

    /// Answers a pull request with up to [`PARTS_PER_REQUEST`] messages.
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
                // Besides the entry, a version takes at most 10 bytes and a length at most 2.
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

    /// Returns whether a message of this rank belongs to the current pull. A message with a newer rank from
    /// the same source and epoch does. The parts that do not connect to the chain yet are then dropped,
    /// because the source may have moved an entry from their range to the end.
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

    /// Applies the entries of a part. Rejects the part if an entry does not decode, is out of order or is
    /// newer than the source's list.
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
        // If the part overlaps what has been received, it continues from `complete_to`, because both are in
        // the source's order.
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

    /// Finishes the pull if everything has been received. Requests more if the last request is fully
    /// answered.
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

    /// Completes the pull. If applying a difference produced a digest other than the source's, pulls the
    /// complete list from the same source, unless that happened recently.
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

    /// Requests the entries after `complete_to` from the source of the pull.
    fn request_parts(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(pull) = &mut self.pull else { return };
        pull.parts_received = 0;
        pull.attempts += 1;
        pull.retry_at = now + self.config.retry_interval;
        let message = Message::Pull { epoch: pull.rank.epoch, since: pull.since, after: pull.complete_to };
        send(pull.source, message, actions);
    }

    /// Runs while the list is not live. Pulls from a member with a newer list, and asks a random member now
    /// and then whether it has one.
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
                // Each member except this one is chosen with the same probability.
                let drawn = u16::try_from(self.random_below(others)).unwrap_or(0);
                let to = MemberId(if drawn >= self.config.me.0 { drawn + 1 } else { drawn });
                send(to, Message::Query { rank: self.rank }, actions);
            }
        }
    }

    /// Starts a pull if another member is known to hold a newer list. Picks the source at random among the
    /// members with the newest list, so that not all members pull from the same one.
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
