//! Idle connections to one upstream, and which of them is used next.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;

/// A connection that has been idle for less may still bring bytes that belong to no request: a second answer to the
/// last one, or the beginning of one. Those that lie in the socket are seen before the first byte is written; those
/// that cross it on the wire are not, and would be taken for the answer to the next request.
pub const REST: Duration = Duration::from_millis(20);

/// Where the next connection comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The idle connection at this place.
    Reuse(usize),
    /// A new connection.
    Dial,
}

/// So many idle connections to one upstream are enough: with as many a fresh one is used rather than one more dialled.
const ENOUGH: usize = 2;

/// Chooses among connections that have been idle for so long, the longest idle first.
///
/// Among those that have rested for [`REST`] the latest used is taken, so that the others can grow old and close.
/// With only a fresher one a new connection is dialled while over half of the permits are free. A handshake costs
/// the upstream work and the request time, but it leaves a connection behind that is likely to have rested at the
/// next request. Under traffic that would have one dialled for each request, and with permits scarce, the one that
/// has rested longest is taken: the crossing is rare, while connections at upstreams are few.
pub fn choose(idle_for: &[Duration], permits_free: usize, permits: usize) -> Choice {
    if let Some(rested) = idle_for.iter().rposition(|idle| *idle >= REST) {
        return Choice::Reuse(rested);
    }
    let plentiful = permits_free > permits / 2;
    if idle_for.is_empty() || (plentiful && idle_for.len() < ENOUGH) {
        return Choice::Dial;
    }
    Choice::Reuse(0)
}

/// The idle connections to one upstream, the latest used last.
#[derive(Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes the one that is to be used next, if one is.
    pub fn take(&mut self, idle_limit: Duration, permits_free: usize, permits: usize) -> Option<Connection> {
        self.sweep(idle_limit);
        let idle_for: Vec<Duration> = self.idle.iter().map(|idle| idle.idle_since.elapsed()).collect();
        match choose(&idle_for, permits_free, permits) {
            Choice::Reuse(place) => Some(self.idle.remove(place)),
            Choice::Dial => None,
        }
    }

    /// Takes one back.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Closes those that were closed by the upstream or have been idle for too long.
    pub fn sweep(&mut self, idle_limit: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_limit);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.idle.len()
    }

    /// Since when the one longest idle has been so.
    pub fn oldest(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Takes the one longest idle, for it to be closed.
    pub fn take_oldest(&mut self) -> Option<Connection> {
        (!self.idle.is_empty()).then(|| self.idle.remove(0))
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
