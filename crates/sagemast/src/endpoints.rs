//! The servers that discovery lists, and the sets of servers that requests are drawn from. This file keeps
//! state and decides nothing.
//!
//! A draw of two random servers costs the same for any number of servers, as long as no code on its path
//! iterates over all of them. Therefore each server is in one set, chosen by zone and state. Events update
//! the sets, and draws read them by index. Some state changes depend on time alone: a server in slow start
//! becomes warm, or an ejected server becomes due for an ejection probe. These changes wait in an ordered
//! queue until their time comes. Only an update of the server list costs time in proportion to its length.

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

/// All known servers, and the sets of the serving ones.
///
/// A request is drawn from the pools of one zone set, which residency rules give it, or from the unrestricted
/// pools. In this file, `zone_set: Option<usize>` selects between them: `None` means unrestricted.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoints {
    /// The time of the current event. [`Endpoints::advance_time`] sets it when the event begins.
    #[serde(skip)]
    now: Millis,
    #[serde(with = "indexmap::map::serde_seq")]
    servers: IndexMap<UpstreamId, Upstream, FxBuildHasher>,
    /// Seeds the servers' ranks. Servers with high ranks are outside this sidecar's subset and are in no set.
    salt: u64,
    /// The serving servers of this sidecar's subset, in all zones.
    #[serde(rename = "anywhere")]
    unrestricted: ZoneSetPools,
    /// For each zone set of the residency rules, the serving servers of its subset.
    #[serde(rename = "rings")]
    zone_sets: Vec<ZoneSetPools>,
    zones: BTreeMap<ZoneId, EndpointSet>,
    cells: BTreeMap<CellId, EndpointSet>,
    /// The times at which servers may change their pool because of time alone. An entry can be outdated,
    /// which is harmless: the server's state is evaluated again when the entry is due.
    #[serde(rename = "due")]
    pool_changes: BTreeSet<(OrderedFloat<Millis>, UpstreamId)>,
    /// The sum of the failure rates of the serving servers, in millionths. It is an integer so that rounding
    /// errors cannot accumulate.
    #[serde(rename = "failures")]
    failure_rate_sum: u64,
}

impl Endpoints {
    /// Starts without servers. The salt determines which servers will be in this sidecar's subset.
    pub fn new(salt: u64) -> Endpoints {
        Endpoints { salt, ..Endpoints::default() }
    }

    /// Returns a server by its id.
    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.servers.get(&id)
    }

    /// Returns a server for modification. After a change that can move the server to another pool, call
    /// [`Endpoints::update_pool`].
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut Upstream> {
        self.servers.get_mut(&id)
    }

    /// Iterates over all known servers.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.servers.iter().map(|(id, server)| (*id, server))
    }

    /// The pools of a zone set, or the unrestricted pools.
    fn pools_of(&self, zone_set: Option<usize>) -> Option<&ZoneSetPools> {
        zone_set.map_or(Some(&self.unrestricted), |index| self.zone_sets.get(index))
    }

    /// The number of servers in the given pools of a zone set.
    pub fn count(&self, zone_set: Option<usize>, pools: &[Pool]) -> usize {
        self.pools_of(zone_set).map_or(0, |zone_set| zone_set.count(pools))
    }

    /// The number of serving servers of a zone set.
    pub fn serving_count(&self, zone_set: Option<usize>) -> usize {
        self.count(zone_set, &Pool::ALL)
    }

    /// Why a request that found no server is refused. The reason is residency if the request is restricted to
    /// a zone set without serving servers, and overload otherwise.
    pub fn refusal_reason(&self, zone_set: Option<usize>) -> Reason {
        if zone_set.is_some() && self.serving_count(zone_set) == 0 {
            Reason::Residency
        } else {
            Reason::Overload
        }
    }

    /// The mean failure rate of the serving servers.
    pub fn mean_failure_rate(&self) -> f64 {
        self.failure_rate_sum as f64 / 1e6 / (self.serving_count(None) as f64).max(1.0)
    }

    /// Draws a pair of servers that a request may be sent to. `below(n)` returns a random number less than
    /// `n`. A draw from a zone or a cell ignores the zone set: its servers are those of all zone sets
    /// together.
    pub fn draw_pair(
        &self,
        zone_set: Option<usize>,
        from: DrawFrom,
        below: impl FnMut(u64) -> u64,
    ) -> Option<[UpstreamId; 2]> {
        match from {
            DrawFrom::Zone(zone) => draw_pair(self.zones.get(&zone).into_iter(), below),
            DrawFrom::Cell(cell) => draw_pair(self.cells.get(&cell).into_iter(), below),
            _ => draw_pair(self.pools_of(zone_set)?.sets_for(from), below),
        }
    }

    /// Returns a cold server of a zone set by its index among them.
    pub fn cold_endpoint(&self, zone_set: Option<usize>, index: usize) -> Option<UpstreamId> {
        nth_member(self.pools_of(zone_set)?.cold_sets(), index)
    }

    /// The number of zone sets, not counting the unrestricted pools.
    pub fn zone_set_count(&self) -> usize {
        self.zone_sets.len()
    }

    // --- Changes to the sets -------------------------------------------------------------------

    /// Adds a server or updates it from its entry in the server list.
    pub fn update(&mut self, entry: &Listing, own_zone: ZoneId, rules: &SlowStartRules) {
        let id = entry.upstream;
        self.remove_from_sets(id);
        self.servers.entry(id).or_insert_with(|| Upstream::new(entry)).update_listing(entry);
        self.add_to_sets(id, own_zone, rules);
    }

    /// Limits each zone set, and the unrestricted pools, to a subset of its serving servers. `count` returns
    /// the size of the subset for a given number of serving servers. Returns the number of servers that serve
    /// in any zone.
    pub fn select_subset(
        &mut self,
        count: impl Fn(usize) -> usize,
        own_zone: ZoneId,
        rules: &SlowStartRules,
    ) -> usize {
        let serving = self.servers.iter().filter(|(_, server)| server.serving);
        let mut ranks: Vec<_> = serving.map(|(id, server)| (self.subset_rank(*id), server.zone)).collect();
        ranks.sort_unstable();
        let all_pools = std::iter::once(&mut self.unrestricted).chain(&mut self.zone_sets);
        if all_pools.fold(false, |changed, pools| pools.limit_subset(&ranks, &count) | changed) {
            for id in self.servers.keys().copied().collect::<Vec<_>>() {
                self.remove_from_sets(id);
                self.add_to_sets(id, own_zone, rules);
            }
        }
        ranks.len()
    }

    /// Replaces the zone sets. All pools stay without servers until [`Endpoints::select_subset`] is called.
    pub fn set_zone_sets(&mut self, zone_sets: &[BTreeSet<ZoneId>]) {
        self.zone_sets = zone_sets.iter().map(ZoneSetPools::for_zones).collect();
        self.unrestricted.reset_subset();
    }

    /// The rank of a server at this sidecar. The servers with the lowest ranks form the subset. A rank never
    /// changes, so that a change of the server list changes the subset no more than necessary.
    fn subset_rank(&self, id: UpstreamId) -> u64 {
        Rand64::new(u128::from(self.salt) << 64 | u128::from(id.0)).rand_u64()
    }

    /// Removes the servers that are missing from a complete server list from all sets.
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

    /// Removes a server that is not serving and has none of this sidecar's attempts in flight.
    pub fn remove_if_unused(&mut self, id: UpstreamId) {
        if self.get(id).is_some_and(|server| !server.serving && server.outstanding.is_empty()) {
            self.servers.swap_remove(&id);
        }
    }

    /// Sets the current time and updates the pools of all servers whose time-dependent change is due.
    pub fn advance_time(&mut self, now: Millis, rules: &SlowStartRules) {
        self.now = now;
        while let Some((at, id)) = self.pool_changes.first().copied().filter(|(at, _)| at.0 <= now) {
            self.pool_changes.remove(&(at, id));
            self.update_pool(id, rules);
        }
    }

    /// Moves a server to the pool that its current state requires.
    pub fn update_pool(&mut self, id: UpstreamId, rules: &SlowStartRules) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some((locality, old_pool)) = server.placement else { return };
        let (pool, next_change) = server.pool_at(self.now, rules);
        if let Some(at) = next_change {
            self.pool_changes.insert((OrderedFloat(at), id));
        }
        if pool != old_pool {
            server.placement = Some((locality, pool));
            let all_pools = std::iter::once(&mut self.unrestricted).chain(&mut self.zone_sets);
            all_pools.for_each(|pools| pools.change_pool(id, (locality, old_pool), (locality, pool)));
        }
    }

    /// Updates a server's failure rate, a running mean, with the outcome of an attempt. Returns the new rate.
    pub fn record_outcome(&mut self, id: UpstreamId, failed: bool, weight: f64) -> f64 {
        let Some(server) = self.servers.get_mut(&id) else { return 0.0 };
        let old_failures = server.failure_rate_ppm;
        let rate = f64::from(old_failures) / 1e6;
        server.failure_rate_ppm = ((rate + weight * (f64::from(u8::from(failed)) - rate)) * 1e6) as u32;
        if server.placement.is_some_and(|position| self.unrestricted.contains(id, position)) {
            self.failure_rate_sum =
                self.failure_rate_sum + u64::from(server.failure_rate_ppm) - u64::from(old_failures);
        }
        f64::from(server.failure_rate_ppm) / 1e6
    }

    /// Adds a serving server to the sets of the subsets that it belongs to.
    fn add_to_sets(&mut self, id: UpstreamId, own_zone: ZoneId, rules: &SlowStartRules) {
        let rank = self.subset_rank(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if !server.serving {
            return self.remove_if_unused(id);
        }
        let (pool, next_change) = server.pool_at(self.now, rules);
        let (zone, position) = (server.zone, (usize::from(server.zone != own_zone), pool));
        let in_subset = self.unrestricted.insert_if_eligible(id, rank, zone, position);
        self.failure_rate_sum += if in_subset { u64::from(server.failure_rate_ppm) } else { 0 };
        if self
            .zone_sets
            .iter_mut()
            .fold(in_subset, |in_any, pools| pools.insert_if_eligible(id, rank, zone, position) | in_any)
        {
            server.placement = Some(position);
            self.pool_changes.extend(next_change.map(|at| (OrderedFloat(at), id)));
            add_to_group(&mut self.zones, zone, id);
            add_to_group(&mut self.cells, server.cell, id);
        }
    }

    /// Removes a server from all sets that it is in.
    fn remove_from_sets(&mut self, id: UpstreamId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Some(position) = server.placement.take() else { return };
        if self.unrestricted.remove(id, position) {
            self.failure_rate_sum -= u64::from(server.failure_rate_ppm);
        }
        for pools in &mut self.zone_sets {
            pools.remove(id, position);
        }
        remove_from_group(&mut self.zones, server.zone, id);
        remove_from_group(&mut self.cells, server.cell, id);
    }
}

#[cfg(test)]
mod tests;
