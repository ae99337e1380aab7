//! Retries of opening a connection after a failure that lies on this machine: it lacks a descriptor, port,
//! buffer or route. Nothing reached the upstream, and the next system call may succeed.

use std::slice::Iter;
use std::time::Duration;

use tokio::time::Instant;

/// The backoff before each retry. The first ones are very short, since the resource that one call lacked is
/// often available to the next. Later ones leave time for other requests to end and to free their resources.
/// All of them take 64 ms in total.
const BACKOFF_MS: [u64; 7] = [1, 1, 2, 4, 8, 16, 32];
/// The maximum number of retries while another upstream has an idle connection, over which the request could
/// be sent instead.
const MAX_RETRIES_WITH_ALTERNATIVE: usize = 3;

/// The connect retries that one attempt or probe has left.
pub struct ConnectRetries {
    deadline: Instant,
    backoffs: Iter<'static, u64>,
}

impl ConnectRetries {
    /// The retries of an attempt or probe that begins now and must end by `until`. They use at most half of
    /// its time. If a connection opened after them is not established by `until`, that is not for lack of
    /// time.
    pub fn new(until: Instant) -> ConnectRetries {
        let now = Instant::now();
        ConnectRetries {
            deadline: now + until.saturating_duration_since(now) / 2,
            backoffs: BACKOFF_MS.iter(),
        }
    }

    /// The backoff before the next retry. Returns `None` if no retry is left, or if
    /// [`MAX_RETRIES_WITH_ALTERNATIVE`] retries were made and another upstream has an idle connection.
    pub fn next_backoff(&mut self, has_idle_connection_to_another: bool) -> Option<Duration> {
        let retries_made = BACKOFF_MS.len() - self.backoffs.len();
        if has_idle_connection_to_another && retries_made >= MAX_RETRIES_WITH_ALTERNATIVE {
            return None;
        }
        let backoff = Duration::from_millis(*self.backoffs.next()?);
        (Instant::now() + backoff < self.deadline).then_some(backoff)
    }
}
