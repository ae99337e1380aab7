//! Discovery: versions of the list, who watches it, and how many calls it takes.

use peers::api::ServerState;

use crate::time::Micros;

/// A server as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// What is said of it.
    pub standing: ServerState,
    /// The number of the zone that is told for it.
    pub zone: usize,
    /// When it was started, in true time; 0 for long ago.
    pub started: Micros,
    /// The version at which it last changed.
    pub version: u64,
}

/// How a sidecar gets through to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// It does.
    Open,
    /// Calls fail and watches break at once.
    Refused,
    /// Nothing comes or goes, and nothing says so.
    Silent,
}

/// Discovery.
#[derive(Debug)]
pub struct Discovery {
    /// The list's version.
    pub version: u64,
    /// The list, by the number of the server.
    pub list: Vec<Listed>,
    limit: u32,
    second: u64,
    calls: u32,
    /// Calls in each second.
    pub by_second: Vec<u32>,
}

impl Discovery {
    /// One whose list is at its first version.
    pub fn new(list: Vec<Listed>, calls_per_s: u32) -> Discovery {
        Discovery { version: 1, list, limit: calls_per_s, second: 0, calls: 0, by_second: Vec::new() }
    }

    /// Changes an entry, under a new version.
    pub fn change(&mut self, server: usize, change: impl FnOnce(&mut Listed)) {
        let Some(entry) = self.list.get_mut(server) else { return };
        change(entry);
        self.version += 1;
        entry.version = self.version;
    }

    /// A call comes in: whether it is taken.
    pub fn call(&mut self, now: Micros) -> bool {
        let second = now / 1_000_000;
        if second != self.second {
            (self.second, self.calls) = (second, 0);
        }
        self.calls += 1;
        self.by_second.resize(second as usize + 1, 0);
        if let Some(calls) = self.by_second.last_mut() {
            *calls += 1;
        }
        self.calls <= self.limit
    }

    /// What changed after a version, by the number of the server.
    pub fn since(&self, version: u64) -> impl Iterator<Item = (usize, &Listed)> {
        self.list.iter().enumerate().filter(move |(_, entry)| entry.version > version)
    }
}
