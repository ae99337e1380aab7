//! The window within which upstreams discard repeats of a request by its key.
//!
//! It counts from the first byte of the earliest attempt that may have run or is still under way. Attempts of one
//! request share it, and a transport asks it at each write: what was allowed when the module chose a server need
//! not be allowed any more once the connection is up.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast::api::AttemptNo;
use tokio::time::Instant;

/// Nothing is written in the last moments of a window: what is written takes time to arrive.
const MARGIN: Duration = Duration::from_millis(8);

/// The window is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowClosed;

/// The window of one request.
#[derive(Debug)]
pub struct IdempotencyWindow {
    length: Duration,
    /// The attempts of which a byte may have been written and that may have run, with when that began.
    begun: Mutex<Vec<(AttemptNo, Instant)>>,
}

impl IdempotencyWindow {
    /// A window of this length, for a request of which nothing was written yet.
    pub fn new(length: Duration) -> IdempotencyWindow {
        IdempotencyWindow { length, begun: Mutex::default() }
    }

    /// Notes that the first byte of an attempt is about to be written, if it may be.
    pub fn begin_write(&self, attempt: AttemptNo, now: Instant) -> Result<(), WindowClosed> {
        let mut begun = self.begun();
        check(closes(&begun, self.length, attempt), now)?;
        if begun.iter().all(|(other, _)| *other != attempt) {
            begun.push((attempt, now));
        }
        Ok(())
    }

    /// Whether a further byte of an attempt may be written.
    pub fn allows_write(&self, attempt: AttemptNo, now: Instant) -> Result<(), WindowClosed> {
        check(self.closes_at(attempt), now)
    }

    /// When an attempt has to be written whole. `None` while no other attempt binds it.
    pub fn closes_at(&self, attempt: AttemptNo) -> Option<Instant> {
        closes(&self.begun(), self.length, attempt)
    }

    /// An attempt has ended and did not run: the window does not count from it.
    pub fn mark_not_executed(&self, attempt: AttemptNo) {
        self.begun().retain(|(other, _)| *other != attempt);
    }

    fn begun(&self) -> MutexGuard<'_, Vec<(AttemptNo, Instant)>> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// When the window closes for an attempt, by the others that have begun.
fn closes(begun: &[(AttemptNo, Instant)], length: Duration, attempt: AttemptNo) -> Option<Instant> {
    let others = begun.iter().filter(|(other, _)| *other != attempt);
    let earliest = others.map(|(_, at)| *at).min()?;
    earliest.checked_add(length.saturating_sub(MARGIN))
}

fn check(closes: Option<Instant>, now: Instant) -> Result<(), WindowClosed> {
    match closes {
        Some(closes) if now >= closes => Err(WindowClosed),
        _ => Ok(()),
    }
}

#[cfg(test)]
#[path = "idempotency_window_tests.rs"]
mod tests;
