//! Overload control: all members shed load by the same rule.
//!
//! Each member publishes its request rates by class ([`rates`]). Each averages the rates of the members that
//! it hears from ([`peer_loads`]) and derives a shedding level from the averages ([`level`]). Members also
//! publish their levels, which keeps the levels close together. The level determines the admission
//! probability of each class ([`admission`]). The probabilities are the same at all members, so that no
//! member rejects a valuable request while another serves a cheap one.
//!
//! Retries and hedged requests share cluster-wide budgets ([`budgets`]). For each server, a few members poll
//! its load, and one member probes it while it is ejected ([`duties`]).
//!
//! When a member hears from no other member, its level decays to 0. From then on it gives its module no
//! guidance, and the module decides on its own.

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

pub use budgets::cluster_burst;
pub use duties::{POLLERS_PER_SERVER, TAKEOVER_AFTER, decode_ejection_probe, decode_load_report};

use admission::SheddingOrder;
use budgets::BurstShares;
use duties::Duties;
use level::SheddingLevel;
use peer_loads::{LevelReport, PeerLoads};
use rates::OwnRates;

/// A member that has not heard from any other member for this long is isolated: its shedding level decays to
/// 0.
pub const ISOLATED_AFTER: Millis = 3_000;

/// The overload control of one member: what it knows of the cluster's load, and the guidance that follows.
#[derive(Debug)]
pub struct Overload {
    config: Arc<Config>,
    own: OwnRates,
    peer_loads: PeerLoads,
    level: SheddingLevel,
    duties: Duties,
    rights: BurstShares,
    /// The admission probability of each class since the last decision. Empty if every request is admitted.
    admit: Vec<f64>,
    last_decision: Option<Millis>,
    /// The number of decisions so far.
    decisions: u64,
}

impl Overload {
    /// Creates the overload control of a member that has not heard from any other member yet.
    pub fn new(config: Arc<Config>, _now: Millis) -> Overload {
        let members: Vec<MemberId> = (0..=u16::MAX).take(config.members.len()).map(MemberId).collect();
        Overload {
            rights: BurstShares::new(config.me, &members),
            own: OwnRates::default(),
            peer_loads: PeerLoads::default(),
            level: SheddingLevel::default(),
            duties: Duties::default(),
            admit: Vec::new(),
            last_decision: None,
            decisions: 0,
            config,
        }
    }

    /// Records what this member's process did for each class since the previous call, and returns the facts
    /// to publish. `rejected` counts requests rejected by the shedding level and for lack of capacity. It
    /// does not count requests rejected by a residency rule, since shedding cannot free capacity for them.
    pub fn record_counts(&mut self, now: Millis, counts: &[ClassCounts]) -> Vec<Fact> {
        let counts = counts.get(..self.config.classes.len()).unwrap_or(counts);
        self.own.count(now, counts, &self.admit, self.config.timing.period);
        self.own.facts()
    }

    /// Handles a fact of another member, of kind `LOAD`, `SHEDDING_LEVEL`, `LOAD_REPORT` or `EJECTION_PROBE`.
    /// Other kinds are ignored. `now` is the time at which the owner published the fact if its age is known,
    /// and otherwise the time at which it arrived.
    pub fn handle_fact(&mut self, now: Millis, owner: MemberId, fact: &Fact) {
        if owner == self.config.me || usize::from(owner.0) >= self.config.members.len() {
            return;
        }
        match fact.kind {
            FactKind::LOAD => {
                if let Some((first, rates)) = rates::parse_load_fact(fact) {
                    self.peer_loads.set_rates(now, owner, first, rates, self.config.classes.len());
                }
            }
            FactKind::SHEDDING_LEVEL => {
                if let Some(report) = parse_level_fact(fact) {
                    self.peer_loads.set_level_report(now, owner, report);
                }
            }
            _ => self.duties.record_gossip(now, fact),
        }
    }

    /// Sets the servers that the module may use.
    pub fn set_servers(&mut self, now: Millis, servers: &[KnownServer]) {
        self.duties.set_servers(now, servers);
    }

    /// Handles a load report that a server sent to this member. Returns the fact to publish if this member is
    /// one of those that poll the server.
    pub fn handle_load_report(&mut self, now: Millis, server: ServerKey, report: LoadReport) -> Option<Fact> {
        self.duties.record_load_report(now, server, report)
    }

    /// Handles the end of this member's probe of an ejected server, and returns the fact to publish.
    pub fn handle_probe_result(&mut self, now: Millis, server: ServerKey, succeeded: bool) -> Option<Fact> {
        self.duties.record_ejection_probe(now, server, succeeded)
    }

    /// Decides on the guidance for the module and on the facts to publish. It is called once per period.
    /// `living` lists the living members; this member counts as living even if it is not in the list. The
    /// guidance's `slow_start` is left absent.
    pub fn decide(&mut self, now: Millis, me: MemberId, living: &[MemberId]) -> (Guidance, Vec<Fact>) {
        let period = self.config.timing.period;
        let elapsed = self.last_decision.map_or(period, |at| now.saturating_sub(at));
        // Bounds the step of the level after a process was suspended.
        let elapsed_s = elapsed.clamp(1, 5 * period.max(1)) as f64 / 1_000.0;
        self.last_decision = Some(now);
        self.decisions += 1;
        self.peer_loads.expire(now);
        let mut living = living.to_vec();
        living.push(me);
        self.duties.set_alive(now, me, living);
        let living = self.duties.alive_members();
        let heard_recently =
            self.peer_loads.last_heard().is_some_and(|at| now.saturating_sub(at) <= ISOLATED_AFTER);
        let coordinated = heard_recently && living.len() > 1;
        let classes = self.config.classes.len();
        let means = self.peer_loads.means(now, &self.own.rates, classes);
        let order = SheddingOrder::new(&self.config.classes, &means.classes, self.config.class_floor);
        if coordinated {
            let reports = self.peer_loads.level_reports(now);
            self.level.step(now, elapsed_s, &means, &reports, &order);
        } else {
            self.level.decay(elapsed_s);
        }
        let level = self.level.level();
        self.admit = if level > 0.0 { order.admission_probabilities(level) } else { Vec::new() };
        let facts = level_fact(self.level.report()).into_iter().collect();
        let mut guidance = Guidance { admit: self.admit.clone(), level, ..Guidance::default() };
        if coordinated {
            let [retries, hedges] = self.rights.allowances(&self.config.budgets, &self.own.rates, level);
            guidance.retries = Some(retries);
            guidance.hedges = Some(hedges);
            guidance.load_polls = Some(self.duties.load_polls(now));
            guidance.ejection_probes = Some(self.duties.ejection_probes(now));
            guidance.retry_after_range = Some(budgets::retry_after_range(me, living, self.decisions));
        }
        (guidance, facts)
    }

    /// The shedding level, from 0 to 1.
    pub fn level(&self) -> f64 {
        self.level.level()
    }

    /// Takes the log message on the latest change of the shedding level, if there is a new one. Messages are
    /// rate-limited.
    pub fn take_note(&mut self) -> Option<String> {
        self.level.take_note()
    }
}

/// A [`LevelReport`] as the body of a fact: the two levels in units of 1/65,535, and the capacity as the code
/// of [`rates::encode_value`], or 0 if there is none.
#[derive(Serialize, Deserialize)]
struct EncodedLevelReport {
    level: u16,
    desired: u16,
    capacity: u16,
}

/// The fact that carries a level report.
fn level_fact(report: LevelReport) -> Option<Fact> {
    // The clamp keeps the cast in range.
    let fraction = |level: f64| (level.clamp(0.0, 1.0) * f64::from(u16::MAX)).round() as u16;
    let capacity = report.capacity.map_or(0, |capacity| rates::encode_value(capacity).max(1));
    let body = postcard::to_allocvec(&EncodedLevelReport {
        level: fraction(report.level),
        desired: fraction(report.desired),
        capacity,
    })
    .ok()?;
    Some(Fact { kind: FactKind::SHEDDING_LEVEL, key: 0, body })
}

/// The level report of a `SHEDDING_LEVEL` fact, or `None` if the body is malformed.
fn parse_level_fact(fact: &Fact) -> Option<LevelReport> {
    let (EncodedLevelReport { level, desired, capacity }, rest) =
        postcard::take_from_bytes(&fact.body).ok()?;
    let fraction = |level: u16| f64::from(level) / f64::from(u16::MAX);
    let capacity = (capacity > 0).then(|| rates::decode_value(capacity));
    rest.is_empty().then_some(LevelReport { level: fraction(level), desired: fraction(desired), capacity })
}
