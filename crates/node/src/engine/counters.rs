//! Counts of requests, attempts and probes since the last log line. One summary line every few seconds
//! shows a bad period without logging every request.

use std::fmt::{Display, Formatter, Result};

use sagemast::api::{ClassId, Outcome};

use super::transport::ConnectionCounts;

/// The outcomes of attempts and their names in the log, in the order of `Counters::attempt_outcomes`.
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

/// Returns the name of an outcome in the log.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    OUTCOME_NAMES.iter().find(|(known, _)| *known == outcome).map_or("?", |(_, name)| name)
}

/// The maximum number of classes that a log line lists one by one, those with the most requests first.
/// Operators may have hundreds of routes, and each adds classes.
const MAX_CLASSES_LOGGED: usize = 8;

/// Counts of requests by how they ended.
#[derive(Default, Clone, Copy)]
pub struct RequestCounts {
    /// Requests received.
    pub arrived: u32,
    /// Requests served with an upstream's answer.
    pub served: u32,
    /// Served requests that missed the latency objective of their class.
    pub late: u32,
    /// Requests refused for any reason.
    pub refused: u32,
    /// Refused requests for which no server was serving where residency rules permit them to go.
    pub outside_residency: u32,
    /// Refused requests whose class the cluster was shedding.
    pub shed: u32,
    /// Requests refused or failed without any attempt.
    pub unsent: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests whose client disconnected before the answer.
    pub left: u32,
}

impl RequestCounts {
    /// Whether any request was received or ended.
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
        // These counts can be nonzero only with residency rules or a cluster, so other logs omit them.
        if outside_residency + shed > 0 {
            write!(f, " of_them_outside={outside_residency} of_them_shed={shed}")?;
        }
        write!(f, " unsent={unsent}")?;
        write!(f, " failed={failed} left={left}")
    }
}

/// Counts since the last log line.
#[derive(Default)]
pub struct Counters {
    /// Requests by class. The total alone could hide a class that is mostly not served.
    classes: Vec<RequestCounts>,
    /// Requests that the engine failed because the balancer had not answered them in time.
    pub overdue: u32,
    /// Probes sent to known servers.
    pub probes_sent: u32,
    /// Probes without an answer in time.
    probes_unanswered: u32,
    /// Probes answered with a status other than 200.
    probes_declined: u32,
    /// Probes answered with 200 but without a load report that can be parsed.
    probes_unreadable: u32,
    /// Ended attempts by outcome, in the order of `OUTCOME_NAMES`.
    attempt_outcomes: [u32; OUTCOME_NAMES.len()],
}

impl Counters {
    /// Returns the counts of a class.
    pub fn for_class(&mut self, class: ClassId) -> &mut RequestCounts {
        if self.classes.len() <= class.0 {
            self.classes.resize(class.0 + 1, RequestCounts::default());
        }
        &mut self.classes[class.0]
    }

    /// Counts an attempt by its outcome.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        if let Some(index) = OUTCOME_NAMES.iter().position(|(known, _)| *known == outcome) {
            self.attempt_outcomes[index] += 1;
        }
    }

    /// Counts a probe by the status of its answer, if there was one, and by whether it brought a load report.
    pub fn count_probe(&mut self, status: Option<u16>, has_report: bool) {
        match status {
            None => self.probes_unanswered += 1,
            Some(200) => self.probes_unreadable += u32::from(!has_report),
            Some(_) => self.probes_declined += 1,
        }
    }

    /// Whether there is nothing to log.
    pub fn is_idle(&self) -> bool {
        self.classes.is_empty()
            && self.probes_sent == 0
            && self.attempt_outcomes.iter().all(|count| *count == 0)
    }
}

/// Displays the counts as a log line, with the transport's counts and the names of the classes.
pub struct LogLine<'a>(&'a Counters, &'a ConnectionCounts, &'a [String]);

impl Counters {
    /// Returns the log line for these counts.
    pub fn log_line<'a>(&'a self, connections: &'a ConnectionCounts, names: &'a [String]) -> LogLine<'a> {
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
        // A single class would only repeat the total.
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
        let ConnectionCounts { opened, reused, stale, no_descriptor } = connections;
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
