//! The pool of idle connections to one upstream, and the choice of the connection to reuse.

use std::time::Duration;

use tokio::time::Instant;

use super::connection::Connection;

/// How long a connection must have been idle before it carries another request.
///
/// A connection used more recently than this may still deliver bytes that belong to no request: a second
/// answer to the last request, or the beginning of one. Bytes that are already in the socket are detected
/// before the first byte of a request is written. Bytes that cross the request on the wire are not detected,
/// and would be taken for its answer.
pub const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);

/// Chooses the idle connection to use next and returns its index. `reusable_at` says when each of them may be
/// reused, the longest idle first.
///
/// Among connections that are reusable now, the most recently used is chosen, so that the others can reach
/// the idle timeout and close. If none is reusable now, the one that becomes reusable first is chosen,
/// provided that this is no later than `latest`. The caller then has to wait until it is reusable. A short
/// wait is cheaper than a new connection, whose handshake costs the upstream work and delays the request.
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
    /// Takes the connection to reuse for an attempt or probe that must end by `until`, if there is one. The
    /// caller may have to wait until it is reusable, for at most half of the remaining time.
    pub fn take(&mut self, idle_timeout: Duration, until: Instant) -> Option<Connection> {
        self.sweep(idle_timeout);
        let now = Instant::now();
        let latest = now + until.saturating_duration_since(now) / 2;
        let index = choose_connection(self.idle.iter().map(Connection::reusable_at), now, latest)?;
        Some(self.idle.remove(index))
    }

    /// Adds an idle connection, in the order of `idle_since`.
    pub fn put(&mut self, connection: Connection) {
        let index = self.idle.partition_point(|idle| idle.idle_since <= connection.idle_since);
        self.idle.insert(index, connection);
    }

    /// Drops the connections that the upstream has closed and those that have been idle for `idle_timeout` or
    /// longer.
    pub fn sweep(&mut self, idle_timeout: Duration) {
        self.idle.retain(|c| c.is_usable() && c.idle_since.elapsed() < idle_timeout);
    }

    /// The number of idle connections.
    pub fn count(&self) -> usize {
        self.idle.len()
    }

    /// When the longest idle connection became idle.
    pub fn oldest(&self) -> Option<Instant> {
        self.idle.first().map(|connection| connection.idle_since)
    }

    /// Takes the longest idle connection, for the caller to close.
    pub fn take_oldest(&mut self) -> Option<Connection> {
        (!self.idle.is_empty()).then(|| self.idle.remove(0))
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
