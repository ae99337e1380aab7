//! Applies lists of upstreams: maintains the known servers and their ids, and notifies the balancer, the
//! transport and the cluster logic of changes.

use std::collections::HashSet;
use std::sync::Arc;

use sagemast::api::*;
use tokio::time::Instant;

use super::discovery_source::{Entry, List};
use super::server_age::{DiscoveryClockReading, StartBasis, differs_significantly, serving_weight};
use super::transport::UpstreamInfo;
use super::{Engine, Server};

/// When more than this many host names are known, the engine forgets servers that are gone.
const MAX_UPSTREAM_NAMES: usize = 4_096;

impl Engine {
    /// Applies a list or a change to it. `restored` means that the list was held before a restart and may be
    /// old.
    pub(super) fn apply_list(&mut self, list: List, restored: bool) {
        self.resume_from = list.resume_from;
        let complete = list.complete || restored;
        let basis = self.start_basis(&list, restored);
        let mut listings: Vec<Listing> =
            list.entries.iter().map(|entry| self.update_server(entry, basis)).collect();
        listings.extend(list.draining.iter().filter_map(|name| self.drain_server(name)));
        if complete {
            // A server whose entry could not be parsed is not missing: its last known state still applies.
            let unread = list.unparsed.iter().filter_map(|name| self.upstream_ids.get(name));
            listings
                .extend(unread.filter_map(|id| self.servers.get(id)).map(|server| server.listing.clone()));
            let listed: HashSet<UpstreamId> = listings.iter().map(|listing| listing.upstream).collect();
            for (id, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                if server.listing.lifecycle == Lifecycle::Serving {
                    server.listing.lifecycle = Lifecycle::Draining;
                    self.transport.update_upstream(*id, server.transport_info());
                }
            }
        }
        if self.upstream_ids.len() > MAX_UPSTREAM_NAMES {
            self.forget_departed_servers();
        }
        // Any answer from discovery makes the sidecar ready, even one without changes. A restored list does
        // so only if it has entries.
        self.intake.update_ready(!restored || !listings.is_empty());
        // An empty restored list means that the process has no list yet, so there is nothing to pass on.
        if self.cluster.is_some() && !(restored && listings.is_empty()) {
            let entries = listings.iter().filter_map(|listing| {
                let server = self.servers.get(&listing.upstream)?;
                Some((listing.upstream, server.peer_entry()?))
            });
            let entries = entries.collect();
            self.notify_cluster_of_list(list.version, complete, entries);
        }
        self.notify_balancer(Event::Listed(match (restored, complete) {
            (true, _) => ListUpdate::Restored(listings),
            (false, true) => ListUpdate::Complete(listings),
            (false, false) => ListUpdate::Changed(listings),
        }));
    }

    /// Returns what is known about the start times in a list beyond its entries.
    fn start_basis(&mut self, list: &List, restored: bool) -> StartBasis {
        let now = self.to_millis(Instant::now());
        if restored {
            return self.server_ages.apply_restored_list(now, &list.entries);
        }
        if let Some(clock) = list.source_clock {
            let (asked_at, answered_at) = (self.to_millis(clock.asked_at), self.to_millis(clock.answered_at));
            self.server_ages.apply_clock_reading(DiscoveryClockReading {
                unix_ms: clock.unix_ms,
                asked_at,
                answered_at,
            });
        }
        let serving = if list.complete { serving_weight(&list.entries) } else { self.serving_weight() };
        let heard_before = list.previous_contact.map(|at| self.to_millis(at));
        self.server_ages.apply_list(now, &list.entries, heard_before, serving)
    }

    /// Like [`start_basis`](Engine::start_basis), for an entry reported by another cluster member.
    pub(super) fn start_basis_from_peer(&mut self, entry: &Entry) -> StartBasis {
        let now = self.to_millis(Instant::now());
        let serving = self.serving_weight();
        self.server_ages.apply_peer_entry(now, entry, serving)
    }

    /// Returns the total weight of all serving servers.
    fn serving_weight(&self) -> f64 {
        let listings = self.servers.values().map(|server| &server.listing);
        let serving = listings.filter(|listing| listing.lifecycle == Lifecycle::Serving);
        serving.map(|listing| listing.weight.max(0.0)).sum()
    }

    /// Applies a list entry to the server that it describes, and returns the entry in the balancer's terms. A
    /// host name that is new gets the next upstream id.
    pub(super) fn update_server(&mut self, entry: &Entry, basis: StartBasis) -> Listing {
        let id = match self.upstream_ids.get(&entry.host) {
            Some(id) => *id,
            None => {
                self.last_upstream_id += 1;
                self.upstream_ids.insert(entry.host.clone(), UpstreamId(self.last_upstream_id));
                UpstreamId(self.last_upstream_id)
            }
        };
        let started = self.start_time(id, entry.started_ms, basis);
        let listing = Listing {
            upstream: id,
            zone: ZoneId(self.settings.zone_number(&entry.zone)),
            cell: CellId(entry.cell),
            kind: KindId(self.settings.kind_number(&entry.kind)),
            lifecycle: if entry.serving { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: entry.weight,
            started,
        };
        let in_cluster = self.cluster.is_some();
        let server = self.servers.entry(id).or_insert_with(|| Server {
            host: Arc::from(entry.host.as_str()),
            listing: listing.clone(),
            address: entry.dial,
            started_ms: entry.started_ms,
            incarnation: 0,
            entry: None,
        });
        // A connection to a previous address or incarnation leads nowhere, or to the wrong process.
        if server.address != entry.dial || server.started_ms != entry.started_ms {
            server.incarnation += 1;
        }
        server.entry = in_cluster.then(|| Box::new(entry.clone()));
        (server.address, server.started_ms, server.listing) = (entry.dial, entry.started_ms, listing.clone());
        self.transport.update_upstream(id, server.transport_info());
        listing
    }

    /// Returns when a server started, on the balancer's clock. An earlier estimate for the same start stays,
    /// unless a list whose starts may be of any age, such as the first one, gives a significantly different
    /// estimate.
    fn start_time(&mut self, id: UpstreamId, started_ms: f64, basis: StartBasis) -> Option<Millis> {
        let known = self.servers.get(&id).filter(|server| server.started_ms == started_ms);
        let before = known.map(|server| server.listing.started);
        if let (Some(before), StartBasis::Live { .. } | StartBasis::AfterGap { .. }) = (before, basis) {
            return before;
        }
        let now = self.to_millis(Instant::now());
        let estimate = self.server_ages.start_time(now, started_ms, basis);
        before.filter(|before| !differs_significantly(*before, estimate)).unwrap_or(estimate)
    }

    /// Marks a server as draining, so that it gets no new requests. Returns `None` if the host name is
    /// unknown.
    fn drain_server(&mut self, name: &str) -> Option<Listing> {
        let id = *self.upstream_ids.get(name)?;
        let server = self.servers.get_mut(&id)?;
        server.listing.lifecycle = Lifecycle::Draining;
        if let Some(entry) = &mut server.entry {
            entry.serving = false;
        }
        self.transport.update_upstream(id, server.transport_info());
        Some(server.listing.clone())
    }

    /// Forgets servers that are neither serving nor busy with an attempt, so that the tables do not grow
    /// without bound.
    fn forget_departed_servers(&mut self) {
        let busy: HashSet<UpstreamId> =
            self.in_flight_attempts.values().map(|attempt| attempt.upstream).collect();
        let transport = &self.transport;
        self.servers.retain(|id, server| {
            let kept = server.listing.lifecycle == Lifecycle::Serving || busy.contains(id);
            if !kept {
                transport.remove_upstream(*id);
            }
            kept
        });
        self.upstream_ids.retain(|_, id| self.servers.contains_key(id));
    }
}

impl Server {
    /// Returns the name of the server's zone. `None` if no cluster logic runs, since only residency rules
    /// need it.
    fn zone_name(&self) -> Option<Arc<str>> {
        self.entry.as_ref().map(|entry| Arc::from(entry.zone.as_str()))
    }

    /// Returns what the transport needs to know about the server.
    fn transport_info(&self) -> UpstreamInfo {
        let serving = self.listing.lifecycle == Lifecycle::Serving;
        UpstreamInfo {
            host: self.host.clone(),
            dial: self.address,
            incarnation: self.incarnation,
            zone: self.zone_name(),
            serving,
        }
    }
}
