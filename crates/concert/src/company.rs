//! One sidecar's member and rules, and what passes between them and its module.

use peers::Peer;
use peers::api::{Fact, FactKind, ServerEntry};
use residency::{Keeper, Rules};
use sagemast::Balancer;
use sagemast::api::{Action, ClassId, Event, Guidance, Millis, SlowStartRules, TenantId, UpstreamId};

use crate::api::{ClassNames, Input, Output, Setup, SetupError, View};
use crate::counts::Counts;
use crate::evidence::{Evidence, Learnt};
use crate::guidance;
use crate::rings::Rings;
use crate::roster::Roster;

/// One sidecar's member of the fleet and its rules of residency.
#[derive(Debug)]
pub struct Company {
    member: Option<Member>,
    keeper: Option<Keeper>,
    rings: Rings,
    roster: Roster,
    /// What is for the process, in order.
    pending: Vec<Output>,
    /// When the keeper asked to be woken last.
    listens: Option<u64>,
    entries_refused: u64,
    writes_refused: u64,
}

/// The member of the fleet, and what it is told of its module.
#[derive(Debug)]
struct Member {
    peer: Peer,
    counts: Counts,
    evidence: Evidence,
    safety: SlowStartRules,
    /// How often the fleet is told of the module, and when next.
    period: Millis,
    next: Millis,
    /// What the module was told last.
    guided: Option<Guidance>,
}

fn ms(now: Millis) -> u64 {
    now.max(0.0) as u64
}

fn bases(classes: &[ClassNames]) -> Vec<usize> {
    classes.iter().map(|names| names.base.0).collect()
}

impl Company {
    /// That of a process that starts now. [`Input::Woke`] is to be handed over at once, and gives the first outputs.
    pub fn new(setup: Setup, now: Millis) -> Result<Company, SetupError> {
        let Setup { peers, incarnation, residency, seed, settings, classes, tenants, zones } = setup;
        let keeper = match (&peers, residency) {
            // Whoever has peers may hear of rules, whatever its own file says.
            (Some(config), rules) => {
                let rules = rules.unwrap_or_else(Rules::none);
                Some(Keeper::among(&rules, config.me.0, incarnation, ms(now)))
            }
            (None, rules) => rules.map(|rules| Keeper::new(&rules, ms(now))),
        };
        let member = match peers {
            None => None,
            Some(config) => {
                let platform = settings.classes.get(..config.classes.len()).ok_or_else(|| {
                    let (told, all) = (config.classes.len(), settings.classes.len());
                    SetupError(format!("the members are told of {told} classes, the settings have {all}"))
                })?;
                let period = config.timing.period.max(1) as f64;
                let counts = Counts::new(platform, bases(&classes));
                let peer = Peer::new(config, ms(now), incarnation, seed)
                    .map_err(|error| SetupError(error.to_string()))?;
                let (evidence, safety) = (Evidence::default(), settings.slow_start.clone());
                Some(Member { peer, counts, evidence, safety, period, next: now, guided: None })
            }
        };
        Ok(Company {
            member,
            keeper,
            rings: Rings::new(zones, &classes, &tenants),
            roster: Roster::default(),
            pending: Vec::new(),
            listens: None,
            entries_refused: 0,
            writes_refused: 0,
        })
    }

    /// Takes in what happened and appends what comes of it. The module tells what it knows of its servers.
    pub fn handle(&mut self, now: Millis, module: &Balancer, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Datagram { from, bytes } => self.tell(now, peers::Input::Datagram { from, bytes }),
            Input::Woke => {}
            Input::Reach(reach) => self.tell(now, peers::Input::Discovery(reach)),
            Input::Listed { version, whole, entries } => {
                self.roster.listed(whole, &entries);
                entries.iter().for_each(|(_, entry)| self.rings.meet(&entry.zone));
                let entries = entries.into_iter().map(|(_, entry)| entry).collect();
                self.tell(now, peers::Input::ListUpdate { version, complete: whole, entries });
            }
            Input::Applied(entries) => self.applied(&entries),
            Input::Reread(rules) => self.reread(now, rules),
            Input::Classes(classes) => {
                self.rings.classes(&classes);
                if let Some(member) = &mut self.member {
                    member.counts.classes(bases(&classes));
                    // The next guidance is for these.
                    member.guided = None;
                }
            }
        }
        self.every_period(now, module);
        self.tell(now, peers::Input::Woke);
        self.rules(now);
        out.append(&mut self.pending);
    }

    /// Is shown what the module was told and what it did, after each of its steps. What comes of it is told with the next
    /// [`Company::handle`].
    pub fn observed(&mut self, now: Millis, event: &Event, actions: &[Action]) {
        let Some(member) = &mut self.member else { return };
        member.counts.observed(now, event, actions);
        let learnt = member.evidence.observed(now, event, actions, member.period / 2.0);
        learnt.into_iter().for_each(|learnt| self.learnt(now, learnt));
    }

    /// Whether a request may be written to a server of this zone: the last look before its first byte, since a list may
    /// have moved the server to another zone, or rules have come, after the module chose it.
    pub fn may_write(&mut self, class: ClassId, tenant: TenantId, zone: &str) -> bool {
        let Some(keeper) = &self.keeper else { return true };
        let may = self.rings.allows(keeper.binding(), class, tenant, zone);
        self.writes_refused += u64::from(!may);
        may
    }

    /// Figures for operators.
    pub fn view(&self) -> View {
        let keeper = self.keeper.as_ref();
        View {
            peers: self.member.as_ref().map(|member| member.peer.stats()),
            generation: keeper.map(Keeper::generation).filter(|generation| *generation > 0),
            awaited: keeper.and_then(Keeper::awaits),
            entries_refused: self.entries_refused,
            writes_refused: self.writes_refused,
        }
    }

    // --- The member ----------------------------------------------------------------------------

    /// Tells the member something and carries out what it answers.
    fn tell(&mut self, now: Millis, input: peers::Input) {
        let Some(member) = &mut self.member else { return };
        let mut told = Vec::new();
        member.peer.handle(ms(now), input, &mut told);
        told.into_iter().for_each(|output| self.told(now, output));
    }

    fn told(&mut self, now: Millis, output: peers::Output) {
        let event = match output {
            peers::Output::Send { to, bytes } => return self.pending.push(Output::Send { to, bytes }),
            peers::Output::WakeAt(at) => return self.pending.push(Output::WakeAt(at as f64)),
            peers::Output::SetPolling(asking) => return self.pending.push(Output::Ask(asking)),
            peers::Output::Log(text) => return self.pending.push(Output::Note(text)),
            peers::Output::ServerChanged { entry, why } => {
                if !self.roster.allows(&entry, why) {
                    return self.entries_refused += 1;
                }
                self.rings.meet(&entry.zone);
                return self.pending.push(Output::Entry { entry, why });
            }
            peers::Output::FactReceived { owner, fact } => {
                if let Some(keeper) = self.keeper.as_mut().filter(|_| fact.kind == FactKind::RESIDENCY_RULES)
                {
                    keeper.heard(ms(now), owner.0, fact.key, &fact.body);
                }
                return;
            }
            peers::Output::Guidance(told) => self.guidance(&told),
            peers::Output::LoadReport { server, report, age } => self.roster.id(server).map(|upstream| {
                Event::Reported { upstream, report: guidance::report(report), age: age as f64 }
            }),
            peers::Output::EjectionProbeEnded { server, succeeded: well } => {
                self.roster.id(server).map(|upstream| Event::EjectionProbeEnded { upstream, recovered: well })
            }
        };
        self.pending.extend(event.map(Output::Event));
    }

    /// Guidance for the module, unless it has the same already.
    fn guidance(&mut self, told: &peers::api::Guidance) -> Option<Event> {
        let member = self.member.as_mut()?;
        let guided = guidance::for_module(told, member.counts.bases(), &self.roster);
        if member.guided.as_ref() == Some(&guided) {
            return None;
        }
        member.guided = Some(guided.clone());
        Some(Event::Guided(Box::new(guided)))
    }

    /// Once a period the member is told what the module did and which servers it has.
    fn every_period(&mut self, now: Millis, module: &Balancer) {
        let Some(member) = self.member.as_mut().filter(|member| now >= member.next) else { return };
        // A process that was stopped does not make up for the periods that it missed.
        member.next = now + member.period;
        self.pending.push(Output::WakeAt(member.next));
        let counted = member.counts.take(|class| module.service_time(class));
        let servers: Vec<_> = module.servers(now).collect();
        let learnt = member.evidence.looked(&servers);
        // Before anything came, the mean of all classes.
        let times =
            || module.classes().iter().enumerate().filter_map(|(id, _)| module.service_time(ClassId(id)));
        let mean = || times().map(|(time, _)| time).sum::<f64>() / times().count().max(1) as f64;
        let work = member.counts.work().unwrap_or_else(mean);
        let known =
            |server| Some(guidance::known(server, self.roster.key(server.upstream)?, work, &member.safety));
        let known = servers.iter().filter_map(known).collect();
        self.tell(now, peers::Input::Counts(counted));
        self.tell(now, peers::Input::Servers(known));
        learnt.into_iter().for_each(|learnt| self.learnt(now, learnt));
    }

    fn learnt(&mut self, now: Millis, learnt: Learnt) {
        let key = |id| self.roster.key(id);
        let input = match learnt {
            Learnt::Saw(id, standing) => {
                key(id).map(|server| peers::Input::ServerObserved { server, state: standing })
            }
            Learnt::Tried(id, well) => {
                key(id).map(|server| peers::Input::EjectionProbeEnded { server, succeeded: well })
            }
            Learnt::Reported(id, report) => key(id)
                .map(|server| peers::Input::LoadReported { server, report: guidance::report_out(report) }),
        };
        if let Some(input) = input {
            self.tell(now, input);
        }
    }

    fn applied(&mut self, entries: &[(UpstreamId, ServerEntry)]) {
        for (id, entry) in entries {
            self.roster.apply(*id, entry);
            self.rings.meet(&entry.zone);
        }
    }

    // --- Residency -----------------------------------------------------------------------------

    fn reread(&mut self, now: Millis, rules: Option<Rules>) {
        match (&mut self.keeper, rules) {
            (Some(keeper), Some(rules)) => {
                keeper.reread(ms(now), &rules);
            }
            (None, Some(rules)) => self.keeper = Some(Keeper::new(&rules, ms(now))),
            // What members hold together is not undone by one file: only by a newer generation.
            (Some(keeper), None) if self.member.is_some() => {
                let held = keeper.generation();
                let text =
                    format!("residency: the file has no rules; generation {held} of the members stays");
                self.pending.extend((held > 0).then_some(Output::Note(text)));
            }
            (Some(_), None) => {
                // The module is told that everything is free.
                let free = Keeper::new(&Rules::none(), ms(now));
                let news = self.rings.news(free.binding()).map(Event::ResidencyChanged);
                self.pending.extend(news.map(Output::Event));
                self.keeper = None;
            }
            (None, None) => {}
        }
    }

    /// Passes on what is new about the rules: to the other members, the operators and the module.
    fn rules(&mut self, now: Millis) {
        let heard = self.member.as_ref().is_some_and(|member| member.peer.stats().datagrams_in > 0);
        let Some(keeper) = &mut self.keeper else { return };
        if keeper.listens_until(ms(now)).is_some() {
            keeper.listening(ms(now), heard);
        }
        let listens = keeper.listens_until(ms(now)).filter(|at| *at > ms(now));
        if self.listens != listens {
            self.listens = listens;
            self.pending.extend(listens.map(|at| Output::WakeAt(at as f64)));
        }
        if self.member.is_some() {
            for (key, body) in keeper.news() {
                self.tell(now, peers::Input::Publish(Fact { kind: FactKind::RESIDENCY_RULES, key, body }));
            }
        }
        let Some(keeper) = &mut self.keeper else { return };
        self.pending.extend(keeper.notes().into_iter().map(Output::Note));
        self.pending
            .extend(self.rings.news(keeper.binding()).map(Event::ResidencyChanged).map(Output::Event));
    }
}

#[cfg(test)]
mod tests;
