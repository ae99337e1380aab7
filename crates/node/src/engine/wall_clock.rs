//! This machine's wall clock, which may be stepped at any time. The wall clock is read once and then
//! follows the monotonic clock, so that later steps have no effect.

use std::time::{SystemTime, UNIX_EPOCH};

use sagemast::api::Millis;
use tokio::time::Instant;

/// A reading of the wall clock, together with the instant at which it was taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WallClock {
    unix_ms: Millis,
    read_at: Instant,
}

impl WallClock {
    /// Reads the machine's wall clock now. A time before 1970 is read as 1970.
    pub fn read() -> WallClock {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::from_unix_ms(since_1970.as_secs_f64() * 1e3)
    }

    /// Creates a wall clock that shows this Unix time now, in milliseconds.
    pub fn from_unix_ms(unix_ms: Millis) -> WallClock {
        WallClock { unix_ms, read_at: Instant::now() }
    }

    /// Returns the Unix time at an earlier or later instant, in milliseconds, as if the wall clock were never
    /// stepped.
    pub fn unix_ms_at(&self, at: Instant) -> Millis {
        let since = at.saturating_duration_since(self.read_at).as_secs_f64();
        let before = self.read_at.saturating_duration_since(at).as_secs_f64();
        self.unix_ms + (since - before) * 1e3
    }
}
