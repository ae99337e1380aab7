//! Further tries to open a connection where none came up for a reason of this machine's: no descriptor, port, buffer or
//! route. Nothing reached the upstream, and the next call may do better.

use std::slice::Iter;
use std::time::Duration;

use tokio::time::Instant;

/// Pauses before further tries. The first are nearly none: what one call lacked, the next one often has. Later ones
/// leave time for other requests to end and to free what they hold. All of them take 64 ms.
const BACKOFF_MS: [u64; 7] = [1, 1, 2, 4, 8, 16, 32];
/// So many further tries are made where another upstream can be reached without a new connection.
const MAX_RETRIES_WITH_ALTERNATIVE: usize = 3;

/// The further tries that one attempt or probe has left.
pub struct ConnectRetries {
    deadline: Instant,
    backoffs: Iter<'static, u64>,
}

impl ConnectRetries {
    /// Those of an attempt or a probe that begins now. They take up at most half of its time, so that a connection that
    /// does not come up after them has had time enough to.
    pub fn new(until: Instant) -> ConnectRetries {
        let now = Instant::now();
        ConnectRetries {
            deadline: now + until.saturating_duration_since(now) / 2,
            backoffs: BACKOFF_MS.iter(),
        }
    }

    /// The pause before the next try. `None` if there is none left, or if there were some and another upstream can be
    /// reached without a new connection.
    pub fn next_backoff(&mut self, has_idle_connection_to_another: bool) -> Option<Duration> {
        let retries_made = BACKOFF_MS.len() - self.backoffs.len();
        if has_idle_connection_to_another && retries_made >= MAX_RETRIES_WITH_ALTERNATIVE {
            return None;
        }
        let backoff = Duration::from_millis(*self.backoffs.next()?);
        (Instant::now() + backoff < self.deadline).then_some(backoff)
    }
}
