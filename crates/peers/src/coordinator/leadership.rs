//! The work of the elected coordinator: its lease, its directives, and stepping down.

use std::collections::{BTreeMap, BTreeSet};

use super::directives::DirectiveLog;
use super::election::{Candidacy, Promise};
use super::term::{Message, Term};
use super::{Coordinator, Output};
use crate::api::{MemberId, Millis, Reachability, ServerKey, ServerState};

/// A withdrawal that is no longer supported by evidence ends after this many leases. While nobody sends
/// requests to the server, nobody can observe that it recovered. Each restoration costs the
/// requests that find out whether it did.
const HOLD_LEASES: u64 = 5;

/// In regions of up to this many members, the coordinator sends renewals four times per lease, in larger ones
/// twice. In a large region a majority answers a single round almost certainly, and each renewal costs one
/// datagram per member.
const SMALL_REGION: usize = 64;

/// The state of an elected coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    pub term: Term,
    /// Until when this member can count on each member's promise, by its own clock.
    promises: BTreeMap<MemberId, Millis>,
    /// The number up to which each member has acknowledged directives.
    acked: BTreeMap<MemberId, u32>,
    /// The number that the last directives sent to each member follow, and when they were sent.
    last_sent: BTreeMap<MemberId, (u32, Millis)>,
    directives: DirectiveLog,
    /// When the lease is renewed next.
    pub renew_at: Millis,
}

/// A coordinator that stepped down. It announces this until all members have acknowledged it, for at most one
/// lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Resignation {
    term: Term,
    unacked: BTreeSet<MemberId>,
    pub resend_at: Millis,
    until: Millis,
}

impl Coordinator {
    /// The end of this member's lease, by its own clock: until then it can count on the promises of a
    /// majority. Nothing if it is not the coordinator.
    pub fn lease_until(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let mut promises: Vec<Millis> = leadership.promises.values().copied().collect();
        promises.sort_unstable_by(|a, b| b.cmp(a));
        promises.get(self.params.majority.checked_sub(1)?).copied()
    }

    /// Whether this member holds the lease at time `now` of its clock. This is accurate even if the member
    /// has not been called for a long time.
    pub fn is_acting(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Gives up the leadership if the lease has expired. Called before any input is processed, so that a
    /// process that was suspended past the end of its lease no longer acts as coordinator.
    pub(super) fn drop_expired_lease(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.leadership.is_some()
            && !self.is_acting(now)
            && let Some(leadership) = self.leadership.take()
        {
            self.following = None;
            actions.push(Output::Log(format!(
                "coordinator no more: the lease of term {} expired, no majority of the region renewed it",
                leadership.term.number
            )));
        }
    }

    /// The time between two renewals of the lease.
    fn renewal_interval(&self) -> Millis {
        let times = if self.params.region_members.len() <= SMALL_REGION { 4 } else { 2 };
        (self.params.lease / times).max(1)
    }

    /// Starts the leadership of a candidate that a majority voted for.
    pub(super) fn become_coordinator(
        &mut self,
        now: Millis,
        candidacy: Candidacy,
        actions: &mut Vec<Output>,
    ) {
        let term = candidacy.term;
        actions.push(Output::Log(format!(
            "coordinator of the region in term {}: a majority of its members cannot reach discovery",
            term.number
        )));
        self.resignation = None;
        self.following = None;
        self.applied.begin_term(now, term);
        self.leadership = Some(Leadership {
            term,
            promises: candidacy.votes,
            acked: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            directives: DirectiveLog::default(),
            renew_at: now,
        });
        // Repeats, under the new term, all withdrawals of earlier coordinators that this member knows. Only
        // then may it restore those servers.
        let former: Vec<(ServerKey, ServerState)> = self.applied.withdrawals().collect();
        for (server, standing) in former {
            self.issue_directive(now, server, standing);
        }
    }

    /// Raises the number of this coordinator's term while its lease stays valid. This is needed when a member
    /// knows a higher term, of a candidate that was not elected, and would therefore reject this
    /// coordinator's directives. No vote is needed, because promises are made to a run of the candidate and
    /// not to a number.
    pub(super) fn raise_term_number(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(number) = self.highest_term.number.max(self.number_floor).checked_add(1) else { return };
        let Some(leadership) = &mut self.leadership else { return };
        leadership.term.number = number;
        leadership.acked.clear();
        leadership.last_sent.clear();
        leadership.renew_at = now;
        self.highest_term = leadership.term;
        if let Some(promise) = &mut self.promise {
            promise.term = leadership.term;
        }
        let (directives, up_to) = leadership.directives.after(0, usize::MAX);
        self.applied.begin_term(now, leadership.term);
        self.applied.apply(0, up_to, &directives);
        self.maintain_leadership(now, actions);
    }

    /// Renews the lease and reevaluates all servers when a renewal is due. Steps down when the region no
    /// longer needs a coordinator.
    pub(super) fn maintain_leadership(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.leadership.is_none() {
            return;
        }
        if self.no_longer_needed(now) {
            self.step_down(now, actions);
            return;
        }
        let renewal_interval = self.renewal_interval();
        let Some(leadership) = &mut self.leadership else { return };
        if now < leadership.renew_at {
            return;
        }
        let (term, duration) = (leadership.term, self.params.lease);
        leadership.renew_at = now + renewal_interval;
        leadership.promises.insert(self.params.me, now + self.params.usable_lease(duration));
        self.promise = Some(Promise { term, until: now + duration });
        self.applied.last_contact = now;
        self.evaluate_all(now);
        let Some(leadership) = &self.leadership else { return };
        for to in self.params.other_members() {
            let message = Message::Renew {
                term,
                to_incarnation: self.incarnations.get(&to).copied().unwrap_or(0),
                sent_at: now,
                duration: u32::try_from(duration).unwrap_or(u32::MAX),
                last_directive: leadership.directives.last_number(),
                list: self.lists.rank(),
            };
            actions.push(Output::Send { to, message });
        }
    }

    /// Handles a member's acknowledgement of a renewal or of directives.
    pub(super) fn on_ack(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        sent_at: Option<Millis>,
        through: u32,
        inherited: &[(ServerKey, ServerState)],
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.term != term {
            return;
        }
        if let Some(sent_at) = sent_at.filter(|sent_at| *sent_at <= now) {
            let valid_until = sent_at + self.params.usable_lease(self.params.lease);
            let until = leadership.promises.entry(from).or_insert(valid_until);
            *until = valid_until.max(*until);
        }
        leadership.acked.insert(from, through);
        for (server, standing) in inherited {
            // A server that a directive of this term is about needs no further evidence: the member will
            // receive that directive.
            if leadership.directives.latest(*server).is_none() {
                self.evidence.observe_inherited(now, from, *server, *standing);
            }
        }
    }

    /// Sends the next directives to each member that has not acknowledged all of them. They are repeated
    /// after half a renewal interval until the member acknowledges them.
    pub(super) fn send_directives(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let resend_interval = self.renewal_interval() / 2;
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.directives.last_number() == 0 {
            return;
        }
        for to in self.params.other_members() {
            // Directives are addressed to one incarnation, which is unknown until the member has sent a
            // message.
            let Some(incarnation) = self.incarnations.get(&to) else { continue };
            let after = leadership.acked.get(&to).copied().unwrap_or(0);
            let recently_sent = leadership.last_sent.get(&to).is_some_and(|(sent, at)| {
                *sent == after
                    && now.saturating_sub(*at) < resend_interval
                    && leadership.directives.last_number() != 0
            });
            if after >= leadership.directives.last_number() || recently_sent {
                continue;
            }
            leadership.last_sent.insert(to, (after, now));
            let (directives, up_to) = leadership.directives.next_batch(after);
            let message = Message::Directives {
                term: leadership.term,
                to_incarnation: *incarnation,
                after,
                up_to,
                directives,
            };
            actions.push(Output::Send { to, message });
        }
    }

    /// Handles the restart of a member's process: the new process has received no directives yet.
    pub(super) fn on_member_restarted(&mut self, member: MemberId) {
        if let Some(leadership) = &mut self.leadership {
            leadership.acked.remove(&member);
            leadership.last_sent.remove(&member);
        }
    }

    /// Issues a directive and applies it at this member too.
    fn issue_directive(&mut self, now: Millis, server: ServerKey, standing: ServerState) {
        let Some(leadership) = &mut self.leadership else { return };
        let after = leadership.directives.last_number();
        leadership.directives.issue(now, server, standing);
        let (directives, up_to) = leadership.directives.next_batch(after);
        self.applied.apply(after, up_to, &directives);
        self.evidence.clear_inherited(server);
    }

    /// Evaluates every server that has evidence or is withdrawn.
    fn evaluate_all(&mut self, now: Millis) {
        let mut servers = self.evidence.servers();
        if let Some(leadership) = &self.leadership {
            servers.extend(leadership.directives.withdrawn());
        }
        for server in servers {
            self.evaluate(now, server);
        }
    }

    /// Evaluates the evidence about a server. Withdraws the server on the evidence of two members, or
    /// restores it if this coordinator withdrew it.
    pub(super) fn evaluate(&mut self, now: Millis, server: ServerKey) {
        let Some(leadership) = &self.leadership else { return };
        let issued = leadership.directives.latest(server);
        let serving_in_list = self.lists.server_state(server) == Some(ServerState::Serving);
        let withdrawn =
            issued.map(|issued| issued.standing).filter(|standing| *standing != ServerState::Serving);
        if let Some((standing, issued)) = withdrawn.zip(issued) {
            let observed = self.evidence.withdrawal(server, false);
            let hold_expired = now.saturating_sub(issued.issued_at) >= HOLD_LEASES * self.params.lease;
            if self.evidence.seen_serving(server) || (hold_expired && observed.is_none()) {
                self.issue_directive(now, server, ServerState::Serving);
            } else if observed == Some(ServerState::Gone) && standing != ServerState::Gone {
                self.issue_directive(now, server, ServerState::Gone);
            }
            return;
        }
        // At least half of the servers that the list shows as serving stay in service, whatever the evidence.
        let within_limit = (leadership.directives.withdrawn().count() + 1) * 2 <= self.lists.serving_count();
        match self.evidence.withdrawal(server, true) {
            // If two members report the server as unavailable and two others as serving, the list prevails.
            Some(standing) if serving_in_list && within_limit && !self.evidence.seen_serving(server) => {
                self.issue_directive(now, server, standing)
            }
            _ => {
                let inherited_since = self.evidence.inherited_since(server);
                if inherited_since.is_some_and(|since| now.saturating_sub(since) >= self.params.lease) {
                    // This inherited withdrawal was not repeated within a lease, because only one member
                    // knows of it or a condition above prevented it. A directive of this term ends it.
                    self.issue_directive(now, server, ServerState::Serving);
                }
            }
        }
    }

    /// Handles a newer list entry of a server. The list prevails over a directive of this coordinator.
    pub(super) fn on_entry_updated(&mut self, now: Millis, server: ServerKey) {
        self.evidence.forget(server);
        let issued = self.leadership.as_ref().and_then(|leadership| leadership.directives.latest(server));
        if issued.is_some_and(|issued| issued.standing != ServerState::Serving) {
            self.issue_directive(now, server, ServerState::Serving);
        }
    }

    /// Ends the leadership and all withdrawals, and begins to announce this to the other members.
    fn step_down(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(leadership) = self.leadership.take() else { return };
        let why = match self.own_reach() {
            Some(Reachability::Up) => "this member reaches discovery again",
            _ => "no majority of the region reports discovery as unreachable any more",
        };
        actions
            .push(Output::Log(format!("coordinator no more: term {} ends, {why}", leadership.term.number)));
        self.promise = None;
        self.applied.clear();
        self.restart_outage_timers(now);
        self.resignation = Some(Resignation {
            term: leadership.term,
            unacked: self.params.other_members().collect(),
            resend_at: now,
            until: now + self.params.lease,
        });
    }

    /// Announces the end of the term again to the members that have not acknowledged it.
    pub(super) fn announce_resignation(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let resend_interval = self.renewal_interval() / 2 + 1;
        let Some(resignation) = &mut self.resignation else { return };
        if resignation.unacked.is_empty() || now >= resignation.until {
            self.resignation = None;
            return;
        }
        if now >= resignation.resend_at {
            resignation.resend_at = now + resend_interval;
            for to in &resignation.unacked {
                let message = Message::TermEnded { term: resignation.term, discovery_back: true };
                actions.push(Output::Send { to: *to, message });
            }
        }
    }

    /// Handles a member's acknowledgement that the term has ended.
    pub(super) fn on_term_ended_ack(&mut self, from: MemberId, term: Term) {
        if let Some(resignation) = &mut self.resignation
            && resignation.term == term
        {
            resignation.unacked.remove(&from);
        }
    }
}
