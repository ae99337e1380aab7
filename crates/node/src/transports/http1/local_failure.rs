//! Further tries to open a connection where none came up for a reason of this machine's: no descriptor, port, buffer or
//! route. Nothing reached the upstream, and the next call may do better.

use std::slice::Iter;
use std::time::Duration;

use tokio::time::Instant;

/// Pauses before further tries. The first are nearly none: what one call lacked, the next one often has. Later ones
/// leave time for other requests to end and to free what they hold. All of them take 64 ms.
const PAUSES_MS: [u64; 7] = [1, 1, 2, 4, 8, 16, 32];
/// So many further tries are made where another upstream can be reached without a new connection.
const TRIES_BEFORE_ANOTHER: usize = 3;

/// The further tries that one attempt or probe has left.
pub struct FurtherTries {
    end: Instant,
    pauses: Iter<'static, u64>,
}

impl FurtherTries {
    /// Those of an attempt or a probe that begins now. They take up at most half of its time, so that a connection that
    /// does not come up after them has had time enough to.
    pub fn new(until: Instant) -> FurtherTries {
        let now = Instant::now();
        FurtherTries { end: now + until.saturating_duration_since(now) / 2, pauses: PAUSES_MS.iter() }
    }

    /// The pause before the next try. `None` if there is none left, or if there were some and another upstream can be
    /// reached without a new connection.
    pub fn next_pause(&mut self, is_another_reachable: bool) -> Option<Duration> {
        let tries = PAUSES_MS.len() - self.pauses.len();
        if is_another_reachable && tries >= TRIES_BEFORE_ANOTHER {
            return None;
        }
        let pause = Duration::from_millis(*self.pauses.next()?);
        (Instant::now() + pause < self.end).then_some(pause)
    }
}
