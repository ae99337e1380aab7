//! What members saw of servers, whatever the list says.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis, ServerKey, Standing};

/// A withdrawal takes the word of so many members: one may be cut off, slow or broken.
pub(super) const WITNESSES: usize = 2;

/// Of so many servers evidence is kept at most.
const SERVERS: usize = 4_096;

/// How far a server is from taking new work.
pub(super) fn severity(standing: Standing) -> u8 {
    match standing {
        Standing::Serving => 0,
        Standing::Draining => 1,
        Standing::Gone => 2,
    }
}

/// What is known of one server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Case {
    /// What each member saw.
    seen: BTreeMap<MemberId, Standing>,
    /// Who was told of a withdrawal by a former coordinator, and how.
    carried: BTreeMap<MemberId, Standing>,
    /// When the first of those said so.
    since: Millis,
}

/// All that members of the region saw.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Evidence {
    cases: BTreeMap<ServerKey, Case>,
}

impl Evidence {
    fn case(&mut self, server: ServerKey) -> Option<&mut Case> {
        if self.cases.len() >= SERVERS && !self.cases.contains_key(&server) {
            return None;
        }
        Some(self.cases.entry(server).or_default())
    }

    /// What a member saw now, or that it says nothing of a server any more.
    pub fn saw(&mut self, by: MemberId, server: ServerKey, standing: Option<Standing>) {
        match standing {
            Some(standing) => {
                if let Some(case) = self.case(server) {
                    case.seen.insert(by, standing);
                }
            }
            None => {
                if let Some(case) = self.cases.get_mut(&server) {
                    case.seen.remove(&by);
                    if case.seen.is_empty() && case.carried.is_empty() {
                        self.cases.remove(&server);
                    }
                }
            }
        }
    }

    /// A member holds a withdrawal by a former coordinator that the present one has said nothing of.
    pub fn carries(&mut self, now: Millis, by: MemberId, server: ServerKey, standing: Standing) {
        if let Some(case) = self.case(server) {
            if case.carried.is_empty() {
                case.since = now;
            }
            case.carried.insert(by, standing);
        }
    }

    /// What was carried is settled: the coordinator has said its own word.
    pub fn settled(&mut self, server: ServerKey) {
        if let Some(case) = self.cases.get_mut(&server) {
            case.carried.clear();
            if case.seen.is_empty() {
                self.cases.remove(&server);
            }
        }
    }

    /// The list has a newer entry: what was seen was another run of the server.
    pub fn forget(&mut self, server: ServerKey) {
        self.cases.remove(&server);
    }

    /// The worst that enough members saw, or say together with those who carry a withdrawal.
    pub fn withdrawn(&self, server: ServerKey, carriers: bool) -> Option<Standing> {
        let case = self.cases.get(&server)?;
        let mut said = case.seen.clone();
        if carriers {
            for (by, standing) in &case.carried {
                said.entry(*by).or_insert(*standing);
            }
        }
        [Standing::Gone, Standing::Draining].into_iter().find(|standing| {
            let so = said.values().filter(|said| severity(**said) >= severity(*standing)).count();
            so >= WITNESSES
        })
    }

    /// Whether enough members saw it serve again.
    pub fn serves(&self, server: ServerKey) -> bool {
        self.cases.get(&server).is_some_and(|case| {
            case.seen.values().filter(|standing| **standing == Standing::Serving).count() >= WITNESSES
        })
    }

    /// Since when somebody carries a withdrawal that is not settled.
    pub fn carried_since(&self, server: ServerKey) -> Option<Millis> {
        self.cases.get(&server).filter(|case| !case.carried.is_empty()).map(|case| case.since)
    }

    /// All servers of which something is known.
    pub fn servers(&self) -> Vec<ServerKey> {
        self.cases.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_takes_two_members_and_the_milder_of_two_words() {
        use Standing::{Draining, Gone, Serving};
        let server = ServerKey(1);
        // What members 0, 1 and 2 saw, and what follows.
        let table = [
            (&[Some(Gone), None, None][..], None, false),
            (&[Some(Gone), Some(Draining), None], Some(Draining), false),
            (&[Some(Gone), Some(Draining), Some(Gone)], Some(Gone), false),
            (&[Some(Gone), Some(Serving), None], None, false),
            (&[Some(Serving), Some(Serving), Some(Gone)], None, true),
        ];
        for (seen, withdrawn, serves) in table {
            let mut evidence = Evidence::default();
            for (by, standing) in (0..).map(MemberId).zip(seen) {
                // Said twice by one member is said once.
                evidence.saw(by, server, *standing);
                evidence.saw(by, server, *standing);
            }
            assert_eq!(evidence.withdrawn(server, false), withdrawn, "{seen:?}");
            assert_eq!(evidence.serves(server), serves, "{seen:?}");
        }
    }

    #[test]
    fn who_carries_a_withdrawal_counts_beside_who_saw_it_until_that_is_settled() {
        let (server, mut evidence) = (ServerKey(1), Evidence::default());
        evidence.carries(5, MemberId(0), server, Standing::Gone);
        evidence.saw(MemberId(0), server, Some(Standing::Gone));
        assert_eq!(evidence.withdrawn(server, true), None, "both by one member");
        evidence.carries(9, MemberId(1), server, Standing::Draining);
        assert_eq!(evidence.withdrawn(server, true), Some(Standing::Draining));
        assert_eq!(evidence.withdrawn(server, false), None);
        assert_eq!(evidence.carried_since(server), Some(5));
        evidence.settled(server);
        assert_eq!(evidence.withdrawn(server, true), None);
        evidence.saw(MemberId(0), server, None);
        assert_eq!(evidence, Evidence::default(), "nothing is kept");
    }
}
