//! How a member follows a coordinator, and combines its directives with discovery's list.

use std::collections::{BTreeMap, BTreeSet};

use super::election::Promise;
use super::term::{Directive, Message, Term};
use super::{Coordinator, Output, WITHDRAWAL_TTL_LEASES, directives};
use crate::api::{ChangeReason, MemberId, Millis, Reachability, ServerKey};
use crate::lists::Rank;

impl Coordinator {
    /// Decides whether to accept a coordinator's message, and records its term as the highest known if so.
    /// Messages of lower terms are rejected, and so are messages that arrive while this member is coordinator
    /// itself.
    pub(super) fn accept_term(&mut self, now: Millis, term: Term, actions: &mut Vec<Output>) -> bool {
        if term < self.highest_term {
            self.stale_rejected.0 += 1;
            let message = Message::Reject { term, highest_term: self.highest_term };
            actions.push(Output::Send { to: term.candidate, message });
            return false;
        }
        if self.leadership.is_some() {
            // The message is late. The sender's lease ended before this member was elected, because a
            // majority cannot promise to both at the same time.
            self.stale_rejected.0 += 1;
            self.number_floor = self.number_floor.max(term.number);
            self.raise_term_number(now, actions);
            return false;
        }
        self.abandon_candidacy(actions);
        self.highest_term = term;
        true
    }

    /// Handles a coordinator's renewal of its lease.
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
        self.lists.record_rank(term.candidate, list);
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

    /// Handles a coordinator's directives.
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

    pub(super) fn set_reach(&mut self, now: Millis, member: MemberId, reach: Reachability) {
        if self.discovery_reach.get(&member).is_some_and(|(previous, _)| *previous == reach) {
            return;
        }
        self.discovery_reach.insert(member, (reach, now));
        if member == self.params.me {
            self.lists.set_discovery_reachable(reach == Reachability::Up);
            match reach {
                Reachability::Up if self.leadership.is_none() => self.applied.clear(),
                Reachability::Up => {}
                // Withdrawals were dropped while this member reached discovery. Acknowledging number zero
                // makes a coordinator that is still in place send all of its directives again.
                Reachability::Down => self.applied.through = 0,
            }
        }
    }

    /// Stops following a coordinator that has not been heard from in time. After a longer silence, ends all
    /// withdrawals, so that the list applies unchanged.
    pub(super) fn expire(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.following.is_some_and(|(_, until)| now >= until) {
            self.following = None;
        }
        if !self.applied.is_empty()
            && self.leadership.is_none()
            && now.saturating_sub(self.applied.last_contact) >= WITHDRAWAL_TTL_LEASES * self.params.lease
        {
            self.applied.clear();
            actions
                .push(Output::Log("no coordinator for long: withdrawn servers are in use again".to_owned()));
        }
    }

    /// Reports changed servers to this member's process: those whose entry changed with a list from another
    /// member, and those whose withdrawal began, changed or ended.
    pub(super) fn report_changes(&mut self, changed: &[ServerKey], actions: &mut Vec<Output>) {
        let mut withdrawals = BTreeMap::new();
        if self.own_reach() != Some(Reachability::Up) {
            for (server, directive) in self.applied.withdrawals() {
                let listed = self.lists.server_state(server);
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
                entry.state = self.reported_withdrawals.get(server).copied().unwrap_or(entry.state);
                actions.push(Output::ServerChanged { entry, why: ChangeReason::NewerList });
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
            entry.state = current.unwrap_or(entry.state);
            let why = if current.is_some() { ChangeReason::Withdrawn } else { ChangeReason::Restored };
            actions.push(Output::ServerChanged { entry, why });
        }
    }
}
