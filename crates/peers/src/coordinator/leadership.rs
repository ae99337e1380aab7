//! What a coordinator does: its lease, its words, and how it stands down.

use std::collections::{BTreeMap, BTreeSet};

use super::directives::DirectiveLog;
use super::election::{Candidacy, Promise};
use super::term::{Message, Term};
use super::{Coordinator, Output};
use crate::api::{MemberId, Millis, Reach, ServerKey, Standing};

/// A withdrawal without evidence any more is given back after so many leases: where nobody sends there nobody sees
/// anything new, and each giving back costs requests that find out.
const HOLD_LEASES: u64 = 5;

/// In regions of at most so many members renewals go out four times a lease, in larger ones twice: there a majority
/// of those that were asked once is nearly certain, and each costs a datagram.
const SMALL_REGION: usize = 64;

/// The coordinator's own state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leadership {
    pub term: Term,
    /// Until when each member's promise can be counted on, by this member's clock.
    promises: BTreeMap<MemberId, Millis>,
    /// Up to which number each has heard, and when it was last sent what follows which.
    acked: BTreeMap<MemberId, u32>,
    last_sent: BTreeMap<MemberId, (u32, Millis)>,
    directives: DirectiveLog,
    pub renew_at: Millis,
}

/// A coordinator that has stood down and says so until all have heard, for the length of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Resignation {
    term: Term,
    unacked: BTreeSet<MemberId>,
    pub resend_at: Millis,
    until: Millis,
}

impl Coordinator {
    /// Until when a majority's promises can be counted on, by this member's clock; nothing where it is not in
    /// office.
    pub fn lease_until(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let mut promises: Vec<Millis> = leadership.promises.values().copied().collect();
        promises.sort_unstable_by(|a, b| b.cmp(a));
        promises.get(self.params.majority.checked_sub(1)?).copied()
    }

    /// Whether this member is the coordinator at this time by its clock, however long ago it was last called.
    pub fn is_acting(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Before anything else: a process that slept past its lease is no coordinator any more.
    pub(super) fn drop_expired_lease(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.leadership.is_some()
            && !self.is_acting(now)
            && let Some(leadership) = self.leadership.take()
        {
            self.following = None;
            actions.push(Output::Log(format!(
                "coordinator no more: no majority of the region renewed the lease of term {}",
                leadership.term.number
            )));
        }
    }

    /// How often a lease is renewed.
    fn renewal_interval(&self) -> Millis {
        let times = if self.params.region_members.len() <= SMALL_REGION { 4 } else { 2 };
        (self.params.lease / times).max(1)
    }

    pub(super) fn become_coordinator(
        &mut self,
        now: Millis,
        candidacy: Candidacy,
        actions: &mut Vec<Output>,
    ) {
        let term = candidacy.term;
        actions.push(Output::Log(format!(
            "coordinator of the region in term {}: discovery is out of reach for most of it",
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
        // What former coordinators withdrew, as far as this member knows, it withdraws itself before it may give it
        // back.
        let former: Vec<(ServerKey, Standing)> = self.applied.withdrawals().collect();
        for (server, standing) in former {
            self.issue_directive(now, server, standing);
        }
    }

    /// Takes a higher number while the lease goes on: some member knows a higher term than this one, of a candidate
    /// that was not elected, and would refuse its words. Promises are to a run, so that no vote is needed.
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

    /// Renews, judges and speaks, as it is time; stands down when discovery is back.
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

    /// A member's answer to a renewal or to words.
    pub(super) fn on_ack(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        sent_at: Option<Millis>,
        through: u32,
        inherited: &[(ServerKey, Standing)],
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
            // Said already: it will hear.
            if leadership.directives.latest(*server).is_none() {
                self.evidence.observe_inherited(now, from, *server, *standing);
            }
        }
    }

    /// Sends who lags what comes next, once in half an interval until it is acknowledged.
    pub(super) fn send_directives(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let resend_interval = self.renewal_interval() / 2;
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.directives.last_number() == 0 {
            return;
        }
        for to in self.params.other_members() {
            // Who has never answered is not known to live in this run, and no word is for another.
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

    /// A member's process was started anew: it has heard nothing.
    pub(super) fn on_member_restarted(&mut self, member: MemberId) {
        if let Some(leadership) = &mut self.leadership {
            leadership.acked.remove(&member);
            leadership.last_sent.remove(&member);
        }
    }

    fn issue_directive(&mut self, now: Millis, server: ServerKey, standing: Standing) {
        let Some(leadership) = &mut self.leadership else { return };
        let after = leadership.directives.last_number();
        leadership.directives.issue(now, server, standing);
        let (directives, up_to) = leadership.directives.next_batch(after);
        self.applied.apply(after, up_to, &directives);
        self.evidence.clear_inherited(server);
    }

    fn evaluate_all(&mut self, now: Millis) {
        let mut servers = self.evidence.servers();
        if let Some(leadership) = &self.leadership {
            servers.extend(leadership.directives.withdrawn());
        }
        for server in servers {
            self.evaluate(now, server);
        }
    }

    /// Withdraws a server by the evidence of two members, or gives back what this coordinator withdrew.
    pub(super) fn evaluate(&mut self, now: Millis, server: ServerKey) {
        let Some(leadership) = &self.leadership else { return };
        let issued = leadership.directives.latest(server);
        let serving_in_list = self.lists.standing(server) == Some(Standing::Serving);
        let withdrawn =
            issued.map(|issued| issued.standing).filter(|standing| *standing != Standing::Serving);
        if let Some((standing, issued)) = withdrawn.zip(issued) {
            let observed = self.evidence.withdrawal(server, false);
            let hold_expired = now.saturating_sub(issued.issued_at) >= HOLD_LEASES * self.params.lease;
            if self.evidence.seen_serving(server) || (hold_expired && observed.is_none()) {
                self.issue_directive(now, server, Standing::Serving);
            } else if observed == Some(Standing::Gone) && standing != Standing::Gone {
                self.issue_directive(now, server, Standing::Gone);
            }
            return;
        }
        // At least half of the servers that the list has serving stay, whatever is seen.
        let within_limit = (leadership.directives.withdrawn().count() + 1) * 2 <= self.lists.serving();
        match self.evidence.withdrawal(server, true) {
            // Where two say this and two say that it serves, the list counts.
            Some(standing) if serving_in_list && within_limit && !self.evidence.seen_serving(server) => {
                self.issue_directive(now, server, standing)
            }
            _ => {
                let inherited_since = self.evidence.inherited_since(server);
                if inherited_since.is_some_and(|since| now.saturating_sub(since) >= self.params.lease) {
                    // One member alone remembers a withdrawal: it is this term's now, and given back.
                    self.issue_directive(now, server, Standing::Serving);
                }
            }
        }
    }

    /// The list has a newer entry of a server: it wins over what this coordinator said.
    pub(super) fn on_entry_updated(&mut self, now: Millis, server: ServerKey) {
        self.evidence.forget(server);
        let issued = self.leadership.as_ref().and_then(|leadership| leadership.directives.latest(server));
        if issued.is_some_and(|issued| issued.standing != Standing::Serving) {
            self.issue_directive(now, server, Standing::Serving);
        }
    }

    fn step_down(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(leadership) = self.leadership.take() else { return };
        let why = match self.own_reach() {
            Some(Reach::Up) => "discovery is back",
            _ => "most of the region has discovery again",
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

    /// Repeats that the term is over.
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

    /// A member has heard that.
    pub(super) fn on_term_ended_ack(&mut self, from: MemberId, term: Term) {
        if let Some(resignation) = &mut self.resignation
            && resignation.term == term
        {
            resignation.unacked.remove(&from);
        }
    }
}
