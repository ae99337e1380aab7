//! When servers started, on the module's monotonic clock. Discovery tells a start by its own clock, in Unix time, and
//! this machine's wall clock may be off by up to [`LONGEST_STEP`]. What that leaves unknown counts as cold.
//!
//! * A start that is told while discovery is heard happened within [`TOLD_WITHIN`]. Where the wall clock agrees with
//!   that, it says how old the start is; where it does not, the start counts as now, and the clock is corrected by it.
//! * A start in a first list may be of any age. Certain is only by how much it is older than the newest start that was
//!   told, and what the wall clock leaves after its longest step. A `Date` of discovery's settles the rest to a second.
//!
//! The reasons are in `docs/design/clocks.md`.

use sagemast::api::Millis;

use super::discovery_source::Entry;

/// A wall clock is stepped by an hour at most; the minute is what clocks differ by without a step.
const LONGEST_STEP: Millis = 61.0 * 60.0 * 1e3;

/// Discovery tells a start at the latest this long after it happened (the protocol's 6 s).
const TOLD_WITHIN: Millis = 6_000.0;

/// What clocks that agree may differ by, and what a message may take on the way.
const TOLERANCE: Millis = 1_000.0;

/// Discovery sends something at least every 2 s. After a silence of no more than this nothing was missed.
const HEARD_WITHOUT_GAP: Millis = 3_000.0;

/// The resolution of a `Date` header.
const DATE_RESOLUTION: Millis = 1_000.0;

/// The share of what serves that may be held to be cold on a mere doubt. Where it were more, requests would be refused
/// for a clock that is most likely right.
const MOST_DOUBTED: f64 = 0.5;

/// What discovery's clock showed, in the module's time.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiscoveryClockReading {
    /// In Unix milliseconds, cut to whole seconds.
    pub unix_ms: Millis,
    /// It was not read before this.
    pub asked_at: Millis,
    /// It was not read after this.
    pub answered_at: Millis,
}

/// Who has confirmed what discovery's clock shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The wall clock alone says it.
    WallClock,
    /// Discovery has told something that fits no other time.
    Discovery,
}

/// What is known of a list's starts besides what its entries say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum StartBasis {
    /// They may be of any age; discovery's clock showed no less than this at the module's 0.
    AnyAge { clock: Millis },
    /// Some were missed in a silence: they happened after `earliest`.
    AfterGap { clock: Millis, earliest: Millis },
    /// They were told at once: they happened after `earliest`.
    Live { earliest: Millis },
}

/// Tells how old servers are.
#[derive(Debug)]
pub(super) struct ServerAges {
    /// What discovery's clock showed at the module's 0, in Unix milliseconds, as far as is known.
    clock: Millis,
    evidence: Evidence,
    /// The same by the newest start that was told: discovery's clock showed no less.
    newest: Millis,
    /// How long a server stays cold.
    warm_up: Millis,
    /// When discovery's list was heard last.
    heard_at: Option<Millis>,
}

impl ServerAges {
    /// Before anything was told, with what the wall clock showed at the module's 0.
    pub(super) fn new(unix_ms: Millis, warm_up: Millis) -> ServerAges {
        ServerAges {
            clock: unix_ms,
            evidence: Evidence::WallClock,
            newest: f64::NEG_INFINITY,
            warm_up,
            heard_at: None,
        }
    }

    /// Takes in what discovery's clock showed.
    pub(super) fn apply_clock_reading(&mut self, reading: DiscoveryClockReading) {
        let lowest = reading.unix_ms - reading.answered_at;
        let highest = reading.unix_ms + DATE_RESOLUTION - reading.asked_at;
        // Neither a clock further off than by a step, nor one behind the servers', is the one that starts are told by.
        let is_another = (lowest - self.clock).abs() > LONGEST_STEP || self.newest > highest + TOLERANCE;
        if self.evidence == Evidence::Discovery || is_another {
            return;
        }
        if !(lowest..=highest).contains(&self.clock) {
            self.clock = lowest;
        }
        self.evidence = Evidence::Discovery;
    }

    /// Takes in the list that a process holds from before its start.
    pub(super) fn apply_restored_list(&mut self, now: Millis, entries: &[Entry]) -> StartBasis {
        self.see(now, entries);
        StartBasis::AnyAge { clock: self.certain_clock(now, entries, serving_weight(entries)) }
    }

    /// Takes in a list of discovery's. `heard_before` is when it was heard last before this list, where its source knows,
    /// and `serving` the weight of all servers that serve.
    pub(super) fn apply_list(
        &mut self,
        now: Millis,
        entries: &[Entry],
        heard_before: Option<Millis>,
        serving: f64,
    ) -> StartBasis {
        self.see(now, entries);
        let heard_before = heard_before.into_iter().chain(self.heard_at.replace(now)).reduce(f64::max);
        let clock = self.certain_clock(now, entries, serving);
        let told_since = |at: Millis| at - TOLD_WITHIN - TOLERANCE;
        match heard_before {
            None => StartBasis::AnyAge { clock },
            Some(at) if now - at <= HEARD_WITHOUT_GAP => StartBasis::Live { earliest: told_since(now) },
            Some(at) => StartBasis::AfterGap { clock, earliest: told_since(at) },
        }
    }

    /// Takes in one entry that another member told of.
    pub(super) fn apply_peer_entry(&mut self, now: Millis, entry: &Entry, serving: f64) -> StartBasis {
        let entries = std::slice::from_ref(entry);
        self.see(now, entries);
        let clock = self.certain_clock(now, entries, serving);
        match self.heard_at {
            None => StartBasis::AnyAge { clock },
            Some(at) => StartBasis::AfterGap { clock, earliest: at - TOLD_WITHIN - TOLERANCE },
        }
    }

    /// When a server started, at the latest that is possible; nothing for long ago.
    pub(super) fn start_time(&mut self, now: Millis, started_ms: f64, basis: StartBasis) -> Option<Millis> {
        if started_ms <= 0.0 {
            return None;
        }
        Some(match basis {
            StartBasis::AnyAge { clock } => (started_ms - clock).min(now),
            StartBasis::AfterGap { clock, earliest } => (started_ms - clock).max(earliest).min(now),
            StartBasis::Live { earliest } => self.told(now, started_ms, earliest),
        })
    }

    /// When a server started whose start was told at once. The clock is corrected where it contradicts that.
    fn told(&mut self, now: Millis, started_ms: f64, earliest: Millis) -> Millis {
        if !(earliest..=now + TOLERANCE).contains(&(started_ms - self.clock)) {
            self.clock = started_ms - now;
        }
        self.evidence = Evidence::Discovery;
        (started_ms - self.clock).min(now)
    }

    /// No server has started later than now.
    fn see(&mut self, now: Millis, entries: &[Entry]) {
        let starts = entries.iter().map(|entry| entry.started_ms - now);
        self.newest = starts.fold(self.newest, f64::max);
    }

    /// What discovery's clock showed at the least at the module's 0.
    fn certain_clock(&self, now: Millis, entries: &[Entry], serving: f64) -> Millis {
        if self.evidence == Evidence::Discovery {
            return self.clock;
        }
        // A start in the wall clock's future does not make the others older: one server's clock may be off as well.
        let certain = self.newest.max(self.clock - LONGEST_STEP).min(self.clock);
        let is_cold = |entry: &Entry, clock: Millis| {
            entry.started_ms > 0.0 && entry.started_ms - clock + self.warm_up > now
        };
        let is_doubted = |entry: &&Entry| is_cold(entry, certain) && !is_cold(entry, self.clock);
        let doubted = serving_weight(entries.iter().filter(is_doubted));
        if doubted <= serving * MOST_DOUBTED { certain } else { self.clock }
    }
}

/// The weight of those entries that serve.
pub(super) fn serving_weight<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> f64 {
    entries.into_iter().filter(|entry| entry.serving).map(|entry| entry.weight.max(0.0)).sum()
}

/// Whether a start that was judged before is to be judged anew: not for what clocks differ by anyway.
pub(super) fn differs_significantly(before: Option<Millis>, after: Option<Millis>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (before - after).abs() > TOLERANCE,
        (before, after) => before != after,
    }
}

#[cfg(test)]
mod tests;
