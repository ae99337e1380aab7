//! A sidecar's member of its fleet: what it is told by its process, and what it has its process do.

use std::net::SocketAddr;

use concert::{ClassNames, Company, Input, Output, Setup};
use listclock::Pace;
use peers::api::{
    Budgets, ClassPriority, Config, MemberId, PollingRate, Reachability, RegionId, ServerEntry, ServerState,
    Timing,
};
use peers::coordinator::Role;
use sagemast::api::*;

use crate::discovery::Listed;
use crate::member::Told;
use crate::spec::{Mode, Spec};
use crate::time::{Micros, micros};
use crate::world::World;

/// Unix time at the world's beginning, in milliseconds.
const UNIX: f64 = 1.7e12;
/// So many lines for the operators are kept.
const NOTES: usize = 10_000;

/// Where a sidecar's datagrams come from and go to.
fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (member >> 8) as u8, member as u8], 7_946))
}

/// Whose address it is.
fn member_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) => {
            let [_, _, high, low] = at.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// The fleet as its operators configure it at one of its members.
fn config(spec: &Spec, me: usize) -> Config {
    let zones = spec.zones();
    let member = |number: usize| {
        let (zone, region) = &zones[number % zones.len()];
        // Members stand in the order of their names.
        let name = format!("s{number:05}");
        let region = RegionId(*region as u16);
        peers::api::Member { name, address: address(number), region, zone: zone.clone() }
    };
    Config {
        me: MemberId(me as u16),
        members: (0..spec.members).map(member).collect(),
        regions: spec.regions.iter().map(|region| region.name.clone()).collect(),
        classes: spec
            .classes
            .iter()
            .map(|c| ClassPriority { priority_weight: c.class.priority_weight, per_work_unit: false })
            .collect(),
        class_floor: spec.class_floor,
        budgets: Budgets { retries: spec.retries, hedges: 0.0 },
        timing: Timing::default(),
    }
}

impl World {
    /// The company of a process that starts now; `None` where sidecars meet trouble alone and have no rules.
    pub(crate) fn new_company(&mut self, member: usize, seed: u64) -> Option<Company> {
        let residency = self.rules_read(member);
        let peers = (self.spec.mode == Mode::Shared).then(|| config(&self.spec, member));
        if peers.is_none() && residency.is_none() {
            return None;
        }
        let settings = self.spec.settings(self.members[member].zone);
        let class = |(base, spec): (usize, &crate::spec::ClassSpec)| ClassNames {
            base: ClassId(base),
            class: spec.name.clone(),
            route: None,
        };
        let setup = Setup {
            peers,
            residency,
            incarnation: (UNIX + self.now as f64 / 1e3) as u64,
            seed,
            settings: &settings,
            classes: self.spec.classes.iter().enumerate().map(class).collect(),
            tenants: Vec::new(),
            zones: self.zones.iter().map(|zone| zone.0.clone()).collect(),
        };
        match Company::new(setup, 0.0) {
            Ok(company) => Some(company),
            // The world's own settings are at fault, and no run of it means anything.
            Err(error) => panic!("a world that no fleet can be made of: {error}"),
        }
    }

    /// Hands something to a sidecar's company and does what it says.
    pub(crate) fn company(&mut self, member: usize, input: Input) {
        let this = &mut self.members[member];
        let Some(company) = &mut this.company else { return };
        let mut out = Vec::new();
        company.handle(this.clock.at(self.now), &this.balancer, input, &mut out);
        for output in out {
            self.carries_out(member, output);
        }
        self.sees_coordinator(member);
    }

    fn carries_out(&mut self, member: usize, output: Output) {
        match output {
            Output::Event(event) => {
                if let Event::Guided(guidance) = &event {
                    self.sees_leases(member, guidance);
                }
                self.module(member, event);
            }
            Output::Entry { entry, .. } => self.entry_came(member, entry),
            Output::Send { to, bytes } => {
                let Some(to) = member_at(to).filter(|to| *to < self.members.len()) else { return };
                let apart = self.apart(member, self.members[to].zone);
                for takes in self.links.carry(member, to, apart) {
                    let event = crate::world::Event::Datagram { from: member, to, bytes: bytes.clone() };
                    self.queue.push(self.now + takes, event);
                }
            }
            Output::WakeAt(at) => {
                let at = self.members[member].clock.truth(at).max(self.now);
                // Asked for after each datagram, and mostly for the same time.
                if self.members[member].wakes.insert(at) {
                    self.tell_at(at, member, Told::PeerDue);
                }
            }
            Output::Ask(asking) => {
                let pace = match asking {
                    PollingRate::Normal => Pace::Usual,
                    PollingRate::Frequent => Pace::Often,
                    PollingRate::Infrequent => Pace::Seldom,
                };
                let this = &mut self.members[member];
                this.list_clock.set_pace(this.clock.at(self.now), pace);
                self.set_list_timer(member);
            }
            Output::Note(text) => {
                if self.notes.len() < NOTES {
                    self.notes.push((self.now, member, text));
                }
            }
        }
    }

    /// A datagram comes to a sidecar's address.
    pub(crate) fn datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.datagrams += 1;
        let incarnation = self.members[to].incarnation;
        self.tell(to, incarnation, Told::Datagram { from, bytes });
    }

    /// A process reads a datagram.
    pub(crate) fn reads(&mut self, member: usize, from: usize, bytes: &[u8]) {
        self.company(member, Input::Datagram { from: address(from), bytes });
    }

    /// How discovery looks from a sidecar.
    pub(crate) fn reach(&mut self, member: usize, reach: Reachability) {
        if self.members[member].reach.replace(reach) != Some(reach) {
            self.company(member, Input::Reach(reach));
        }
    }

    /// A sidecar's own discovery told something; its company hears it before its module.
    pub(crate) fn listed(&mut self, member: usize, whole: bool, list: &[(usize, Listed)]) {
        if self.members[member].company.is_some() {
            let version = self.members[member].version;
            let entries = list.iter().map(|(server, entry)| self.entry(*server, entry)).collect();
            self.company(member, Input::Listed { version, whole, entries });
        }
    }

    /// The list of a process's file: whom its module knows, but no news of discovery.
    pub(crate) fn remembered(&mut self, member: usize, list: &[(usize, Listed)]) {
        if self.members[member].company.is_some() {
            let entries = list.iter().map(|(server, entry)| self.entry(*server, entry)).collect();
            self.company(member, Input::Applied(entries));
        }
    }

    fn entry(&self, server: usize, listed: &Listed) -> (UpstreamId, ServerEntry) {
        let this = &self.servers[server];
        let entry = ServerEntry {
            host: this.name.clone(),
            dial: SocketAddr::from(([10, 1, (server >> 8) as u8, server as u8], 80)),
            zone: self.zones[listed.zone].0.clone(),
            kind: "std".to_owned(),
            cell: this.cell,
            state: listed.standing,
            weight: this.cores as f64,
            started_ms: if listed.started > 0 { UNIX + listed.started as f64 / 1e3 } else { 0.0 },
        };
        (UpstreamId(server as u64), entry)
    }

    /// What a peer says of a server is applied like a changed list.
    fn entry_came(&mut self, member: usize, entry: ServerEntry) {
        let found = self.servers.iter().position(|server| server.name == entry.host);
        let Some(server) = found.filter(|server| self.checks.lists.is_named(*server)) else {
            let text = || format!("sidecar {member} heard of {}, which no list named", entry.host);
            return self.checks.found.broken(self.now, crate::checks::Rule::Strangers, text);
        };
        let started = if entry.started_ms > 0.0 { micros(entry.started_ms - UNIX) } else { 0 };
        let zone = self.zone(&entry.zone).unwrap_or(self.servers[server].zone);
        let version = self.members[member].version;
        let listed = Listed { standing: entry.state, zone, started, version };
        self.company(member, Input::Applied(vec![(UpstreamId(server as u64), entry)]));
        let listings = self.take_in(member, &[(server, listed)]);
        self.module(member, Event::Listed(ListUpdate::Changed(listings)));
    }

    /// Looks at what a sidecar may send to cold servers.
    fn sees_leases(&mut self, member: usize, guidance: &Guidance) {
        for (upstream, lease) in guidance.slow_start_leases.iter().flatten() {
            let server = upstream.0 as usize;
            let until: Micros = self.members[member].clock.truth(lease.until);
            let warmth = self.servers[server].warmth(self.now, &self.spec.safety);
            let (bound, found) = (self.spec.cold_bound(warmth), &mut self.checks.found);
            let lease = (f64::from(lease.requests), until);
            self.checks.leases.granted(self.now, (server, member), lease, bound, found);
        }
    }

    /// Looks at whether a sidecar acts as coordinator.
    pub(crate) fn sees_coordinator(&mut self, member: usize) {
        let this = &self.members[member];
        let view = this.company.as_ref().filter(|_| this.runs()).and_then(|company| company.view().peers);
        let acts = view.filter(|view| view.role == Role::Coordinator).map(|view| format!("{:?}", view.term));
        let place = (this.region, member);
        self.checks.coordinators.sees(self.now, place, acts, &mut self.checks.found);
    }

    /// What the fleet's members tell of themselves, by sidecar.
    pub fn views(&self) -> Vec<Option<peers::Stats>> {
        let view = |member: &crate::member::Member| member.company.as_ref().and_then(|c| c.view().peers);
        self.members.iter().map(view).collect()
    }

    /// Whether a sidecar holds that a server takes new work.
    pub fn holds_serving(&self, member: usize, server: usize) -> bool {
        self.members[member].list.get(&server).is_some_and(|entry| entry.standing == ServerState::Serving)
    }
}
