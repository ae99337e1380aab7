//! The servers, and the sets that requests are drawn from. Nothing is decided here.
//!
//! Two random choices cost the same whatever the fleet, as long as nothing looks at every server. So each
//! server stands in one set by zone and state, sets are kept by events and drawn from by index, and what
//! changes with time alone (a cold server grows warm, an ejected one is due for a trial) waits in an order
//! of due times. Only a list update costs its own length.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use oorandom::Rand64;
use ordered_float::OrderedFloat;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::groups::{Set, join, leave};
use crate::state::*;

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

const POOLS: usize = 4;

/// Whom a pair is drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum From {
    /// Warm servers in our zone.
    Near,
    /// Warm servers.
    Warm,
    /// All that may be sent a request: warm, cold, and due for a trial.
    Ready,
    /// All that serve, ejected ones too.
    Everyone,
    /// All that serve in a zone.
    Zone(ZoneId),
    /// All that serve in a cell.
    Cell(CellId),
}

/// All servers known, and the sets of those that serve.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Fleet {
    #[serde(with = "indexmap::map::serde_seq")]
    servers: IndexMap<UpstreamId, Upstream, FxBuildHasher>,
    /// Servers with a higher number than this are not of our subset and stand in no set; the salt tells numbers.
    highest: Option<u64>,
    salt: u64,
    /// By [`Pool`]; `[0]` those of our zone, `[1]` the others.
    pools: [[Set; POOLS]; 2],
    zones: BTreeMap<ZoneId, Set>,
    cells: BTreeMap<CellId, Set>,
    /// When time alone may change a server's set. An entry may be out of date; looking again does no harm.
    due: BTreeSet<(OrderedFloat<Millis>, UpstreamId)>,
    /// Sum of the failure rates of those that serve, in millionths: whole numbers, which cannot drift.
    failures: u64,
}

impl Fleet {
    /// No servers yet; the salt tells which of them will be of the subset.
    pub fn new(salt: u64) -> Fleet {
        Fleet { salt, ..Fleet::default() }
    }

    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.servers.get(&id)
    }

    /// For what does not change a server's set; after what may, call [`Fleet::settle`].
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.servers.get_mut(&id)
    }

    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.servers.values()
    }

    /// How many serve in these states.
    pub fn count(&self, pools: &[Pool]) -> usize {
        pools.iter().map(|pool| self.pools.iter().map(|side| side[*pool as usize].len()).sum::<usize>()).sum()
    }

    /// How many serve.
    pub fn serving(&self) -> usize {
        self.count(&[Pool::Warm, Pool::Cold, Pool::Trial, Pool::Waiting])
    }

    /// Mean failure rate of those that serve.
    pub fn mean_failure_rate(&self) -> f64 {
        self.failures as f64 / 1e6 / (self.serving() as f64).max(1.0)
    }

    /// The sets that make up whom a pair is drawn from.
    fn sets(&self, from: From) -> [Option<&Set>; 2 * POOLS] {
        let mut sets = [None; 2 * POOLS];
        let (sides, pools): (&[[Set; POOLS]], usize) = match from {
            From::Near => (&self.pools[..1], 1),
            From::Warm => (&self.pools, 1),
            From::Ready => (&self.pools, POOLS - 1),
            From::Everyone => (&self.pools, POOLS),
            From::Zone(_) | From::Cell(_) => (&[], 0),
        };
        sets[0] = match from {
            From::Zone(zone) => self.zones.get(&zone),
            From::Cell(cell) => self.cells.get(&cell),
            _ => None,
        };
        for (place, set) in sides.iter().flat_map(|side| &side[..pools]).enumerate() {
            sets[place] = Some(set);
        }
        sets
    }

    /// A pair of distinct members, drawn by `below(n)`, a random number under `n`; the one there is, twice,
    /// where there is only one.
    pub fn pair(&self, from: From, mut below: impl FnMut(u64) -> u64) -> Option<[UpstreamId; 2]> {
        let sets = self.sets(from);
        let count = sets.iter().flatten().map(|set| set.len()).sum::<usize>() as u64;
        let first = below(count.checked_sub(1)? + 1);
        let step = if count > 1 { 1 + below(count - 1) } else { 0 };
        let member = |index: u64| {
            let mut index = index as usize;
            for set in sets.iter().flatten() {
                match set.get_index(index) {
                    Some(id) => return Some(*id),
                    None => index -= set.len(),
                }
            }
            None
        };
        Some([member(first)?, member((first + step) % count)?])
    }

    // --- What changes the sets ----------------------------------------------------------------

    /// Takes over what discovery says of a server.
    pub fn update(&mut self, entry: &Listing, home: ZoneId, now: Millis, safety: &Safety) {
        let id = entry.upstream;
        self.take_out(id);
        self.servers.entry(id).or_insert_with(|| Upstream::new(entry)).relist(entry);
        self.put_in(id, home, now, safety);
    }

    /// Keeps so many of those that serve in the sets, by how many those are, the others out of them; how many those are.
    pub fn keep_subset(
        &mut self,
        count: impl Fn(usize) -> usize,
        home: ZoneId,
        now: Millis,
        safety: &Safety,
    ) -> usize {
        let serving = self.servers.iter().filter(|(_, server)| server.serving);
        let mut numbers: Vec<u64> = serving.map(|(id, _)| self.number(*id)).collect();
        numbers.sort_unstable();
        let highest = numbers.get(count(numbers.len()).saturating_sub(1)).copied();
        if std::mem::replace(&mut self.highest, highest) != highest {
            for id in self.servers.keys().copied().collect::<Vec<_>>() {
                self.take_out(id);
                self.put_in(id, home, now, safety);
            }
        }
        numbers.len()
    }

    /// A server's number at this sidecar: for good, so that a subset changes no more than its list.
    fn number(&self, id: UpstreamId) -> u64 {
        Rand64::new(u128::from(self.salt) << 64 | u128::from(id.0)).rand_u64()
    }

    /// Drops from the sets whoever is missing from a whole list.
    pub fn keep_only(&mut self, list: &[Listing]) {
        let listed: BTreeSet<UpstreamId> = list.iter().map(|entry| entry.upstream).collect();
        let missing: Vec<UpstreamId> =
            self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in missing {
            self.take_out(id);
            if let Some(server) = self.servers.get_mut(&id) {
                server.serving = false;
            }
            self.forget(id);
        }
    }

    /// Forgets a server that neither serves nor owes us an answer.
    pub fn forget(&mut self, id: UpstreamId) {
        if self.get(id).is_some_and(|server| !server.serving && server.outstanding.is_empty()) {
            self.servers.swap_remove(&id);
        }
    }

    /// Moves servers whose time has come.
    pub fn pass_time(&mut self, now: Millis, safety: &Safety) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| at.0 <= now) {
            self.due.remove(&(at, id));
            self.settle(id, now, safety);
        }
    }

    /// Puts a server into the set that its state asks for.
    pub fn settle(&mut self, id: UpstreamId, now: Millis, safety: &Safety) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((side, was)) = server.pooled else { return };
        let (pool, due) = server.state(now, safety);
        if let Some(at) = due {
            self.due.insert((OrderedFloat(at), id));
        }
        if pool != was {
            server.pooled = Some((side, pool));
            self.pools[side][was as usize].swap_remove(&id);
            self.pools[side][pool as usize].insert(id);
        }
    }

    /// Averages in whether an attempt failed; the server's failure rate after it.
    pub fn count_failure(&mut self, id: UpstreamId, failed: bool, weight: f64) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 0.0 };
        let was = server.failures;
        let rate = f64::from(was) / 1e6;
        server.failures = ((rate + weight * (f64::from(u8::from(failed)) - rate)) * 1e6) as u32;
        if server.pooled.is_some() {
            self.failures = self.failures + u64::from(server.failures) - u64::from(was);
        }
        f64::from(server.failures) / 1e6
    }

    fn put_in(&mut self, id: UpstreamId, home: ZoneId, now: Millis, safety: &Safety) {
        let left_out = self.highest.is_some_and(|highest| self.number(id) > highest);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !server.serving {
            return self.forget(id);
        }
        if left_out {
            return;
        }
        let side = usize::from(server.zone != home);
        let (pool, due) = server.state(now, safety);
        server.pooled = Some((side, pool));
        self.failures += u64::from(server.failures);
        self.due.extend(due.map(|at| (OrderedFloat(at), id)));
        self.pools[side][pool as usize].insert(id);
        join(&mut self.zones, server.zone, id);
        join(&mut self.cells, server.cell, id);
    }

    fn take_out(&mut self, id: UpstreamId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((side, pool)) = server.pooled.take() else { return };
        self.failures -= u64::from(server.failures);
        self.pools[side][pool as usize].swap_remove(&id);
        leave(&mut self.zones, server.zone, id);
        leave(&mut self.cells, server.cell, id);
    }
}

#[cfg(test)]
mod tests;
