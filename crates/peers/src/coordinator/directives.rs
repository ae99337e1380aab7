//! A coordinator's words: as it says them, and as a member obeys them.

use std::collections::BTreeMap;

use super::evidence::severity;
use super::term::{Directive, MAX_DIRECTIVES, MAX_INHERITED, Term};
use crate::api::{Millis, ServerKey, Standing};
use crate::lists::ENTRIES;

/// What a coordinator has said of a server last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct LatestDirective {
    number: u32,
    pub standing: Standing,
    /// When.
    pub issued_at: Millis,
}

/// All that a coordinator has said in its term. Of the words about one server only the last is kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct DirectiveLog {
    last_number: u32,
    by_server: BTreeMap<ServerKey, LatestDirective>,
    by_number: BTreeMap<u32, ServerKey>,
}

impl DirectiveLog {
    /// The number of the last word.
    pub fn last_number(&self) -> u32 {
        self.last_number
    }

    /// Says one more.
    pub fn issue(&mut self, now: Millis, server: ServerKey, standing: Standing) {
        let Some(number) = self.last_number.checked_add(1) else { return };
        self.last_number = number;
        if let Some(old) = self.by_server.insert(server, LatestDirective { number, standing, issued_at: now })
        {
            self.by_number.remove(&old.number);
        }
        self.by_number.insert(number, server);
    }

    /// What was said of a server.
    pub fn latest(&self, server: ServerKey) -> Option<LatestDirective> {
        self.by_server.get(&server).copied()
    }

    /// The servers that are withdrawn.
    pub fn withdrawn(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.by_server
            .iter()
            .filter(|(_, latest)| latest.standing != Standing::Serving)
            .map(|(server, _)| *server)
    }

    /// What still counts after a number, so many at most, and up to which number this is all.
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

    /// A datagram full.
    pub fn next_batch(&self, number: u32) -> (Vec<Directive>, u32) {
        self.after(number, MAX_DIRECTIVES)
    }
}

/// What a member has heard from the coordinators of its region and obeys while its own discovery is out of reach.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct AppliedDirectives {
    /// Whose words these are.
    pub term: Term,
    /// All words up to this number were heard.
    pub through: u32,
    withdrawn: BTreeMap<ServerKey, Standing>,
    /// Withdrawals of former terms that this term has said nothing of.
    inherited: BTreeMap<ServerKey, Standing>,
    /// When the coordinator was last heard.
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

    /// A coordinator of this term is heard. What former ones withdrew stays so until it says otherwise.
    pub fn begin_term(&mut self, now: Millis, term: Term) {
        self.last_contact = now;
        if term != self.term {
            self.term = term;
            self.through = 0;
            self.inherited.append(&mut self.withdrawn);
        }
    }

    /// Words that follow a number and are all up to another. Whether they were taken: words after a gap are not.
    pub fn apply(&mut self, after: u32, up_to: u32, directives: &[Directive]) -> bool {
        if after > self.through {
            return false;
        }
        for directive in
            directives.iter().filter(|directive| directive.number > self.through && directive.number <= up_to)
        {
            self.inherited.remove(&directive.server);
            match directive.standing {
                Standing::Serving => {
                    self.withdrawn.remove(&directive.server);
                }
                standing if self.withdrawn.len() < ENTRIES => {
                    self.withdrawn.insert(directive.server, standing);
                }
                _ => {}
            }
        }
        self.through = self.through.max(up_to);
        true
    }

    /// All withdrawals end: discovery's list counts.
    pub fn clear(&mut self) {
        self.withdrawn.clear();
        self.inherited.clear();
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.withdrawn.is_empty() && self.inherited.is_empty()
    }

    /// All that are withdrawn.
    pub fn withdrawals(&self) -> impl Iterator<Item = (ServerKey, Standing)> + '_ {
        self.withdrawn.iter().chain(&self.inherited).map(|(server, standing)| (*server, *standing))
    }

    /// Some of those that the present term has said nothing of.
    pub fn inherited(&self) -> Vec<(ServerKey, Standing)> {
        self.inherited.iter().take(MAX_INHERITED).map(|(server, standing)| (*server, *standing)).collect()
    }
}

/// What stays withdrawn against a list: never less than the list itself says.
pub(super) fn effective_withdrawal(listed: Standing, directed: Standing) -> Option<Standing> {
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
    fn a_member_that_lags_comes_level_whatever_is_lost_doubled_or_late() {
        let mut log = DirectiveLog::default();
        for server in 0..30 {
            log.issue(0, ServerKey(server), Standing::Draining);
        }
        for server in 0..10 {
            log.issue(1, ServerKey(server), Standing::Serving);
        }
        let mut applied = AppliedDirectives::new();
        applied.begin_term(0, term(1));
        let mut sent = 0;
        while applied.through < log.last_number() {
            let (directives, up_to) = log.next_batch(applied.through);
            let (late, late_upto) = log.next_batch(up_to);
            sent += 1;
            assert!(directives.len() <= MAX_DIRECTIVES && sent < 10);
            // What comes after a gap is not taken, and what comes again changes nothing.
            let through = applied.through;
            if up_to < log.last_number() {
                assert!(!applied.apply(up_to, late_upto, &late));
            }
            assert!(applied.apply(through, up_to, &directives));
            let once = applied.clone();
            assert!(applied.apply(through, up_to, &directives));
            assert_eq!(applied, once);
        }
        assert_eq!(sent, 4, "30 words count, 8 in a datagram");
        let all: Vec<u64> = applied.withdrawals().map(|(server, _)| server.0).collect();
        assert_eq!(all, (10..30).collect::<Vec<_>>());
    }

    #[test]
    fn a_new_term_begins_without_words_and_former_withdrawals_stay_until_it_says_otherwise() {
        let mut applied = AppliedDirectives::new();
        applied.begin_term(0, term(1));
        let mut log = DirectiveLog::default();
        log.issue(0, ServerKey(1), Standing::Gone);
        log.issue(0, ServerKey(2), Standing::Draining);
        let (directives, up_to) = log.next_batch(0);
        assert!(applied.apply(0, up_to, &directives));
        applied.begin_term(1, term(2));
        assert_eq!((applied.through, applied.withdrawals().count(), applied.inherited().len()), (0, 2, 2));
        let directive = Directive { number: 1, server: ServerKey(1), standing: Standing::Serving };
        assert!(applied.apply(0, 1, &[directive]));
        assert_eq!(applied.inherited(), [(ServerKey(2), Standing::Draining)]);
        assert_eq!(applied.withdrawals().count(), 1);
    }
}
