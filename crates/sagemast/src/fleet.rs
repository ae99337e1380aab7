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
use crate::groups::{From, Pool, Ring, Set, join, leave, member, pair};
use crate::state::*;

/// All servers known, and the sets of those that serve.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Fleet {
    /// When [`Fleet::pass_time`] was last told; each event begins with that.
    #[serde(skip)]
    now: Millis,
    #[serde(with = "indexmap::map::serde_seq")]
    servers: IndexMap<UpstreamId, Upstream, FxBuildHasher>,
    /// Tells the servers' numbers. Those with high ones are not of our subset and stand in no set.
    salt: u64,
    /// Those of our subset.
    anywhere: Ring,
    /// Those within the bounds that some requests have.
    rings: Vec<Ring>,
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

    pub fn each(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// The servers of a ring, or of our whole subset.
    fn ring(&self, ring: Option<usize>) -> Option<&Ring> {
        ring.map_or(Some(&self.anywhere), |ring| self.rings.get(ring))
    }

    /// How many of a ring serve in these states.
    pub fn count(&self, ring: Option<usize>, pools: &[Pool]) -> usize {
        self.ring(ring).map_or(0, |ring| ring.count(pools))
    }

    /// How many of a ring serve.
    pub fn serving(&self, ring: Option<usize>) -> usize {
        self.count(ring, &Pool::ALL)
    }

    /// What a request lacks that found no place: servers at all where it is bound to a ring, else room.
    pub fn lack(&self, ring: Option<usize>) -> Reason {
        if ring.is_some() && self.serving(ring) == 0 { Reason::Residency } else { Reason::Overload }
    }

    /// Mean failure rate of those that serve.
    pub fn mean_failure_rate(&self) -> f64 {
        self.failures as f64 / 1e6 / (self.serving(None) as f64).max(1.0)
    }

    /// A pair of those that a request may be sent to, drawn by `below(n)`, a random number under `n`. The members of a
    /// zone or a cell are those of all rings.
    pub fn pair(
        &self,
        ring: Option<usize>,
        from: From,
        below: impl FnMut(u64) -> u64,
    ) -> Option<[UpstreamId; 2]> {
        match from {
            From::Zone(zone) => pair(self.zones.get(&zone).into_iter(), below),
            From::Cell(cell) => pair(self.cells.get(&cell).into_iter(), below),
            _ => pair(self.ring(ring)?.sets(from), below),
        }
    }

    /// The cold server of a ring at an index.
    pub fn cold(&self, ring: Option<usize>, index: usize) -> Option<UpstreamId> {
        member(self.ring(ring)?.cold(), index)
    }

    /// How many rings there are beside the whole subset.
    pub fn rings(&self) -> usize {
        self.rings.len()
    }

    // --- What changes the sets ----------------------------------------------------------------

    /// Takes over what discovery says of a server.
    pub fn update(&mut self, entry: &Listing, home: ZoneId, safety: &Safety) {
        let id = entry.upstream;
        self.take_out(id);
        self.servers.entry(id).or_insert_with(|| Upstream::new(entry)).update_listing(entry);
        self.put_in(id, home, safety);
    }

    /// Keeps so many of those that serve in the sets of each ring, by how many those are, the others out of them; how
    /// many serve anywhere.
    pub fn keep_subset(&mut self, count: impl Fn(usize) -> usize, home: ZoneId, safety: &Safety) -> usize {
        let serving = self.servers.iter().filter(|(_, server)| server.serving);
        let mut numbers: Vec<_> = serving.map(|(id, server)| (self.number(*id), server.zone)).collect();
        numbers.sort_unstable();
        let rings = std::iter::once(&mut self.anywhere).chain(&mut self.rings);
        if rings.fold(false, |changed, ring| ring.keep(&numbers, &count) | changed) {
            for id in self.servers.keys().copied().collect::<Vec<_>>() {
                self.take_out(id);
                self.put_in(id, home, safety);
            }
        }
        numbers.len()
    }

    /// Gives requests other rings to be drawn from; nobody stands in any until [`Fleet::keep_subset`].
    pub fn bound(&mut self, zones: &[BTreeSet<ZoneId>]) {
        self.rings = zones.iter().map(Ring::of).collect();
        self.anywhere.begin_anew();
    }

    /// A server's number at this sidecar: for good, so that a subset changes no more than its list.
    fn number(&self, id: UpstreamId) -> u64 {
        Rand64::new(u128::from(self.salt) << 64 | u128::from(id.0)).rand_u64()
    }

    /// Drops from the sets whoever is missing from a whole list.
    pub fn keep_only(&mut self, list: &[Listing]) {
        let listed: BTreeSet<UpstreamId> = list.iter().map(|entry| entry.upstream).collect();
        for id in self.servers.keys().filter(|id| !listed.contains(id)).copied().collect::<Vec<_>>() {
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
        self.now = now;
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| at.0 <= now) {
            self.due.remove(&(at, id));
            self.settle(id, safety);
        }
    }

    /// Puts a server into the set that its state asks for.
    pub fn settle(&mut self, id: UpstreamId, safety: &Safety) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((side, was)) = server.placement else { return };
        let (pool, due) = server.pool_at(self.now, safety);
        if let Some(at) = due {
            self.due.insert((OrderedFloat(at), id));
        }
        if pool != was {
            server.placement = Some((side, pool));
            let rings = std::iter::once(&mut self.anywhere).chain(&mut self.rings);
            rings.for_each(|ring| ring.shift(id, (side, was), (side, pool)));
        }
    }

    /// Averages in whether an attempt failed; the server's failure rate after it.
    pub fn count_failure(&mut self, id: UpstreamId, failed: bool, weight: f64) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 0.0 };
        let was = server.failure_rate_ppm;
        let rate = f64::from(was) / 1e6;
        server.failure_rate_ppm = ((rate + weight * (f64::from(u8::from(failed)) - rate)) * 1e6) as u32;
        if server.placement.is_some_and(|place| self.anywhere.has(id, place)) {
            self.failures = self.failures + u64::from(server.failure_rate_ppm) - u64::from(was);
        }
        f64::from(server.failure_rate_ppm) / 1e6
    }

    fn put_in(&mut self, id: UpstreamId, home: ZoneId, safety: &Safety) {
        let number = self.number(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !server.serving {
            return self.forget(id);
        }
        let (pool, due) = server.pool_at(self.now, safety);
        let (zone, place) = (server.zone, (usize::from(server.zone != home), pool));
        let ours = self.anywhere.put_in(id, number, zone, place);
        self.failures += if ours { u64::from(server.failure_rate_ppm) } else { 0 };
        if self.rings.iter_mut().fold(ours, |in_one, ring| ring.put_in(id, number, zone, place) | in_one) {
            server.placement = Some(place);
            self.due.extend(due.map(|at| (OrderedFloat(at), id)));
            join(&mut self.zones, zone, id);
            join(&mut self.cells, server.cell, id);
        }
    }

    fn take_out(&mut self, id: UpstreamId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(place) = server.placement.take() else { return };
        if self.anywhere.take_out(id, place) {
            self.failures -= u64::from(server.failure_rate_ppm);
        }
        for ring in &mut self.rings {
            ring.take_out(id, place);
        }
        leave(&mut self.zones, server.zone, id);
        leave(&mut self.cells, server.cell, id);
    }
}

#[cfg(test)]
mod tests;
