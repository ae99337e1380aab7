//! Determines when servers started, on the balancer's monotonic clock. Discovery reports a start in Unix
//! time by its own clock, and this machine's wall clock may be off by up to [`MAX_CLOCK_STEP`]. Where the
//! start time is uncertain, the latest possible time is used, so that the server counts as warming up.
//!
//! * A start that discovery reports while this process is in contact with it happened within the last
//!   [`MAX_NOTIFICATION_DELAY`]. If the wall clock agrees, it gives the age of the start. If it does not,
//!   the start counts as now, and the estimate of discovery's clock is corrected accordingly.
//! * A start in a first list may be of any age. Only two things are certain: how much older it is than the
//!   newest start reported so far, and its minimum age by the wall clock after the longest possible clock
//!   step. A `Date` header from discovery determines the age to within a second.
//!
//! The reasons are in `docs/design/clocks.md`.

use sagemast::api::Millis;

use super::discovery_source::Entry;

/// The assumed limit of a wall clock's error: a step of at most an hour, plus a minute by which clocks differ
/// without a step.
const MAX_CLOCK_STEP: Millis = 61.0 * 60.0 * 1e3;

/// Discovery reports a start at most this long after it happened. The protocol limits the delay to 6 s.
const MAX_NOTIFICATION_DELAY: Millis = 6_000.0;

/// Allowance for the difference between clocks that agree and for the time a message is in transit.
const CLOCK_TOLERANCE: Millis = 1_000.0;

/// Discovery sends something at least every 2 s. After a silence no longer than this, nothing was missed.
const MAX_SILENCE_WITHOUT_GAP: Millis = 3_000.0;

/// The resolution of a `Date` header.
const DATE_RESOLUTION: Millis = 1_000.0;

/// The maximum fraction of the serving weight that may count as warming up only because the wall clock is
/// uncertain. With more, requests would be refused because of a clock that is most likely right.
const MAX_DOUBTED_FRACTION: f64 = 0.5;

/// A reading of discovery's clock. Its bounds are on the balancer's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiscoveryClockReading {
    /// The time that the clock showed, in Unix milliseconds, truncated to whole seconds.
    pub unix_ms: Millis,
    /// The earliest time at which the clock can have been read.
    pub asked_at: Millis,
    /// The latest time at which the clock can have been read.
    pub answered_at: Millis,
}

/// What the estimate of discovery's clock is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Only this machine's wall clock.
    WallClock,
    /// Something that discovery reported and that fits no other time.
    Discovery,
}

/// What is known about the start times in a list beyond its entries.
///
/// `epoch_unix_ms` is a lower bound for the time that discovery's clock showed at time 0 of the balancer's
/// clock. `earliest` is the earliest possible start time, on the balancer's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum StartBasis {
    /// The starts may be of any age.
    AnyAge { epoch_unix_ms: Millis },
    /// Discovery was silent for a while, so that starts may have been missed. They happened after `earliest`.
    AfterGap { epoch_unix_ms: Millis, earliest: Millis },
    /// Discovery reported the starts without delay. They happened after `earliest`.
    Live { earliest: Millis },
}

/// Determines when servers started from what discovery reports.
#[derive(Debug)]
pub(super) struct ServerAges {
    /// The estimated time that discovery's clock showed at time 0 of the balancer's clock, in Unix
    /// milliseconds.
    epoch_unix_ms: Millis,
    evidence: Evidence,
    /// A lower bound for the same time, derived from the newest start reported so far.
    min_epoch_unix_ms: Millis,
    /// How long a server warms up after its start.
    warm_up: Millis,
    /// When discovery last sent a list.
    last_contact: Option<Millis>,
}

impl ServerAges {
    /// Creates the estimate from the time that the wall clock showed at time 0 of the balancer's clock.
    pub(super) fn new(unix_ms: Millis, warm_up: Millis) -> ServerAges {
        ServerAges {
            epoch_unix_ms: unix_ms,
            evidence: Evidence::WallClock,
            min_epoch_unix_ms: f64::NEG_INFINITY,
            warm_up,
            last_contact: None,
        }
    }

    /// Corrects the estimate by a reading of discovery's clock.
    pub(super) fn apply_clock_reading(&mut self, reading: DiscoveryClockReading) {
        let lowest = reading.unix_ms - reading.answered_at;
        let highest = reading.unix_ms + DATE_RESOLUTION - reading.asked_at;
        // Start times are not reported by this clock if it differs from the estimate by more than a clock
        // step explains, or if it is behind the clock of a server that has already started.
        let is_another = (lowest - self.epoch_unix_ms).abs() > MAX_CLOCK_STEP
            || self.min_epoch_unix_ms > highest + CLOCK_TOLERANCE;
        if self.evidence == Evidence::Discovery || is_another {
            return;
        }
        if !(lowest..=highest).contains(&self.epoch_unix_ms) {
            self.epoch_unix_ms = lowest;
        }
        self.evidence = Evidence::Discovery;
    }

    /// Applies a list that was held before the process restarted.
    pub(super) fn apply_restored_list(&mut self, now: Millis, entries: &[Entry]) -> StartBasis {
        self.observe_starts(now, entries);
        StartBasis::AnyAge { epoch_unix_ms: self.certain_epoch(now, entries, serving_weight(entries)) }
    }

    /// Applies a list from discovery. `previous_contact` is when the discovery source last heard from
    /// discovery before this list, if the source knows it. `serving` is the weight of all serving servers.
    pub(super) fn apply_list(
        &mut self,
        now: Millis,
        entries: &[Entry],
        previous_contact: Option<Millis>,
        serving: f64,
    ) -> StartBasis {
        self.observe_starts(now, entries);
        let previous_contact =
            previous_contact.into_iter().chain(self.last_contact.replace(now)).reduce(f64::max);
        let epoch_unix_ms = self.certain_epoch(now, entries, serving);
        let earliest_start = |at: Millis| at - MAX_NOTIFICATION_DELAY - CLOCK_TOLERANCE;
        match previous_contact {
            None => StartBasis::AnyAge { epoch_unix_ms },
            Some(at) if now - at <= MAX_SILENCE_WITHOUT_GAP => {
                StartBasis::Live { earliest: earliest_start(now) }
            }
            Some(at) => StartBasis::AfterGap { epoch_unix_ms, earliest: earliest_start(at) },
        }
    }

    /// Applies an entry that another cluster member reported.
    pub(super) fn apply_peer_entry(&mut self, now: Millis, entry: &Entry, serving: f64) -> StartBasis {
        let entries = std::slice::from_ref(entry);
        self.observe_starts(now, entries);
        let epoch_unix_ms = self.certain_epoch(now, entries, serving);
        match self.last_contact {
            None => StartBasis::AnyAge { epoch_unix_ms },
            Some(at) => StartBasis::AfterGap {
                epoch_unix_ms,
                earliest: at - MAX_NOTIFICATION_DELAY - CLOCK_TOLERANCE,
            },
        }
    }

    /// Returns the latest time at which a server can have started. `None` means long ago.
    pub(super) fn start_time(&mut self, now: Millis, started_ms: f64, basis: StartBasis) -> Option<Millis> {
        if started_ms <= 0.0 {
            return None;
        }
        Some(match basis {
            StartBasis::AnyAge { epoch_unix_ms } => (started_ms - epoch_unix_ms).min(now),
            StartBasis::AfterGap { epoch_unix_ms, earliest } => {
                (started_ms - epoch_unix_ms).max(earliest).min(now)
            }
            StartBasis::Live { earliest } => self.live_start_time(now, started_ms, earliest),
        })
    }

    /// Returns when a server started whose start was reported without delay. Corrects the estimate of
    /// discovery's clock if it contradicts the report.
    fn live_start_time(&mut self, now: Millis, started_ms: f64, earliest: Millis) -> Millis {
        if !(earliest..=now + CLOCK_TOLERANCE).contains(&(started_ms - self.epoch_unix_ms)) {
            self.epoch_unix_ms = started_ms - now;
        }
        self.evidence = Evidence::Discovery;
        (started_ms - self.epoch_unix_ms).min(now)
    }

    /// Raises the lower bound for discovery's clock: no server can have started later than now.
    fn observe_starts(&mut self, now: Millis, entries: &[Entry]) {
        let starts = entries.iter().map(|entry| entry.started_ms - now);
        self.min_epoch_unix_ms = starts.fold(self.min_epoch_unix_ms, f64::max);
    }

    /// Returns the time that discovery's clock certainly showed, or had passed, at time 0 of the balancer's
    /// clock. Returns the estimate itself if the certain time would leave too many servers warming up.
    fn certain_epoch(&self, now: Millis, entries: &[Entry], serving: f64) -> Millis {
        if self.evidence == Evidence::Discovery {
            return self.epoch_unix_ms;
        }
        // A start in the wall clock's future does not make the other servers older, because the clock of
        // that one server may be off as well.
        let certain = self.min_epoch_unix_ms.max(self.epoch_unix_ms - MAX_CLOCK_STEP).min(self.epoch_unix_ms);
        let is_warming_up = |entry: &Entry, epoch_unix_ms: Millis| {
            entry.started_ms > 0.0 && entry.started_ms - epoch_unix_ms + self.warm_up > now
        };
        let is_doubted =
            |entry: &&Entry| is_warming_up(entry, certain) && !is_warming_up(entry, self.epoch_unix_ms);
        let doubted = serving_weight(entries.iter().filter(is_doubted));
        if doubted <= serving * MAX_DOUBTED_FRACTION { certain } else { self.epoch_unix_ms }
    }
}

/// Returns the total weight of the entries that are serving.
pub(super) fn serving_weight<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> f64 {
    entries.into_iter().filter(|entry| entry.serving).map(|entry| entry.weight.max(0.0)).sum()
}

/// Returns whether a new estimate of a start time replaces an earlier one. A difference within the
/// tolerance of clocks that agree does not.
pub(super) fn differs_significantly(before: Option<Millis>, after: Option<Millis>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (before - after).abs() > CLOCK_TOLERANCE,
        (before, after) => before != after,
    }
}

#[cfg(test)]
mod tests;
