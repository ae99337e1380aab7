//! Discovery's list, from whoever of the members has the newest.
//!
//! Each member keeps what its own discovery told it, every entry with the version at which it changed. While its
//! own discovery is out of reach, a member that is behind pulls the difference from one that is ahead (`pull.rs`).
//!
//! **Which list is newer.** Versions of one discovery count up, but discovery may restart and count from one again.
//! So lists are ranked by epoch, then by version. A member raises the epoch only where its own discovery answers,
//! when
//! - its own discovery told a whole list of a lower version than it had told before: it began anew;
//! - members without discovery held a higher rank for [`PATIENCE`] outages: discovery began anew before it was
//!   heard here. A replica of discovery that only lags has caught up by then, so that its lag does not undo drains
//!   that others were told.
//!
//! Members with discovery adopt the highest epoch among themselves at once: they hear one discovery. Weighed
//! against this: "the live list always wins" flips back as soon as its teller falls silent, for the others still
//! hold the higher version; "the higher version always wins" leaves a region on a list from before the restart for
//! as long as its own discovery is away.
//!
//! **Whom to trust.** What a member's own discovery says always wins at that member, and one whose discovery
//! answers takes nothing from others. Configured members are trusted to pass on what discovery told them: one that
//! lies can name servers to those without discovery, [`MAX_ENTRIES`] at most, until their own discovery is back. Nobody
//! else can: datagrams come from configured addresses only, and what does not follow in order or does not decode is
//! refused and counted.

mod pull;
mod store;

pub use pull::{Message, Told};
pub use store::{BODY, MAX_ENTRIES};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{Fact, FactKind, MemberId, Millis, ServerEntry, ServerKey, ServerState};
use crate::coordinator::Output;
use pull::Pull;
use store::Store;

/// How many outages members without discovery must have held a newer list before one with discovery says that
/// versions began anew.
pub const PATIENCE: u64 = 5;

/// How new a list is: the higher one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Rank {
    /// Counts how often discovery's versions began anew.
    pub epoch: u32,
    /// Discovery's version; 0: none.
    pub version: u64,
}

/// Times that lists go by, in milliseconds, and who is there.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ListConfig {
    pub me: MemberId,
    /// How many members are configured, this one included.
    pub members: u16,
    /// What is not answered in this time is asked again.
    pub retry_interval: Millis,
    /// How often a member without discovery asks another, at random, whether it has a newer list.
    pub query_interval: Millis,
    pub seed: u64,
}

impl ListConfig {
    /// How long a member waits between two facts about its list, so that the whole fleet changes 50 of them a
    /// second at most.
    fn spacing(&self) -> Millis {
        self.query_interval.max(20 * u64::from(self.members))
    }
}

/// The list that a member holds, and what it does to hold the newest.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListReplica {
    pace: ListConfig,
    rank: Rank,
    store: Store,
    /// The newest version that this member's own discovery told in this epoch.
    direct: Option<u64>,
    /// Its own discovery answers, and told a list since it does.
    live: bool,
    /// What others hold, as they told.
    heard: BTreeMap<MemberId, (Rank, bool)>,
    pull: Option<Pull>,
    /// When another is asked whether it has a newer list.
    round: Millis,
    draws: u64,
    /// Since when members without discovery have held a higher rank than this one with it.
    outranked: Option<Millis>,
    /// The fact as it was last spread, and when.
    spread: Option<(Told, Millis)>,
    /// Parts sent in the period that began then.
    served: (Millis, u32),
    /// When the whole was last pulled because a difference led to another list than its source's.
    mended: Option<Millis>,
    refused: u64,
}

/// Servers whose entries changed.
pub(crate) type ChangedServers = Vec<ServerKey>;

impl ListReplica {
    pub(crate) fn new(pace: ListConfig, now: Millis) -> ListReplica {
        ListReplica {
            round: now + pace.query_interval,
            pace,
            rank: Rank::default(),
            store: Store::default(),
            direct: None,
            live: false,
            heard: BTreeMap::new(),
            pull: None,
            draws: 0,
            outranked: None,
            spread: None,
            served: (0, 0),
            mended: None,
            refused: 0,
        }
    }

    /// How new it is.
    pub fn rank(&self) -> Rank {
        self.rank
    }

    /// Whether this member's own discovery answers and told a list since it does.
    pub fn live(&self) -> bool {
        self.live
    }

    /// Entries that were left out because they do not fit a datagram or are too many.
    pub fn left_out(&self) -> u64 {
        self.store.left_out
    }

    /// Messages that made no sense.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The entry of a server as the list has it.
    pub fn entry(&self, server: ServerKey) -> Option<ServerEntry> {
        self.store.items.get(&server).and_then(|item| store::decoded(&item.body))
    }

    /// How the list has a server stand.
    pub fn server_state(&self, server: ServerKey) -> Option<ServerState> {
        self.store.items.get(&server).map(|item| item.standing)
    }

    /// How many servers the list has serving.
    pub fn serving_count(&self) -> usize {
        self.store.serving
    }

    /// This member's own discovery told a list.
    pub(crate) fn apply_discovery_list(
        &mut self,
        version: u64,
        whole: bool,
        entries: &[ServerEntry],
        changed: &mut ChangedServers,
        out: &mut Vec<Output>,
    ) {
        self.live = true;
        self.pull = None;
        let before = self.store.left_out;
        let first = self.rank.version == 0;
        if whole {
            if self.direct.is_some_and(|direct| version < direct) {
                self.begin_epoch(self.rank.epoch.saturating_add(1));
            }
            self.rank.version = version;
            self.store.replace(entries, version, changed);
        } else {
            // What changed since a version below what peers gave: as new as that, for those who pull it from here.
            self.rank.version = self.rank.version.max(version);
            self.store.update(entries, self.rank.version, changed);
        }
        if first {
            // Nothing is known of what ended before.
            self.store.floor = self.rank.version;
        }
        self.direct = Some(version);
        if self.store.left_out > before {
            let left = self.store.left_out - before;
            out.push(Output::Log(format!(
                "{left} servers of list {version} are not shared with peers: an entry takes more than {BODY} bytes or \
                 there are more than {MAX_ENTRIES}"
            )));
        }
    }

    /// Whether this member's own discovery answers. Where another list is held than it told last, the member still
    /// takes what others have until it tells one.
    pub(crate) fn set_discovery_reachable(&mut self, up: bool) {
        self.live = up && self.direct == Some(self.rank.version);
        self.outranked = None;
    }

    /// What a member holds, from one that does not say whether its discovery answers.
    pub(crate) fn record_rank(&mut self, by: MemberId, rank: Rank) {
        let live = self.heard.get(&by).is_some_and(|(_, live)| *live);
        self.told(by, rank, live);
    }

    /// What a member holds, as it said.
    pub(crate) fn told(&mut self, by: MemberId, rank: Rank, live: bool) {
        if by != self.pace.me && by.0 < self.pace.members {
            self.heard.insert(by, (rank, live));
        }
    }

    /// A member's fact of the kind `LIST`.
    pub(crate) fn apply_fact(&mut self, by: MemberId, body: &[u8]) {
        if body.is_empty() {
            self.heard.remove(&by);
            return;
        }
        match postcard::from_bytes::<Told>(body) {
            Ok(told) => self.told(by, told.rank, told.live),
            Err(_) => self.refused += 1,
        }
    }

    /// A member is gone: nothing can be pulled from it.
    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.heard.remove(&member);
        if self.pull.as_ref().is_some_and(|pull| pull.source == member) {
            self.pull = None;
        }
    }

    /// Does what is due. `trouble`: some member, this one or another, has no discovery.
    pub(crate) fn tick(&mut self, now: Millis, trouble: bool, out: &mut Vec<Output>) {
        if self.live {
            self.keep_rank(now);
        } else {
            self.keep_pulling(now, out);
        }
        self.keep_fact(now, trouble, out);
    }

    /// When [`ListReplica::tick`] is due next.
    pub(crate) fn next_tick(&self) -> Option<Millis> {
        if self.live {
            return self.outranked.map(|since| since + PATIENCE * self.pace.query_interval);
        }
        let pull = self.pull.as_ref().map_or(Millis::MAX, |pull| pull.again);
        Some(self.round.min(pull))
    }

    /// Where discovery answers here: its versions began anew if others hold a higher rank for long.
    fn keep_rank(&mut self, now: Millis) {
        let lives = self.heard.values().filter(|(_, live)| *live).map(|(rank, _)| rank.epoch).max();
        if let Some(epoch) = lives.filter(|epoch| *epoch > self.rank.epoch) {
            self.begin_epoch(epoch);
        }
        let highest = self.heard.values().filter(|(_, live)| !live).map(|(rank, _)| *rank).max();
        match highest.filter(|rank| *rank > self.rank) {
            None => self.outranked = None,
            Some(rank) => {
                let since = *self.outranked.get_or_insert(now);
                if now.saturating_sub(since) >= PATIENCE * self.pace.query_interval {
                    self.begin_epoch(rank.epoch.saturating_add(1));
                    self.outranked = None;
                }
            }
        }
    }

    /// Versions count anew: who holds a list of an older epoch must pull the whole.
    fn begin_epoch(&mut self, epoch: u32) {
        self.rank.epoch = epoch;
        self.store.rebase(self.rank.version);
    }

    /// Spreads the fact about this list, where somebody may need it.
    fn keep_fact(&mut self, now: Millis, trouble: bool, out: &mut Vec<Output>) {
        if let Some((_, at)) = &self.spread
            && now.saturating_sub(*at) < self.pace.spacing()
        {
            return;
        }
        let needed = (trouble || !self.live) && self.rank.version > 0;
        let told = needed.then(|| Told {
            rank: self.rank,
            count: u32::try_from(self.store.live()).unwrap_or(u32::MAX),
            digest: self.store.digest,
            live: self.live,
        });
        if told.as_ref() == self.spread.as_ref().map(|(told, _)| told) {
            return;
        }
        let body = told.as_ref().and_then(|told| postcard::to_allocvec(told).ok()).unwrap_or_default();
        out.push(Output::Publish(Fact { kind: FactKind::LIST_VERSION, key: 0, body }));
        self.spread = told.map(|told| (told, now));
    }

    /// A number below `n` that follows from the seed and how many were drawn.
    fn draw(&mut self, n: u64) -> u64 {
        self.draws += 1;
        crate::coordinator::splitmix64(self.pace.seed, self.draws) % n.max(1)
    }
}

#[cfg(test)]
mod tests;
