//! A coordinator's words: as it says them, and as a member obeys them.

use std::collections::BTreeMap;

use super::evidence::severity;
use super::term::{CARRIED, Term, WORDS, Word};
use crate::api::{Millis, ServerKey, Standing};
use crate::lists::ENTRIES;

/// What a coordinator has said of a server last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Said {
    number: u32,
    pub standing: Standing,
    /// When.
    pub since: Millis,
}

/// All that a coordinator has said in its term. Of the words about one server only the last is kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Spoken {
    last: u32,
    servers: BTreeMap<ServerKey, Said>,
    order: BTreeMap<u32, ServerKey>,
}

impl Spoken {
    /// The number of the last word.
    pub fn last(&self) -> u32 {
        self.last
    }

    /// Says one more.
    pub fn say(&mut self, now: Millis, server: ServerKey, standing: Standing) {
        let Some(number) = self.last.checked_add(1) else { return };
        self.last = number;
        if let Some(old) = self.servers.insert(server, Said { number, standing, since: now }) {
            self.order.remove(&old.number);
        }
        self.order.insert(number, server);
    }

    /// What was said of a server.
    pub fn of(&self, server: ServerKey) -> Option<Said> {
        self.servers.get(&server).copied()
    }

    /// The servers that are withdrawn.
    pub fn withdrawn(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.servers.iter().filter(|(_, said)| said.standing != Standing::Serving).map(|(server, _)| *server)
    }

    /// What still counts after a number, so many at most, and up to which number this is all.
    pub fn after(&self, number: u32, most: usize) -> (Vec<Word>, u32) {
        let words: Vec<Word> = self
            .order
            .range(number.saturating_add(1)..)
            .take(most)
            .filter_map(|(number, server)| {
                let said = self.servers.get(server)?;
                Some(Word { number: *number, server: *server, standing: said.standing })
            })
            .collect();
        let upto = match words.last() {
            Some(word) if words.len() == most => word.number,
            _ => self.last,
        };
        (words, upto)
    }

    /// A datagram full.
    pub fn batch(&self, number: u32) -> (Vec<Word>, u32) {
        self.after(number, WORDS)
    }
}

/// What a member has heard from the coordinators of its region and obeys while its own discovery is out of reach.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Obeyed {
    /// Whose words these are.
    pub term: Term,
    /// All words up to this number were heard.
    pub through: u32,
    withdrawn: BTreeMap<ServerKey, Standing>,
    /// Withdrawals of former terms that this term has said nothing of.
    carried: BTreeMap<ServerKey, Standing>,
    /// When the coordinator was last heard.
    pub at: Millis,
}

impl Obeyed {
    pub fn new() -> Obeyed {
        Obeyed { term: Term::NONE, through: 0, withdrawn: BTreeMap::new(), carried: BTreeMap::new(), at: 0 }
    }

    /// A coordinator of this term is heard. What former ones withdrew stays so until it says otherwise.
    pub fn begin(&mut self, now: Millis, term: Term) {
        self.at = now;
        if term != self.term {
            self.term = term;
            self.through = 0;
            self.carried.append(&mut self.withdrawn);
        }
    }

    /// Words that follow a number and are all up to another. Whether they were taken: words after a gap are not.
    pub fn hear(&mut self, after: u32, upto: u32, words: &[Word]) -> bool {
        if after > self.through {
            return false;
        }
        for word in words.iter().filter(|word| word.number > self.through && word.number <= upto) {
            self.carried.remove(&word.server);
            match word.standing {
                Standing::Serving => {
                    self.withdrawn.remove(&word.server);
                }
                standing if self.withdrawn.len() < ENTRIES => {
                    self.withdrawn.insert(word.server, standing);
                }
                _ => {}
            }
        }
        self.through = self.through.max(upto);
        true
    }

    /// All withdrawals end: discovery's list counts.
    pub fn end(&mut self) {
        self.withdrawn.clear();
        self.carried.clear();
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.withdrawn.is_empty() && self.carried.is_empty()
    }

    /// All that are withdrawn.
    pub fn all(&self) -> impl Iterator<Item = (ServerKey, Standing)> + '_ {
        self.withdrawn.iter().chain(&self.carried).map(|(server, standing)| (*server, *standing))
    }

    /// Some of those that the present term has said nothing of.
    pub fn carried(&self) -> Vec<(ServerKey, Standing)> {
        self.carried.iter().take(CARRIED).map(|(server, standing)| (*server, *standing)).collect()
    }
}

/// What stays withdrawn against a list: never less than the list itself says.
pub(super) fn worse(list: Standing, word: Standing) -> Option<Standing> {
    (severity(word) > severity(list)).then_some(word)
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
        let mut spoken = Spoken::default();
        for server in 0..30 {
            spoken.say(0, ServerKey(server), Standing::Draining);
        }
        for server in 0..10 {
            spoken.say(1, ServerKey(server), Standing::Serving);
        }
        let mut obeyed = Obeyed::new();
        obeyed.begin(0, term(1));
        let mut sent = 0;
        while obeyed.through < spoken.last() {
            let (words, upto) = spoken.batch(obeyed.through);
            let (late, late_upto) = spoken.batch(upto);
            sent += 1;
            assert!(words.len() <= WORDS && sent < 10);
            // What comes after a gap is not taken, and what comes again changes nothing.
            let through = obeyed.through;
            if upto < spoken.last() {
                assert!(!obeyed.hear(upto, late_upto, &late));
            }
            assert!(obeyed.hear(through, upto, &words));
            let once = obeyed.clone();
            assert!(obeyed.hear(through, upto, &words));
            assert_eq!(obeyed, once);
        }
        assert_eq!(sent, 4, "30 words count, 8 in a datagram");
        let all: Vec<u64> = obeyed.all().map(|(server, _)| server.0).collect();
        assert_eq!(all, (10..30).collect::<Vec<_>>());
    }

    #[test]
    fn a_new_term_begins_without_words_and_former_withdrawals_stay_until_it_says_otherwise() {
        let mut obeyed = Obeyed::new();
        obeyed.begin(0, term(1));
        let mut spoken = Spoken::default();
        spoken.say(0, ServerKey(1), Standing::Gone);
        spoken.say(0, ServerKey(2), Standing::Draining);
        let (words, upto) = spoken.batch(0);
        assert!(obeyed.hear(0, upto, &words));
        obeyed.begin(1, term(2));
        assert_eq!((obeyed.through, obeyed.all().count(), obeyed.carried().len()), (0, 2, 2));
        let back = Word { number: 1, server: ServerKey(1), standing: Standing::Serving };
        assert!(obeyed.hear(0, 1, &[back]));
        assert_eq!(obeyed.carried(), [(ServerKey(2), Standing::Draining)]);
        assert_eq!(obeyed.all().count(), 1);
    }
}
