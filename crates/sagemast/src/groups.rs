//! Indexed sets of servers, and their grouping by zone, cell, state and zone set. This file keeps state and
//! decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::api::{CellId, UpstreamId, ZoneId};

/// A set of servers that draws read by index. The order is deterministic: the same sequence of events always
/// gives the same server at an index.
pub(crate) type EndpointSet = IndexSet<UpstreamId, FxBuildHasher>;

/// Adds a server to a group.
pub(crate) fn add_to_group<K: Ord>(groups: &mut BTreeMap<K, EndpointSet>, group: K, id: UpstreamId) {
    groups.entry(group).or_default().insert(id);
}

/// Removes a server from a group, and the group itself when it becomes empty.
pub(crate) fn remove_from_group<K: Ord + Copy>(
    groups: &mut BTreeMap<K, EndpointSet>,
    group: K,
    id: UpstreamId,
) {
    let Some(set) = groups.get_mut(&group) else { return };
    set.swap_remove(&id);
    if set.is_empty() {
        groups.remove(&group);
    }
}

/// The state of a serving server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Pool {
    /// Healthy and at its full capacity.
    Warm,
    /// Healthy and in slow start, because it has started recently.
    Cold,
    /// Ejected for long enough, and without attempts of this sidecar in flight. One request may be sent to it
    /// as an ejection probe.
    Trial,
    /// Ejected, and may not be sent an ejection probe yet.
    Waiting,
}

impl Pool {
    /// All states, in the order in which their sets are stored.
    pub const ALL: [Pool; 4] = [Pool::Warm, Pool::Cold, Pool::Trial, Pool::Waiting];
}

/// The servers that a pair is drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DrawFrom {
    /// Warm servers in this sidecar's zone.
    LocalWarm,
    /// Warm servers in all zones.
    Warm,
    /// All servers that may be sent a request: warm ones, cold ones and those due for an ejection probe.
    Ready,
    /// All serving servers, including ejected ones.
    AllServing,
    /// All serving servers in a zone.
    Zone(ZoneId),
    /// All serving servers in a cell.
    Cell(CellId),
}

impl DrawFrom {
    /// The pools that make up this source. Empty for a zone or a cell, which are not made up of pools.
    fn pools(self) -> &'static [Pool] {
        match self {
            DrawFrom::LocalWarm | DrawFrom::Warm => &[Pool::Warm],
            DrawFrom::Ready => &[Pool::Warm, Pool::Cold, Pool::Trial],
            DrawFrom::AllServing => &Pool::ALL,
            DrawFrom::Zone(_) | DrawFrom::Cell(_) => &[],
        }
    }
}

/// Returns the server at an index into the concatenation of some sets.
pub(crate) fn nth_member<'s>(
    sets: impl Iterator<Item = &'s EndpointSet>,
    mut index: usize,
) -> Option<UpstreamId> {
    for set in sets {
        match set.get_index(index) {
            Some(id) => return Some(*id),
            None => index -= set.len(),
        }
    }
    None
}

/// Draws a pair of distinct servers from some sets. `below(n)` returns a random number less than `n`. If
/// there is only one server, the pair consists of that server twice.
pub(crate) fn draw_pair<'s>(
    sets: impl Iterator<Item = &'s EndpointSet> + Clone,
    mut below: impl FnMut(u64) -> u64,
) -> Option<[UpstreamId; 2]> {
    let count = sets.clone().map(|set| set.len()).sum::<usize>() as u64;
    let first = below(count.checked_sub(1)? + 1);
    let step = if count > 1 { 1 + below(count - 1) } else { 0 };
    let at = |index: u64| nth_member(sets.clone(), index as usize);
    Some([at(first)?, at((first + step) % count)?])
}

/// The maximum rank of a subset without servers.
const EMPTY_SUBSET: Option<u64> = Some(0);

/// Sets of servers by locality and state: `[0]` holds the servers in this sidecar's zone, `[1]` those in
/// other zones.
type PoolsByLocality = [[EndpointSet; Pool::ALL.len()]; 2];

/// The serving servers in a set of zones, limited to the subset that is selected for these zones, by locality
/// and state. A draw from it costs the same for any number of servers, and never returns a server outside the
/// zones.
///
/// A server's position in the pools is a pair: its locality (0 for this sidecar's zone, 1 for any other) and
/// its state.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ZoneSetPools {
    /// The zones. `None` stands for all zones.
    #[serde(rename = "bounds")]
    pub zones: Option<BTreeSet<ZoneId>>,
    /// The highest rank in the subset. Servers with a higher rank are not in it. `None` means no limit.
    #[serde(rename = "highest")]
    pub max_rank: Option<u64>,
    pub pools: PoolsByLocality,
}

impl ZoneSetPools {
    /// Creates the pools for a set of zones. No server is eligible until a subset is selected.
    pub fn for_zones(zones: &BTreeSet<ZoneId>) -> ZoneSetPools {
        ZoneSetPools { zones: Some(zones.clone()), max_rank: EMPTY_SUBSET, pools: PoolsByLocality::default() }
    }

    /// Makes no server eligible until a subset is selected again.
    pub fn reset_subset(&mut self) {
        self.max_rank = EMPTY_SUBSET;
    }

    fn covers_zone(&self, zone: ZoneId) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.contains(&zone))
    }

    /// Whether a server is in the pools at the given position.
    pub fn contains(&self, id: UpstreamId, (locality, pool): (usize, Pool)) -> bool {
        self.pools[locality][pool as usize].contains(&id)
    }

    /// Inserts a serving server if its zone and rank make it eligible. Returns whether they do.
    pub fn insert_if_eligible(
        &mut self,
        id: UpstreamId,
        rank: u64,
        zone: ZoneId,
        (locality, pool): (usize, Pool),
    ) -> bool {
        let eligible = self.covers_zone(zone) && self.max_rank.is_none_or(|max_rank| rank <= max_rank);
        if eligible {
            self.pools[locality][pool as usize].insert(id);
        }
        eligible
    }

    /// Removes a server from the given position. Returns whether it was there.
    pub fn remove(&mut self, id: UpstreamId, (locality, pool): (usize, Pool)) -> bool {
        self.pools[locality][pool as usize].swap_remove(&id)
    }

    /// Moves a server from one position to another, if it is in these pools.
    pub fn change_pool(&mut self, id: UpstreamId, from: (usize, Pool), (locality, pool): (usize, Pool)) {
        if self.remove(id, from) {
            self.pools[locality][pool as usize].insert(id);
        }
    }

    /// The number of servers in the given pools.
    pub fn count(&self, pools: &[Pool]) -> usize {
        pools
            .iter()
            .map(|pool| self.pools.iter().map(|locality| locality[*pool as usize].len()).sum::<usize>())
            .sum()
    }

    /// The sets that a pair is drawn from. Empty if the source is a zone or a cell.
    pub fn sets_for(&self, from: DrawFrom) -> impl Iterator<Item = &EndpointSet> + Clone {
        let localities = if from == DrawFrom::LocalWarm { 1 } else { 2 };
        let pools = from.pools();
        self.pools[..localities]
            .iter()
            .flat_map(move |locality| pools.iter().map(|pool| &locality[*pool as usize]))
    }

    /// The sets of cold servers.
    pub fn cold_sets(&self) -> impl Iterator<Item = &EndpointSet> {
        self.pools.iter().map(|locality| &locality[Pool::Cold as usize])
    }

    /// Limits the subset to a number of the servers in these zones. `ranks` holds the rank and zone of every
    /// serving server, in ascending order. `count` returns the size of the subset for a given number of
    /// servers. Returns whether the highest rank in the subset changes.
    pub fn limit_subset(&mut self, ranks: &[(u64, ZoneId)], count: impl Fn(usize) -> usize) -> bool {
        let own = || ranks.iter().filter(|(_, zone)| self.covers_zone(*zone)).map(|(rank, _)| *rank);
        let max_rank = own().nth(count(own().count()).saturating_sub(1));
        std::mem::replace(&mut self.max_rank, max_rank) != max_rank
    }
}
