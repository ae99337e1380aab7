//! Discovery's list, from whoever of the members has the newest.
//!
//! Each member keeps what its own discovery told it, every entry with the version at which it changed. While its
//! own discovery is out of reach, a member that is behind pulls the difference from one that is ahead (`pull.rs`).
//!
//! **Which list is newer.** Versions of one discovery count up, but discovery may restart and count from one again.
//! So lists are ranked by epoch, then by version. A member raises the epoch only where its own discovery answers,
//! when
//! - its own discovery told a whole list of a lower version than it had told before: it began anew;
//! - members without discovery held a higher rank for [`RESTART_CONFIRM_OUTAGES`] outages: discovery began anew before it was
//!   heard here. A replica of discovery that only lags has caught up by then, so that its lag does not undo drains
//!   that others were told.
//!
//! Members with discovery adopt the highest_without_discovery epoch among themselves at once: they hear one discovery. Weighed
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

pub use pull::{ListFact, Message};
pub use store::{MAX_ENTRIES, MAX_ENTRY_BYTES};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{Fact, FactKind, MemberId, Millis, ServerEntry, ServerKey, ServerState};
use crate::coordinator::Output;
use pull::Pull;
use store::Store;

/// How many outages members without discovery must have held a newer list before one with discovery says that
/// versions began anew.
pub const RESTART_CONFIRM_OUTAGES: u64 = 5;

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
    fn publish_interval(&self) -> Millis {
        self.query_interval.max(20 * u64::from(self.members))
    }
}

/// The list that a member holds, and what it does to hold the newest.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListReplica {
    config: ListConfig,
    rank: Rank,
    store: Store,
    /// The newest version that this member's own discovery told in this epoch.
    own_version: Option<u64>,
    /// Its own discovery answers, and told a list since it does.
    live: bool,
    /// What others hold, as they told.
    peer_lists: BTreeMap<MemberId, (Rank, bool)>,
    pull: Option<Pull>,
    /// When another is asked whether it has a newer list.
    next_query_at: Millis,
    draws: u64,
    /// Since when members without discovery have held a higher rank than this one with it.
    outranked_since: Option<Millis>,
    /// The fact as it was last spread, and when.
    published: Option<(ListFact, Millis)>,
    /// Parts sent in the period that began then.
    parts_sent: (Millis, u32),
    /// When the whole was last pulled because a difference led to another list than its source's.
    repaired_at: Option<Millis>,
    rejected: u64,
}

/// Servers whose entries changed.
pub(crate) type ChangedServers = Vec<ServerKey>;

impl ListReplica {
    pub(crate) fn new(config: ListConfig, now: Millis) -> ListReplica {
        ListReplica {
            next_query_at: now + config.query_interval,
            config,
            rank: Rank::default(),
            store: Store::default(),
            own_version: None,
            live: false,
            peer_lists: BTreeMap::new(),
            pull: None,
            draws: 0,
            outranked_since: None,
            published: None,
            parts_sent: (0, 0),
            repaired_at: None,
            rejected: 0,
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
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The entry of a server as the list has it.
    pub fn entry(&self, server: ServerKey) -> Option<ServerEntry> {
        self.store.items.get(&server).and_then(|item| store::decode(&item.body))
    }

    /// How the list has a server stand.
    pub fn server_state(&self, server: ServerKey) -> Option<ServerState> {
        self.store.items.get(&server).map(|item| item.state)
    }

    /// How many servers the list has serving.
    pub fn serving_count(&self) -> usize {
        self.store.serving
    }

    /// This member's own discovery told a list.
    pub(crate) fn apply_discovery_list(
        &mut self,
        version: u64,
        complete: bool,
        entries: &[ServerEntry],
        changed: &mut ChangedServers,
        actions: &mut Vec<Output>,
    ) {
        self.live = true;
        self.pull = None;
        let before = self.store.left_out;
        let first = self.rank.version == 0;
        if complete {
            if self.own_version.is_some_and(|own| version < own) {
                self.begin_epoch(self.rank.epoch.saturating_add(1));
            }
            self.rank.version = version;
            self.store.replace_all(entries, version, changed);
        } else {
            // What changed since a version below what peers gave: as new as that, for those who pull it from here.
            self.rank.version = self.rank.version.max(version);
            self.store.update(entries, self.rank.version, changed);
        }
        if first {
            // Nothing is known of what ended before.
            self.store.floor = self.rank.version;
        }
        self.own_version = Some(version);
        if self.store.left_out > before {
            let left = self.store.left_out - before;
            actions.push(Output::Log(format!(
                "{left} servers of list {version} are not shared with peers: an entry takes more than {MAX_ENTRY_BYTES} bytes or \
                 there are more than {MAX_ENTRIES}"
            )));
        }
    }

    /// Whether this member's own discovery answers. Where another list is held than it told last, the member still
    /// takes what others have until it tells one.
    pub(crate) fn set_discovery_reachable(&mut self, up: bool) {
        self.live = up && self.own_version == Some(self.rank.version);
        self.outranked_since = None;
    }

    /// What a member holds, from one that does not say whether its discovery answers.
    pub(crate) fn record_rank(&mut self, by: MemberId, rank: Rank) {
        let live = self.peer_lists.get(&by).is_some_and(|(_, live)| *live);
        self.record_rank_and_live(by, rank, live);
    }

    /// What a member holds, as it said.
    pub(crate) fn record_rank_and_live(&mut self, by: MemberId, rank: Rank, live: bool) {
        if by != self.config.me && by.0 < self.config.members {
            self.peer_lists.insert(by, (rank, live));
        }
    }

    /// A member's fact of the kind `LIST`.
    pub(crate) fn apply_fact(&mut self, by: MemberId, body: &[u8]) {
        if body.is_empty() {
            self.peer_lists.remove(&by);
            return;
        }
        match postcard::from_bytes::<ListFact>(body) {
            Ok(fact) => self.record_rank_and_live(by, fact.rank, fact.live),
            Err(_) => self.rejected += 1,
        }
    }

    /// A member is gone: nothing can be pulled from it.
    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.peer_lists.remove(&member);
        if self.pull.as_ref().is_some_and(|pull| pull.source == member) {
            self.pull = None;
        }
    }

    /// Does what is due. `trouble`: some member, this one or another, has no discovery.
    pub(crate) fn tick(&mut self, now: Millis, discovery_down: bool, actions: &mut Vec<Output>) {
        if self.live {
            self.update_epoch(now);
        } else {
            self.run_pull(now, actions);
        }
        self.publish_fact(now, discovery_down, actions);
    }

    /// When [`ListReplica::tick`] is due next.
    pub(crate) fn next_tick(&self) -> Option<Millis> {
        if self.live {
            return self
                .outranked_since
                .map(|since| since + RESTART_CONFIRM_OUTAGES * self.config.query_interval);
        }
        let pull = self.pull.as_ref().map_or(Millis::MAX, |pull| pull.retry_at);
        Some(self.next_query_at.min(pull))
    }

    /// Where discovery answers here: its versions began anew if others hold a higher rank for long.
    fn update_epoch(&mut self, now: Millis) {
        let live_epoch = self.peer_lists.values().filter(|(_, live)| *live).map(|(rank, _)| rank.epoch).max();
        if let Some(epoch) = live_epoch.filter(|epoch| *epoch > self.rank.epoch) {
            self.begin_epoch(epoch);
        }
        let highest_without_discovery =
            self.peer_lists.values().filter(|(_, live)| !live).map(|(rank, _)| *rank).max();
        match highest_without_discovery.filter(|rank| *rank > self.rank) {
            None => self.outranked_since = None,
            Some(rank) => {
                let since = *self.outranked_since.get_or_insert(now);
                if now.saturating_sub(since) >= RESTART_CONFIRM_OUTAGES * self.config.query_interval {
                    self.begin_epoch(rank.epoch.saturating_add(1));
                    self.outranked_since = None;
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
    fn publish_fact(&mut self, now: Millis, discovery_down: bool, actions: &mut Vec<Output>) {
        if let Some((_, at)) = &self.published
            && now.saturating_sub(*at) < self.config.publish_interval()
        {
            return;
        }
        let needed = (discovery_down || !self.live) && self.rank.version > 0;
        let fact = needed.then(|| ListFact {
            rank: self.rank,
            count: u32::try_from(self.store.listed_count()).unwrap_or(u32::MAX),
            digest: self.store.digest,
            live: self.live,
        });
        if fact.as_ref() == self.published.as_ref().map(|(fact, _)| fact) {
            return;
        }
        let body = fact.as_ref().and_then(|fact| postcard::to_allocvec(fact).ok()).unwrap_or_default();
        actions.push(Output::Publish(Fact { kind: FactKind::LIST_VERSION, key: 0, body }));
        self.published = fact.map(|fact| (fact, now));
    }

    /// A number below `n` that follows from the seed and how many were drawn.
    fn random_below(&mut self, n: u64) -> u64 {
        self.draws += 1;
        crate::coordinator::splitmix64(self.config.seed, self.draws) % n.max(1)
    }
}

#[cfg(test)]
mod tests;
