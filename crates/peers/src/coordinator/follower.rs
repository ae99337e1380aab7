//! What a member does by a coordinator's words, and by discovery's list against them.

use std::collections::{BTreeMap, BTreeSet};

use super::election::Promise;
use super::term::{Directive, Message, Term};
use super::{Coordinator, Output, WITHDRAWAL_TTL_LEASES, directives};
use crate::api::{Because, MemberId, Millis, Reach, ServerKey};
use crate::lists::Rank;

impl Coordinator {
    /// Whether a holder's message counts: its term is the highest known, from now on at least.
    pub(super) fn accept_term(&mut self, now: Millis, term: Term, actions: &mut Vec<Output>) -> bool {
        if term < self.highest_term {
            self.stale_rejected.0 += 1;
            let message = Message::Reject { term, highest_term: self.highest_term };
            actions.push(Output::Send { to: term.candidate, message });
            return false;
        }
        if self.leadership.is_some() {
            // Its lease ran out before this one's began, or it would not have been elected: the message is late.
            self.stale_rejected.0 += 1;
            self.number_floor = self.number_floor.max(term.number);
            self.raise_term_number(now, actions);
            return false;
        }
        self.abandon_candidacy(actions);
        self.highest_term = term;
        true
    }

    /// A coordinator goes on.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn on_renewal(
        &mut self,
        now: Millis,
        term: Term,
        to_incarnation: u64,
        sent_at: Millis,
        duration: u32,
        list: Rank,
        actions: &mut Vec<Output>,
    ) {
        if !self.accept_term(now, term, actions) {
            return;
        }
        self.lists.holds(term.candidate, list);
        let duration = u64::from(duration);
        let may_promise =
            !self.quarantined(now) && duration <= self.params.lease && !self.promised_to_other(now, &term);
        if may_promise {
            let previous_until = self
                .promise
                .filter(|promise| promise.term.same_run(&term))
                .map_or(0, |promise| promise.until);
            self.promise = Some(Promise { term, until: previous_until.max(now + duration) });
        }
        let sent_at = may_promise.then_some(sent_at);
        let mut ack = Message::Ack { term, sent_at, through: 0, inherited: Vec::new() };
        if to_incarnation == self.params.incarnation {
            self.applied.begin_term(now, term);
            self.following = Some((term, now + self.params.lease));
            ack = Message::Ack {
                term,
                sent_at,
                through: self.applied.through,
                inherited: self.applied.inherited(),
            };
        }
        actions.push(Output::Send { to: term.candidate, message: ack });
    }

    /// A coordinator's words.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn on_directives(
        &mut self,
        now: Millis,
        term: Term,
        to_incarnation: u64,
        after: u32,
        up_to: u32,
        directives: &[Directive],
        actions: &mut Vec<Output>,
    ) {
        if to_incarnation != self.params.incarnation {
            self.stale_rejected.0 += 1;
            return;
        }
        if !self.accept_term(now, term, actions) {
            return;
        }
        self.applied.begin_term(now, term);
        self.following = Some((term, now + self.params.lease));
        self.applied.apply(after, up_to, directives);
        let (through, inherited) = (self.applied.through, self.applied.inherited());
        let message = Message::Ack { term, sent_at: None, through, inherited };
        actions.push(Output::Send { to: term.candidate, message });
    }

    pub(super) fn set_reach(&mut self, now: Millis, member: MemberId, reach: Reach) {
        if self.discovery_reach.get(&member).is_some_and(|(previous, _)| *previous == reach) {
            return;
        }
        self.discovery_reach.insert(member, (reach, now));
        if member == self.params.me {
            self.lists.reach(reach == Reach::Up);
            match reach {
                Reach::Up if self.leadership.is_none() => self.applied.clear(),
                Reach::Up => {}
                // A coordinator that is still there says again what was let go meanwhile.
                Reach::Down => self.applied.through = 0,
            }
        }
    }

    /// Without a coordinator for long, all is as the list says.
    pub(super) fn expire(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.following.is_some_and(|(_, until)| now >= until) {
            self.following = None;
        }
        if !self.applied.is_empty()
            && self.leadership.is_none()
            && now.saturating_sub(self.applied.last_contact) >= WITHDRAWAL_TTL_LEASES * self.params.lease
        {
            self.applied.clear();
            actions.push(Output::Log("no coordinator for long: what one withdrew is used again".to_owned()));
        }
    }

    /// Tells this member's process what changed: in the list by other members, and in what is withdrawn.
    pub(super) fn report_changes(&mut self, changed: &[ServerKey], actions: &mut Vec<Output>) {
        let mut withdrawals = BTreeMap::new();
        if self.own_reach() != Some(Reach::Up) {
            for (server, directive) in self.applied.withdrawals() {
                let listed = self.lists.standing(server);
                if let Some(standing) =
                    listed.and_then(|listed| directives::effective_withdrawal(listed, directive))
                {
                    withdrawals.insert(server, standing);
                }
            }
        }
        let before = std::mem::replace(&mut self.reported_withdrawals, withdrawals);
        let changed: BTreeSet<ServerKey> = changed.iter().copied().collect();
        for server in &changed {
            if let Some(mut entry) = self.lists.entry(*server) {
                entry.standing = self.reported_withdrawals.get(server).copied().unwrap_or(entry.standing);
                actions.push(Output::ServerChanged { entry, why: Because::NewerList });
            }
        }
        let servers: BTreeSet<ServerKey> =
            before.keys().chain(self.reported_withdrawals.keys()).copied().collect();
        for server in servers.difference(&changed) {
            let current = self.reported_withdrawals.get(server).copied();
            if before.get(server).copied() == current {
                continue;
            }
            let Some(mut entry) = self.lists.entry(*server) else { continue };
            entry.standing = current.unwrap_or(entry.standing);
            let why = if current.is_some() { Because::Withdrawn } else { Because::GivenBack };
            actions.push(Output::ServerChanged { entry, why });
        }
    }
}
