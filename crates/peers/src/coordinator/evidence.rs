//! Evidence: what the members of the region observed of servers, independent of the list.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis, ServerKey, ServerState};

/// A withdrawal requires reports of this many members, because a single member may be cut off, slow or
/// faulty.
pub(super) const MIN_REPORTERS: usize = 2;

/// Evidence is kept for at most this many servers.
const MAX_SERVERS: usize = 4_096;

/// Ranks states by how much they restrict new requests to the server.
pub(super) fn severity(standing: ServerState) -> u8 {
    match standing {
        ServerState::Serving => 0,
        ServerState::Draining => 1,
        ServerState::Gone => 2,
    }
}

/// The evidence about one server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct ServerEvidence {
    /// The state that each member observed.
    observed: BTreeMap<MemberId, ServerState>,
    /// Members that still apply a withdrawal by an earlier coordinator, and the withdrawn state.
    inherited: BTreeMap<MemberId, ServerState>,
    /// When the first of those members reported the withdrawal.
    inherited_since: Millis,
}

/// The evidence of all members of the region, by server.
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

    /// Records the state that a member observed, or removes its report if there is no state.
    pub fn observe(&mut self, reporter: MemberId, server: ServerKey, standing: Option<ServerState>) {
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

    /// Records that a member applies a withdrawal by an earlier coordinator that the current one has not
    /// replaced.
    pub fn observe_inherited(
        &mut self,
        now: Millis,
        reporter: MemberId,
        server: ServerKey,
        standing: ServerState,
    ) {
        if let Some(entry) = self.entry(server) {
            if entry.inherited.is_empty() {
                entry.inherited_since = now;
            }
            entry.inherited.insert(reporter, standing);
        }
    }

    /// Drops the inherited withdrawals of a server, because the coordinator issued a directive of its own.
    pub fn clear_inherited(&mut self, server: ServerKey) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.inherited.clear();
            if entry.observed.is_empty() {
                self.servers.remove(&server);
            }
        }
    }

    /// Drops all evidence about a server, because the list has a newer entry. The evidence was about an
    /// earlier run of the server.
    pub fn forget(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// The worst state that enough members report. With `include_inherited`, a member that reports nothing
    /// itself but still applies an inherited withdrawal counts as reporting its state.
    pub fn withdrawal(&self, server: ServerKey, include_inherited: bool) -> Option<ServerState> {
        let entry = self.servers.get(&server)?;
        let mut reports = entry.observed.clone();
        if include_inherited {
            for (reporter, standing) in &entry.inherited {
                reports.entry(*reporter).or_insert(*standing);
            }
        }
        [ServerState::Gone, ServerState::Draining].into_iter().find(|standing| {
            let reporters =
                reports.values().filter(|reported| severity(**reported) >= severity(*standing)).count();
            reporters >= MIN_REPORTERS
        })
    }

    /// Whether enough members have seen the server serving again.
    pub fn seen_serving(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|entry| {
            entry.observed.values().filter(|standing| **standing == ServerState::Serving).count()
                >= MIN_REPORTERS
        })
    }

    /// Since when at least one member has reported an inherited withdrawal that the current coordinator has
    /// not replaced.
    pub fn inherited_since(&self, server: ServerKey) -> Option<Millis> {
        self.servers
            .get(&server)
            .filter(|entry| !entry.inherited.is_empty())
            .map(|entry| entry.inherited_since)
    }

    /// All servers with evidence.
    pub fn servers(&self) -> Vec<ServerKey> {
        self.servers.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_withdrawal_takes_two_members_and_the_milder_of_two_reports() {
        use ServerState::{Draining, Gone, Serving};
        let server = ServerKey(1);
        // The states that members 0, 1 and 2 observed, the resulting withdrawal, and whether the server
        // counts as serving.
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
                // A repeated report by the same member counts once.
                evidence.observe(reporter, server, *standing);
                evidence.observe(reporter, server, *standing);
            }
            assert_eq!(evidence.withdrawal(server, false), withdrawn, "{seen:?}");
            assert_eq!(evidence.seen_serving(server), serves, "{seen:?}");
        }
    }

    #[test]
    fn members_with_an_inherited_withdrawal_count_until_a_directive_replaces_it() {
        let (server, mut evidence) = (ServerKey(1), Evidence::default());
        evidence.observe_inherited(5, MemberId(0), server, ServerState::Gone);
        evidence.observe(MemberId(0), server, Some(ServerState::Gone));
        assert_eq!(evidence.withdrawal(server, true), None, "both by one member");
        evidence.observe_inherited(9, MemberId(1), server, ServerState::Draining);
        assert_eq!(evidence.withdrawal(server, true), Some(ServerState::Draining));
        assert_eq!(evidence.withdrawal(server, false), None);
        assert_eq!(evidence.inherited_since(server), Some(5));
        evidence.clear_inherited(server);
        assert_eq!(evidence.withdrawal(server, true), None);
        evidence.observe(MemberId(0), server, None);
        assert_eq!(evidence, Evidence::default(), "nothing is kept");
    }
}
