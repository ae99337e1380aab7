//! The fleet that this sidecar acts with, and the rules for where its requests may go: what the engine tells its company
//! and carries out for it. Without one, none of this runs.

use std::fmt::{Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ::peers::api::{Asking, Entry as PeerEntry, Reach, Standing};
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
pub struct ClusterSetup {
    /// The member that this process is, and the way to the others.
    pub member: Option<(::peers::api::Config, Box<dyn Members>, Mailbox)>,
    /// Where its requests may go.
    pub rules: Option<Rules>,
    /// Where it says how eagerly the roster is asked.
    pub pace: watch::Sender<Pace>,
    /// Where it shows how it stands.
    pub status: watch::Sender<ClusterStatus>,
}

/// How this sidecar stands in its fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterStatus {
    /// As the company tells it.
    pub view: View,
    /// What became of datagrams.
    pub losses: Losses,
}

impl ClusterStatus {
    /// Its figures by name.
    pub fn metrics(&self) -> Vec<(&'static str, f64)> {
        let ClusterStatus { view, losses } = self;
        let mut metrics = Vec::new();
        if let Some(peers) = &view.peers {
            metrics.extend([
                ("living", peers.living as f64),
                ("level", peers.level),
                ("coordinates", f64::from(u8::from(peers.role == Role::Coordinates))),
                ("term", peers.term.number as f64),
                ("words_refused", peers.refused_words as f64),
                ("datagrams_in", peers.datagrams_in as f64),
                ("datagrams_out", peers.datagrams_out as f64),
                ("datagrams_refused", (peers.refused_datagrams + losses.strangers) as f64),
                ("datagrams_lost", (losses.unheard + losses.unsent + losses.failed) as f64),
            ]);
        }
        if let Some(generation) = view.generation {
            metrics.push(("rules", generation as f64));
            metrics.push(("writes_refused", view.writes_refused as f64));
        }
        metrics
    }
}

impl Display for ClusterStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let ClusterStatus { view, losses } = self;
        let mut parts = Vec::new();
        if let Some(peers) = &view.peers {
            let Losses { unheard, strangers, unsent, failed } = losses;
            let (living, members, level) = (peers.living, peers.members, peers.level);
            let role = match peers.role {
                Role::Alone => "alone",
                Role::Follows => "follows",
                Role::Stands => "stands",
                Role::Coordinates => "coordinates",
            };
            let (term, refused) = (peers.term.number, peers.refused_words);
            parts.push(format!("fleet living={living}/{members} level={level:.2}"));
            parts.push(format!("role={role} term={term} words_refused={refused}"));
            parts.push(format!("datagrams in={} out={}", peers.datagrams_in, peers.datagrams_out));
            parts.push(format!("refused={} strangers={strangers}", peers.refused_datagrams));
            parts.push(format!("unheard={unheard} unsent={unsent} failed={failed}"));
        }
        if let Some(generation) = view.generation {
            parts.push(format!("rules={generation}"));
            parts.extend(view.awaited.map(|awaited| format!("awaited={awaited}")));
            parts.push(format!("writes_refused={}", view.writes_refused));
        }
        f.write_str(&parts.join(" "))
    }
}

/// The same at work.
pub(super) struct ClusterHandle {
    core: Arc<Mutex<Company>>,
    network: Option<(Box<dyn Members>, Mailbox)>,
    pace: watch::Sender<Pace>,
    status: watch::Sender<ClusterStatus>,
}

/// A company as transports see it.
struct ResidencyGate(Arc<Mutex<Company>>);

impl Gate for ResidencyGate {
    fn lets(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool {
        lock(&self.0).may_write(class, tenant, zone)
    }
}

/// Held for moments only, never over a wait.
fn lock(core: &Mutex<Company>) -> MutexGuard<'_, Company> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClusterHandle {
    pub(super) fn start(
        cluster: ClusterSetup,
        setup: concert::Setup,
    ) -> Result<ClusterHandle, concert::SetupError> {
        let ClusterSetup { member, rules, pace, status } = cluster;
        let (peers, network) = match member {
            Some((config, members, mailbox)) => (Some(config), Some((members, mailbox))),
            None => (None, None),
        };
        let core = Company::new(concert::Setup { peers, residency: rules, ..setup }, 0.0)?;
        Ok(ClusterHandle { core: Arc::new(Mutex::new(core)), network, pace, status })
    }

    /// What a transport asks before it writes a request.
    pub(super) fn residency_check(&self, class: ClassId, tenant: TenantId) -> Pass {
        Pass { gate: Arc::new(ResidencyGate(self.core.clone())), class, tenant }
    }

    /// Shows it what the module was told and what it did.
    pub(super) fn observe(&self, now: Millis, event: &Event, actions: &[Action]) {
        lock(&self.core).observed(now, event, actions);
    }

    /// How it stands now, for all who want to see.
    pub(super) fn status(&self) -> ClusterStatus {
        let losses = self.network.as_ref().map(|(members, _)| members.losses()).unwrap_or_default();
        ClusterStatus { view: lock(&self.core).view(), losses }
    }
}

impl Engine {
    /// Tells the company something, and carries out what it answers.
    pub(super) fn notify_cluster(&mut self, input: Input) {
        let now = self.to_millis(Instant::now());
        let Some(cluster) = &self.cluster else { return };
        let mut outputs = Vec::new();
        lock(&cluster.core).handle(now, &self.balancer, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Event(event) => self.notify_balancer(event),
                Output::Entry { entry, .. } => self.apply_peer_entry(entry),
                Output::Send { to, bytes } => {
                    if let Some((members, _)) =
                        self.cluster.as_ref().and_then(|cluster| cluster.network.as_ref())
                    {
                        members.send(to, bytes);
                    }
                }
                Output::WakeAt(at) => {
                    let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                    let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                    self.set_timer(at, Timer::ClusterWake);
                }
                Output::Ask(asking) => self.set_discovery_pace(match asking {
                    Asking::Usual => Pace::Usual,
                    Asking::Often => Pace::Often,
                    Asking::Seldom => Pace::Seldom,
                }),
                Output::Note(note) => info!("fleet: {note}"),
            }
        }
    }

    /// Lets the roster be asked at another pace.
    fn set_discovery_pace(&self, pace: Pace) {
        let Some(cluster) = &self.cluster else { return };
        let changed = cluster.pace.send_if_modified(|current| std::mem::replace(current, pace) != pace);
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
    pub(super) fn wake_cluster(&mut self) {
        self.notify_cluster(Input::Woke);
        if let Some(cluster) = &self.cluster {
            cluster.status.send_replace(cluster.status());
        }
    }

    /// Datagrams of other members wait.
    pub(super) fn receive_datagrams(&mut self) {
        let network = self.cluster.as_ref().and_then(|cluster| cluster.network.as_ref());
        let datagrams = network.map(|(_, mailbox)| mailbox.take()).unwrap_or_default();
        for (from, bytes) in datagrams {
            self.notify_cluster(Input::Datagram { from, bytes: &bytes });
        }
    }

    /// Discovery is in reach, or out of it.
    pub(super) fn update_discovery_reach(&mut self, reach: Reach) {
        self.notify_cluster(Input::Reach(reach));
    }

    /// Other rules of residency are in force.
    pub(super) fn replace_residency_rules(&mut self, rules: Option<Rules>) {
        self.notify_cluster(Input::Reread(rules));
    }

    /// What a peer or the coordinator says of a server that a list named, applied like a changed list.
    fn apply_peer_entry(&mut self, peer_entry: PeerEntry) {
        let PeerEntry { host, dial, zone, kind, cell, standing, weight, started_ms } = peer_entry.clone();
        let serving = standing == Standing::Serving;
        let entry = Entry { host, dial, zone, kind, cell, serving, weight, started_ms };
        let basis = self.start_basis_from_peer(&entry);
        let listing = self.update_server(&entry, basis);
        self.notify_cluster(Input::Applied(vec![(listing.upstream, peer_entry)]));
        self.notify_balancer(Event::Listed(ListNews::Changed(vec![listing])));
    }

    /// Tells the company a list of the roster's, in the same words.
    pub(super) fn notify_cluster_of_list(
        &mut self,
        version: u64,
        complete: bool,
        entries: Vec<(UpstreamId, PeerEntry)>,
    ) {
        if self.cluster.is_some() {
            self.notify_cluster(Input::Listed { version, whole: complete, entries });
        }
    }
}

/// An entry as members tell it.
pub(super) fn to_peer_entry(entry: &Entry) -> PeerEntry {
    let Entry { host, dial, zone, kind, cell, serving, weight, started_ms } = entry.clone();
    let standing = if serving { Standing::Serving } else { Standing::Draining };
    PeerEntry { host, dial, zone, kind, cell, standing, weight, started_ms }
}

impl Server {
    /// It, as members tell it; nothing where there are none.
    pub(super) fn peer_entry(&self) -> Option<PeerEntry> {
        self.entry.as_deref().map(to_peer_entry)
    }
}
