//! One member of the cluster. [`Peer`] dispatches inputs to the components (membership, facts, leases,
//! coordinator and overload control), passes changes between them, and collects their outputs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::api::{
    Config, Fact, FactKind, Guidance, Input, KnownServer, MemberId, Millis, Output, Reachability, ServerKey,
    ServerState,
};
use crate::config::{ConfigError, validate};
use crate::coordinator::{self, Coordinator};
use crate::facts::{FactChange, Facts};
use crate::incarnation_claims::IncarnationClaims;
use crate::leases::{LeaseTable, SharedLimit};
use crate::membership::Membership;
use crate::overload::{self, Overload};
use crate::stats::Stats;
use crate::wire::{self, DatagramHeader, MAX_INCARNATION, Outbox, PartKind};

/// An observation of a server's state is withdrawn if it was not repeated for this many lease durations.
const OBSERVATION_LEASES: u64 = 10;

/// The maximum age, in periods, at which the result of another member's ejection probe is still used.
const PROBE_RESULT_PERIODS: u64 = 25;

/// How many times per period this member answers a datagram of an outdated incarnation with the newest one.
const STALE_NOTICES_PER_PERIOD: u8 = 4;

/// One member of the cluster.
#[derive(Debug)]
pub struct Peer {
    config: Arc<Config>,
    digest: [u8; 4],
    incarnation: u64,
    rng: Pcg64Mcg,
    membership: Membership,
    facts: Facts,
    leases: LeaseTable,
    coordinator: Coordinator,
    overload: Overload,
    /// Whether this process can reach discovery, as last reported. `None` before the first report.
    reachability: Option<Reachability>,
    /// The servers of the last [`Input::Servers`]. `None` before the first one.
    servers: Option<Vec<KnownServer>>,
    /// The server states that this member observed itself, other than serving.
    observed: BTreeMap<ServerKey, Observation>,
    /// When the next period begins.
    next_period: Millis,
    /// When the coordinator asked to be woken.
    coordinator_wakes: BTreeSet<Millis>,
    /// The time of the last [`Output::WakeAt`].
    requested_wake: Option<Millis>,
    /// How many stale-incarnation notices this member may still send in this period.
    stale_notices_left: u8,
    /// When this member last raised its own incarnation.
    renewed_at: Option<Millis>,
    /// Other members' claims that this member has run with a higher incarnation.
    incarnation_claims: IncarnationClaims,
    datagrams_in: u64,
    datagrams_out: u64,
    bytes_in: u64,
    bytes_out: u64,
    dropped_datagrams: u64,
}

/// A server state that this member observed, when it last observed it, and when it last published it.
#[derive(Debug, Clone, Copy)]
struct Observation {
    state: ServerState,
    observed_at: Millis,
    published_at: Millis,
}

impl Peer {
    /// Creates a member whose process started now. The incarnation must be higher than that of every earlier
    /// process of this member, for example the Unix time of the start in milliseconds.
    pub fn new(config: Config, now: Millis, incarnation: u64, seed: u64) -> Result<Peer, ConfigError> {
        validate(&config)?;
        if incarnation > MAX_INCARNATION {
            return Err(ConfigError(format!(
                "incarnation {incarnation} exceeds the maximum of {MAX_INCARNATION}"
            )));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = Arc::new(config);
        let first_period = rng.random_range(0..config.timing.period);
        Ok(Peer {
            digest: wire::config_digest(&config),
            incarnation,
            membership: Membership::new(&config, incarnation, rng.random()),
            facts: Facts::new(&config, now, incarnation, rng.random()),
            leases: LeaseTable::new(&config, now, incarnation, rng.random()),
            coordinator: Coordinator::new(Arc::clone(&config), now, incarnation, rng.random()),
            overload: Overload::new(Arc::clone(&config), now),
            reachability: None,
            servers: None,
            observed: BTreeMap::new(),
            // A random first period keeps members that start together from sending at the same times.
            next_period: now.saturating_add(first_period),
            coordinator_wakes: BTreeSet::new(),
            requested_wake: None,
            stale_notices_left: STALE_NOTICES_PER_PERIOD,
            renewed_at: None,
            incarnation_claims: IncarnationClaims::new(incarnation, config.members.len().saturating_sub(1)),
            datagrams_in: 0,
            datagrams_out: 0,
            bytes_in: 0,
            bytes_out: 0,
            dropped_datagrams: 0,
            config,
            rng,
        })
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `outputs`. The first
    /// call, with any input, requests the first timer.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        let mut outbox = Outbox::new(DatagramHeader::new(self.digest, self.config.me, self.incarnation));
        match input {
            Input::Datagram { from, bytes } => self.handle_datagram(now, from, bytes, &mut outbox, outputs),
            Input::Woke => {}
            Input::Discovery(reachability) => self.set_reachability(now, reachability, &mut outbox, outputs),
            Input::ListUpdate { version, complete, entries } => {
                self.set_reachability(now, Reachability::Up, &mut outbox, outputs);
                let update = coordinator::Input::ListUpdate { version, complete, entries };
                self.run_coordinator(now, update, &mut outbox, outputs);
            }
            Input::ServerObserved { server, state } => {
                self.observe_server(now, server, state, &mut outbox, outputs)
            }
            Input::Counts(counts) => {
                let facts = self.overload.record_counts(now, &counts);
                self.publish(now, facts);
            }
            Input::Servers(servers) => {
                self.overload.set_servers(now, &servers);
                self.leases.set_limits(now, servers.iter().filter_map(slow_start_limit));
                self.servers = Some(servers);
            }
            Input::LoadReported { server, report } => {
                let fact = self.overload.handle_load_report(now, server, report);
                self.publish(now, fact);
            }
            Input::EjectionProbeEnded { server, succeeded } => {
                let fact = self.overload.handle_probe_result(now, server, succeeded);
                self.publish(now, fact);
            }
            Input::Publish(fact) => self.publish(now, Some(fact)),
        }
        self.run_due(now, &mut outbox, outputs);
        self.apply_changes(now, &mut outbox, outputs);
        for (to, bytes) in outbox.drain() {
            if let Some(member) = self.config.members.get(usize::from(to.0)) {
                self.datagrams_out += 1;
                self.bytes_out += bytes.len() as u64;
                outputs.push(Output::Send { to: member.address, bytes });
            }
        }
        self.request_timer(now, outputs);
    }

    /// Returns counters and the current state, for monitoring.
    pub fn stats(&self) -> Stats {
        Stats {
            living: self.membership.living().len(),
            members: self.config.members.len(),
            role: self.coordinator.role(),
            term: self.coordinator.term(),
            level: self.overload.level(),
            stale_rejected: self.coordinator.stale_rejected(),
            rejected_facts: self.facts.rejected(),
            facts: self.facts.len(),
            datagrams_in: self.datagrams_in,
            datagrams_out: self.datagrams_out,
            bytes_in: self.bytes_in,
            bytes_out: self.bytes_out,
            dropped_datagrams: self.dropped_datagrams,
        }
    }

    /// Returns this member's view of which members are alive.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the facts of all members, as far as this one has received them.
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Returns this member's current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Checks a datagram's header and sender, and handles its parts. A datagram of an outdated incarnation is
    /// dropped and answered with the newest incarnation that is known.
    fn handle_datagram(
        &mut self,
        now: Millis,
        from: std::net::SocketAddr,
        bytes: &[u8],
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        let Ok((head, parts)) = wire::decode(bytes, self.digest) else {
            self.dropped_datagrams += 1;
            return;
        };
        let configured = self.config.members.get(usize::from(head.sender.0));
        if head.sender == self.config.me || configured.is_none_or(|member| member.address != from) {
            self.dropped_datagrams += 1;
            return;
        }
        let newest = self.membership.incarnation(head.sender).unwrap_or(0);
        if head.incarnation < newest {
            self.dropped_datagrams += 1;
            if let (Some(remaining), Ok(body)) =
                (self.stale_notices_left.checked_sub(1), postcard::to_allocvec(&newest))
            {
                self.stale_notices_left = remaining;
                outbox.push(head.sender, PartKind::STALE_INCARNATION, &body);
            }
            return;
        }
        self.datagrams_in += 1;
        self.bytes_in += bytes.len() as u64;
        for (kind, part) in parts {
            if !self.handle_part(now, &head, kind, part, outbox, outputs) {
                self.dropped_datagrams += 1;
            }
        }
    }

    /// Passes a part of a datagram to the component that it is for. Returns false if the part is malformed.
    fn handle_part(
        &mut self,
        now: Millis,
        head: &DatagramHeader,
        kind: PartKind,
        part: &[u8],
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let (from, incarnation) = (head.sender, head.incarnation);
        match kind {
            PartKind::MEMBERSHIP => self.membership.handle_packet(now, from, incarnation, part, outbox),
            PartKind::SUSPICION => self.membership.handle_suspicion(now, from, part, outbox),
            PartKind::MEMBER_DIGEST => self.membership.handle_digest(from, part, outbox),
            PartKind::MEMBER_STATES => self.membership.handle_states(now, part, outbox),
            PartKind::FACTS => self.facts.receive(now, part),
            PartKind::FACT_SYNC => self.facts.handle_sync(now, from, part, outbox),
            PartKind::LEASE => self.leases.handle_message(now, from, incarnation, part, outbox),
            PartKind::COORDINATOR => {
                let Ok(message) = postcard::from_bytes(part) else { return false };
                let message = coordinator::Input::Message { from, incarnation, message };
                self.run_coordinator(now, message, outbox, outputs);
                true
            }
            PartKind::STALE_INCARNATION => match postcard::from_bytes::<u64>(part) {
                Ok(newest) => {
                    self.handle_stale_incarnation(now, from, newest, outbox, outputs);
                    true
                }
                Err(_) => false,
            },
            // A part kind of a newer build.
            _ => true,
        }
    }

    /// Handles a notice that another member knows a higher incarnation of this member, because this member's
    /// wall clock was set back between two starts. This member then continues as a newly started process with
    /// an even higher incarnation: it starts over with empty membership, facts and leases, and publishes its
    /// own facts again. The notice has no effect if the incarnation that the other member knows is this
    /// process's own, as it is when the notice answers a late datagram of an earlier process.
    fn handle_stale_incarnation(
        &mut self,
        now: Millis,
        claimant: MemberId,
        claimed: u64,
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        let Some(newest) = self.incarnation_claims.claimed(claimant, claimed, self.incarnation) else {
            return;
        };
        if self.renewed_at.is_some_and(|at| now.saturating_sub(at) < self.config.timing.lease) {
            return;
        }
        outputs.push(Output::Log(format!(
            "other members know incarnation {newest} of this member, higher than its own {}; its clock may have \
             been set back. It continues as incarnation {}",
            self.incarnation,
            newest + 1
        )));
        self.renewed_at = Some(now);
        self.incarnation = newest + 1;
        let own = self.facts.own();
        self.membership = Membership::new(&self.config, self.incarnation, self.rng.random());
        self.facts = Facts::new(&self.config, now, self.incarnation, self.rng.random());
        self.leases = LeaseTable::new(&self.config, now, self.incarnation, self.rng.random());
        let seed = self.rng.random();
        self.coordinator = Coordinator::new(Arc::clone(&self.config), now, self.incarnation, seed);
        *outbox = Outbox::new(DatagramHeader::new(self.digest, self.config.me, self.incarnation));
        // The list version is not published again: like a starting process, this one gets the list from other
        // members.
        self.publish(now, own.into_iter().filter(|fact| fact.kind != FactKind::LIST_VERSION));
        if let Some(servers) = &self.servers {
            self.leases.set_limits(now, servers.iter().filter_map(slow_start_limit));
        }
        if let Some(reach) = self.reachability {
            let input = coordinator::Input::DiscoveryReach { member: self.config.me, reach };
            self.run_coordinator(now, input, outbox, outputs);
        }
    }

    /// Runs the timers that are due and, at the end of a period, the periodic work.
    fn run_due(&mut self, now: Millis, outbox: &mut Outbox, outputs: &mut Vec<Output>) {
        self.membership.run_timers(now, outbox);
        let coordinator_due = self.coordinator_wakes.first().is_some_and(|at| *at <= now);
        let later =
            now.checked_add(1).map(|next| self.coordinator_wakes.split_off(&next)).unwrap_or_default();
        self.coordinator_wakes = later;
        let period_due = now >= self.next_period;
        if coordinator_due || period_due {
            self.run_coordinator(now, coordinator::Input::Woke, outbox, outputs);
        }
        if period_due {
            // A process that was suspended does not make up for the periods that it missed.
            self.next_period = now.saturating_add(self.config.timing.period);
            self.on_period(now, outbox, outputs);
        }
    }

    /// Does the periodic work: publishes changes, gives the module its guidance, and sends gossip.
    fn on_period(&mut self, now: Millis, outbox: &mut Outbox, outputs: &mut Vec<Output>) {
        self.stale_notices_left = STALE_NOTICES_PER_PERIOD;
        self.expire_observations(now, outbox, outputs);
        self.apply_changes(now, outbox, outputs);
        let (mut guidance, facts) = self.overload.decide(now, self.config.me, self.membership.living());
        self.publish(now, facts);
        self.grant_slow_start(now, &mut guidance);
        if let Some(line) = self.overload.take_note() {
            outputs.push(Output::Log(line));
        }
        outputs.push(Output::Guidance(guidance));
        self.membership.on_period(now, outbox);
        self.facts.on_period(now, self.membership.living(), outbox);
        self.leases.on_period(now, self.membership.living(), outbox);
    }

    /// Adds to the guidance what this member may send to servers that are warming up. The leases last one and
    /// a half periods, so that they reach beyond the next period.
    fn grant_slow_start(&mut self, now: Millis, guidance: &mut Guidance) {
        let span = self.config.timing.period.saturating_mul(3) / 2;
        let Some(servers) = &self.servers else { return };
        let leases = servers.iter().filter_map(slow_start_limit).filter_map(|limit| {
            let lease = self.leases.grant(now, limit.resource, span)?;
            Some((ServerKey(limit.resource), lease))
        });
        guidance.slow_start = Some(leases.collect());
    }

    /// Passes changes of membership and new facts to the components that depend on them.
    fn apply_changes(&mut self, now: Millis, outbox: &mut Outbox, outputs: &mut Vec<Output>) {
        for change in self.membership.take_changes() {
            if change.alive {
                self.facts.mark_alive(change.member, change.incarnation);
            } else {
                self.facts.mark_gone(change.member);
            }
            let liveness = coordinator::Input::Liveness { member: change.member, alive: change.alive };
            self.run_coordinator(now, liveness, outbox, outputs);
        }
        for news in self.facts.take_changes() {
            self.handle_fact(now, news, outbox, outputs);
        }
    }

    /// Passes on a fact of another member. An empty body means that the fact was withdrawn or has expired.
    fn handle_fact(&mut self, now: Millis, news: FactChange, outbox: &mut Outbox, outputs: &mut Vec<Output>) {
        let FactChange { owner, fact, age } = news;
        let (withdrawn, server) = (fact.body.is_empty(), ServerKey(fact.key));
        match fact.kind {
            FactKind::REACHABILITY => {
                if let Ok(reach) = postcard::from_bytes(&fact.body) {
                    let input = coordinator::Input::DiscoveryReach { member: owner, reach };
                    self.run_coordinator(now, input, outbox, outputs);
                }
            }
            FactKind::SERVER_STATE => {
                let standing = postcard::from_bytes(&fact.body).ok();
                let evidence = coordinator::Input::Evidence { reporter: owner, server, standing };
                self.run_coordinator(now, evidence, outbox, outputs);
            }
            FactKind::LIST_VERSION => {
                let list = coordinator::Input::ListFact { member: owner, body: fact.body };
                self.run_coordinator(now, list, outbox, outputs);
            }
            FactKind::LOAD | FactKind::SHEDDING_LEVEL if withdrawn => {}
            FactKind::LOAD | FactKind::SHEDDING_LEVEL => {
                self.overload.handle_fact(now.saturating_sub(age), owner, &fact);
            }
            FactKind::LOAD_REPORT => {
                if let Some(report) = overload::decode_load_report(&fact) {
                    self.overload.handle_fact(now.saturating_sub(age), owner, &fact);
                    outputs.push(Output::LoadReport { server, report, age });
                }
            }
            FactKind::EJECTION_PROBE => {
                let recent = age <= self.config.timing.period.saturating_mul(PROBE_RESULT_PERIODS);
                if let Some(succeeded) = overload::decode_ejection_probe(&fact).filter(|_| recent) {
                    self.overload.handle_fact(now.saturating_sub(age), owner, &fact);
                    outputs.push(Output::EjectionProbeEnded { server, succeeded });
                }
            }
            // Residency rules, and kinds of newer builds, which this crate does not interpret.
            _ => outputs.push(Output::FactReceived { owner, fact }),
        }
    }

    /// Handles a report of whether this process can reach discovery. A change is published.
    fn set_reachability(
        &mut self,
        now: Millis,
        reach: Reachability,
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        if self.reachability == Some(reach) {
            return;
        }
        self.reachability = Some(reach);
        let fact = postcard::to_allocvec(&reach).ok().map(|body| Fact {
            kind: FactKind::REACHABILITY,
            key: 0,
            body,
        });
        self.publish(now, fact);
        self.run_coordinator(
            now,
            coordinator::Input::DiscoveryReach { member: self.config.me, reach },
            outbox,
            outputs,
        );
    }

    /// Handles an observation of a server's state, and publishes it unless it was published a short time ago.
    fn observe_server(
        &mut self,
        now: Millis,
        server: ServerKey,
        state: ServerState,
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        let previous = match state {
            ServerState::Serving => self.observed.remove(&server),
            _ => self.observed.get(&server).copied(),
        };
        // A member may observe the same state with every request. It publishes it at most once per lease
        // duration.
        let recent = previous.filter(|observation| {
            observation.state == state
                && now.saturating_sub(observation.published_at) < self.config.timing.lease
        });
        if state != ServerState::Serving {
            self.observed.insert(
                server,
                Observation {
                    state,
                    observed_at: now,
                    published_at: recent.map_or(now, |observation| observation.published_at),
                },
            );
        }
        if recent.is_none() && (previous.is_some() || state != ServerState::Serving) {
            self.publish_observation(now, server, Some(state), outbox, outputs);
        }
    }

    /// Withdraws observations that were not repeated for too long.
    fn expire_observations(&mut self, now: Millis, outbox: &mut Outbox, outputs: &mut Vec<Output>) {
        let max_age = self.config.timing.lease.saturating_mul(OBSERVATION_LEASES);
        let expired: Vec<ServerKey> = self
            .observed
            .iter()
            .filter(|(_, observation)| now.saturating_sub(observation.observed_at) > max_age)
            .map(|(server, _)| *server)
            .collect();
        for server in expired {
            self.observed.remove(&server);
            self.publish_observation(now, server, None, outbox, outputs);
        }
    }

    /// Publishes an observation of a server's state as a fact and reports it to the coordinator. `None`
    /// withdraws an earlier observation.
    fn publish_observation(
        &mut self,
        now: Millis,
        server: ServerKey,
        state: Option<ServerState>,
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        let state = state.filter(|state| *state != ServerState::Serving);
        let body = state.and_then(|state| postcard::to_allocvec(&state).ok()).unwrap_or_default();
        self.publish(now, Some(Fact { kind: FactKind::SERVER_STATE, key: server.0, body }));
        let evidence = coordinator::Input::Evidence { reporter: self.config.me, server, standing: state };
        self.run_coordinator(now, evidence, outbox, outputs);
    }

    /// Passes an input to the coordinator and carries out its outputs.
    fn run_coordinator(
        &mut self,
        now: Millis,
        input: coordinator::Input,
        outbox: &mut Outbox,
        outputs: &mut Vec<Output>,
    ) {
        let mut requested = Vec::new();
        self.coordinator.handle(now, input, &mut requested);
        for output in requested {
            match output {
                coordinator::Output::Send { to, message } => {
                    if let Ok(body) = postcard::to_allocvec(&message) {
                        outbox.push(to, PartKind::COORDINATOR, &body);
                    }
                }
                coordinator::Output::WakeAt(at) => {
                    self.coordinator_wakes.insert(at);
                    // Dropping the latest wakes is safe, because the coordinator is woken every period
                    // anyway.
                    while self.coordinator_wakes.len() > 16 {
                        self.coordinator_wakes.pop_last();
                    }
                }
                coordinator::Output::SetPolling(rate) => outputs.push(Output::SetPolling(rate)),
                coordinator::Output::ServerChanged { entry, why } => {
                    outputs.push(Output::ServerChanged { entry, why })
                }
                coordinator::Output::Publish(fact) => self.publish(now, Some(fact)),
                coordinator::Output::Log(line) => outputs.push(Output::Log(line)),
            }
        }
    }

    /// Publishes facts of this member.
    fn publish(&mut self, now: Millis, facts: impl IntoIterator<Item = Fact>) {
        for fact in facts {
            self.facts.publish(now, fact);
        }
    }

    /// Requests a wake for the next time at which something is due.
    fn request_timer(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let wakes = [self.membership.next_timer(), self.coordinator_wakes.first().copied()];
        let next = wakes.into_iter().flatten().fold(self.next_period, Millis::min).max(now.saturating_add(1));
        // An earlier request that is still pending and no later than this one remains valid.
        if self.requested_wake.is_none_or(|requested| requested <= now || next < requested) {
            self.requested_wake = Some(next);
            outputs.push(Output::WakeAt(next));
        }
    }
}

/// Returns the limit on requests to a server while it is warming up, or `None` if it is not.
fn slow_start_limit(known: &KnownServer) -> Option<SharedLimit> {
    known.started?;
    // The cast turns NaN into 0.
    let total = known.slow_start_requests.clamp(0.0, f64::from(u32::MAX)) as u32;
    Some(SharedLimit { resource: known.server.0, total, window: known.slow_start_window })
}
