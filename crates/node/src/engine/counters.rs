//! What the sidecar has done since the last line about it. One line every few seconds tells a bad stretch from
//! a good one without a line a request.

use std::fmt::{Display, Formatter, Result};

use sagemast::api::Outcome;

use super::transport::Counts;

/// The outcomes of attempts in the order in which they are counted.
const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

/// The name of an outcome in the log.
pub fn name_of(outcome: Outcome) -> &'static str {
    OUTCOMES.iter().find(|(known, _)| *known == outcome).map_or("?", |(_, name)| name)
}

/// Counts since the last line.
#[derive(Default)]
pub struct Counters {
    /// Requests that came in.
    pub arrived: u32,
    /// Answered with an upstream's answer.
    pub served: u32,
    /// Refused, and how many of them without an attempt.
    pub refused: u32,
    /// Refused before any attempt.
    pub unsent: u32,
    /// Failed.
    pub failed: u32,
    /// Given up by their clients.
    pub left: u32,
    /// Ended by the engine because the module had not.
    pub overdue: u32,
    /// Probes sent.
    pub probes: u32,
    /// Probes that got no answer in time, one that is not 200, and one without a report that can be read.
    probes_silent: u32,
    probes_declined: u32,
    probes_unread: u32,
    ends: [u32; OUTCOMES.len()],
}

impl Counters {
    /// Counts how an attempt ended.
    pub fn ended(&mut self, outcome: Outcome) {
        if let Some(place) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.ends[place] += 1;
        }
    }

    /// Counts how a probe ended: with what status, and whether it brought a report.
    pub fn probe_ended(&mut self, status: Option<u16>, report: bool) {
        match status {
            None => self.probes_silent += 1,
            Some(200) => self.probes_unread += u32::from(!report),
            Some(_) => self.probes_declined += 1,
        }
    }

    /// Whether there is anything to tell.
    pub fn is_idle(&self) -> bool {
        self.arrived == 0 && self.probes == 0 && self.ends.iter().all(|count| *count == 0)
    }
}

/// Counts together with those of the transport.
pub struct Told<'a>(&'a Counters, &'a Counts);

impl Counters {
    /// The line about these counts.
    pub fn told<'a>(&'a self, connections: &'a Counts) -> Told<'a> {
        Told(self, connections)
    }
}

impl Display for Told<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Told(counters, connections) = self;
        let Counters { arrived, served, refused, unsent, failed, left, overdue, .. } = counters;
        write!(f, "requests arrived={arrived} served={served} refused={refused} unsent={unsent}")?;
        write!(f, " failed={failed} left={left} overdue={overdue}; attempts")?;
        for ((_, name), count) in OUTCOMES.iter().zip(counters.ends).filter(|(_, count)| *count > 0) {
            write!(f, " {name}={count}")?;
        }
        let Counts { opened, reused, stale, no_descriptor } = connections;
        write!(
            f,
            "; connections opened={opened} reused={reused} stale={stale} no_descriptor={no_descriptor}"
        )?;
        let Counters { probes, probes_silent, probes_declined, probes_unread, .. } = counters;
        write!(f, "; probes sent={probes} silent={probes_silent} declined={probes_declined}")?;
        write!(f, " unread={probes_unread}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_the_counts_by_name() {
        let mut counters = Counters::default();
        assert!(counters.is_idle());
        (counters.arrived, counters.refused) = (3, 1);
        counters.ended(Outcome::Reset);
        counters.ended(Outcome::Reset);
        let connections = Counts { reused: 7, ..Counts::default() };
        let line = counters.told(&connections).to_string();
        assert!(line.contains("arrived=3 ") && line.contains("refused=1 "), "{line}");
        assert!(line.contains("attempts reset=2;") && line.contains("reused=7 "), "{line}");
        assert!(!counters.is_idle());
    }
}
