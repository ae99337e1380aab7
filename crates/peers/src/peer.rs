//! One member: what comes in is handed to its parts, what they tell each other goes through here, and what they want is
//! sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::api::{
    Config, Fact, FactKind, Guidance, Input, KnownServer, MemberId, Millis, Output, Reachability, ServerKey,
    ServerState,
};
use crate::config::{ConfigError, check};
use crate::coordinator::{self, Coordinator};
use crate::facts::{Facts, News};
use crate::incarnation_claims::IncarnationClaims;
use crate::leases::{LeaseTable, SharedLimit};
use crate::membership::Membership;
use crate::overload::{self, Overload};
use crate::stats::Stats;
use crate::wire::{self, DatagramHeader, MAX_INCARNATION, Outbox, PartKind};

/// What this member saw of a server is taken back when it was not seen again for so many leases.
const SEEN_LEASES: u64 = 10;

/// A trial that another member told of counts for so many periods.
const TRIAL_PERIODS: u64 = 25;

/// How many former selves of members are told in a period that they are.
const OUTDATED_TOLD: u8 = 4;

/// One member of the fleet.
#[derive(Debug)]
pub struct Peer {
    config: Arc<Config>,
    digest: [u8; 4],
    incarnation: u64,
    rng: Pcg64Mcg,
    membership: Membership,
    facts: Facts,
    ledger: LeaseTable,
    coordinator: Coordinator,
    overload: Overload,
    /// How discovery looks from here, as was told last.
    reach: Option<Reachability>,
    /// The servers that were told last, if any were.
    servers: Option<Vec<KnownServer>>,
    /// What this member saw of servers.
    seen: BTreeMap<ServerKey, Seen>,
    /// When the next period begins, when the coordinator wants to be woken, and the wake that was asked for last.
    period: Millis,
    wakes: BTreeSet<Millis>,
    asked: Option<Millis>,
    /// How many former selves may still be told so in this period, and when this one was.
    outdated: u8,
    renewed: Option<Millis>,
    /// What others claim to know of later starts of this one.
    incarnation_claims: IncarnationClaims,
    datagrams_in: u64,
    datagrams_out: u64,
    bytes_in: u64,
    bytes_out: u64,
    refused_datagrams: u64,
}

/// What a member saw of a server, when last, and when it said so last.
#[derive(Debug, Clone, Copy)]
struct Seen {
    standing: ServerState,
    at: Millis,
    said: Millis,
}

impl Peer {
    /// A member whose process started now. The incarnation is higher than that of any former process of this member,
    /// such as the Unix time of the start in milliseconds.
    pub fn new(config: Config, now: Millis, incarnation: u64, seed: u64) -> Result<Peer, ConfigError> {
        check(&config)?;
        if incarnation > MAX_INCARNATION {
            return Err(ConfigError(format!("an incarnation of {incarnation} is above {MAX_INCARNATION}")));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = Arc::new(config);
        let first = rng.random_range(0..config.timing.period);
        Ok(Peer {
            digest: wire::config_digest(&config),
            incarnation,
            membership: Membership::new(&config, incarnation, rng.random()),
            facts: Facts::new(&config, now, incarnation, rng.random()),
            ledger: LeaseTable::new(&config, now, incarnation, rng.random()),
            coordinator: Coordinator::new(Arc::clone(&config), now, incarnation, rng.random()),
            overload: Overload::new(Arc::clone(&config), now),
            reach: None,
            servers: None,
            seen: BTreeMap::new(),
            // Members that start together do not speak in step.
            period: now.saturating_add(first),
            wakes: BTreeSet::new(),
            asked: None,
            outdated: OUTDATED_TOLD,
            renewed: None,
            incarnation_claims: IncarnationClaims::new(incarnation, config.members.len().saturating_sub(1)),
            datagrams_in: 0,
            datagrams_out: 0,
            bytes_in: 0,
            bytes_out: 0,
            refused_datagrams: 0,
            config,
            rng,
        })
    }

    /// Takes in what happened at `now`, and appends what should be done. The first call, whatever it is for, asks for
    /// the first timer.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        let mut outbox = Outbox::new(DatagramHeader::new(self.digest, self.config.me, self.incarnation));
        match input {
            Input::Datagram { from, bytes } => self.datagram(now, from, bytes, &mut outbox, out),
            Input::Woke => {}
            Input::Discovery(reach) => self.reached(now, reach, &mut outbox, out),
            Input::ListUpdate { version, complete: whole, entries } => {
                self.reached(now, Reachability::Up, &mut outbox, out);
                let listed = coordinator::Input::ListUpdate { version, complete: whole, entries };
                self.coordinate(now, listed, &mut outbox, out);
            }
            Input::ServerObserved { server, state: standing } => {
                self.saw(now, server, standing, &mut outbox, out)
            }
            Input::Counts(counts) => {
                let facts = self.overload.counted(now, &counts);
                self.put(now, facts);
            }
            Input::Servers(servers) => {
                self.overload.servers(now, &servers);
                self.ledger.set_limits(now, servers.iter().filter_map(cold));
                self.servers = Some(servers);
            }
            Input::LoadReported { server, report } => {
                let fact = self.overload.reported(now, server, report);
                self.put(now, fact);
            }
            Input::EjectionProbeEnded { server, succeeded: well } => {
                let fact = self.overload.tried(now, server, well);
                self.put(now, fact);
            }
            Input::Publish(fact) => self.put(now, Some(fact)),
        }
        self.due(now, &mut outbox, out);
        self.settle(now, &mut outbox, out);
        for (to, bytes) in outbox.drain() {
            if let Some(member) = self.config.members.get(usize::from(to.0)) {
                self.datagrams_out += 1;
                self.bytes_out += bytes.len() as u64;
                out.push(Output::Send { to: member.address, bytes });
            }
        }
        self.ask_for_timer(now, out);
    }

    /// Its figures.
    pub fn stats(&self) -> Stats {
        Stats {
            living: self.membership.living().len(),
            members: self.config.members.len(),
            role: self.coordinator.role(),
            term: self.coordinator.term(),
            level: self.overload.level(),
            stale_rejected: self.coordinator.stale_rejected(),
            rejected_facts: self.facts.refused(),
            facts: self.facts.len(),
            datagrams_in: self.datagrams_in,
            datagrams_out: self.datagrams_out,
            bytes_in: self.bytes_in,
            bytes_out: self.bytes_out,
            dropped_datagrams: self.refused_datagrams,
        }
    }

    /// Who lives, as this member sees it.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// What all members said, as far as this one heard it.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// The incarnation that this member goes by now.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn datagram(
        &mut self,
        now: Millis,
        from: std::net::SocketAddr,
        bytes: &[u8],
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) {
        let Ok((head, parts)) = wire::decode(bytes, self.digest) else {
            self.refused_datagrams += 1;
            return;
        };
        let configured = self.config.members.get(usize::from(head.sender.0));
        if head.sender == self.config.me || configured.is_none_or(|member| member.address != from) {
            self.refused_datagrams += 1;
            return;
        }
        let newest = self.membership.incarnation(head.sender).unwrap_or(0);
        if head.incarnation < newest {
            self.refused_datagrams += 1;
            if let (Some(left), Ok(body)) = (self.outdated.checked_sub(1), postcard::to_allocvec(&newest)) {
                self.outdated = left;
                outbox.push(head.sender, PartKind::STALE_INCARNATION, &body);
            }
            return;
        }
        self.datagrams_in += 1;
        self.bytes_in += bytes.len() as u64;
        for (kind, part) in parts {
            if !self.part(now, &head, kind, part, outbox, out) {
                self.refused_datagrams += 1;
            }
        }
    }

    /// Hands a part of a datagram on. False: it is malformed.
    fn part(
        &mut self,
        now: Millis,
        head: &DatagramHeader,
        kind: PartKind,
        part: &[u8],
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) -> bool {
        let (from, incarnation) = (head.sender, head.incarnation);
        match kind {
            PartKind::MEMBERSHIP => self.membership.handle_packet(now, from, incarnation, part, outbox),
            PartKind::SUSPICION => self.membership.handle_suspicion(now, from, part, outbox),
            PartKind::MEMBER_DIGEST => self.membership.handle_digest(from, part, outbox),
            PartKind::MEMBER_STATES => self.membership.handle_states(now, part, outbox),
            PartKind::FACTS => self.facts.heard(now, part),
            PartKind::FACT_SYNC => self.facts.compared(now, from, part, outbox),
            PartKind::LEASE => self.ledger.handle_message(now, from, incarnation, part, outbox),
            PartKind::COORDINATOR => {
                let Ok(message) = postcard::from_bytes(part) else { return false };
                let message = coordinator::Input::Message { from, incarnation, message };
                self.coordinate(now, message, outbox, out);
                true
            }
            PartKind::STALE_INCARNATION => match postcard::from_bytes::<u64>(part) {
                Ok(newest) => {
                    self.outdated(now, from, newest, outbox, out);
                    true
                }
                Err(_) => false,
            },
            // Of a later build.
            _ => true,
        }
    }

    /// Another knows a later start of this member: its clock was set back between two starts. It goes on as a process
    /// that started after that one, and with what such a one knows. Nothing for a datagram of its former self that came
    /// late, when it is this very process that is known.
    fn outdated(
        &mut self,
        now: Millis,
        by: MemberId,
        start: u64,
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) {
        let Some(newest) = self.incarnation_claims.claimed(by, start, self.incarnation) else { return };
        if self.renewed.is_some_and(|at| now.saturating_sub(at) < self.config.timing.lease) {
            return;
        }
        out.push(Output::Log(format!(
            "others know a start of this member at {newest}, and it started at {}: was its clock set back? \
             It goes on as {}",
            self.incarnation,
            newest + 1
        )));
        self.renewed = Some(now);
        self.incarnation = newest + 1;
        let own = self.facts.own();
        self.membership = Membership::new(&self.config, self.incarnation, self.rng.random());
        self.facts = Facts::new(&self.config, now, self.incarnation, self.rng.random());
        self.ledger = LeaseTable::new(&self.config, now, self.incarnation, self.rng.random());
        let seed = self.rng.random();
        self.coordinator = Coordinator::new(Arc::clone(&self.config), now, self.incarnation, seed);
        *outbox = Outbox::new(DatagramHeader::new(self.digest, self.config.me, self.incarnation));
        // The list it gets from others, as one that starts does.
        self.put(now, own.into_iter().filter(|fact| fact.kind != FactKind::LIST_VERSION));
        if let Some(servers) = &self.servers {
            self.ledger.set_limits(now, servers.iter().filter_map(cold));
        }
        if let Some(reach) = self.reach {
            let reach = coordinator::Input::DiscoveryReach { member: self.config.me, reach };
            self.coordinate(now, reach, outbox, out);
        }
    }

    /// Does what is due by time.
    fn due(&mut self, now: Millis, outbox: &mut Outbox, out: &mut Vec<Output>) {
        self.membership.run_timers(now, outbox);
        let due = self.wakes.first().is_some_and(|at| *at <= now);
        let later = now.checked_add(1).map(|next| self.wakes.split_off(&next)).unwrap_or_default();
        self.wakes = later;
        let period = now >= self.period;
        if due || period {
            self.coordinate(now, coordinator::Input::Woke, outbox, out);
        }
        if period {
            // A process that was stopped does not make up for the periods that it missed.
            self.period = now.saturating_add(self.config.timing.period);
            self.every_period(now, outbox, out);
        }
    }

    /// Once a period: what is new is told, and the module gets what the fleet makes of it all.
    fn every_period(&mut self, now: Millis, outbox: &mut Outbox, out: &mut Vec<Output>) {
        self.outdated = OUTDATED_TOLD;
        self.forget_seen(now, outbox, out);
        self.settle(now, outbox, out);
        let (mut guidance, facts) = self.overload.decide(now, self.config.me, self.membership.living());
        self.put(now, facts);
        self.fill_cold(now, &mut guidance);
        if let Some(note) = self.overload.note() {
            out.push(Output::Log(note));
        }
        out.push(Output::Guidance(guidance));
        self.membership.on_period(now, outbox);
        self.facts.every_period(now, self.membership.living(), outbox);
        self.ledger.on_period(now, self.membership.living(), outbox);
    }

    /// What this member may send cold servers until a little after the next period.
    fn fill_cold(&mut self, now: Millis, guidance: &mut Guidance) {
        let span = self.config.timing.period.saturating_mul(3) / 2;
        let Some(servers) = &self.servers else { return };
        let leases = servers.iter().filter_map(cold).filter_map(|bound| {
            let lease = self.ledger.grant(now, bound.resource, span)?;
            Some((ServerKey(bound.resource), lease))
        });
        guidance.slow_start = Some(leases.collect());
    }

    /// Lets the parts know what the others learnt, until nothing is new.
    fn settle(&mut self, now: Millis, outbox: &mut Outbox, out: &mut Vec<Output>) {
        for change in self.membership.take_changes() {
            if change.alive {
                self.facts.alive(change.member, change.incarnation);
            } else {
                self.facts.gone(change.member);
            }
            let alive = coordinator::Input::Liveness { member: change.member, alive: change.alive };
            self.coordinate(now, alive, outbox, out);
        }
        for news in self.facts.news() {
            self.fact_heard(now, news, outbox, out);
        }
    }

    /// Hands on what another member said, or that it says so no more.
    fn fact_heard(&mut self, now: Millis, news: News, outbox: &mut Outbox, out: &mut Vec<Output>) {
        let News { owner, fact, age } = news;
        let (ended, server) = (fact.body.is_empty(), ServerKey(fact.key));
        match fact.kind {
            FactKind::REACHABILITY => {
                if let Ok(reach) = postcard::from_bytes(&fact.body) {
                    let reach = coordinator::Input::DiscoveryReach { member: owner, reach };
                    self.coordinate(now, reach, outbox, out);
                }
            }
            FactKind::SERVER_STATE => {
                let standing = postcard::from_bytes(&fact.body).ok();
                let evidence = coordinator::Input::Evidence { reporter: owner, server, standing };
                self.coordinate(now, evidence, outbox, out);
            }
            FactKind::LIST_VERSION => {
                let list = coordinator::Input::ListFact { member: owner, body: fact.body };
                self.coordinate(now, list, outbox, out);
            }
            FactKind::LOAD | FactKind::SHEDDING_LEVEL if ended => {}
            FactKind::LOAD | FactKind::SHEDDING_LEVEL => {
                self.overload.heard(now.saturating_sub(age), owner, &fact);
            }
            FactKind::LOAD_REPORT => {
                if let Some(report) = overload::report_of(&fact) {
                    self.overload.heard(now.saturating_sub(age), owner, &fact);
                    out.push(Output::LoadReport { server, report, age });
                }
            }
            FactKind::EJECTION_PROBE => {
                let lately = age <= self.config.timing.period.saturating_mul(TRIAL_PERIODS);
                if let Some(well) = overload::trial_of(&fact).filter(|_| lately) {
                    self.overload.heard(now.saturating_sub(age), owner, &fact);
                    out.push(Output::EjectionProbeEnded { server, succeeded: well });
                }
            }
            // Rules, and kinds of later builds, for whoever reads them.
            _ => out.push(Output::FactReceived { owner, fact }),
        }
    }

    /// Takes in how discovery looks from here.
    fn reached(&mut self, now: Millis, reach: Reachability, outbox: &mut Outbox, out: &mut Vec<Output>) {
        if self.reach == Some(reach) {
            return;
        }
        self.reach = Some(reach);
        let fact = postcard::to_allocvec(&reach).ok().map(|body| Fact {
            kind: FactKind::REACHABILITY,
            key: 0,
            body,
        });
        self.put(now, fact);
        self.coordinate(
            now,
            coordinator::Input::DiscoveryReach { member: self.config.me, reach },
            outbox,
            out,
        );
    }

    /// Takes in what this member saw of a server.
    fn saw(
        &mut self,
        now: Millis,
        server: ServerKey,
        standing: ServerState,
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) {
        let before = match standing {
            ServerState::Serving => self.seen.remove(&server),
            _ => self.seen.get(&server).copied(),
        };
        // Whoever sees the same at each send does not say it at each.
        let said = before.filter(|seen| {
            seen.standing == standing && now.saturating_sub(seen.said) < self.config.timing.lease
        });
        if standing != ServerState::Serving {
            self.seen.insert(server, Seen { standing, at: now, said: said.map_or(now, |seen| seen.said) });
        }
        if said.is_none() && (before.is_some() || standing != ServerState::Serving) {
            self.evidence(now, server, Some(standing), outbox, out);
        }
    }

    /// Takes back what was seen too long ago.
    fn forget_seen(&mut self, now: Millis, outbox: &mut Outbox, out: &mut Vec<Output>) {
        let over = self.config.timing.lease.saturating_mul(SEEN_LEASES);
        let forgotten: Vec<ServerKey> = self
            .seen
            .iter()
            .filter(|(_, seen)| now.saturating_sub(seen.at) > over)
            .map(|(server, _)| *server)
            .collect();
        for server in forgotten {
            self.seen.remove(&server);
            self.evidence(now, server, None, outbox, out);
        }
    }

    fn evidence(
        &mut self,
        now: Millis,
        server: ServerKey,
        standing: Option<ServerState>,
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) {
        let standing = standing.filter(|standing| *standing != ServerState::Serving);
        let body = standing.and_then(|standing| postcard::to_allocvec(&standing).ok()).unwrap_or_default();
        self.put(now, Some(Fact { kind: FactKind::SERVER_STATE, key: server.0, body }));
        let evidence = coordinator::Input::Evidence { reporter: self.config.me, server, standing };
        self.coordinate(now, evidence, outbox, out);
    }

    /// Hands something to the coordinator, and does what it wants.
    fn coordinate(
        &mut self,
        now: Millis,
        input: coordinator::Input,
        outbox: &mut Outbox,
        out: &mut Vec<Output>,
    ) {
        let mut wanted = Vec::new();
        self.coordinator.handle(now, input, &mut wanted);
        for wanted in wanted {
            match wanted {
                coordinator::Output::Send { to, message } => {
                    if let Ok(body) = postcard::to_allocvec(&message) {
                        outbox.push(to, PartKind::COORDINATOR, &body);
                    }
                }
                coordinator::Output::WakeAt(at) => {
                    self.wakes.insert(at);
                    // It is woken each period anyway.
                    while self.wakes.len() > 16 {
                        self.wakes.pop_last();
                    }
                }
                coordinator::Output::SetPolling(asking) => out.push(Output::SetPolling(asking)),
                coordinator::Output::ServerChanged { entry, why } => {
                    out.push(Output::ServerChanged { entry, why })
                }
                coordinator::Output::Publish(fact) => self.put(now, Some(fact)),
                coordinator::Output::Log(note) => out.push(Output::Log(note)),
            }
        }
    }

    fn put(&mut self, now: Millis, facts: impl IntoIterator<Item = Fact>) {
        for fact in facts {
            self.facts.put(now, fact);
        }
    }

    fn ask_for_timer(&mut self, now: Millis, out: &mut Vec<Output>) {
        let wakes = [self.membership.next_timer(), self.wakes.first().copied()];
        let next = wakes.into_iter().flatten().fold(self.period, Millis::min).max(now.saturating_add(1));
        // One that was asked for and is still to come, no later than this, stays good.
        if self.asked.is_none_or(|asked| asked <= now || next < asked) {
            self.asked = Some(next);
            out.push(Output::WakeAt(next));
        }
    }
}

/// The bound of a server that is cold.
fn cold(known: &KnownServer) -> Option<SharedLimit> {
    known.started?;
    // What is no number is none.
    let total = known.slow_start_requests.clamp(0.0, f64::from(u32::MAX)) as u32;
    Some(SharedLimit { resource: known.server.0, total, window: known.slow_start_window })
}
