//! Sets of servers, and groups of them by a key, a state or a ring of zones. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::api::{CellId, UpstreamId, ZoneId};

/// Members in the order that draws go by; which one has an index is the same wherever the same events came.
pub(crate) type EndpointSet = IndexSet<UpstreamId, FxBuildHasher>;

/// Adds a member to its group.
pub(crate) fn add_to_group<K: Ord>(groups: &mut BTreeMap<K, EndpointSet>, group: K, id: UpstreamId) {
    groups.entry(group).or_default().insert(id);
}

/// Takes a member out of its group, and the group away with its last member.
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

/// The states of a server that takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Pool {
    /// Healthy and at its full capacity.
    Warm,
    /// Healthy, started not long ago.
    Cold,
    /// Ejected, its time is up, and nothing of ours is out there: it may be tried with one request.
    Trial,
    /// Ejected.
    Waiting,
}

impl Pool {
    /// All of them, in the order of their sets.
    pub const ALL: [Pool; 4] = [Pool::Warm, Pool::Cold, Pool::Trial, Pool::Waiting];
}

/// Whom a pair is drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum DrawFrom {
    /// Warm servers in our zone.
    LocalWarm,
    /// Warm servers.
    Warm,
    /// All that may be sent a request: warm, cold, and due for a trial.
    Ready,
    /// All that serve, ejected ones too.
    AllServing,
    /// All that serve in a zone.
    Zone(ZoneId),
    /// All that serve in a cell.
    Cell(CellId),
}

impl DrawFrom {
    /// The states of those that it takes in; none where it is a group.
    fn pools(self) -> &'static [Pool] {
        match self {
            DrawFrom::LocalWarm | DrawFrom::Warm => &[Pool::Warm],
            DrawFrom::Ready => &[Pool::Warm, Pool::Cold, Pool::Trial],
            DrawFrom::AllServing => &Pool::ALL,
            DrawFrom::Zone(_) | DrawFrom::Cell(_) => &[],
        }
    }
}

/// The member of some sets at an index over all of them.
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

/// A pair of distinct members of some sets, drawn by `below(n)`, a random number under `n`; the one there is, twice,
/// where there is only one.
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

/// The highest number where nobody has a place.
const EMPTY_SUBSET: Option<u64> = Some(0);

/// Sets by state; `[0]` of those of our zone, `[1]` of the others.
type PoolsByLocality = [[EndpointSet; Pool::ALL.len()]; 2];

/// Those of some zones that serve and are of the subset for these zones, by state: a draw from it costs the same
/// whatever the fleet, and finds nobody outside.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ZoneSetPools {
    /// Its zones; all there are, where it has no bounds.
    #[serde(rename = "bounds")]
    pub zones: Option<BTreeSet<ZoneId>>,
    /// Servers with a higher number than this are not of its subset.
    #[serde(rename = "highest")]
    pub max_rank: Option<u64>,
    pub pools: PoolsByLocality,
}

impl ZoneSetPools {
    /// One that lets nobody in until its subset is known.
    pub fn for_zones(zones: &BTreeSet<ZoneId>) -> ZoneSetPools {
        ZoneSetPools { zones: Some(zones.clone()), max_rank: EMPTY_SUBSET, pools: PoolsByLocality::default() }
    }

    /// Has the subset told anew.
    pub fn reset_subset(&mut self) {
        self.max_rank = EMPTY_SUBSET;
    }

    fn covers_zone(&self, zone: ZoneId) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.contains(&zone))
    }

    /// Whether a server that serves stands here, by its side and state.
    pub fn contains(&self, id: UpstreamId, (side, pool): (usize, Pool)) -> bool {
        self.pools[side][pool as usize].contains(&id)
    }

    /// Puts a server in that serves, if it belongs here by its number and zone; whether it does.
    pub fn insert_if_eligible(
        &mut self,
        id: UpstreamId,
        number: u64,
        zone: ZoneId,
        (side, pool): (usize, Pool),
    ) -> bool {
        let belongs = self.covers_zone(zone) && self.max_rank.is_none_or(|highest| number <= highest);
        if belongs {
            self.pools[side][pool as usize].insert(id);
        }
        belongs
    }

    /// Takes a server out; whether it was here.
    pub fn remove(&mut self, id: UpstreamId, (side, pool): (usize, Pool)) -> bool {
        self.pools[side][pool as usize].swap_remove(&id)
    }

    /// Moves a server to another state, if it is here.
    pub fn change_pool(&mut self, id: UpstreamId, from: (usize, Pool), (side, pool): (usize, Pool)) {
        if self.remove(id, from) {
            self.pools[side][pool as usize].insert(id);
        }
    }

    /// How many stand here in these states.
    pub fn count(&self, pools: &[Pool]) -> usize {
        pools.iter().map(|pool| self.pools.iter().map(|side| side[*pool as usize].len()).sum::<usize>()).sum()
    }

    /// The sets that make up whom a pair is drawn from; none where that is a group.
    pub fn sets_for(&self, from: DrawFrom) -> impl Iterator<Item = &EndpointSet> + Clone {
        let sides = if from == DrawFrom::LocalWarm { 1 } else { 2 };
        let pools = from.pools();
        self.pools[..sides].iter().flat_map(move |side| pools.iter().map(|pool| &side[*pool as usize]))
    }

    /// The sets of cold ones.
    pub fn cold_sets(&self) -> impl Iterator<Item = &EndpointSet> {
        self.pools.iter().map(|side| &side[Pool::Cold as usize])
    }

    /// Keeps so many of its servers, by how many those are, given the numbers and zones of all in order; whether that
    /// changes who stands here.
    pub fn limit_subset(&mut self, all: &[(u64, ZoneId)], count: impl Fn(usize) -> usize) -> bool {
        let own = || all.iter().filter(|(_, zone)| self.covers_zone(*zone)).map(|(number, _)| *number);
        let highest = own().nth(count(own().count()).saturating_sub(1));
        std::mem::replace(&mut self.max_rank, highest) != highest
    }
}
