//! Sidecars that break a rule on purpose, one for each checker: a checker that has never caught anything proves
//! nothing. They act below the module, as a defect of an engine would.

use sagemast::api::*;

use crate::checks::Rule;
use crate::clients::Answer;
use crate::server::SendKey;
use crate::time::micros;
use crate::world::World;

/// A defect of sidecar 0, or of all where one alone does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// Answers each request twice.
    AnswersTwice,
    /// Never answers.
    NeverAnswers,
    /// Sends again what may run once.
    RunsTwice,
    /// Sends to servers that it was told drain.
    IgnoresDrains,
    /// Sends to servers that no list named.
    AsksStrangers,
    /// Sends all it has to a cold server.
    FloodsCold,
    /// Acts as coordinator without a vote.
    Usurps,
    /// Takes leases that nobody gave it.
    TakesLeases,
    /// Sends each request three times.
    Floods,
    /// Sends where the rules forbid it.
    LeavesRegion,
}

impl Sabotage {
    /// All of them, each with the rule that it breaks.
    pub const ALL: [(Sabotage, Rule); 10] = [
        (Sabotage::AnswersTwice, Rule::OneAnswer),
        (Sabotage::NeverAnswers, Rule::OneAnswer),
        (Sabotage::RunsTwice, Rule::Repeats),
        (Sabotage::IgnoresDrains, Rule::Drains),
        (Sabotage::AsksStrangers, Rule::Strangers),
        (Sabotage::FloodsCold, Rule::Cold),
        (Sabotage::Usurps, Rule::Coordinators),
        (Sabotage::TakesLeases, Rule::Leases),
        (Sabotage::Floods, Rule::Budgets),
        (Sabotage::LeavesRegion, Rule::Regions),
    ];
}

impl World {
    /// Where a send of a sidecar really goes.
    pub(crate) fn sabotaged(&mut self, member: usize, request: u64, server: usize) -> usize {
        // One sidecar by itself hardly has the requests to overrun a server.
        if member != 0 && self.sabotage != Some(Sabotage::FloodsCold) {
            return server;
        }
        let class = self.members[member].open.get(&request).map(|open| open.class);
        let all = 0..self.servers.len();
        let other = match self.sabotage {
            Some(Sabotage::IgnoresDrains) => {
                all.into_iter().find(|server| self.checks.lists.told_since(0, *server).is_some())
            }
            Some(Sabotage::AsksStrangers) => {
                let like = &self.servers[server];
                let (zone, cell, cores) = (like.zone, like.cell, like.cores);
                let stranger = crate::server::Server::new("stranger".to_owned(), zone, cell, cores, 0);
                self.servers.push(stranger);
                Some(self.servers.len() - 1)
            }
            Some(Sabotage::FloodsCold) => {
                all.into_iter().find(|server| self.servers[*server].started.is_some())
            }
            Some(Sabotage::LeavesRegion) => {
                let (found, class) = (&self.checks.regions, class.unwrap_or(0));
                all.into_iter().find(|server| !found.allows(0, class, self.servers[*server].zone))
            }
            _ => None,
        };
        other.unwrap_or(server)
    }

    /// What a faulty sidecar does after a send.
    pub(crate) fn after_send(&mut self, member: usize, key: SendKey) {
        let class = self.members[member].open.get(&key.0).map(|open| &self.spec.classes[open.class].class);
        let again = match self.sabotage {
            Some(Sabotage::Floods) => key.1 < 2,
            Some(Sabotage::RunsTwice) => {
                key.1 == 0 && class.is_some_and(|class| class.idempotency == Idempotency::NotIdempotent)
            }
            _ => false,
        };
        if member == 0 && again {
            let server = (key.0 as usize + key.1 as usize) % self.servers.len();
            self.send(member, key.0, server, 0.0);
        }
    }

    /// What a faulty sidecar does after a send has ended.
    pub(crate) fn after_end(&mut self, member: usize, key: SendKey, outcome: Outcome) {
        let Some(sabotage) = self.sabotage.filter(|_| member == 0) else { return };
        match sabotage {
            Sabotage::AnswersTwice if outcome == Outcome::Ok => self.answer(member, key.0, Answer::Served),
            Sabotage::TakesLeases => {
                let (now, bound) = (self.now, self.spec.cold_requests(1.0));
                let lease = (bound / 2.0, now + micros(1_000.0));
                let found = &mut self.checks.found;
                self.checks.leases.granted(now, (0, key.0 as usize % 3), lease, bound, found);
            }
            Sabotage::Usurps => {
                let region = self.members[0].region;
                for usurper in 0..2 {
                    let term = Some(format!("{}", key.0 / 8));
                    self.checks.coordinators.sees(self.now, (region, usurper), term, &mut self.checks.found);
                }
            }
            _ => {}
        }
    }
}
