//! The rules that hold for every request of a run, and what breaks them.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Formatter};
use std::time::{Duration, Instant};

use crate::clients::{End, Seen};
use crate::scenario::{Habit, Scenario};
use crate::servers::Arrival;

/// A close that comes this soon after a request was written may have crossed it; later the request had been read.
const CROSSING: Duration = Duration::from_millis(50);
/// No attempt begins so long after its client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// The slack of the time that an attempt is told to have.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// Servers that drain may be sent to for so long, and this, after that was told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
const DRAIN_SLACK: Duration = Duration::from_millis(50);
/// A keyed request may be repeated for so long after the first attempt that may have run, and this.
pub const KEY_WINDOW: Duration = Duration::from_millis(1_000);
const KEY_SLACK: Duration = Duration::from_millis(50);

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time, or never read.
    Answered,
    /// Nothing runs more often than its class allows.
    RunOnce,
    /// No attempt begins after its client has left.
    ClientLeft,
    /// An attempt is told at most what its client has left.
    DeadlinePassedOn,
    /// Servers that drain or are gone get nothing after their grace.
    Drained,
    /// The process ends by itself before SIGKILL, with success.
    EndsByItself,
    /// Descriptors stay within the limit and come back to their level.
    Descriptors,
}

impl Rule {
    pub const ALL: [Rule; 7] = [
        Rule::Answered,
        Rule::RunOnce,
        Rule::ClientLeft,
        Rule::DeadlinePassedOn,
        Rule::Drained,
        Rule::EndsByItself,
        Rule::Descriptors,
    ];
}

/// A rule that was broken, and how.
#[derive(Debug, Clone)]
pub struct Broken {
    pub rule: Rule,
    /// The request that it was broken for, if it is one's.
    pub id: Option<String>,
    pub how: String,
}

/// What a run brought.
pub struct Evidence {
    pub started: Instant,
    pub seen: Vec<Seen>,
    pub arrivals: Vec<Arrival>,
    /// When servers that drain or are gone were told as such.
    pub told: HashMap<usize, Instant>,
}

/// How often each rule was checked.
#[derive(Debug, Clone, Default)]
pub struct Counts(pub BTreeMap<Rule, usize>);

impl Counts {
    pub fn add(&mut self, rule: Rule, times: usize) {
        *self.0.entry(rule).or_default() += times;
    }

    pub fn merge(&mut self, other: &Counts) {
        other.0.iter().for_each(|(rule, times)| self.add(*rule, *times));
    }
}

impl Display for Counts {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        Rule::ALL.iter().try_for_each(|rule| write!(f, "{rule:?} {} ", self.0.get(rule).unwrap_or(&0)))
    }
}

impl Evidence {
    /// All rules that are broken for a request.
    pub fn check(&self, scenario: &Scenario, counts: &mut Counts) -> Vec<Broken> {
        let mut broken = Vec::new();
        let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        self.arrivals.iter().for_each(|arrival| by_id.entry(&arrival.id).or_default().push(arrival));
        for seen in &self.seen {
            let arrivals = by_id.get(seen.id.as_str()).map_or(&[][..], Vec::as_slice);
            let found = [
                (Rule::Answered, answered(seen, arrivals, scenario)),
                (Rule::RunOnce, run_once(seen, arrivals)),
                (Rule::ClientLeft, client_left(seen, arrivals)),
                (Rule::DeadlinePassedOn, deadline_passed_on(seen, arrivals)),
            ];
            for (rule, how) in found {
                counts.add(rule, 1);
                broken.extend(how.map(|how| Broken { rule, id: Some(seen.id.clone()), how }));
            }
        }
        for arrival in &self.arrivals {
            let Some(told) = self.told.get(&arrival.server) else { continue };
            counts.add(Rule::Drained, 1);
            let late = arrival.at.saturating_duration_since(*told + DRAIN_GRACE + DRAIN_SLACK);
            if !late.is_zero() {
                let how = format!("server {} got it {late:?} after its grace", arrival.server);
                broken.push(Broken { rule: Rule::Drained, id: Some(arrival.id.clone()), how });
            }
        }
        broken
    }

    /// All that is known of a request, by time since the start of the load.
    pub fn trace(&self, id: &str) -> String {
        let since = |at: Instant| at.saturating_duration_since(self.started).as_secs_f64() * 1e3;
        let mut lines = Vec::new();
        for seen in self.seen.iter().filter(|seen| seen.id == id) {
            let Seen { class, timeout, end, answers_before, place, .. } = seen;
            lines.push(format!(
                "  {:9.1} ms begun, {:9.1} sent: {class}, timeout {timeout:?}, {answers_before} answers before on its connection, place {place}",
                since(seen.begun),
                since(seen.sent)
            ));
            lines.push(format!("  {:9.1} ms ended: {end:?}", since(seen.ended)));
        }
        for arrival in self.arrivals.iter().filter(|arrival| arrival.id == id) {
            let Arrival { server, told, turned_down, .. } = arrival;
            lines.push(format!(
                "  {:9.1} ms at server {server}, told {told:?}, turned down: {turned_down}",
                since(arrival.at)
            ));
        }
        lines.join("\n")
    }
}

fn answered(seen: &Seen, arrivals: &[&Arrival], scenario: &Scenario) -> Option<String> {
    let late = seen.ended.saturating_duration_since(seen.owed_by());
    match seen.end {
        End::Left => None,
        End::Answer(_) if late.is_zero() => None,
        End::Answer(status) => Some(format!("{status} came {late:?} after it was owed")),
        End::Silence => Some("no answer came".to_owned()),
        End::Closed if !arrivals.is_empty() => Some("forwarded, and closed with no answer".to_owned()),
        End::Closed => closed_unread(seen, scenario),
    }
}

/// Whether a request that was closed with no answer and not forwarded may not have been read.
fn closed_unread(seen: &Seen, scenario: &Scenario) -> Option<String> {
    let open = seen.ended.saturating_duration_since(seen.begun);
    let pauses = scenario.clients.iter().filter_map(|habit| match habit {
        Habit::SlowWriting { pieces, pause } => Some(*pause * *pieces as u32),
        _ => None,
    });
    let is_slow = seen.sent - seen.begun > CROSSING;
    let crossing = if is_slow { CROSSING + pauses.max().unwrap_or_default() } else { CROSSING };
    if seen.answers > 0 {
        let what = "closed with no answer so long after it was written on a used connection";
        return (open > crossing).then(|| format!("{what}: {open:?}"));
    }
    // Beside a crowd a new connection may be shut unread, within its time.
    match scenario.crowd {
        Some(_) => (open > seen.timeout).then(|| format!("held beside a crowd for {open:?}, and closed")),
        None => Some(format!("a new connection was closed after {open:?}, with no crowd")),
    }
}

fn run_once(seen: &Seen, arrivals: &[&Arrival]) -> Option<String> {
    let mut may_have_run = arrivals.iter().filter(|arrival| !arrival.turned_down);
    let first = may_have_run.next()?;
    let window = match seen.class {
        "bill" => Duration::ZERO,
        "log" => KEY_WINDOW + KEY_SLACK,
        _ => return None,
    };
    let later = arrivals.iter().filter(|arrival| arrival.at > first.at + window).count();
    (later > 0).then(|| format!("{later} attempts beyond its class, {} in all", arrivals.len()))
}

fn client_left(seen: &Seen, arrivals: &[&Arrival]) -> Option<String> {
    let late = |arrival: &&&Arrival| arrival.at > seen.ended + AFTER_LEAVING;
    let late = arrivals.iter().filter(late).map(|arrival| arrival.at - seen.ended).max()?;
    Some(format!("an attempt began {late:?} after the end of the request for its client"))
}

fn deadline_passed_on(seen: &Seen, arrivals: &[&Arrival]) -> Option<String> {
    let excess = |arrival: &&Arrival| {
        let left = (seen.sent + seen.timeout).saturating_duration_since(arrival.at);
        arrival.told.checked_sub(left + TOLD_SLACK).filter(|excess| !excess.is_zero())
    };
    let most = arrivals.iter().filter_map(excess).max()?;
    Some(format!("an attempt was told {most:?} more than its client had left, and the slack"))
}
