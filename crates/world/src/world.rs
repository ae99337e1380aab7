//! The world: everything in one queue of events, in one thread.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use peers::api::ServerState;
use sagemast::Balancer;
use sagemast::api::*;

use crate::checks::Checks;
use crate::clients::{Ask, Request};
use crate::dice::Dice;
use crate::discovery::{Discovery, Listed};
use crate::faults::Fault;
use crate::figures::{self, Figures};
use crate::links::{Apart, Links};
use crate::member::{Life, Member, Told};
use crate::queue::Queue;
use crate::rules::File;
use crate::sabotage::Sabotage;
use crate::sends::Sending;
use crate::server::{SendKey, Server};
use crate::spec::{Mode, Spec};
use crate::tally::{PART, Tally};
use crate::time::{Clock, Micros, micros};

/// Something that is to happen.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next client asks at this sidecar.
    Asks(usize),
    /// A client asks again.
    AsksAgain(usize),
    /// A client's patience for a request is at its end.
    Leaves(u64),
    /// A sidecar's process is told something, if it is still the same process.
    Tell { member: usize, incarnation: u64, told: Told },
    /// A send comes to its server.
    Comes(SendKey),
    /// A server is done with a send, unless that was lost or held meanwhile.
    Done { server: usize, turn: u32, key: SendKey },
    /// A probe comes to its server.
    Probe { member: usize, incarnation: u64, server: usize },
    /// A call comes to discovery.
    Call { member: usize, incarnation: u64 },
    /// A datagram comes to a sidecar's address.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// Discovery writes an empty line to those that watch.
    KeepAlive,
    /// A tenth of a second is over.
    Sample,
    /// Something goes wrong, or right again.
    Act(Box<Fault>),
}

/// Discovery writes an empty line this often.
const KEEP_ALIVE: Micros = 2_000_000;

/// A send, for whoever looks at a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// When.
    pub at: Micros,
    /// By which sidecar.
    pub member: u16,
    /// To which server.
    pub server: u16,
    /// Where that is, by the list that the sidecar holds.
    pub zone: u16,
    /// Of which class.
    pub class: u16,
}

/// A fleet with all that surrounds it.
#[derive(Debug)]
pub struct World {
    pub(crate) spec: Spec,
    pub(crate) now: Micros,
    pub(crate) queue: Queue<Event>,
    pub(crate) zones: Vec<(String, usize)>,
    /// Sidecars.
    pub members: Vec<Member>,
    /// Servers, by the number that is their id for every module.
    pub servers: Vec<Server>,
    /// Discovery.
    pub discovery: Discovery,
    /// Links.
    pub links: Links,
    /// Checkers.
    pub checks: Checks,
    /// Counts.
    pub tally: Tally,
    pub(crate) load: f64,
    pub(crate) shares: Vec<f64>,
    pub(crate) asks: Vec<Ask>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) next_request: u64,
    pub(crate) sends: HashMap<SendKey, Sending>,
    pub(crate) clients_dice: Dice,
    pub(crate) again_dice: Dice,
    pub(crate) server_dice: Dice,
    pub(crate) sabotage: Option<Sabotage>,
    /// All sends, in order.
    pub sent: Vec<Sent>,
    /// Datagrams between sidecars that came.
    pub datagrams: u64,
    /// Lines for the operators: when, by whom, what.
    pub notes: Vec<(Micros, usize, String)>,
    /// Cold servers that fell, by number.
    pub fallen: Vec<usize>,
}

impl World {
    /// A world at its beginning: all servers warm, all links good, every sidecar just started with the first list.
    pub fn new(spec: Spec) -> World {
        let zones = spec.zones();
        let mut servers = Vec::new();
        for (zone, (name, _)) in zones.iter().enumerate() {
            for number in 0..spec.servers {
                let cell = (zone * 1_000 + number / spec.cell.max(1)) as u64;
                let name = format!("{name}-s{}", number + 1);
                servers.push(Server::new(name, zone, cell, spec.cores, spec.waiting));
            }
        }
        let entry = |server: &Server| Listed {
            standing: ServerState::Serving,
            zone: server.zone,
            started: 0,
            version: 1,
        };
        let list: Vec<Listed> = servers.iter().map(entry).collect();
        let mut dice = Dice::new(spec.seed, "members", 0);
        let mut shares: Vec<f64> = (0..spec.members).map(|_| dice.around(1.0, spec.clients.uneven)).collect();
        let all: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= all);
        let rates: Vec<f64> =
            (0..spec.members).map(|_| 1.0 + spec.drift * (2.0 * dice.even() - 1.0) / 2.0).collect();
        let burst = match spec.mode {
            // Each has its own ten saved up.
            Mode::Alone => 10.0 * spec.members as f64,
            Mode::Shared => peers::overload::cluster_burst(spec.members) as f64,
        };
        let mut world = World {
            now: 0,
            queue: Queue::default(),
            members: Vec::new(),
            discovery: Discovery::new(list, spec.discovery.calls_per_s),
            links: Links::new(spec.seed, spec.members, spec.delays.clone()),
            checks: Checks::new(spec.members, (spec.retries, burst), spec.drift),
            tally: Tally::new(spec.members, spec.classes.len()),
            load: spec.load,
            shares,
            asks: Vec::new(),
            requests: HashMap::new(),
            next_request: 0,
            sends: HashMap::new(),
            clients_dice: Dice::new(spec.seed, "clients", 0),
            again_dice: Dice::new(spec.seed, "again", 0),
            server_dice: Dice::new(spec.seed, "servers", 0),
            sabotage: None,
            sent: Vec::new(),
            datagrams: 0,
            notes: Vec::new(),
            fallen: Vec::new(),
            servers,
            zones,
            spec,
        };
        (0..world.servers.len()).for_each(|server| world.checks.lists.named(server));
        let everything: BTreeMap<usize, Listed> =
            world.discovery.since(0).map(|(n, e)| (n, e.clone())).collect();
        let rules = world.spec.rules.clone();
        let file = (!rules.is_empty()).then_some(File { generation: 1, rules });
        for (number, rate) in rates.into_iter().enumerate() {
            let zone = number % world.zones.len();
            let region = world.zones[zone].1;
            let clock = Clock { began: 0, rate };
            let list_clock = world.list_clock(number, 0, listclock::Start::HasList);
            world.members.push(Member {
                zone,
                region,
                clock,
                incarnation: 0,
                balancer: Balancer::new(world.spec.settings(zone), 0),
                company: None,
                file: file.clone(),
                wakes: BTreeSet::new(),
                reach: None,
                life: Life::Gone,
                woke: 0,
                open: BTreeMap::new(),
                list: everything.clone(),
                version: 1,
                list_clock,
                ringing: None,
                watches: false,
            });
            world.start(number);
            world.queue.push(micros(world.mean_gap(number)), Event::Asks(number));
        }
        world.queue.push(KEEP_ALIVE, Event::KeepAlive);
        world.queue.push(0, Event::Sample);
        world
    }

    /// What it is made of.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// True time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The number of a region.
    pub fn region(&self, name: &str) -> Option<usize> {
        self.spec.regions.iter().position(|region| region.name == name)
    }

    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.0 == name)
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        self.zones[zone].1
    }

    /// Lets something go wrong, or right again, at a time.
    pub fn at(&mut self, at: Micros, fault: Fault) {
        self.queue.push(at.max(self.now), Event::Act(Box::new(fault)));
    }

    /// Lets a sidecar break a rule, to show that the checker of that rule sees it.
    pub fn sabotage(&mut self, sabotage: Sabotage) {
        self.sabotage = Some(sabotage);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, ms: f64) {
        self.run_until(self.now + micros(ms));
    }

    /// Lets time pass up to and with a moment.
    pub fn run_until(&mut self, until: Micros) {
        while let Some((at, event)) = self.queue.pop(until) {
            self.now = at;
            self.happens(event);
        }
        self.now = until;
    }

    /// Ends a run: what is owed by now counts as never done.
    pub fn close(&mut self) {
        self.checks.answers.close(self.now, &mut self.checks.found);
    }

    /// The figures of what came in from one time to another.
    pub fn figures(&self, from: Micros, to: Micros) -> Figures {
        figures::figures(&self.spec, &self.tally, from, to)
    }

    /// How long after a time things were normal for good, in milliseconds; `None`: not yet. The last second is not
    /// looked at: what came in then may not have its answer.
    pub fn recovery_ms(&self, from: Micros) -> Option<f64> {
        figures::recovery_ms(&self.tally, from, self.now.saturating_sub(1_000_000))
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Asks(member) => self.asks(member),
            Event::AsksAgain(ask) => self.tries(ask),
            Event::Leaves(request) => self.leaves(request),
            Event::Tell { member, incarnation, told } => self.tell(member, incarnation, told),
            Event::Comes(key) => self.comes(key),
            Event::Done { server, turn, key } => self.done(server, turn, key),
            Event::Probe { member, incarnation, server } => self.asked_for_load(member, incarnation, server),
            Event::Call { member, incarnation } => self.called(member, incarnation),
            Event::Datagram { from, to, bytes } => self.datagram(from, to, bytes),
            Event::KeepAlive => {
                (0..self.members.len()).for_each(|member| self.write_to(member));
                self.queue.push(self.now + KEEP_ALIVE, Event::KeepAlive);
            }
            Event::Sample => self.sample(),
            Event::Act(fault) => self.act(*fault),
        }
    }

    /// A process starts, with the list that it finds in its file.
    pub(crate) fn start(&mut self, member: usize) {
        let zone = self.members[member].zone;
        let incarnation = self.members[member].incarnation + 1;
        let seed = Dice::new(self.spec.seed, "module", (member as u64) << 32 | incarnation).even();
        let seed = (seed * 1e15) as u64;
        let balancer = Balancer::new(self.spec.settings(zone), seed);
        let company = self.new_company(member, seed);
        let list_clock = self.list_clock(member, incarnation, listclock::Start::HasList);
        let this = &mut self.members[member];
        this.clock.began = self.now;
        this.incarnation = incarnation;
        (this.balancer, this.company, this.reach) = (balancer, company, None);
        this.life = Life::Runs;
        this.list_clock = list_clock;
        (this.ringing, this.watches) = (None, false);
        this.wakes.clear();
        self.checks.lists.restarted(member);
        self.checks.leases.restarted(member);
        self.restore(member);
        self.company(member, concert::Input::Woke);
        self.set_list_timer(member);
    }

    /// A process ends, and with it the connections of its clients and to its servers.
    pub(crate) fn end(&mut self, member: usize) {
        let this = &mut self.members[member];
        let life = std::mem::replace(&mut this.life, Life::Gone);
        this.watches = false;
        let open = std::mem::take(&mut this.open);
        for (request, open) in open {
            for attempt in 0..open.sends {
                self.drop_send((request, attempt));
            }
            self.lost(request);
        }
        let waits = if let Life::Stopped(waits) = life { waits } else { Vec::new() };
        for told in waits {
            if let Told::Arrived(request) = told {
                self.lost(request);
            }
        }
        self.sees_coordinator(member);
    }

    /// Hands something to a process if it is the one that it was meant for; a stopped one finds it when it wakes.
    pub(crate) fn tell(&mut self, member: usize, incarnation: u64, told: Told) {
        let this = &mut self.members[member];
        if this.incarnation != incarnation {
            return;
        }
        match &mut this.life {
            Life::Runs => self.hears(member, told),
            Life::Stopped(waits) => waits.push(told),
            Life::Gone => {}
        }
    }

    /// The same, later.
    pub(crate) fn tell_at(&mut self, at: Micros, member: usize, told: Told) {
        let incarnation = self.members[member].incarnation;
        self.queue.push(at, Event::Tell { member, incarnation, told });
    }

    pub(crate) fn hears(&mut self, member: usize, told: Told) {
        match told {
            Told::Arrived(request) => self.arrived(member, request),
            Told::Left(request) => {
                if self.members[member].open.remove(&request).is_some() {
                    self.module(member, sagemast::api::Event::Abandoned(RequestId(request)));
                }
            }
            Told::Backstop(request) => {
                if self.members[member].open.contains_key(&request) {
                    self.answer(member, request, crate::clients::Answer::Failed);
                    self.module(member, sagemast::api::Event::Abandoned(RequestId(request)));
                }
            }
            Told::Ended { key, outcome, report } => self.ended(member, key, outcome, report),
            Told::TimeUp(key) => self.time_up(member, key),
            Told::Probed { server, report } => self.module(
                member,
                sagemast::api::Event::LoadPolled {
                    upstream: UpstreamId(server as u64),
                    answered: report.is_some(),
                    report,
                },
            ),
            Told::Woke(token) => self.module(member, sagemast::api::Event::Woke(token)),
            Told::ListDue => self.list_due(member),
            Told::List { opening } => self.list_came(member, opening),
            Told::ListEnded => self.list_ended(member),
            Told::Reread => {
                if let Some(rules) = self.rules_read(member) {
                    self.company(member, concert::Input::Reread(Some(rules)));
                }
            }
            Told::PeerDue => {
                let due = self.now;
                self.members[member].wakes.retain(|at| *at > due);
                self.company(member, concert::Input::Woke);
            }
            Told::Datagram { from, bytes } => self.reads(member, from, &bytes),
        }
    }

    /// Hands an event to a sidecar's module and does what it says.
    pub(crate) fn module(&mut self, member: usize, event: sagemast::api::Event) {
        let this = &mut self.members[member];
        let (mut actions, now) = (Vec::new(), this.clock.at(self.now));
        match &mut this.company {
            Some(company) => {
                this.balancer.handle(now, event.clone(), &mut actions);
                company.observed(now, &event, &actions);
            }
            None => this.balancer.handle(now, event, &mut actions),
        }
        for action in actions {
            self.does(member, action);
        }
    }

    fn does(&mut self, member: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => {
                self.send(member, request.0, upstream.0 as usize, timeout);
            }
            Action::Cancel { request, attempt } => self.cancel(member, (request.0, attempt.0)),
            Action::Refuse { request, retry_after, reason } => {
                self.answer(member, request.0, crate::clients::Answer::Refused(retry_after, reason));
            }
            Action::Fail(request) => self.answer(member, request.0, crate::clients::Answer::Failed),
            Action::PollLoad(server) => self.probe(member, server.0 as usize),
            Action::WakeAt { at, token } => {
                let at = self.members[member].clock.truth(at).max(self.now);
                self.tell_at(at, member, Told::Woke(token));
            }
            Action::Log { .. } => {}
        }
    }

    fn sample(&mut self) {
        let able: f64 = self.servers.iter().map(|server| server.ability(self.now, &self.spec.safety)).sum();
        self.tally.at(self.now).ability = able * PART as f64 / 1e3;
        self.queue.push(self.now + PART, Event::Sample);
    }

    /// How far a sidecar is from a zone.
    pub(crate) fn apart(&self, member: usize, zone: usize) -> Apart {
        let this = &self.members[member];
        if this.zone == zone {
            Apart::Zone
        } else if this.region == self.zones[zone].1 {
            Apart::Region
        } else {
            Apart::World
        }
    }
}
