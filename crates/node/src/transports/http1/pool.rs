//! Idle connections to one upstream, and which of them is used next.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;

/// A connection that was used less than this ago may still bring bytes that belong to no request: a second answer to
/// the last one, or the beginning of one. Those that lie in the socket are seen before the first byte is written; those
/// that cross it on the wire are not, and would be taken for the answer to the next request.
pub const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// Which of the idle connections is used next, by when each of them has rested, the longest idle first.
///
/// Among those that have rested the latest used is taken, so that the others can grow old and close. With none, the one
/// that will have rested first is taken, if that is by `latest`, and whoever takes it waits until then. A handshake
/// costs the upstream work and the request time; a short wait costs nothing but itself.
pub fn choose_connection(
    reusable_at: impl DoubleEndedIterator<Item = Instant> + ExactSizeIterator,
    now: Instant,
    latest: Instant,
) -> Option<usize> {
    let mut best = (None, latest);
    for (index, at) in reusable_at.enumerate().rev() {
        if at <= now {
            return Some(index);
        }
        if at <= best.1 {
            best = (Some(index), at);
        }
    }
    best.0
}

/// The idle connections to one upstream, the longest idle first.
#[derive(Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

impl Pool {
    /// Takes the one that is to be used next by what has to end by `until`, if there is one. It may have to rest first,
    /// for half of that time at most.
    pub fn take(&mut self, idle_timeout: Duration, until: Instant) -> Option<Connection> {
        self.sweep(idle_timeout);
        let now = Instant::now();
        let latest = now + until.saturating_duration_since(now) / 2;
        let index = choose_connection(self.idle.iter().map(Connection::reusable_at), now, latest)?;
        Some(self.idle.remove(index))
    }

    /// Takes one back.
    pub fn put(&mut self, connection: Connection) {
        let index = self.idle.partition_point(|idle| idle.idle_since <= connection.idle_since);
        self.idle.insert(index, connection);
    }

    /// Closes those that were closed by the upstream or have been idle for too long.
    pub fn sweep(&mut self, idle_timeout: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_timeout);
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
