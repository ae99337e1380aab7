//! Elections: the need for a coordinator, candidacies, and the promises of voters.

use std::collections::BTreeMap;

use super::term::{Message, Term};
use super::{Coordinator, Output};
use crate::api::{MemberId, Millis, Reachability};

/// The largest accepted increase of the term number in one message. This keeps a faulty member from
/// exhausting the term numbers.
const MAX_NUMBER_JUMP: u64 = 1 << 32;

/// A candidacy of this member that is not decided yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub term: Term,
    /// Until when this member can count on each voter's promise, by its own clock.
    pub votes: BTreeMap<MemberId, Millis>,
    /// When members that have not granted their vote are asked again.
    pub resend_at: Millis,
    /// When this member abandons the candidacy.
    pub ends_at: Millis,
}

/// A promise of this member not to follow another candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Promise {
    pub term: Term,
    /// When the promise expires, by this member's clock.
    pub until: Millis,
}

impl Coordinator {
    /// Whether this process started too recently to vote. The previous process of this member may have made a
    /// promise that is still valid.
    pub(super) fn quarantined(&self, now: Millis) -> bool {
        now < self.params.quarantine_until
    }

    /// Whether a term belongs to this run of this member.
    pub(super) fn is_own_term(&self, term: &Term) -> bool {
        term.candidate == self.params.me && term.incarnation == self.params.incarnation
    }

    /// Whether this member is bound by a promise to a run other than the one that `term` belongs to.
    pub(super) fn promised_to_other(&self, now: Millis, term: &Term) -> bool {
        self.promise.is_some_and(|promise| now < promise.until && !promise.term.same_run(term))
    }

    /// Whether the number of a term is plausible: not zero, and not too far above the numbers known here.
    pub(super) fn is_plausible(&self, term: &Term) -> bool {
        term.number != 0
            && term.number <= self.highest_term.number.max(self.number_floor).saturating_add(MAX_NUMBER_JUMP)
    }

    /// The number of living members of the region that have reported discovery as unreachable for at least
    /// `age`.
    fn count_down(&self, now: Millis, age: Millis) -> usize {
        let down = |member: &&MemberId| {
            self.discovery_reach.get(member).is_some_and(|(reach, since)| {
                *reach == Reachability::Down
                    && now.saturating_sub(*since) >= age
                    && !self.dead_members.contains(*member)
            })
        };
        self.params.region_members.iter().filter(down).count()
    }

    /// The number of living members of the region that report discovery as reachable.
    fn count_up(&self) -> usize {
        let up = |member: &&MemberId| {
            self.discovery_reach.get(member).is_some_and(|(reach, _)| *reach == Reachability::Up)
                && !self.dead_members.contains(*member)
        };
        self.params.region_members.iter().filter(up).count()
    }

    /// Whether this member reaches discovery, or nothing if that is not known yet.
    pub(super) fn own_reach(&self) -> Option<Reachability> {
        self.discovery_reach.get(&self.params.me).map(|(reach, _)| *reach)
    }

    /// Whether the region needs a coordinator, as far as this member knows. Only a member that does not reach
    /// discovery itself sees this need.
    fn coordinator_needed(&self, now: Millis) -> bool {
        self.own_reach() == Some(Reachability::Down)
            && self.count_down(now, self.params.outage_threshold) >= self.params.majority
    }

    /// Whether the coordinator should step down: it reaches discovery itself, or there is no longer a
    /// majority that reports discovery as unreachable. Members that merely fell silent are not a reason to
    /// step down: if they stop renewing their promises, the lease expires anyway.
    pub(super) fn no_longer_needed(&self, now: Millis) -> bool {
        self.own_reach() == Some(Reachability::Up)
            || (self.count_up() > 0 && self.count_down(now, 0) < self.params.majority)
    }

    /// Restarts the outage timers, because a coordinator announced that discovery is back. The next election
    /// requires that the outage is observed again for its full threshold.
    pub(super) fn restart_outage_timers(&mut self, now: Millis) {
        for (reach, since) in self.discovery_reach.values_mut() {
            if *reach == Reachability::Down {
                *since = now;
            }
        }
    }

    /// When the current outage will have lasted long enough for an election, if that is in the future.
    pub(super) fn needed_at(&self, now: Millis) -> Option<Millis> {
        if self.own_reach() != Some(Reachability::Down) {
            return None;
        }
        let mut since: Vec<Millis> = self
            .params
            .region_members
            .iter()
            .filter(|member| !self.dead_members.contains(*member))
            .filter_map(|member| self.discovery_reach.get(member))
            .filter(|(reach, _)| *reach == Reachability::Down)
            .map(|(_, since)| *since)
            .collect();
        since.sort_unstable();
        let at = since.get(self.params.majority.checked_sub(1)?)? + self.params.outage_threshold;
        (at > now).then_some(at)
    }

    /// Becomes a candidate, repeats the vote requests, or abandons the candidacy, depending on the time.
    pub(super) fn run_election(&mut self, now: Millis, actions: &mut Vec<Output>) {
        if self.leadership.is_some() || self.quarantined(now) {
            self.candidacy_at = None;
            return;
        }
        match &self.candidacy {
            Some(candidacy) if now >= candidacy.ends_at || !self.coordinator_needed(now) => {
                self.abandon_candidacy(actions)
            }
            Some(candidacy) if now >= candidacy.resend_at => return self.request_votes(now, actions),
            Some(_) => return,
            None => {}
        }
        let me = Term { number: 0, candidate: self.params.me, incarnation: self.params.incarnation };
        let unbound =
            !self.promised_to_other(now, &me) && self.following.is_none_or(|(_, until)| now >= until);
        match self.candidacy_at {
            _ if !(unbound && self.coordinator_needed(now)) => self.candidacy_at = None,
            None => {
                self.election_attempts += 1;
                let delay = super::splitmix64(self.params.seed, self.election_attempts)
                    % self.params.election_timeout;
                self.candidacy_at = Some(now + self.params.election_timeout + delay);
            }
            Some(at) if now >= at => self.start_candidacy(now, actions),
            Some(_) => {}
        }
    }

    /// Becomes a candidate in a new term, votes for itself and requests the votes of the other members.
    fn start_candidacy(&mut self, now: Millis, actions: &mut Vec<Output>) {
        self.candidacy_at = None;
        let Some(number) = self.highest_term.number.max(self.number_floor).checked_add(1) else { return };
        let term = Term { number, candidate: self.params.me, incarnation: self.params.incarnation };
        let duration = self.params.vote_duration;
        self.highest_term = term;
        self.promise = Some(Promise { term, until: now + duration });
        let votes = BTreeMap::from([(self.params.me, now + self.params.usable_lease(duration))]);
        self.candidacy = Some(Candidacy { term, votes, resend_at: now, ends_at: now + duration });
        self.request_votes(now, actions);
        self.check_votes(now, actions);
    }

    /// Sends a vote request to each member that has not granted its vote.
    fn request_votes(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let Some(candidacy) = &mut self.candidacy else { return };
        candidacy.resend_at = now + self.params.election_timeout;
        let duration = u32::try_from(self.params.vote_duration).unwrap_or(u32::MAX);
        for to in self.params.region_members.iter().filter(|member| !candidacy.votes.contains_key(member)) {
            actions.push(Output::Send {
                to: *to,
                message: Message::RequestVote { term: candidacy.term, sent_at: now, duration },
            });
        }
    }

    /// Abandons the candidacy and announces this, which releases the voters from their promises.
    pub(super) fn abandon_candidacy(&mut self, actions: &mut Vec<Output>) {
        let Some(candidacy) = self.candidacy.take() else { return };
        if self.promise.is_some_and(|promise| promise.term == candidacy.term) {
            self.promise = None;
        }
        // Sent to all members, because votes that were granted may still be in flight.
        for to in self.params.other_members() {
            actions.push(Output::Send {
                to,
                message: Message::TermEnded { term: candidacy.term, discovery_back: false },
            });
        }
    }

    /// Becomes coordinator if a majority has granted its votes.
    fn check_votes(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let won = self.candidacy.as_ref().is_some_and(|candidacy| {
            candidacy.votes.values().filter(|until| **until > now).count() >= self.params.majority
        });
        if won && let Some(candidacy) = self.candidacy.take() {
            self.become_coordinator(now, candidacy, actions);
        }
    }

    /// Handles a candidate's request for this member's vote.
    pub(super) fn on_vote_request(
        &mut self,
        now: Millis,
        term: Term,
        sent_at: Millis,
        duration: u32,
        actions: &mut Vec<Output>,
    ) {
        // A promise longer than this member's own lease could outlast the quarantine of its next process.
        if self.quarantined(now) || u64::from(duration) > self.params.lease {
            return;
        }
        // A member does not vote if too many members reach discovery for a majority to lack it.
        if self.count_up() > self.params.region_members.len() - self.params.majority {
            return;
        }
        // Of two candidates, the one with the lower term gives way, which resolves a split vote at once.
        if term > self.highest_term && self.candidacy.is_some() {
            self.abandon_candidacy(actions);
        }
        let to = term.candidate;
        if term < self.highest_term || self.promised_to_other(now, &term) || self.leadership.is_some() {
            actions.push(Output::Send {
                to,
                message: Message::Reject { term, highest_term: self.highest_term },
            });
            // The candidate that holds this member's promise may have given way to the higher term, and its
            // announcement may have been lost. This rejection makes it announce the end of its term again.
            if let Some(promise) = self.promise
                && promise.term < term
                && self.following.is_none()
                && !self.is_own_term(&promise.term)
            {
                let message = Message::Reject { term: promise.term, highest_term: term };
                actions.push(Output::Send { to: promise.term.candidate, message });
            }
            return;
        }
        self.highest_term = term;
        let previous_until =
            self.promise.filter(|promise| promise.term.same_run(&term)).map_or(0, |promise| promise.until);
        self.promise = Some(Promise { term, until: previous_until.max(now + u64::from(duration)) });
        actions.push(Output::Send { to, message: Message::GrantVote { term, sent_at } });
    }

    /// Handles a vote that was granted to this member.
    pub(super) fn on_vote_granted(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        sent_at: Millis,
        actions: &mut Vec<Output>,
    ) {
        let valid_until = sent_at.saturating_add(self.params.usable_lease(self.params.vote_duration));
        match &mut self.candidacy {
            Some(candidacy) if candidacy.term == term && sent_at <= now => {
                let until = candidacy.votes.entry(from).or_insert(valid_until);
                *until = valid_until.max(*until);
                self.check_votes(now, actions);
            }
            _ => {}
        }
    }

    /// Handles the rejection of a term of this run by a member that knows a higher one, or is bound to
    /// another candidate.
    pub(super) fn on_rejection(
        &mut self,
        now: Millis,
        rejected_by: MemberId,
        term: Term,
        highest_term: Term,
        actions: &mut Vec<Output>,
    ) {
        if !self.is_own_term(&term) || !self.is_plausible(&highest_term) {
            return;
        }
        // A coordinator does not announce the end of the rejected term. It may have held that term before it
        // raised its number, and the promises made then are still valid.
        if self.leadership.is_none() && self.candidacy.as_ref().is_none_or(|candidacy| candidacy.term != term)
        {
            actions.push(Output::Send {
                to: rejected_by,
                message: Message::TermEnded { term, discovery_back: false },
            });
        }
        self.number_floor = self.number_floor.max(highest_term.number);
        if self.candidacy.as_ref().is_some_and(|candidacy| highest_term > candidacy.term) {
            self.abandon_candidacy(actions);
        }
        if self.leadership.as_ref().is_some_and(|leadership| highest_term > leadership.term) {
            self.raise_term_number(now, actions);
        }
    }

    /// Handles the announcement of a candidate that its term has ended.
    pub(super) fn on_term_ended(&mut self, now: Millis, term: Term, discovery_back: bool) {
        if self.promise.is_some_and(|promise| promise.term == term) {
            self.promise = None;
        }
        if self.following.is_some_and(|(followed, _)| followed == term) {
            self.following = None;
        }
        if discovery_back && self.highest_term == term {
            self.applied.clear();
            self.restart_outage_timers(now);
        }
    }
}
