//! Connects the engine to the cluster logic: the sidecar's membership in a cluster of sidecars, and the
//! residency rules that restrict where requests may go.
//!
//! The cluster logic is a [`Company`], which performs no I/O. The engine passes it inputs and executes its
//! outputs. If neither membership nor residency rules are configured, none of this code runs.

use std::fmt::{Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ::peers::api::{PollingRate, Reachability, ServerEntry as PeerEntry, ServerState};
use ::peers::coordinator::Role;
use ::residency::Rules;
use concert::{Company, Input, Output, View};
use listclock::Pace;
use sagemast::api::*;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::info;

use super::datagrams::{DatagramLosses, DatagramSender, Mailbox};
use super::discovery_source::Entry;
use super::transport::{ZoneCheck, ZonePolicy};
use super::{Engine, Server, Timer};

/// What an engine needs for cluster membership, for residency rules, or for both.
pub struct ClusterSetup {
    /// This process as a cluster member: its configuration, the sender to the other members and the mailbox
    /// for their datagrams. `None` without cluster membership.
    pub member: Option<(::peers::api::Config, Box<dyn DatagramSender>, Mailbox)>,
    /// Where requests may go. `None` without residency rules.
    pub rules: Option<Rules>,
    /// Publishes how often the discovery source is to be polled.
    pub pace: watch::Sender<Pace>,
    /// Publishes the status for the metrics.
    pub status: watch::Sender<ClusterStatus>,
}

/// The status of cluster membership and residency rules, for metrics and the log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterStatus {
    /// The counters and state that the cluster logic reports.
    pub view: View,
    /// Counts of lost datagrams.
    pub losses: DatagramLosses,
}

impl ClusterStatus {
    /// Returns the metrics as pairs of name and value.
    pub fn metrics(&self) -> Vec<(&'static str, f64)> {
        let ClusterStatus { view, losses } = self;
        let mut metrics = Vec::new();
        if let Some(peers) = &view.peers {
            metrics.extend([
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
            let DatagramLosses { unheard, strangers, unsent, failed } = losses;
            let (living, members, level) = (peers.living, peers.members, peers.level);
            let role = match peers.role {
                Role::Unattached => "alone",
                Role::Follower => "follows",
                Role::Candidate => "stands",
                Role::Coordinator => "coordinates",
            };
            let (term, refused) = (peers.term.number, peers.stale_rejected);
            parts.push(format!("fleet living={living}/{members} level={level:.2}"));
            parts.push(format!("role={role} term={term} words_refused={refused}"));
            parts.push(format!("datagrams in={} out={}", peers.datagrams_in, peers.datagrams_out));
            parts.push(format!("refused={} strangers={strangers}", peers.dropped_datagrams));
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

/// The engine's handle to the running cluster logic.
pub(super) struct ClusterHandle {
    core: Arc<Mutex<Company>>,
    /// Sends and receives datagrams. `None` without cluster membership.
    network: Option<(Box<dyn DatagramSender>, Mailbox)>,
    pace: watch::Sender<Pace>,
    status: watch::Sender<ClusterStatus>,
}

/// Lets transports check the residency rules, at any time and from any task.
struct ResidencyGate(Arc<Mutex<Company>>);

impl ZonePolicy for ResidencyGate {
    fn allows(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool {
        lock(&self.0).may_write(class, tenant, zone)
    }
}

/// Locks the cluster logic. The lock is held only briefly and never across an `await`.
fn lock(core: &Mutex<Company>) -> MutexGuard<'_, Company> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClusterHandle {
    /// Starts the cluster logic at time 0 of the balancer's clock. `setup` holds everything except the
    /// membership and the rules, which come from `cluster`.
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

    /// Returns the check that a transport makes before it writes a request of this class and tenant.
    pub(super) fn residency_check(&self, class: ClassId, tenant: TenantId) -> ZoneCheck {
        ZoneCheck { policy: Arc::new(ResidencyGate(self.core.clone())), class, tenant }
    }

    /// Shows the cluster logic an event that the balancer handled and the resulting actions.
    pub(super) fn observe(&self, now: Millis, event: &Event, actions: &[Action]) {
        lock(&self.core).observed(now, event, actions);
    }

    /// Returns the current status.
    pub(super) fn status(&self) -> ClusterStatus {
        let losses = self.network.as_ref().map(|(members, _)| members.losses()).unwrap_or_default();
        ClusterStatus { view: lock(&self.core).view(), losses }
    }
}

impl Engine {
    /// Passes an input to the cluster logic and executes the outputs that it returns.
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
                    PollingRate::Normal => Pace::Usual,
                    PollingRate::Frequent => Pace::Often,
                    PollingRate::Infrequent => Pace::Seldom,
                }),
                Output::Note(note) => info!("fleet: {note}"),
            }
        }
    }

    /// Changes how often the discovery source is polled.
    fn set_discovery_pace(&self, pace: Pace) {
        let Some(cluster) = &self.cluster else { return };
        let changed = cluster.pace.send_if_modified(|current| std::mem::replace(current, pace) != pace);
        if changed {
            let rate = match pace {
                Pace::Usual => "as usual",
                Pace::Often => "often, on behalf of its region",
                Pace::Seldom => "seldom, since the coordinator asks",
            };
            info!("fleet: discovery is asked {rate}");
        }
    }

    /// Notifies the cluster logic that a timer it requested has fired, and publishes the current status.
    pub(super) fn wake_cluster(&mut self) {
        self.notify_cluster(Input::Woke);
        if let Some(cluster) = &self.cluster {
            cluster.status.send_replace(cluster.status());
        }
    }

    /// Passes all waiting datagrams of other members to the cluster logic.
    pub(super) fn receive_datagrams(&mut self) {
        let network = self.cluster.as_ref().and_then(|cluster| cluster.network.as_ref());
        let datagrams = network.map(|(_, mailbox)| mailbox.take()).unwrap_or_default();
        for (from, bytes) in datagrams {
            self.notify_cluster(Input::Datagram { from, bytes: &bytes });
        }
    }

    /// Notifies the cluster logic that discovery became reachable or unreachable.
    pub(super) fn update_discovery_reach(&mut self, reach: Reachability) {
        self.notify_cluster(Input::Reach(reach));
    }

    /// Replaces the residency rules.
    pub(super) fn replace_residency_rules(&mut self, rules: Option<Rules>) {
        self.notify_cluster(Input::Reread(rules));
    }

    /// Applies an entry that another member or the coordinator reported about a server known from a list. The
    /// entry takes effect like a list with a single change.
    fn apply_peer_entry(&mut self, peer_entry: PeerEntry) {
        let PeerEntry { host, dial, zone, kind, cell, state: standing, weight, started_ms } =
            peer_entry.clone();
        let serving = standing == ServerState::Serving;
        let entry = Entry { host, dial, zone, kind, cell, serving, weight, started_ms };
        let basis = self.start_basis_from_peer(&entry);
        let listing = self.update_server(&entry, basis);
        self.notify_cluster(Input::Applied(vec![(listing.upstream, peer_entry)]));
        self.notify_balancer(Event::Listed(ListUpdate::Changed(vec![listing])));
    }

    /// Passes a list from the discovery source to the cluster logic. `complete` means that servers missing
    /// from `entries` are gone.
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

/// Converts a list entry to the form that cluster members exchange.
pub(super) fn to_peer_entry(entry: &Entry) -> PeerEntry {
    let Entry { host, dial, zone, kind, cell, serving, weight, started_ms } = entry.clone();
    let standing = if serving { ServerState::Serving } else { ServerState::Draining };
    PeerEntry { host, dial, zone, kind, cell, state: standing, weight, started_ms }
}

impl Server {
    /// Returns the latest list entry in the form that cluster members exchange. `None` if no cluster logic
    /// runs.
    pub(super) fn peer_entry(&self) -> Option<PeerEntry> {
        self.entry.as_deref().map(to_peer_entry)
    }
}
