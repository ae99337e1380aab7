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
use crate::groups::{
    DrawFrom, EndpointSet, Pool, ZoneSetPools, add_to_group, draw_pair, nth_member, remove_from_group,
};
use crate::state::*;

/// All servers known, and the sets of those that serve.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    /// When [`Endpoints::advance_time`] was last told; each event begins with that.
    #[serde(skip)]
    now: Millis,
    #[serde(with = "indexmap::map::serde_seq")]
    servers: IndexMap<UpstreamId, Upstream, FxBuildHasher>,
    /// Tells the servers' numbers. Those with high ones are not of our subset and stand in no set.
    salt: u64,
    /// Those of our subset.
    #[serde(rename = "anywhere")]
    unrestricted: ZoneSetPools,
    /// Those within the bounds that some requests have.
    #[serde(rename = "rings")]
    zone_sets: Vec<ZoneSetPools>,
    zones: BTreeMap<ZoneId, EndpointSet>,
    cells: BTreeMap<CellId, EndpointSet>,
    /// When time alone may change a server's set. An entry may be out of date; looking again does no harm.
    #[serde(rename = "due")]
    pool_changes: BTreeSet<(OrderedFloat<Millis>, UpstreamId)>,
    /// Sum of the failure rates of those that serve, in millionths: whole numbers, which cannot drift.
    #[serde(rename = "failures")]
    failure_rate_sum: u64,
}

impl Endpoints {
    /// No servers yet; the salt tells which of them will be of the subset.
    pub fn new(salt: u64) -> Endpoints {
        Endpoints { salt, ..Endpoints::default() }
    }

    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.servers.get(&id)
    }

    /// For what does not change a server's set; after what may, call [`Endpoints::update_pool`].
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.servers.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// The servers of a ring, or of our whole subset.
    fn pools(&self, ring: Option<usize>) -> Option<&ZoneSetPools> {
        ring.map_or(Some(&self.unrestricted), |ring| self.zone_sets.get(ring))
    }

    /// How many of a ring serve in these states.
    pub fn count(&self, ring: Option<usize>, pools: &[Pool]) -> usize {
        self.pools(ring).map_or(0, |ring| ring.count(pools))
    }

    /// How many of a ring serve.
    pub fn serving_count(&self, ring: Option<usize>) -> usize {
        self.count(ring, &Pool::ALL)
    }

    /// What a request lacks that found no place: servers at all where it is bound to a ring, else room.
    pub fn refusal_reason(&self, ring: Option<usize>) -> Reason {
        if ring.is_some() && self.serving_count(ring) == 0 { Reason::Residency } else { Reason::Overload }
    }

    /// Mean failure rate of those that serve.
    pub fn mean_failure_rate(&self) -> f64 {
        self.failure_rate_sum as f64 / 1e6 / (self.serving_count(None) as f64).max(1.0)
    }

    /// A pair of those that a request may be sent to, drawn by `below(n)`, a random number under `n`. The members of a
    /// zone or a cell are those of all rings.
    pub fn draw_pair(
        &self,
        ring: Option<usize>,
        from: DrawFrom,
        below: impl FnMut(u64) -> u64,
    ) -> Option<[UpstreamId; 2]> {
        match from {
            DrawFrom::Zone(zone) => draw_pair(self.zones.get(&zone).into_iter(), below),
            DrawFrom::Cell(cell) => draw_pair(self.cells.get(&cell).into_iter(), below),
            _ => draw_pair(self.pools(ring)?.sets_for(from), below),
        }
    }

    /// The cold server of a ring at an index.
    pub fn cold_endpoint(&self, ring: Option<usize>, index: usize) -> Option<UpstreamId> {
        nth_member(self.pools(ring)?.cold_sets(), index)
    }

    /// How many rings there are beside the whole subset.
    pub fn zone_set_count(&self) -> usize {
        self.zone_sets.len()
    }

    // --- What changes the sets ----------------------------------------------------------------

    /// Takes over what discovery says of a server.
    pub fn update(&mut self, entry: &Listing, home: ZoneId, safety: &SlowStartRules) {
        let id = entry.upstream;
        self.remove_from_sets(id);
        self.servers.entry(id).or_insert_with(|| Upstream::new(entry)).update_listing(entry);
        self.add_to_sets(id, home, safety);
    }

    /// Keeps so many of those that serve in the sets of each ring, by how many those are, the others out of them; how
    /// many serve anywhere.
    pub fn select_subset(
        &mut self,
        count: impl Fn(usize) -> usize,
        home: ZoneId,
        safety: &SlowStartRules,
    ) -> usize {
        let serving = self.servers.iter().filter(|(_, server)| server.serving);
        let mut numbers: Vec<_> = serving.map(|(id, server)| (self.subset_rank(*id), server.zone)).collect();
        numbers.sort_unstable();
        let rings = std::iter::once(&mut self.unrestricted).chain(&mut self.zone_sets);
        if rings.fold(false, |changed, ring| ring.limit_subset(&numbers, &count) | changed) {
            for id in self.servers.keys().copied().collect::<Vec<_>>() {
                self.remove_from_sets(id);
                self.add_to_sets(id, home, safety);
            }
        }
        numbers.len()
    }

    /// Gives requests other rings to be drawn from; nobody stands in any until [`Endpoints::select_subset`].
    pub fn set_zone_sets(&mut self, zones: &[BTreeSet<ZoneId>]) {
        self.zone_sets = zones.iter().map(ZoneSetPools::for_zones).collect();
        self.unrestricted.reset_subset();
    }

    /// A server's number at this sidecar: for good, so that a subset changes no more than its list.
    fn subset_rank(&self, id: UpstreamId) -> u64 {
        Rand64::new(u128::from(self.salt) << 64 | u128::from(id.0)).rand_u64()
    }

    /// Drops from the sets whoever is missing from a whole list.
    pub fn retain_listed(&mut self, list: &[Listing]) {
        let listed: BTreeSet<UpstreamId> = list.iter().map(|entry| entry.upstream).collect();
        for id in self.servers.keys().filter(|id| !listed.contains(id)).copied().collect::<Vec<_>>() {
            self.remove_from_sets(id);
            if let Some(server) = self.servers.get_mut(&id) {
                server.serving = false;
            }
            self.remove_if_unused(id);
        }
    }

    /// Forgets a server that neither serves nor owes us an answer.
    pub fn remove_if_unused(&mut self, id: UpstreamId) {
        if self.get(id).is_some_and(|server| !server.serving && server.outstanding.is_empty()) {
            self.servers.swap_remove(&id);
        }
    }

    /// Moves servers whose time has come.
    pub fn advance_time(&mut self, now: Millis, safety: &SlowStartRules) {
        self.now = now;
        while let Some((at, id)) = self.pool_changes.first().copied().filter(|(at, _)| at.0 <= now) {
            self.pool_changes.remove(&(at, id));
            self.update_pool(id, safety);
        }
    }

    /// Puts a server into the set that its state asks for.
    pub fn update_pool(&mut self, id: UpstreamId, safety: &SlowStartRules) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((side, was)) = server.placement else { return };
        let (pool, due) = server.pool_at(self.now, safety);
        if let Some(at) = due {
            self.pool_changes.insert((OrderedFloat(at), id));
        }
        if pool != was {
            server.placement = Some((side, pool));
            let rings = std::iter::once(&mut self.unrestricted).chain(&mut self.zone_sets);
            rings.for_each(|ring| ring.change_pool(id, (side, was), (side, pool)));
        }
    }

    /// Averages in whether an attempt failed; the server's failure rate after it.
    pub fn record_outcome(&mut self, id: UpstreamId, failed: bool, weight: f64) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 0.0 };
        let was = server.failure_rate_ppm;
        let rate = f64::from(was) / 1e6;
        server.failure_rate_ppm = ((rate + weight * (f64::from(u8::from(failed)) - rate)) * 1e6) as u32;
        if server.placement.is_some_and(|place| self.unrestricted.contains(id, place)) {
            self.failure_rate_sum =
                self.failure_rate_sum + u64::from(server.failure_rate_ppm) - u64::from(was);
        }
        f64::from(server.failure_rate_ppm) / 1e6
    }

    fn add_to_sets(&mut self, id: UpstreamId, home: ZoneId, safety: &SlowStartRules) {
        let number = self.subset_rank(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !server.serving {
            return self.remove_if_unused(id);
        }
        let (pool, due) = server.pool_at(self.now, safety);
        let (zone, place) = (server.zone, (usize::from(server.zone != home), pool));
        let ours = self.unrestricted.insert_if_eligible(id, number, zone, place);
        self.failure_rate_sum += if ours { u64::from(server.failure_rate_ppm) } else { 0 };
        if self
            .zone_sets
            .iter_mut()
            .fold(ours, |in_one, ring| ring.insert_if_eligible(id, number, zone, place) | in_one)
        {
            server.placement = Some(place);
            self.pool_changes.extend(due.map(|at| (OrderedFloat(at), id)));
            add_to_group(&mut self.zones, zone, id);
            add_to_group(&mut self.cells, server.cell, id);
        }
    }

    fn remove_from_sets(&mut self, id: UpstreamId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(place) = server.placement.take() else { return };
        if self.unrestricted.remove(id, place) {
            self.failure_rate_sum -= u64::from(server.failure_rate_ppm);
        }
        for ring in &mut self.zone_sets {
            ring.remove(id, place);
        }
        remove_from_group(&mut self.zones, server.zone, id);
        remove_from_group(&mut self.cells, server.cell, id);
    }
}

#[cfg(test)]
mod tests;
