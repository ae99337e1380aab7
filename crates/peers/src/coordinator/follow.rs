//! What a member does by a coordinator's words, and by discovery's list against them.

use std::collections::{BTreeMap, BTreeSet};

use super::election::Promise;
use super::term::{Message, Term, Word};
use super::{Coordinator, LAPSE, Output, words};
use crate::api::{Because, MemberId, Millis, Reach, ServerKey};
use crate::lists::Rank;

impl Coordinator {
    /// Whether a holder's message counts: its term is the highest known, from now on at least.
    pub(super) fn obeys_term(&mut self, now: Millis, term: Term, out: &mut Vec<Output>) -> bool {
        if term < self.known {
            self.refused.0 += 1;
            let message = Message::Refuse { term, known: self.known };
            out.push(Output::Send { to: term.candidate, message });
            return false;
        }
        if self.office.is_some() {
            // Its lease ran out before this one's began, or it would not have been elected: the message is late.
            self.refused.0 += 1;
            self.floor = self.floor.max(term.number);
            self.renumber(now, out);
            return false;
        }
        self.abandon(out);
        self.known = term;
        true
    }

    /// A coordinator goes on.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn renewed(
        &mut self,
        now: Millis,
        term: Term,
        to: u64,
        at: Millis,
        lasts: u32,
        list: Rank,
        out: &mut Vec<Output>,
    ) {
        if !self.obeys_term(now, term, out) {
            return;
        }
        self.lists.holds(term.candidate, list);
        let lasts = u64::from(lasts);
        let free = !self.quarantined(now) && lasts <= self.setup.lease && !self.promised(now, &term);
        if free {
            let kept = self.promise.filter(|promise| promise.term.same_run(&term)).map_or(0, |old| old.until);
            self.promise = Some(Promise { term, until: kept.max(now + lasts) });
        }
        let at = free.then_some(at);
        let mut held = Message::Held { term, at, through: 0, carried: Vec::new() };
        if to == self.setup.incarnation {
            self.obeyed.begin(now, term);
            self.heard = Some((term, now + self.setup.lease));
            held = Message::Held { term, at, through: self.obeyed.through, carried: self.obeyed.carried() };
        }
        out.push(Output::Send { to: term.candidate, message: held });
    }

    /// A coordinator's words.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn worded(
        &mut self,
        now: Millis,
        term: Term,
        to: u64,
        after: u32,
        upto: u32,
        words: &[Word],
        out: &mut Vec<Output>,
    ) {
        if to != self.setup.incarnation {
            self.refused.0 += 1;
            return;
        }
        if !self.obeys_term(now, term, out) {
            return;
        }
        self.obeyed.begin(now, term);
        self.heard = Some((term, now + self.setup.lease));
        self.obeyed.hear(after, upto, words);
        let (through, carried) = (self.obeyed.through, self.obeyed.carried());
        let message = Message::Held { term, at: None, through, carried };
        out.push(Output::Send { to: term.candidate, message });
    }

    pub(super) fn reach(&mut self, now: Millis, member: MemberId, reach: Reach) {
        if self.reaches.get(&member).is_some_and(|(old, _)| *old == reach) {
            return;
        }
        self.reaches.insert(member, (reach, now));
        if member == self.setup.me {
            self.lists.reach(reach == Reach::Up);
            match reach {
                Reach::Up if self.office.is_none() => self.obeyed.end(),
                Reach::Up => {}
                // A coordinator that is still there says again what was let go meanwhile.
                Reach::Down => self.obeyed.through = 0,
            }
        }
    }

    /// Without a coordinator for long, all is as the list says.
    pub(super) fn lapse(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.heard.is_some_and(|(_, until)| now >= until) {
            self.heard = None;
        }
        if !self.obeyed.is_empty()
            && self.office.is_none()
            && now.saturating_sub(self.obeyed.at) >= LAPSE * self.setup.lease
        {
            self.obeyed.end();
            out.push(Output::Log("no coordinator for long: what one withdrew is used again".to_owned()));
        }
    }

    /// Tells this member's process what changed: in the list by other members, and in what is withdrawn.
    pub(super) fn settle(&mut self, changed: &[ServerKey], out: &mut Vec<Output>) {
        let mut force = BTreeMap::new();
        if self.own_reach() != Some(Reach::Up) {
            for (server, word) in self.obeyed.all() {
                let list = self.lists.standing(server);
                if let Some(standing) = list.and_then(|list| words::worse(list, word)) {
                    force.insert(server, standing);
                }
            }
        }
        let before = std::mem::replace(&mut self.in_force, force);
        let changed: BTreeSet<ServerKey> = changed.iter().copied().collect();
        for server in &changed {
            if let Some(mut entry) = self.lists.entry(*server) {
                entry.standing = self.in_force.get(server).copied().unwrap_or(entry.standing);
                out.push(Output::ServerChanged { entry, why: Because::NewerList });
            }
        }
        let servers: BTreeSet<ServerKey> = before.keys().chain(self.in_force.keys()).copied().collect();
        for server in servers.difference(&changed) {
            let now = self.in_force.get(server).copied();
            if before.get(server).copied() == now {
                continue;
            }
            let Some(mut entry) = self.lists.entry(*server) else { continue };
            entry.standing = now.unwrap_or(entry.standing);
            let why = if now.is_some() { Because::Withdrawn } else { Because::GivenBack };
            out.push(Output::ServerChanged { entry, why });
        }
    }
}
