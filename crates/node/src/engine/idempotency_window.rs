//! The time window within which upstreams discard repeats of a request by its idempotency key.
//!
//! The window starts with the first byte of the earliest attempt that may have been executed or is still in
//! flight. All attempts of a request share the window. A transport checks it before each write, because the
//! window may have closed between the balancer's choice of a server and the moment the connection is
//! established.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast::api::AttemptNo;
use tokio::time::Instant;

/// Nothing is written in this last part of a window, because written bytes take time to arrive.
const TRANSIT_MARGIN: Duration = Duration::from_millis(8);

/// The error of a write that is not allowed because the window has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowClosed;

/// The window of one request.
#[derive(Debug)]
pub struct IdempotencyWindow {
    length: Duration,
    /// The attempts that may have been executed because a byte of them may have been written, each with the
    /// time of its first write.
    started: Mutex<Vec<(AttemptNo, Instant)>>,
}

impl IdempotencyWindow {
    /// Creates a window of this length for a request of which nothing has been written yet.
    pub fn new(length: Duration) -> IdempotencyWindow {
        IdempotencyWindow { length, started: Mutex::default() }
    }

    /// Records that the first byte of an attempt is about to be written.
    ///
    /// # Errors
    ///
    /// The window has closed. The attempt must not be written.
    pub fn begin_write(&self, attempt: AttemptNo, now: Instant) -> Result<(), WindowClosed> {
        let mut started = self.started();
        check(closing_time(&started, self.length, attempt), now)?;
        if started.iter().all(|(other, _)| *other != attempt) {
            started.push((attempt, now));
        }
        Ok(())
    }

    /// Checks that a further byte of an attempt may be written.
    ///
    /// # Errors
    ///
    /// The window has closed. The byte must not be written.
    pub fn allows_write(&self, attempt: AttemptNo, now: Instant) -> Result<(), WindowClosed> {
        check(self.closes_at(attempt), now)
    }

    /// Returns the time by which an attempt must be written completely. `None` if there is no limit because
    /// no other attempt has started.
    pub fn closes_at(&self, attempt: AttemptNo) -> Option<Instant> {
        closing_time(&self.started(), self.length, attempt)
    }

    /// Records that an attempt has ended and was not executed. The window no longer starts with it.
    pub fn mark_not_executed(&self, attempt: AttemptNo) {
        self.started().retain(|(other, _)| *other != attempt);
    }

    /// Locks the list of started attempts. The lock is held only briefly and never across an `await`.
    fn started(&self) -> MutexGuard<'_, Vec<(AttemptNo, Instant)>> {
        self.started.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns when the window closes for an attempt, given the attempts that have started. Only the other
/// attempts count.
fn closing_time(started: &[(AttemptNo, Instant)], length: Duration, attempt: AttemptNo) -> Option<Instant> {
    let others = started.iter().filter(|(other, _)| *other != attempt);
    let earliest = others.map(|(_, at)| *at).min()?;
    earliest.checked_add(length.saturating_sub(TRANSIT_MARGIN))
}

/// Checks that the closing time, if there is one, has not been reached.
fn check(closing_time: Option<Instant>, now: Instant) -> Result<(), WindowClosed> {
    match closing_time {
        Some(closing_time) if now >= closing_time => Err(WindowClosed),
        _ => Ok(()),
    }
}

#[cfg(test)]
#[path = "idempotency_window_tests.rs"]
mod tests;
