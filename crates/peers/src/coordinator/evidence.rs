//! What members saw of servers, whatever the list says.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis, ServerKey, Standing};

/// A withdrawal takes the word of so many members: one may be cut off, slow or broken.
pub(super) const MIN_REPORTERS: usize = 2;

/// Of so many servers evidence is kept at most.
const MAX_SERVERS: usize = 4_096;

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
struct ServerEvidence {
    /// What each member saw.
    observed: BTreeMap<MemberId, Standing>,
    /// Who was told of a withdrawal by a former coordinator, and how.
    inherited: BTreeMap<MemberId, Standing>,
    /// When the first of those said so.
    inherited_since: Millis,
}

/// All that members of the region saw.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Evidence {
    servers: BTreeMap<ServerKey, ServerEvidence>,
}

impl Evidence {
    fn entry(&mut self, server: ServerKey) -> Option<&mut ServerEvidence> {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            return None;
        }
        Some(self.servers.entry(server).or_default())
    }

    /// What a member saw now, or that it says nothing of a server any more.
    pub fn observe(&mut self, reporter: MemberId, server: ServerKey, standing: Option<Standing>) {
        match standing {
            Some(standing) => {
                if let Some(entry) = self.entry(server) {
                    entry.observed.insert(reporter, standing);
                }
            }
            None => {
                if let Some(entry) = self.servers.get_mut(&server) {
                    entry.observed.remove(&reporter);
                    if entry.observed.is_empty() && entry.inherited.is_empty() {
                        self.servers.remove(&server);
                    }
                }
            }
        }
    }

    /// A member holds a withdrawal by a former coordinator that the present one has said nothing of.
    pub fn observe_inherited(
        &mut self,
        now: Millis,
        reporter: MemberId,
        server: ServerKey,
        standing: Standing,
    ) {
        if let Some(entry) = self.entry(server) {
            if entry.inherited.is_empty() {
                entry.inherited_since = now;
            }
            entry.inherited.insert(reporter, standing);
        }
    }

    /// What was carried is settled: the coordinator has said its own word.
    pub fn clear_inherited(&mut self, server: ServerKey) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.inherited.clear();
            if entry.observed.is_empty() {
                self.servers.remove(&server);
            }
        }
    }

    /// The list has a newer entry: what was seen was another run of the server.
    pub fn forget(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// The worst that enough members saw, or say together with those who carry a withdrawal.
    pub fn withdrawal(&self, server: ServerKey, include_inherited: bool) -> Option<Standing> {
        let entry = self.servers.get(&server)?;
        let mut reports = entry.observed.clone();
        if include_inherited {
            for (reporter, standing) in &entry.inherited {
                reports.entry(*reporter).or_insert(*standing);
            }
        }
        [Standing::Gone, Standing::Draining].into_iter().find(|standing| {
            let reporters =
                reports.values().filter(|reported| severity(**reported) >= severity(*standing)).count();
            reporters >= MIN_REPORTERS
        })
    }

    /// Whether enough members saw it serve again.
    pub fn seen_serving(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|entry| {
            entry.observed.values().filter(|standing| **standing == Standing::Serving).count()
                >= MIN_REPORTERS
        })
    }

    /// Since when somebody carries a withdrawal that is not settled.
    pub fn inherited_since(&self, server: ServerKey) -> Option<Millis> {
        self.servers
            .get(&server)
            .filter(|entry| !entry.inherited.is_empty())
            .map(|entry| entry.inherited_since)
    }

    /// All servers of which something is known.
    pub fn servers(&self) -> Vec<ServerKey> {
        self.servers.keys().copied().collect()
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
            for (reporter, standing) in (0..).map(MemberId).zip(seen) {
                // Said twice by one member is said once.
                evidence.observe(reporter, server, *standing);
                evidence.observe(reporter, server, *standing);
            }
            assert_eq!(evidence.withdrawal(server, false), withdrawn, "{seen:?}");
            assert_eq!(evidence.seen_serving(server), serves, "{seen:?}");
        }
    }

    #[test]
    fn who_carries_a_withdrawal_counts_beside_who_saw_it_until_that_is_settled() {
        let (server, mut evidence) = (ServerKey(1), Evidence::default());
        evidence.observe_inherited(5, MemberId(0), server, Standing::Gone);
        evidence.observe(MemberId(0), server, Some(Standing::Gone));
        assert_eq!(evidence.withdrawal(server, true), None, "both by one member");
        evidence.observe_inherited(9, MemberId(1), server, Standing::Draining);
        assert_eq!(evidence.withdrawal(server, true), Some(Standing::Draining));
        assert_eq!(evidence.withdrawal(server, false), None);
        assert_eq!(evidence.inherited_since(server), Some(5));
        evidence.clear_inherited(server);
        assert_eq!(evidence.withdrawal(server, true), None);
        evidence.observe(MemberId(0), server, None);
        assert_eq!(evidence, Evidence::default(), "nothing is kept");
    }
}
