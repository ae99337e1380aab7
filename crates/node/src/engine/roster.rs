//! The seam towards rosters: where the list of upstreams comes from, in terms that no source has to itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use ::peers::api::Reachability;
use listclock::Pace;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::Happening;

/// A list of upstreams, or what changed in it.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// Where a source that is followed anew goes on from: its version, or 0 if the whole list is wanted, since some of
    /// this one could not be read or nothing is held.
    pub resume_from: u64,
    /// Whether who is missing is gone.
    pub whole: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Names of upstreams whose entries could not be read: what was known of them stands.
    pub unread: Vec<String>,
    /// Names of upstreams of which no more could be read than that they want nothing new.
    pub leaving: Vec<String>,
    /// When the source was heard last before this list came; nothing where this is the first that it told.
    pub heard_before: Option<Instant>,
    /// What the source's clock showed, where it said so with this list.
    pub source_clock: Option<ClockReading>,
}

/// What a source's clock showed at an instant between two of ours. It is cut to whole seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClockReading {
    /// In Unix milliseconds.
    pub unix_ms: f64,
    /// When the source was asked: it was not read before.
    pub asked_at: Instant,
    /// When the answer had come: it was not read after.
    pub answered_at: Instant,
}

/// An upstream as a roster tells it. Its figures are finite.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name, the same at every sidecar.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes new work.
    pub serving: bool,
    /// Its size compared with others.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub started_ms: f64,
}

/// How a source begins to be followed.
pub enum Start {
    /// By a new process that has no list.
    Empty,
    /// By a new process that has one, maybe an old one.
    Known,
    /// In place of another, which may be heard until this one tells its first list but calls no more.
    Moved(Option<Following>),
}

/// A source of lists.
pub trait Roster: Send {
    /// Follows the source from a version on until the result is dropped. It sees to its own returns.
    fn follow(&self, from: u64, start: Start) -> Following;
}

/// A source that is followed: it ends with its owner.
pub struct Following {
    task: JoinHandle<()>,
    retired: Arc<AtomicBool>,
}

impl Following {
    /// Lets a task follow. It is given what tells that it is retired: it may hear out what is open, and must begin
    /// nothing new.
    pub fn by<F: Future<Output = ()> + Send + 'static>(task: impl FnOnce(Arc<AtomicBool>) -> F) -> Following {
        let retired = Arc::new(AtomicBool::new(false));
        Following { task: tokio::spawn(task(retired.clone())), retired }
    }

    /// Lets it begin nothing new.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Where a roster tells its news.
#[derive(Clone)]
pub struct News {
    pub(super) happenings: mpsc::UnboundedSender<Happening>,
    /// How eagerly the source is asked, where a fleet decides on it.
    pub(super) pace: Option<watch::Receiver<Pace>>,
}

impl News {
    /// Whether nobody hears it any more.
    pub fn is_over(&self) -> bool {
        self.happenings.is_closed()
    }

    /// A list, or what changed. Whether anybody still hears it.
    pub fn listed(&self, list: List) -> bool {
        self.happenings.send(Happening::Listed(list)).is_ok()
    }

    /// These news for rosters whose source is asked as a fleet decides, and which tell how it answers.
    pub fn of_fleet(&self, pace: watch::Receiver<Pace>) -> News {
        News { pace: Some(pace), ..self.clone() }
    }

    /// How eagerly the source is asked, as it changes; nothing where no fleet decides on it.
    pub fn pace(&self) -> Option<watch::Receiver<Pace>> {
        self.pace.clone()
    }

    /// The source is in reach, or out of it. Heard only where a fleet wants to know.
    pub fn reach(&self, reach: Reachability) {
        if self.pace.is_some() {
            let _ = self.happenings.send(Happening::Reach(reach));
        }
    }
}
