//! The fleet that this sidecar acts with, and the rules for where its requests may go: what the engine tells its company
//! and carries out for it. Without one, none of this runs.

use std::fmt::{Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ::peers::api::{PollingRate, Reachability, ServerEntry as Told, ServerState};
use ::peers::coordinator::Role;
use ::residency::Rules;
use concert::{Company, Input, Output, View};
use listclock::Pace;
use sagemast::api::*;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;

use super::members::{Losses, Mailbox, Members};
use super::roster::Entry;
use super::transport::{Gate, Pass};
use super::{Engine, Server, Timer};

/// What an engine is given to act with a fleet, or by rules of residency, or both.
pub struct Fleet {
    /// The member that this process is, and the way to the others.
    pub member: Option<(::peers::api::Config, Box<dyn Members>, Mailbox)>,
    /// Where its requests may go.
    pub rules: Option<Rules>,
    /// Where it says how eagerly the roster is asked.
    pub pace: watch::Sender<Pace>,
    /// Where it shows how it stands.
    pub standing: watch::Sender<Standings>,
}

/// How this sidecar stands in its fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Standings {
    /// As the company tells it.
    pub view: View,
    /// What became of datagrams.
    pub losses: Losses,
}

impl Standings {
    /// Its figures by name.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let Standings { view, losses } = self;
        let mut figures = Vec::new();
        if let Some(peers) = &view.peers {
            figures.extend([
                ("living", peers.living as f64),
                ("level", peers.level),
                ("coordinates", f64::from(u8::from(peers.role == Role::Coordinator))),
                ("term", peers.term.number as f64),
                ("words_refused", peers.stale_rejected as f64),
                ("datagrams_in", peers.datagrams_in as f64),
                ("datagrams_out", peers.datagrams_out as f64),
                ("datagrams_refused", (peers.dropped_datagrams + losses.strangers) as f64),
                ("datagrams_lost", (losses.unheard + losses.unsent + losses.failed) as f64),
            ]);
        }
        if let Some(generation) = view.generation {
            figures.push(("rules", generation as f64));
            figures.push(("writes_refused", view.writes_refused as f64));
        }
        figures
    }
}

impl Display for Standings {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Standings { view, losses } = self;
        let mut words = Vec::new();
        if let Some(peers) = &view.peers {
            let Losses { unheard, strangers, unsent, failed } = losses;
            let (living, members, level) = (peers.living, peers.members, peers.level);
            let role = match peers.role {
                Role::Unattached => "alone",
                Role::Follower => "follows",
                Role::Candidate => "stands",
                Role::Coordinator => "coordinates",
            };
            let (term, refused) = (peers.term.number, peers.stale_rejected);
            words.push(format!("fleet living={living}/{members} level={level:.2}"));
            words.push(format!("role={role} term={term} words_refused={refused}"));
            words.push(format!("datagrams in={} out={}", peers.datagrams_in, peers.datagrams_out));
            words.push(format!("refused={} strangers={strangers}", peers.dropped_datagrams));
            words.push(format!("unheard={unheard} unsent={unsent} failed={failed}"));
        }
        if let Some(generation) = view.generation {
            words.push(format!("rules={generation}"));
            words.extend(view.awaited.map(|awaited| format!("awaited={awaited}")));
            words.push(format!("writes_refused={}", view.writes_refused));
        }
        f.write_str(&words.join(" "))
    }
}

/// The same at work.
pub(super) struct Acting {
    company: Arc<Mutex<Company>>,
    links: Option<(Box<dyn Members>, Mailbox)>,
    pace: watch::Sender<Pace>,
    standing: watch::Sender<Standings>,
}

/// A company as transports see it.
struct Door(Arc<Mutex<Company>>);

impl Gate for Door {
    fn lets(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool {
        held(&self.0).may_write(class, tenant, zone)
    }
}

/// Held for moments only, never over a wait.
fn held(company: &Mutex<Company>) -> MutexGuard<'_, Company> {
    company.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Acting {
    pub(super) fn start(fleet: Fleet, setup: concert::Setup) -> Result<Acting, concert::SetupError> {
        let Fleet { member, rules, pace, standing } = fleet;
        let (peers, links) = match member {
            Some((config, members, mailbox)) => (Some(config), Some((members, mailbox))),
            None => (None, None),
        };
        let company = Company::new(concert::Setup { peers, residency: rules, ..setup }, 0.0)?;
        Ok(Acting { company: Arc::new(Mutex::new(company)), links, pace, standing })
    }

    /// What a transport asks before it writes a request.
    pub(super) fn pass(&self, class: ClassId, tenant: TenantId) -> Pass {
        Pass { gate: Arc::new(Door(self.company.clone())), class, tenant }
    }

    /// Shows it what the module was told and what it did.
    pub(super) fn observed(&self, now: Millis, event: &Event, actions: &[Action]) {
        held(&self.company).observed(now, event, actions);
    }

    /// How it stands now, for all who want to see.
    pub(super) fn shown(&self) -> Standings {
        let losses = self.links.as_ref().map(|(members, _)| members.losses()).unwrap_or_default();
        Standings { view: held(&self.company).view(), losses }
    }
}

impl Engine {
    /// Tells the company something, and carries out what it answers.
    pub(super) fn tell_company(&mut self, input: Input) {
        let now = self.millis(Instant::now());
        let Some(acting) = &self.acting else { return };
        let mut outputs = Vec::new();
        held(&acting.company).handle(now, &self.module, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Event(event) => self.event(event),
                Output::Entry { entry, .. } => self.apply(entry),
                Output::Send { to, bytes } => {
                    if let Some((members, _)) = self.acting.as_ref().and_then(|acting| acting.links.as_ref())
                    {
                        members.send(to, bytes);
                    }
                }
                Output::WakeAt(at) => {
                    let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                    let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                    self.set_timer(at, Timer::Company);
                }
                Output::Ask(asking) => self.pace(match asking {
                    PollingRate::Normal => Pace::Usual,
                    PollingRate::Frequent => Pace::Often,
                    PollingRate::Infrequent => Pace::Seldom,
                }),
                Output::Note(note) => info!("fleet: {note}"),
            }
        }
    }

    /// Lets the roster be asked at another pace.
    fn pace(&self, pace: Pace) {
        let Some(acting) = &self.acting else { return };
        let changed = acting.pace.send_if_modified(|held| std::mem::replace(held, pace) != pace);
        if changed {
            let how = match pace {
                Pace::Usual => "as usual",
                Pace::Often => "often, for its region",
                Pace::Seldom => "seldom: the coordinator asks",
            };
            info!("fleet: discovery is asked {how}");
        }
    }

    /// A time that the company asked for has come.
    pub(super) fn company_woke(&mut self) {
        self.tell_company(Input::Woke);
        if let Some(acting) = &self.acting {
            acting.standing.send_replace(acting.shown());
        }
    }

    /// Datagrams of other members wait.
    pub(super) fn mail(&mut self) {
        let links = self.acting.as_ref().and_then(|acting| acting.links.as_ref());
        let waiting = links.map(|(_, mailbox)| mailbox.take()).unwrap_or_default();
        for (from, bytes) in waiting {
            self.tell_company(Input::Datagram { from, bytes: &bytes });
        }
    }

    /// Discovery is in reach, or out of it.
    pub(super) fn reach(&mut self, reach: Reachability) {
        self.tell_company(Input::Reach(reach));
    }

    /// Other rules of residency are in force.
    pub(super) fn other_rules(&mut self, rules: Option<Rules>) {
        self.tell_company(Input::Reread(rules));
    }

    /// What a peer or the coordinator says of a server that a list named, applied like a changed list.
    fn apply(&mut self, told: Told) {
        let Told { host, dial, zone, kind, cell, state: standing, weight, started_ms } = told.clone();
        let serving = standing == ServerState::Serving;
        let entry = Entry { host, dial, zone, kind, cell, serving, weight, started_ms };
        let basis = self.basis_by_peer(&entry);
        let listing = self.update(&entry, basis);
        self.tell_company(Input::Applied(vec![(listing.upstream, told)]));
        self.event(Event::Listed(ListNews::Changed(vec![listing])));
    }

    /// Tells the company a list of the roster's, in the same words.
    pub(super) fn listed_company(&mut self, version: u64, whole: bool, entries: Vec<(UpstreamId, Told)>) {
        if self.acting.is_some() {
            self.tell_company(Input::Listed { version, whole, entries });
        }
    }
}

/// An entry as members tell it.
pub(super) fn told(entry: &Entry) -> Told {
    let Entry { host, dial, zone, kind, cell, serving, weight, started_ms } = entry.clone();
    let standing = if serving { ServerState::Serving } else { ServerState::Draining };
    Told { host, dial, zone, kind, cell, state: standing, weight, started_ms }
}

impl Server {
    /// It, as members tell it; nothing where there are none.
    pub(super) fn told(&self) -> Option<Told> {
        self.entry.as_deref().map(told)
    }
}
