//! The exchange of discovery's server list between members.
//!
//! Each member keeps a copy of the list that its own discovery sent. Every entry carries the version at which
//! it last changed. A member whose own discovery is unreachable and whose list is older than another member's
//! pulls the changed entries from that member (`pull.rs`).
//!
//! **Which list is newer.** The versions of one discovery service only increase, but discovery can restart
//! and count from one again. Lists are therefore compared by epoch first and by version second. Only a member
//! that reaches its own discovery increases the epoch, in two cases:
//! - Its own discovery sends a complete list with a lower version than it sent before. Discovery has
//!   restarted.
//! - Members without discovery have held a higher rank than this member for [`RESTART_CONFIRM_OUTAGES`]
//!   outage thresholds. Discovery restarted before this member first heard from it. The wait gives a replica
//!   of discovery that only lags the time to catch up. Without the wait, its old list would undo drains that
//!   other members already know of.
//!
//! A member that reaches discovery adopts the highest epoch among all such members at once, because they all
//! hear the same discovery service. Two simpler rules fail. With "the live list always wins", members fall
//! back to the old list as soon as the member with the live list goes silent, because the others still hold a
//! higher version. With "the higher version always wins", a region keeps a list from before the restart for
//! as long as its own discovery is unreachable.
//!
//! **Trust.** At each member, the list from its own discovery always wins. A member that reaches its own
//! discovery takes no entries from others. Configured members are trusted to pass on what discovery sent
//! them. A member that lies can add servers, at most [`MAX_ENTRIES`], at members without discovery until
//! their own discovery is back. Nobody else can: datagrams are accepted from configured addresses only. Parts
//! that are out of order or do not decode are rejected and counted.

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

/// How long members without discovery must hold a newer list before a member with discovery concludes that
/// discovery restarted its versions. The unit is the outage threshold (`Timing::outage`).
pub const RESTART_CONFIRM_OUTAGES: u64 = 5;

/// How recent a list is. Of two lists, the one with the higher rank is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Rank {
    /// The number of times that discovery restarted its versions.
    pub epoch: u32,
    /// The version that discovery gave the list, or 0 if there is no list yet.
    pub version: u64,
}

/// The intervals and the cluster membership that the exchange of lists uses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct ListConfig {
    /// This member.
    pub me: MemberId,
    /// The number of configured members, including this one.
    pub members: u16,
    /// The time after which a request without a complete reply is sent again. Also the period in which the
    /// number of parts that a member sends is limited.
    pub retry_interval: Millis,
    /// The shortest interval at which a member without discovery asks a random member whether it has a newer
    /// list. Equals the outage threshold.
    pub query_interval: Millis,
    /// The seed of the random choices: which member to query or to pull from, and when to query.
    pub seed: u64,
}

impl ListConfig {
    /// The shortest interval between two facts that a member publishes about its list. It grows with the
    /// number of members, so that the whole cluster publishes at most 50 such facts per second.
    fn publish_interval(&self) -> Millis {
        self.query_interval.max(20 * u64::from(self.members))
    }
}

/// A member's copy of discovery's server list, and the state of the protocol that keeps the copy up to date.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ListReplica {
    config: ListConfig,
    /// The rank of the list that is held.
    rank: Rank,
    /// The entries of the list.
    store: Store,
    /// The latest version that this member's own discovery sent in the current epoch.
    own_version: Option<u64>,
    /// Whether this member's own discovery is reachable and has sent the list that is held.
    live: bool,
    /// The rank of each other member's list, and whether that list is live, as last reported by that member.
    peer_lists: BTreeMap<MemberId, (Rank, bool)>,
    /// The pull in progress.
    pull: Option<Pull>,
    /// When to ask the next random member whether it has a newer list.
    next_query_at: Millis,
    /// The number of random values drawn so far.
    draws: u64,
    /// Since when members without discovery have held a higher rank than this member, which has discovery.
    outranked_since: Option<Millis>,
    /// The last published fact about this list, and when it was published.
    published: Option<(ListFact, Millis)>,
    /// The start of the current period, and the number of parts sent in it.
    parts_sent: (Millis, u32),
    /// When the complete list was last pulled because applying a difference had produced a list that differs
    /// from the source's.
    repaired_at: Option<Millis>,
    /// The number of facts and parts that were rejected as malformed.
    rejected: u64,
}

/// The servers whose entries changed while one input was processed.
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

    /// The rank of the list that is held.
    pub fn rank(&self) -> Rank {
        self.rank
    }

    /// Whether the list is live: this member's own discovery is reachable and has sent the list that is held.
    pub fn live(&self) -> bool {
        self.live
    }

    /// The number of entries that were left out because they do not fit into a datagram or exceed
    /// [`MAX_ENTRIES`].
    pub fn left_out(&self) -> u64 {
        self.store.left_out
    }

    /// The number of facts and parts that were rejected: they do not decode, or their entries are out of
    /// order or newer than the list.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The entry of a server in the list.
    pub fn entry(&self, server: ServerKey) -> Option<ServerEntry> {
        self.store.items.get(&server).and_then(|item| store::decode(&item.body))
    }

    /// The state of a server according to the list.
    pub fn server_state(&self, server: ServerKey) -> Option<ServerState> {
        self.store.items.get(&server).map(|item| item.state)
    }

    /// The number of servers that are serving according to the list.
    pub fn serving_count(&self) -> usize {
        self.store.serving
    }

    /// Applies a list from this member's own discovery. If `complete` is false, `entries` holds changed
    /// entries only.
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
        let left_out_before = self.store.left_out;
        let is_first = self.rank.version == 0;
        if complete {
            if self.own_version.is_some_and(|own| version < own) {
                self.begin_epoch(self.rank.epoch.saturating_add(1));
            }
            self.rank.version = version;
            self.store.replace_all(entries, version, changed);
        } else {
            // The version can be lower than the version of the list that peers sent. The changed entries then
            // get the higher version, so that members that pull from this one receive them.
            self.rank.version = self.rank.version.max(version);
            self.store.update(entries, self.rank.version, changed);
        }
        if is_first {
            // This member does not know which servers went away before its first list.
            self.store.floor = self.rank.version;
        }
        self.own_version = Some(version);
        if self.store.left_out > left_out_before {
            let left_out = self.store.left_out - left_out_before;
            actions.push(Output::Log(format!(
                "{left_out} servers of list {version} are not shared with peers: an entry takes more than \
                 {MAX_ENTRY_BYTES} bytes or there are more than {MAX_ENTRIES} servers"
            )));
        }
    }

    /// Records whether this member's own discovery is reachable. If the list that is held is not the last one
    /// that discovery sent, the member keeps taking newer lists from others until discovery sends one.
    pub(crate) fn set_discovery_reachable(&mut self, up: bool) {
        self.live = up && self.own_version == Some(self.rank.version);
        self.outranked_since = None;
    }

    /// Records the rank of another member's list from a message that does not say whether that list is live.
    pub(crate) fn record_rank(&mut self, member: MemberId, rank: Rank) {
        let live = self.peer_lists.get(&member).is_some_and(|(_, live)| *live);
        self.record_rank_and_live(member, rank, live);
    }

    /// Records the rank of another member's list, and whether that list is live.
    pub(crate) fn record_rank_and_live(&mut self, member: MemberId, rank: Rank, live: bool) {
        if member != self.config.me && member.0 < self.config.members {
            self.peer_lists.insert(member, (rank, live));
        }
    }

    /// Applies a member's fact of the kind [`FactKind::LIST_VERSION`]. An empty body withdraws the fact.
    pub(crate) fn apply_fact(&mut self, member: MemberId, body: &[u8]) {
        if body.is_empty() {
            self.peer_lists.remove(&member);
            return;
        }
        match postcard::from_bytes::<ListFact>(body) {
            Ok(fact) => self.record_rank_and_live(member, fact.rank, fact.live),
            Err(_) => self.rejected += 1,
        }
    }

    /// Stops using a member as a source, because it is dead or does not answer pulls.
    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.peer_lists.remove(&member);
        if self.pull.as_ref().is_some_and(|pull| pull.source == member) {
            self.pull = None;
        }
    }

    /// Takes all steps that are due. `discovery_down` says whether this member or another that is not
    /// dead cannot reach discovery.
    pub(crate) fn tick(&mut self, now: Millis, discovery_down: bool, actions: &mut Vec<Output>) {
        if self.live {
            self.update_epoch(now);
        } else {
            self.run_pull(now, actions);
        }
        self.publish_fact(now, discovery_down, actions);
    }

    /// The next time at which [`ListReplica::tick`] has something to do.
    pub(crate) fn next_tick(&self) -> Option<Millis> {
        if self.live {
            return self
                .outranked_since
                .map(|since| since + RESTART_CONFIRM_OUTAGES * self.config.query_interval);
        }
        let pull = self.pull.as_ref().map_or(Millis::MAX, |pull| pull.retry_at);
        Some(self.next_query_at.min(pull))
    }

    /// Updates the epoch of a live list: adopts the highest epoch of any other live list, and begins a new
    /// epoch if members without discovery have held a higher rank for [`RESTART_CONFIRM_OUTAGES`] outage
    /// thresholds.
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

    /// Sets the epoch. Members that hold a list of another epoch must then pull the complete list.
    fn begin_epoch(&mut self, epoch: u32) {
        self.rank.epoch = epoch;
        self.store.rebase(self.rank.version);
    }

    /// Publishes the fact about this list if some member may need it, and withdraws it otherwise.
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

    /// Returns a number below `n`, determined by the seed and the count of numbers drawn before.
    fn random_below(&mut self, n: u64) -> u64 {
        self.draws += 1;
        crate::coordinator::splitmix64(self.config.seed, self.draws) % n.max(1)
    }
}

#[cfg(test)]
mod tests;
