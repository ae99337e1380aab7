//! The interface between the engine and discovery sources, which supply the list of upstreams. Its types do
//! not depend on the protocol of any one source.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ::peers::api::Reachability;
use listclock::Pace;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::EngineEvent;

/// A list of upstreams, or the changes to a list.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// The version of the list.
    pub version: u64,
    /// The version from which a new subscription resumes. 0 requests a complete list: either no list is
    /// held, or some entries of this one could not be parsed.
    pub resume_from: u64,
    /// Whether the list is complete, so that upstreams missing from it are gone.
    pub complete: bool,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Host names of upstreams whose entries could not be parsed. Their last known state still applies.
    pub unparsed: Vec<String>,
    /// Host names of upstreams whose entries could not be parsed except that they accept no new requests.
    pub draining: Vec<String>,
    /// When the source last heard from discovery before this list. `None` if this is its first list.
    pub previous_contact: Option<Instant>,
    /// The reading of discovery's clock that came with this list, if any.
    pub source_clock: Option<ClockReading>,
}

/// A reading of discovery's clock, truncated to whole seconds. The clock was read at some moment between two
/// instants of the local clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClockReading {
    /// The time that the clock showed, in Unix milliseconds.
    pub unix_ms: f64,
    /// When the request was sent. The clock was not read before this.
    pub asked_at: Instant,
    /// When the answer arrived. The clock was not read after this.
    pub answered_at: Instant,
}

/// An upstream as a discovery source lists it. All numbers are finite.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The host name, which is the same at every sidecar.
    pub host: String,
    /// The address to connect to.
    pub dial: SocketAddr,
    /// The name of the zone.
    pub zone: String,
    /// The name of the kind of machine.
    pub kind: String,
    /// The number of the cell.
    pub cell: u64,
    /// Whether the upstream accepts new requests.
    pub serving: bool,
    /// The capacity relative to other upstreams.
    pub weight: f64,
    /// When the server last started, in Unix milliseconds. 0 means long ago.
    pub started_ms: f64,
}

/// The situation in which a subscription starts.
pub enum SubscriptionStart {
    /// The process is new and has no list.
    NoList,
    /// The process is new and has a list, which may be old.
    HasList,
    /// The subscription replaces another one. The other one opens no new connections, but what it still
    /// receives counts until the new one has received its first list.
    Replaces(Option<Subscription>),
}

/// Supplies lists of upstreams.
pub trait DiscoverySource: Send {
    /// Subscribes to the lists after version `from`. The subscription reconnects by itself and ends when it
    /// is dropped.
    fn subscribe(&self, from: u64, start: SubscriptionStart) -> Subscription;
}

/// A subscription to a discovery source. Dropping it ends it.
pub struct Subscription {
    task: JoinHandle<()>,
    retired: Arc<AtomicBool>,
}

impl Subscription {
    /// Spawns the task of a subscription. The task is given a flag that is set when the subscription is
    /// retired. From then on it may finish what is open but must not start anything new.
    pub fn spawn<F: Future<Output = ()> + Send + 'static>(
        task: impl FnOnce(Arc<AtomicBool>) -> F,
    ) -> Subscription {
        let retired = Arc::new(AtomicBool::new(false));
        Subscription { task: tokio::spawn(task(retired.clone())), retired }
    }

    /// Tells the task to start nothing new.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reports lists and reachability from a discovery source to the engine.
#[derive(Clone)]
pub struct DiscoveryEvents {
    pub(super) events: mpsc::UnboundedSender<EngineEvent>,
    /// How often the source polls discovery. `None` if no cluster decides this.
    pub(super) pace: Option<watch::Receiver<Pace>>,
}

impl DiscoveryEvents {
    /// Returns whether the engine has stopped.
    pub fn is_closed(&self) -> bool {
        self.events.is_closed()
    }

    /// Reports a list or a change to it. Returns whether the engine is still running.
    pub fn list_received(&self, list: List) -> bool {
        self.events.send(EngineEvent::ListReceived(list)).is_ok()
    }

    /// Returns a copy for a source whose polling rate a cluster decides. Only such a source reports whether
    /// discovery is reachable.
    pub fn with_pace(&self, pace: watch::Receiver<Pace>) -> DiscoveryEvents {
        DiscoveryEvents { pace: Some(pace), ..self.clone() }
    }

    /// Returns a receiver for how often to poll discovery. `None` if no cluster decides this.
    pub fn pace(&self) -> Option<watch::Receiver<Pace>> {
        self.pace.clone()
    }

    /// Reports that discovery became reachable or unreachable. Does nothing if no cluster decides the polling
    /// rate, because nothing else needs the information.
    pub fn reachability_changed(&self, reach: Reachability) {
        if self.pace.is_some() {
            let _ = self.events.send(EngineEvent::DiscoveryReachability(reach));
        }
    }
}
