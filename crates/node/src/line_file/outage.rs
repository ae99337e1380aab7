//! A time in which lines are lost.

use std::time::{Duration, Instant};

/// An outage is not over before. A disk that is nearly full takes some lines and refuses others: a line in the log for
/// each change would fill what is left of it.
const SHORTEST: Duration = Duration::from_secs(1);

/// Counts what is lost, so that an outage can be told twice: when it begins, and when it is over.
#[derive(Debug, Default)]
pub struct Outage {
    began: Option<Instant>,
    lost: u64,
}

impl Outage {
    /// Lines are lost. Tells whether the outage begins with them.
    pub fn lose(&mut self, lines: u64, now: Instant) -> bool {
        let begins = self.began.is_none();
        self.began.get_or_insert(now);
        self.lost = self.lost.saturating_add(lines);
        begins
    }

    /// Lines are taken. Tells how many were lost, if an outage is over with that.
    pub fn end(&mut self, now: Instant) -> Option<u64> {
        self.began.take_if(|began| now.saturating_duration_since(*began) >= SHORTEST)?;
        Some(std::mem::take(&mut self.lost))
    }

    /// How many lines it has taken so far.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}
