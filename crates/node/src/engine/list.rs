//! The list of upstreams: names and ids, and what the module and the transport are told of them.

use std::collections::HashSet;
use std::sync::Arc;

use sagemast::api::*;
use tokio::time::Instant;

use super::roster::{Entry, List};
use super::server_age::{Basis, Reading, is_revised, serving_weight};
use super::transport::Peer;
use super::{Engine, Server};

/// The names of upstreams that are gone are forgotten when there are more than this many names.
const NAMES: usize = 4_096;

impl Engine {
    /// Takes in a list or what changed in it; `restored`, it is the one held before a restart.
    pub(super) fn apply_list(&mut self, list: List, restored: bool) {
        self.resume_from = list.resume_from;
        let whole = list.whole || restored;
        let basis = self.basis_of(&list, restored);
        let mut listings: Vec<Listing> = list.entries.iter().map(|entry| self.update(entry, basis)).collect();
        listings.extend(list.leaving.iter().filter_map(|name| self.leave_server(name)));
        if whole {
            // An entry that cannot be read is not missing: what was known of its host stands.
            let unread = list.unread.iter().filter_map(|name| self.names.get(name));
            listings
                .extend(unread.filter_map(|id| self.servers.get(id)).map(|server| server.listing.clone()));
            let named: HashSet<UpstreamId> = listings.iter().map(|listing| listing.upstream).collect();
            for (id, server) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if server.listing.lifecycle == Lifecycle::Serving {
                    server.listing.lifecycle = Lifecycle::Leaving;
                    self.transport.update_upstream(*id, server.peer());
                }
            }
        }
        if self.names.len() > NAMES {
            self.forget();
        }
        // Whatever discovery says, also that nothing has changed, is all that there is.
        self.intake.make_ready(!restored || !listings.is_empty());
        // A process that has no list yet has been told none.
        if self.acting.is_some() && !(restored && listings.is_empty()) {
            let entries = listings.iter().filter_map(|listing| {
                let server = self.servers.get(&listing.upstream)?;
                Some((listing.upstream, server.told()?))
            });
            let entries = entries.collect();
            self.listed_company(list.version, whole, entries);
        }
        self.event(Event::Listed(match (restored, whole) {
            (true, _) => ListNews::Restored(listings),
            (false, true) => ListNews::Complete(listings),
            (false, false) => ListNews::Changed(listings),
        }));
    }

    /// What is known of when the servers of a list started.
    fn basis_of(&mut self, list: &List, restored: bool) -> Basis {
        let now = self.millis(Instant::now());
        if restored {
            return self.ages.restored(now, &list.entries);
        }
        if let Some(clock) = list.source_clock {
            let (asked_at, answered_at) = (self.millis(clock.asked_at), self.millis(clock.answered_at));
            self.ages.read(Reading { unix_ms: clock.unix_ms, asked_at, answered_at });
        }
        let serving = if list.whole { serving_weight(&list.entries) } else { self.serving_weight() };
        let heard_before = list.heard_before.map(|at| self.millis(at));
        self.ages.listed(now, &list.entries, heard_before, serving)
    }

    /// The same for an entry that another member told of.
    pub(super) fn basis_by_peer(&mut self, entry: &Entry) -> Basis {
        let now = self.millis(Instant::now());
        let serving = self.serving_weight();
        self.ages.told_by_peer(now, entry, serving)
    }

    /// The weight of all servers that serve.
    fn serving_weight(&self) -> f64 {
        let listings = self.servers.values().map(|server| &server.listing);
        let serving = listings.filter(|listing| listing.lifecycle == Lifecycle::Serving);
        serving.map(|listing| listing.weight.max(0.0)).sum()
    }

    /// Takes in what the roster says of one upstream, in the module's terms.
    pub(super) fn update(&mut self, entry: &Entry, basis: Basis) -> Listing {
        let id = match self.names.get(&entry.host) {
            Some(id) => *id,
            None => {
                self.next_upstream += 1;
                self.names.insert(entry.host.clone(), UpstreamId(self.next_upstream));
                UpstreamId(self.next_upstream)
            }
        };
        let started = self.started(id, entry.started_ms, basis);
        let listing = Listing {
            upstream: id,
            zone: ZoneId(self.settings.zone_named(&entry.zone)),
            cell: CellId(entry.cell),
            kind: KindId(self.settings.kind_named(&entry.kind)),
            lifecycle: if entry.serving { Lifecycle::Serving } else { Lifecycle::Leaving },
            weight: entry.weight,
            started,
        };
        let acting = self.acting.is_some();
        let server = self.servers.entry(id).or_insert_with(|| Server {
            host: Arc::from(entry.host.as_str()),
            listing: listing.clone(),
            dial: entry.dial,
            started_ms: entry.started_ms,
            life: 0,
            entry: None,
        });
        // Connections to another address or another life lead nowhere, or to the wrong process.
        if server.dial != entry.dial || server.started_ms != entry.started_ms {
            server.life += 1;
        }
        server.entry = acting.then(|| Box::new(entry.clone()));
        (server.dial, server.started_ms, server.listing) = (entry.dial, entry.started_ms, listing.clone());
        self.transport.update_upstream(id, server.peer());
        listing
    }

    /// When a server started, on the module's clock. What was judged before stands, unless a first list shows better.
    fn started(&mut self, id: UpstreamId, started_ms: f64, basis: Basis) -> Option<Millis> {
        let known = self.servers.get(&id).filter(|server| server.started_ms == started_ms);
        let before = known.map(|server| server.listing.started);
        if let (Some(before), Basis::Told { .. } | Basis::AfterSilence { .. }) = (before, basis) {
            return before;
        }
        let now = self.millis(Instant::now());
        let judged = self.ages.started(now, started_ms, basis);
        before.filter(|before| !is_revised(*before, judged)).unwrap_or(judged)
    }

    /// Takes in that an upstream wants nothing new; `None` for one that is not known.
    fn leave_server(&mut self, name: &str) -> Option<Listing> {
        let id = *self.names.get(name)?;
        let server = self.servers.get_mut(&id)?;
        server.listing.lifecycle = Lifecycle::Leaving;
        if let Some(entry) = &mut server.entry {
            entry.serving = false;
        }
        self.transport.update_upstream(id, server.peer());
        Some(server.listing.clone())
    }

    /// Forgets upstreams that are gone, so that names do not pile up.
    fn forget(&mut self) {
        let busy: HashSet<UpstreamId> = self.sent.values().map(|sent| sent.upstream).collect();
        let transport = &self.transport;
        self.servers.retain(|id, server| {
            let kept = server.listing.lifecycle == Lifecycle::Serving || busy.contains(id);
            if !kept {
                transport.remove_upstream(*id);
            }
            kept
        });
        self.names.retain(|_, id| self.servers.contains_key(id));
    }
}

impl Server {
    /// The name of its zone, where rules may ask for it.
    fn zone(&self) -> Option<Arc<str>> {
        self.entry.as_ref().map(|entry| Arc::from(entry.zone.as_str()))
    }

    /// What a transport must know of it.
    fn peer(&self) -> Peer {
        let serving = self.listing.lifecycle == Lifecycle::Serving;
        Peer { host: self.host.clone(), dial: self.dial, life: self.life, zone: self.zone(), serving }
    }
}
