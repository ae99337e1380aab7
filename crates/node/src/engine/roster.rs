//! The seam towards rosters: where the list of upstreams comes from, in terms that no source has to itself.

use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Happening;

/// A list of upstreams, or what changed in it.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// Its version: where a source that is followed anew goes on from. 0 where nothing is held.
    pub version: u64,
    /// Whether who is missing is gone.
    pub whole: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
    /// Names of upstreams whose entries could not be read: what was known of them stands.
    pub unread: Vec<String>,
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

/// A source of lists.
pub trait Roster: Send {
    /// Follows the source from a version on until the result is dropped. `for_good`, it sees to its own returns;
    /// else it tells that it failed, and the module says when to follow again.
    fn follow(&self, from: u64, for_good: bool) -> Following;
}

/// A source that is followed: it ends with its owner.
pub struct Following(pub JoinHandle<()>);

impl Following {
    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where a roster tells its news.
#[derive(Clone)]
pub struct News(pub(super) mpsc::UnboundedSender<Happening>);

impl News {
    /// A list, or what changed. Whether anybody still hears it.
    pub fn listed(&self, list: List) -> bool {
        self.0.send(Happening::Listed(list)).is_ok()
    }

    /// The source failed; it can be followed again from this version, 0 if something was missed.
    pub fn failed(&self, version: u64) {
        let _ = self.0.send(Happening::RosterFailed { version });
    }
}
