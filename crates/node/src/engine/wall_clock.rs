//! This machine's wall clock, which may be stepped at any time. It is read once and tied to the monotonic clock, so that
//! later steps change nothing.

use std::time::{SystemTime, UNIX_EPOCH};

use sagemast::api::Millis;
use tokio::time::Instant;

/// What the wall clock showed at an instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WallClock {
    unix_ms: Millis,
    read_at: Instant,
}

impl WallClock {
    /// The machine's wall clock as it stands now. A time before 1970 reads as 1970.
    pub fn read() -> WallClock {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallClock::showing(since_1970.as_secs_f64() * 1e3)
    }

    /// A wall clock that shows this Unix time now, in milliseconds.
    pub fn showing(unix_ms: Millis) -> WallClock {
        WallClock { unix_ms, read_at: Instant::now() }
    }

    /// What it showed or would show at an instant if it had run on evenly.
    pub fn unix_ms_at(&self, at: Instant) -> Millis {
        let since = at.saturating_duration_since(self.read_at).as_secs_f64();
        let before = self.read_at.saturating_duration_since(at).as_secs_f64();
        self.unix_ms + (since - before) * 1e3
    }
}
