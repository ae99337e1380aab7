//! Directives: the log of those that a coordinator issues, and the record of those that a member applies.

use std::collections::BTreeMap;

use super::evidence::severity;
use super::term::{Directive, MAX_DIRECTIVES, MAX_INHERITED, Term};
use crate::api::{Millis, ServerKey, ServerState};
use crate::lists::MAX_ENTRIES;

/// The last directive that a coordinator issued about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct LatestDirective {
    number: u32,
    pub standing: ServerState,
    pub issued_at: Millis,
}

/// The directives that a coordinator issued in its term. Only the last directive about each server is kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct DirectiveLog {
    last_number: u32,
    by_server: BTreeMap<ServerKey, LatestDirective>,
    by_number: BTreeMap<u32, ServerKey>,
}

impl DirectiveLog {
    /// The number of the last directive, or zero if there is none.
    pub fn last_number(&self) -> u32 {
        self.last_number
    }

    /// Issues a directive with the next number.
    pub fn issue(&mut self, now: Millis, server: ServerKey, standing: ServerState) {
        let Some(number) = self.last_number.checked_add(1) else { return };
        self.last_number = number;
        if let Some(replaced) =
            self.by_server.insert(server, LatestDirective { number, standing, issued_at: now })
        {
            self.by_number.remove(&replaced.number);
        }
        self.by_number.insert(number, server);
    }

    /// The last directive about a server.
    pub fn latest(&self, server: ServerKey) -> Option<LatestDirective> {
        self.by_server.get(&server).copied()
    }

    /// The servers whose last directive withdraws them.
    pub fn withdrawn(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.by_server
            .iter()
            .filter(|(_, latest)| latest.standing != ServerState::Serving)
            .map(|(server, _)| *server)
    }

    /// Returns up to `limit` directives that follow `number` and are not replaced, and the number up to which
    /// the result is complete.
    pub fn after(&self, number: u32, limit: usize) -> (Vec<Directive>, u32) {
        let directives: Vec<Directive> = self
            .by_number
            .range(number.saturating_add(1)..)
            .take(limit)
            .filter_map(|(number, server)| {
                let latest = self.by_server.get(server)?;
                Some(Directive { number: *number, server: *server, standing: latest.standing })
            })
            .collect();
        let up_to = match directives.last() {
            Some(directive) if directives.len() == limit => directive.number,
            _ => self.last_number,
        };
        (directives, up_to)
    }

    /// Like [`DirectiveLog::after`], limited to what fits one datagram.
    pub fn next_batch(&self, number: u32) -> (Vec<Directive>, u32) {
        self.after(number, MAX_DIRECTIVES)
    }
}

/// The directives that a member has received from the coordinators of its region, and applies while it cannot
/// reach discovery itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct AppliedDirectives {
    /// The term of the coordinator that issued the directives.
    pub term: Term,
    /// All directives up to this number have been applied.
    pub through: u32,
    withdrawn: BTreeMap<ServerKey, ServerState>,
    /// Withdrawals of earlier terms that no directive of this term has replaced.
    inherited: BTreeMap<ServerKey, ServerState>,
    /// When the last message from the coordinator arrived.
    pub last_contact: Millis,
}

impl AppliedDirectives {
    pub fn new() -> AppliedDirectives {
        AppliedDirectives {
            term: Term::NONE,
            through: 0,
            withdrawn: BTreeMap::new(),
            inherited: BTreeMap::new(),
            last_contact: 0,
        }
    }

    /// Records a message from the coordinator of this term. Withdrawals of earlier terms stay in force until
    /// a directive of this term replaces them.
    pub fn begin_term(&mut self, now: Millis, term: Term) {
        self.last_contact = now;
        if term != self.term {
            self.term = term;
            self.through = 0;
            self.inherited.append(&mut self.withdrawn);
        }
    }

    /// Applies directives that follow the number `after` and are complete up to the number `up_to`. Returns
    /// false, without applying any, if earlier directives are missing.
    pub fn apply(&mut self, after: u32, up_to: u32, directives: &[Directive]) -> bool {
        if after > self.through {
            return false;
        }
        for directive in
            directives.iter().filter(|directive| directive.number > self.through && directive.number <= up_to)
        {
            self.inherited.remove(&directive.server);
            match directive.standing {
                ServerState::Serving => {
                    self.withdrawn.remove(&directive.server);
                }
                standing if self.withdrawn.len() < MAX_ENTRIES => {
                    self.withdrawn.insert(directive.server, standing);
                }
                _ => {}
            }
        }
        self.through = self.through.max(up_to);
        true
    }

    /// Ends all withdrawals, so that discovery's list applies unchanged.
    pub fn clear(&mut self) {
        self.withdrawn.clear();
        self.inherited.clear();
    }

    /// Whether there is no withdrawal.
    pub fn is_empty(&self) -> bool {
        self.withdrawn.is_empty() && self.inherited.is_empty()
    }

    /// All withdrawn servers and their states.
    pub fn withdrawals(&self) -> impl Iterator<Item = (ServerKey, ServerState)> + '_ {
        self.withdrawn.iter().chain(&self.inherited).map(|(server, standing)| (*server, *standing))
    }

    /// Withdrawals of earlier terms that no directive of this term has replaced, limited to what one
    /// acknowledgement holds.
    pub fn inherited(&self) -> Vec<(ServerKey, ServerState)> {
        self.inherited.iter().take(MAX_INHERITED).map(|(server, standing)| (*server, *standing)).collect()
    }
}

/// The state that a directive imposes on a server, or nothing if the list already shows it in the same or a
/// worse state.
pub(super) fn effective_withdrawal(listed: ServerState, directed: ServerState) -> Option<ServerState> {
    (severity(directed) > severity(listed)).then_some(directed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::MemberId;

    fn term(number: u64) -> Term {
        Term { number, candidate: MemberId(0), incarnation: 1 }
    }

    #[test]
    fn a_lagging_member_catches_up_despite_lost_duplicated_or_late_batches() {
        let mut log = DirectiveLog::default();
        for server in 0..30 {
            log.issue(0, ServerKey(server), ServerState::Draining);
        }
        for server in 0..10 {
            log.issue(1, ServerKey(server), ServerState::Serving);
        }
        let mut applied = AppliedDirectives::new();
        applied.begin_term(0, term(1));
        let mut sent = 0;
        while applied.through < log.last_number() {
            let (directives, up_to) = log.next_batch(applied.through);
            let (late, late_up_to) = log.next_batch(up_to);
            sent += 1;
            assert!(directives.len() <= MAX_DIRECTIVES && sent < 10);
            // Directives after a gap are not applied, and repeated directives change nothing.
            let through = applied.through;
            if up_to < log.last_number() {
                assert!(!applied.apply(up_to, late_up_to, &late));
            }
            assert!(applied.apply(through, up_to, &directives));
            let applied_once = applied.clone();
            assert!(applied.apply(through, up_to, &directives));
            assert_eq!(applied, applied_once);
        }
        assert_eq!(sent, 4, "30 directives remain, 8 in a datagram");
        let withdrawn: Vec<u64> = applied.withdrawals().map(|(server, _)| server.0).collect();
        assert_eq!(withdrawn, (10..30).collect::<Vec<_>>());
    }

    #[test]
    fn a_new_term_starts_without_directives_and_inherits_withdrawals_until_it_replaces_them() {
        let mut applied = AppliedDirectives::new();
        applied.begin_term(0, term(1));
        let mut log = DirectiveLog::default();
        log.issue(0, ServerKey(1), ServerState::Gone);
        log.issue(0, ServerKey(2), ServerState::Draining);
        let (directives, up_to) = log.next_batch(0);
        assert!(applied.apply(0, up_to, &directives));
        applied.begin_term(1, term(2));
        assert_eq!((applied.through, applied.withdrawals().count(), applied.inherited().len()), (0, 2, 2));
        let directive = Directive { number: 1, server: ServerKey(1), standing: ServerState::Serving };
        assert!(applied.apply(0, 1, &[directive]));
        assert_eq!(applied.inherited(), [(ServerKey(2), ServerState::Draining)]);
        assert_eq!(applied.withdrawals().count(), 1);
    }
}
