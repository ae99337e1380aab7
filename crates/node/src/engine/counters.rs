//! What the sidecar has done since the last line about it. One line every few seconds tells a bad stretch from
//! a good one without a line a request.

use std::fmt::{Display, Formatter, Result};

use sagemast::api::{ClassId, Outcome};

use super::transport::Counts;

/// The outcomes of attempts in the order in which they are counted.
const OUTCOME_NAMES: [(Outcome, &str); 9] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
    (Outcome::LocalFailure, "local_failure"),
];

/// The name of an outcome in the log.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    OUTCOME_NAMES.iter().find(|(known, _)| *known == outcome).map_or("?", |(_, name)| name)
}

/// So many classes are told apart in a line, those with most arrivals first: operators may have hundreds of routes.
const MAX_CLASSES_LOGGED: usize = 8;

/// What became of requests.
#[derive(Default, Clone, Copy)]
pub struct RequestCounts {
    /// Came in.
    pub arrived: u32,
    /// Answered with an upstream's answer.
    pub served: u32,
    /// Of those, after the time within which the answer earns its worth.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Of those, since no server serves where they may go, and since the fleet sheds their class.
    pub outside_residency: u32,
    /// Likewise.
    pub shed: u32,
    /// Not served, and never sent to an upstream.
    pub unsent: u32,
    /// Failed.
    pub failed: u32,
    /// Given up by their clients.
    pub left: u32,
}

impl RequestCounts {
    fn is_nonzero(&self) -> bool {
        self.arrived + self.served + self.refused + self.failed + self.left > 0
    }

    fn add(&mut self, other: &RequestCounts) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.outside_residency += other.outside_residency;
        self.shed += other.shed;
        self.unsent += other.unsent;
        self.failed += other.failed;
        self.left += other.left;
    }
}

impl Display for RequestCounts {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let RequestCounts { arrived, served, late, refused, outside_residency, shed, unsent, failed, left } =
            self;
        write!(f, "arrived={arrived} served={served} late={late} refused={refused}")?;
        // Without rules and without a fleet there are none of these, and no word on them.
        if outside_residency + shed > 0 {
            write!(f, " of_them_outside={outside_residency} of_them_shed={shed}")?;
        }
        write!(f, " unsent={unsent}")?;
        write!(f, " failed={failed} left={left}")
    }
}

/// Counts since the last line.
#[derive(Default)]
pub struct Counters {
    /// Requests, by class: one that is hardly served must show, though all together are served well.
    classes: Vec<RequestCounts>,
    /// Ended by the engine because the module had not.
    pub overdue: u32,
    /// Probes sent.
    pub probes_sent: u32,
    /// Probes that got no answer in time, one that is not 200, and one without a report that can be read.
    probes_unanswered: u32,
    probes_declined: u32,
    probes_unreadable: u32,
    attempt_outcomes: [u32; OUTCOME_NAMES.len()],
}

impl Counters {
    /// The tally of a class.
    pub fn for_class(&mut self, class: ClassId) -> &mut RequestCounts {
        if self.classes.len() <= class.0 {
            self.classes.resize(class.0 + 1, RequestCounts::default());
        }
        &mut self.classes[class.0]
    }

    /// Counts how an attempt ended.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        if let Some(index) = OUTCOME_NAMES.iter().position(|(known, _)| *known == outcome) {
            self.attempt_outcomes[index] += 1;
        }
    }

    /// Counts how a probe ended: with what status, and whether it brought a report.
    pub fn count_probe(&mut self, status: Option<u16>, has_report: bool) {
        match status {
            None => self.probes_unanswered += 1,
            Some(200) => self.probes_unreadable += u32::from(!has_report),
            Some(_) => self.probes_declined += 1,
        }
    }

    /// Whether there is anything to tell.
    pub fn is_idle(&self) -> bool {
        self.classes.is_empty()
            && self.probes_sent == 0
            && self.attempt_outcomes.iter().all(|count| *count == 0)
    }
}

/// Counts together with those of the transport and the names of classes.
pub struct LogLine<'a>(&'a Counters, &'a Counts, &'a [String]);

impl Counters {
    /// The line about these counts.
    pub fn log_line<'a>(&'a self, connections: &'a Counts, names: &'a [String]) -> LogLine<'a> {
        LogLine(self, connections, names)
    }
}

impl Display for LogLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let LogLine(counters, connections, names) = self;
        let mut total = RequestCounts::default();
        counters.classes.iter().for_each(|class| total.add(class));
        write!(f, "requests {total} overdue={}", counters.overdue)?;
        let mut classes: Vec<_> =
            counters.classes.iter().zip(*names).filter(|(counts, _)| counts.is_nonzero()).collect();
        // Where there is one, all have been told.
        if classes.len() > 1 {
            classes.sort_by_key(|(counts, _)| std::cmp::Reverse(counts.arrived));
            for (counts, name) in classes.iter().take(MAX_CLASSES_LOGGED) {
                write!(f, "; {name} {counts}")?;
            }
            match classes.len().saturating_sub(MAX_CLASSES_LOGGED) {
                0 => {}
                more => write!(f, "; {more} more classes")?,
            }
        }
        write!(f, "; attempts")?;
        for ((_, name), count) in
            OUTCOME_NAMES.iter().zip(counters.attempt_outcomes).filter(|(_, count)| *count > 0)
        {
            write!(f, " {name}={count}")?;
        }
        let Counts { opened, reused, stale, no_descriptor } = connections;
        write!(
            f,
            "; connections opened={opened} reused={reused} stale={stale} no_descriptor={no_descriptor}"
        )?;
        let Counters { probes_sent, probes_unanswered, probes_declined, probes_unreadable, .. } = counters;
        write!(f, "; probes sent={probes_sent} silent={probes_unanswered} declined={probes_declined}")?;
        write!(f, " unread={probes_unreadable}")
    }
}

#[cfg(test)]
mod tests;
