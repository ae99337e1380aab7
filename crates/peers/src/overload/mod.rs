//! Overload met by all members alike.
//!
//! Members tell each other what they did, by class ([`rates`]). Each takes means over those that it heard ([`peer_loads`])
//! and follows one level of shedding from them ([`level`]), which the members' words keep together. From the level comes
//! the chance that a class is let in ([`admission`]): the same at all members, so that none refuses a dear request while
//! another serves a cheap one. Further sends have one budget ([`budgets`]), and each server has few members that ask for its
//! load and one that tries it while it is ejected ([`duties`]).
//!
//! Whoever hears nobody leaves its module to itself.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::api::{
    ClassCounts, Config, Fact, FactKind, Guidance, KnownServer, LoadReport, MemberId, Millis, ServerKey,
};

mod admission;
mod budgets;
mod duties;
mod level;
mod peer_loads;
mod rates;
#[cfg(test)]
mod tests;

pub use budgets::fleet_burst;
pub use duties::{ASKED_BY, TAKEN_OVER, report_of, trial_of};

use admission::Order;
use budgets::Rights;
use duties::Duties;
use level::SheddingLevel;
use peer_loads::{LevelReport, PeerLoads};
use rates::OwnRates;

/// Who has heard nobody for so long is alone.
pub const ISOLATED_AFTER: Millis = 3_000;

/// What a member knows of the fleet's load, and what it makes of it.
#[derive(Debug)]
pub struct Overload {
    config: Arc<Config>,
    own: OwnRates,
    table: PeerLoads,
    level: SheddingLevel,
    duties: Duties,
    rights: Rights,
    /// What was let in, by class, since the last decision.
    admit: Vec<f64>,
    decided: Option<Millis>,
    turn: u64,
}

impl Overload {
    /// A member that has heard nobody yet.
    pub fn new(config: Arc<Config>, _now: Millis) -> Overload {
        let members: Vec<MemberId> = (0..=u16::MAX).take(config.members.len()).map(MemberId).collect();
        Overload {
            rights: Rights::new(config.me, &members),
            own: OwnRates::default(),
            table: PeerLoads::default(),
            level: SheddingLevel::default(),
            duties: Duties::default(),
            admit: Vec::new(),
            decided: None,
            turn: 0,
            config,
        }
    }

    /// Takes what this member's process did since the last time, by class, and gives what others should hear of it.
    /// `refused` counts what the level turned away and what found no room, but not what residency forbade: no
    /// shedding makes room for that.
    pub fn record_counts(&mut self, now: Millis, counts: &[ClassCounts]) -> Vec<Fact> {
        let counts = counts.get(..self.config.classes.len()).unwrap_or(counts);
        self.own.count(now, counts, &self.admit, self.config.timing.period);
        self.own.facts()
    }

    /// Takes a fact of another member: LOAD, LEVEL, REPORT or TRIAL; others are left alone. `now` is when it was said,
    /// as far as its age is known, else when it came.
    pub fn handle_fact(&mut self, now: Millis, owner: MemberId, fact: &Fact) {
        if owner == self.config.me || usize::from(owner.0) >= self.config.members.len() {
            return;
        }
        match fact.kind {
            FactKind::LOAD => {
                if let Some((first, rates)) = rates::parse_load_fact(fact) {
                    self.table.load(now, owner, first, rates, self.config.classes.len());
                }
            }
            FactKind::SHEDDING_LEVEL => {
                if let Some(word) = parse_level_fact(fact) {
                    self.table.word(now, owner, word);
                }
            }
            _ => self.duties.heard(now, fact),
        }
    }

    /// Takes all servers that the module may use.
    pub fn set_servers(&mut self, now: Millis, servers: &[KnownServer]) {
        self.duties.servers(now, servers);
    }

    /// A server told its load to this member: what others should hear, if it was this member's duty to ask.
    pub fn handle_load_report(&mut self, now: Millis, server: ServerKey, report: LoadReport) -> Option<Fact> {
        self.duties.reported(now, server, report)
    }

    /// A trial of an ejected server by this member ended: what others should hear.
    pub fn handle_probe_result(&mut self, now: Millis, server: ServerKey, well: bool) -> Option<Fact> {
        self.duties.tried(now, server, well)
    }

    /// Once a period: what the module should go by, and facts of this member to spread. `cold` is left absent. `living`
    /// are the living members; this one counts among them whether named or not.
    pub fn decide(&mut self, now: Millis, me: MemberId, living: &[MemberId]) -> (Guidance, Vec<Fact>) {
        let period = self.config.timing.period;
        let passed = self.decided.map_or(period, |at| now.saturating_sub(at));
        // A process that stood still does not move the level by all that time at once.
        let passed_s = passed.clamp(1, 5 * period.max(1)) as f64 / 1_000.0;
        self.decided = Some(now);
        self.turn += 1;
        self.table.expire(now);
        let mut living = living.to_vec();
        living.push(me);
        self.duties.living(now, me, living);
        let living = self.duties.all();
        let heard = self.table.last_heard().is_some_and(|at| now.saturating_sub(at) <= ISOLATED_AFTER);
        let together = heard && living.len() > 1;
        let classes = self.config.classes.len();
        let means = self.table.means(now, &self.own.rates, classes);
        let order = Order::new(&self.config.classes, &means.classes, self.config.class_floor);
        if together {
            let words = self.table.words(now);
            self.level.step(now, passed_s, &means, &words, &order);
        } else {
            self.level.alone(passed_s);
        }
        let level = self.level.level();
        self.admit = if level > 0.0 { order.admit(level) } else { Vec::new() };
        let fact = level_fact(self.level.word()).into_iter().collect();
        let mut guidance = Guidance { admit: self.admit.clone(), level, ..Guidance::default() };
        if together {
            let [retries, copies] = self.rights.allowed(&self.config.budgets, &self.own.rates, level);
            guidance.retries = Some(retries);
            guidance.hedges = Some(copies);
            guidance.load_polls = Some(self.duties.probes(now));
            guidance.ejection_probes = Some(self.duties.trials(now));
            guidance.retry_after_range = Some(budgets::come_back(me, living, self.turn));
        }
        (guidance, fact)
    }

    /// The level of shedding, 0 to 1.
    pub fn level(&self) -> f64 {
        self.level.level()
    }

    /// Why the level moved, where there is something new to tell: rare by itself.
    pub fn take_note(&mut self) -> Option<String> {
        self.level.take_note()
    }
}

/// A word on the level as a fact's body: the two levels in 65,535ths, the capacity by its code, 0 for none.
#[derive(Serialize, Deserialize)]
struct EncodedLevelReport {
    level: u16,
    desired: u16,
    capacity: u16,
}

fn level_fact(word: LevelReport) -> Option<Fact> {
    // The casts stay in range.
    let part = |level: f64| (level.clamp(0.0, 1.0) * f64::from(u16::MAX)).round() as u16;
    let capacity = word.capacity.map_or(0, |capacity| rates::code(capacity).max(1));
    let body = postcard::to_allocvec(&EncodedLevelReport {
        level: part(word.level),
        desired: part(word.desired),
        capacity,
    })
    .ok()?;
    Some(Fact { kind: FactKind::SHEDDING_LEVEL, key: 0, body })
}

fn parse_level_fact(fact: &Fact) -> Option<LevelReport> {
    let (EncodedLevelReport { level, desired, capacity }, rest) =
        postcard::take_from_bytes(&fact.body).ok()?;
    let part = |level: u16| f64::from(level) / f64::from(u16::MAX);
    let capacity = (capacity > 0).then(|| rates::figure(capacity));
    rest.is_empty().then_some(LevelReport { level: part(level), desired: part(desired), capacity })
}
