//! Elects one member as the region's coordinator while the region cannot reach discovery.
//!
//! **When a coordinator is elected.** A majority of the region's *configured* members must have reported
//! discovery as unreachable, each for at least [`Timing::outage`](crate::api::Timing). One member is then
//! elected by the votes of a majority of the configured members. If no majority votes for a member, the
//! region has no coordinator and every member works as it would without peers. The coordinator steps down as
//! soon as it reaches discovery itself, or as soon as a majority of the members no longer reports discovery
//! as unreachable. It announces this to all members. After that, the outage must last for `Timing::outage`
//! again before the next election. This keeps coordinators from replacing each other in quick succession
//! where some members reach discovery and others do not.
//!
//! **At most one coordinator.** A voter promises, for a duration measured by its own clock, not to follow any
//! other candidate. The candidate counts on this promise from the time at which it sent its vote request, for
//! that duration reduced by the drift of both clocks: `usable = duration (1 - d) / (1 + d)`. A coordinator
//! acts only while it can count on the promises of a majority. It checks its clock before it does anything
//! else, so that a process that was suspended past the end of its lease is no longer coordinator when it
//! resumes. Any two majorities share a member, and a member is bound by its promise to one run of one
//! candidate at a time. Promises are not stored on disk. Instead, a new process neither votes nor becomes a
//! candidate for `lease (1 + d) / (1 - d) + election`: by then every promise of the previous process has
//! expired. This argument requires a clock that keeps running while the process is stopped.
//!
//! **Old terms.** A term consists of a number, the candidate, and the incarnation of the candidate's process.
//! Members follow the highest term that they know. They reject and count directives and renewals of lower
//! terms, and reply with the highest term. A coordinator that receives such a reply while its lease is valid
//! raises its term number. It needs no new votes, because a promise is made to a run of the candidate and not
//! to a term number. Numbers start at one again when all members restart. A directive that was in flight
//! during such a restart cannot be applied afterwards. Each directive message names the incarnation that it
//! is addressed to, and a sender learns that incarnation only from a message of the same run. Messages of
//! earlier runs are dropped once a message of the new run has been received.
//!
//! **Small regions.** In a region with one configured member, that member is the majority. It polls discovery
//! often, and withdraws nothing, because a withdrawal requires evidence from two members. In a region with
//! two members, both must agree on everything. If either is gone, there is no coordinator.
//!
//! **Withdrawals.** The coordinator withdraws a server on the evidence of two members of the region, and
//! always leaves at least half of the listed servers in service. The coordinator that withdrew a server also
//! restores it: when two members have seen the server serving again, when its entry in the list changes, or
//! some leases later if there are no longer two members that report it as unavailable. A new coordinator
//! first repeats under its own term the withdrawals of its predecessors, as far as it or two other members
//! know them. Only then may it restore those servers. A withdrawal ends immediately at a member that receives
//! a list from discovery itself, and at a member that learns from the coordinator that discovery is back. A
//! member that has not heard from a coordinator for [`WITHDRAWAL_TTL_LEASES`] leases uses its list unchanged
//! again.
//!
//! **Traffic.** A coordinator sends each other member of its region two to four renewals per lease, and each
//! member acknowledges them. A candidate sends each member at most one vote request per election timeout.

mod api;
mod directives;
mod election;
mod evidence;
mod follower;
mod leadership;
mod term;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use api::{Input, Output, Role};
pub use term::{Directive, MAX_DIRECTIVES, MAX_INHERITED, Message, Term};

use crate::api::{Config, MemberId, Millis, PollingRate, Reachability, ServerKey, ServerState};
use crate::lists::{ChangedServers, ListConfig, ListReplica};
use directives::AppliedDirectives;
use election::{Candidacy, Promise};
use evidence::Evidence;
use leadership::{Leadership, Resignation};

/// A member stops applying withdrawals after this many leases without a message from a coordinator.
pub const WITHDRAWAL_TTL_LEASES: u64 = 30;

/// Parameters derived from the configuration. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Params {
    me: MemberId,
    incarnation: u64,
    seed: u64,
    /// The configured members of the region, including this member.
    region_members: Vec<MemberId>,
    majority: usize,
    /// The lease, which is also the longest promise that this member makes.
    lease: Millis,
    /// The duration of the promise made with a vote. It is short so that after a split vote the voters are
    /// not bound for a full lease.
    vote_duration: Millis,
    election_timeout: Millis,
    outage_threshold: Millis,
    /// This process does not vote before this time, because the previous process of this member may have made
    /// promises that are still valid.
    quarantine_until: Millis,
    /// The largest difference in speed between two clocks, in parts per million.
    drift_ppm: u64,
}

/// One million: the denominator of a value in parts per million.
const PPM: u64 = 1_000_000;

impl Params {
    /// How long a candidate can count on a promise of this duration, by the candidate's own clock.
    fn usable_lease(&self, duration: Millis) -> Millis {
        duration.saturating_mul(PPM - self.drift_ppm) / (PPM + self.drift_ppm)
    }

    fn other_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        let me = self.me;
        self.region_members.clone().into_iter().filter(move |member| *member != me)
    }
}

/// The election and directive state of one member. It is deterministic: the same inputs give the same
/// outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    params: Arc<Params>,
    /// The highest term that this member knows.
    highest_term: Term,
    /// The highest term number that this member learnt from a rejection or a late message. Its own next term
    /// takes a higher number.
    number_floor: u64,
    promise: Option<Promise>,
    /// The incarnation in the last accepted message of each member.
    incarnations: BTreeMap<MemberId, u64>,
    /// Whether each member reaches discovery, and when this member learnt it.
    discovery_reach: BTreeMap<MemberId, (Reachability, Millis)>,
    dead_members: BTreeSet<MemberId>,
    /// When this member becomes a candidate, unless the need for a coordinator ends before.
    candidacy_at: Option<Millis>,
    /// Counts the random numbers that were drawn to delay a candidacy.
    election_attempts: u64,
    candidacy: Option<Candidacy>,
    leadership: Option<Leadership>,
    resignation: Option<Resignation>,
    /// The term of the coordinator that this member follows, and until when it follows without a further
    /// message.
    following: Option<(Term, Millis)>,
    applied: AppliedDirectives,
    evidence: Evidence,
    /// The withdrawals that were last reported to this member's process.
    reported_withdrawals: BTreeMap<ServerKey, ServerState>,
    /// How this member's process was last told to poll discovery.
    polling: PollingRate,
    next_wake: Option<Millis>,
    stale_rejected: Counter,
    lists: ListReplica,
}

/// A counter for operators that influences no decision. All values compare as equal, so that states that
/// differ only in a counter are equal.
#[derive(Debug, Clone, Copy)]
struct Counter(u64);

impl PartialEq for Counter {
    fn eq(&self, _: &Counter) -> bool {
        true
    }
}

impl Eq for Counter {}

impl std::hash::Hash for Counter {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

/// The `n`th number of the sequence that splitmix64 (Steele et al. 2014) generates from a seed.
pub(crate) fn splitmix64(seed: u64, n: u64) -> u64 {
    let mut z = seed.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Coordinator {
    /// Creates the state for a process that starts now. Each start of the process must use a higher
    /// `incarnation`.
    pub fn new(config: Arc<Config>, now: Millis, incarnation: u64, seed: u64) -> Coordinator {
        let me = config.me;
        let own_region = config.members.get(usize::from(me.0)).map(|member| member.region);
        let region_members: Vec<MemberId> = (0..=u16::MAX)
            .zip(&config.members)
            .filter(|(_, member)| Some(member.region) == own_region)
            .map(|(id, _)| MemberId(id))
            .collect();
        let timing = &config.timing;
        // The cast saturates, and turns NaN into zero.
        let drift_ppm = ((timing.drift * PPM as f64).ceil() as u64).min(PPM - 1);
        let longest_promise = timing.lease.saturating_mul(PPM + drift_ppm).div_ceil(PPM - drift_ppm);
        let params = Params {
            me,
            incarnation,
            seed,
            majority: region_members.len() / 2 + 1,
            region_members,
            lease: timing.lease,
            vote_duration: timing.lease.min(4 * timing.election).max(1),
            election_timeout: timing.election.max(1),
            outage_threshold: timing.outage,
            quarantine_until: now.saturating_add(longest_promise).saturating_add(timing.election),
            drift_ppm,
        };
        let list_config = ListConfig {
            me,
            members: u16::try_from(config.members.len()).unwrap_or(u16::MAX),
            retry_interval: timing.period.max(1),
            query_interval: timing.outage.max(1),
            seed,
        };
        Coordinator {
            params: Arc::new(params),
            highest_term: Term::NONE,
            number_floor: 0,
            promise: None,
            incarnations: BTreeMap::new(),
            discovery_reach: BTreeMap::new(),
            dead_members: BTreeSet::new(),
            candidacy_at: None,
            election_attempts: 0,
            candidacy: None,
            leadership: None,
            resignation: None,
            following: None,
            applied: AppliedDirectives::new(),
            evidence: Evidence::default(),
            reported_withdrawals: BTreeMap::new(),
            polling: PollingRate::Normal,
            next_wake: None,
            stale_rejected: Counter(0),
            lists: ListReplica::new(list_config, now),
        }
    }

    /// Processes an input at time `now` of this member's clock, and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, input: Input, actions: &mut Vec<Output>) {
        self.drop_expired_lease(now, actions);
        let mut changed = ChangedServers::new();
        match input {
            // A caller that keeps only one timer has none left now, so the next one must be requested again.
            Input::Woke => self.next_wake = None,
            Input::Message { from, incarnation, message } => {
                self.on_message(now, from, incarnation, message, &mut changed, actions);
            }
            Input::DiscoveryReach { member, reach } => self.set_reach(now, member, reach),
            Input::Liveness { member, alive } => {
                if alive {
                    self.dead_members.remove(&member);
                } else if member != self.params.me {
                    self.dead_members.insert(member);
                    self.lists.remove_member(member);
                }
            }
            Input::ListUpdate { version, complete, entries } => {
                self.set_reach(now, self.params.me, Reachability::Up);
                self.lists.apply_discovery_list(version, complete, &entries, &mut changed, actions);
                for server in changed.drain(..) {
                    self.evidence.forget(server);
                }
            }
            Input::Evidence { reporter, server, standing } => {
                if self.params.region_members.contains(&reporter) {
                    self.evidence.observe(reporter, server, standing);
                    self.evaluate(now, server);
                }
            }
            Input::ListFact { member, body } => self.lists.apply_fact(member, &body),
        }
        for server in &changed {
            self.on_entry_updated(now, *server);
        }
        self.run_election(now, actions);
        self.maintain_leadership(now, actions);
        self.send_directives(now, actions);
        self.announce_resignation(now, actions);
        self.expire(now, actions);
        let down = |(member, (reach, _)): (&MemberId, &(Reachability, Millis))| {
            *reach == Reachability::Down && !self.dead_members.contains(member)
        };
        let discovery_down = self.discovery_reach.iter().any(down);
        self.lists.tick(now, discovery_down, actions);
        self.report_changes(&changed, actions);
        self.update_polling(now, actions);
        self.schedule_wake(now, actions);
    }

    /// The role of this member as of the last call.
    pub fn role(&self) -> Role {
        match (&self.leadership, &self.candidacy, &self.following) {
            (Some(_), ..) => Role::Coordinator,
            (_, Some(_), _) => Role::Candidate,
            (_, _, Some(_)) => Role::Follower,
            _ => Role::Unattached,
        }
    }

    /// The highest term that this member knows.
    pub fn term(&self) -> Term {
        self.highest_term
    }

    /// The term whose directives this member applies, and the number up to which it has received all of them.
    pub fn applied_through(&self) -> (Term, u32) {
        (self.applied.term, self.applied.through)
    }

    /// The withdrawals by coordinators that this member has received and that still apply.
    pub fn withdrawn(&self) -> Vec<(ServerKey, ServerState)> {
        self.applied.withdrawals().collect()
    }

    /// The number of directive messages and renewals that were rejected because they belong to an older term
    /// or are addressed to an earlier run of this member.
    pub fn stale_rejected(&self) -> u64 {
        self.stale_rejected.0
    }

    /// This member's copy of discovery's server list.
    pub fn lists(&self) -> &ListReplica {
        &self.lists
    }

    fn on_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        message: Message,
        changed: &mut ChangedServers,
        actions: &mut Vec<Output>,
    ) {
        if from == self.params.me {
            return;
        }
        if let Message::List(message) = message {
            self.lists.handle_message(now, from, message, changed, actions);
            return;
        }
        if !self.params.region_members.contains(&from) {
            return;
        }
        match self.incarnations.get(&from) {
            Some(latest) if incarnation < *latest => return,
            Some(latest) if incarnation == *latest => {}
            _ => {
                self.incarnations.insert(from, incarnation);
                self.on_member_restarted(from);
            }
        }
        // Accepts such messages only from the term's own candidate, in the run that the term belongs to.
        let is_senders_term = |term: &Term| term.candidate == from && term.incarnation == incarnation;
        match message {
            Message::RequestVote { term, sent_at, duration }
                if is_senders_term(&term) && self.is_plausible(&term) =>
            {
                self.on_vote_request(now, term, sent_at, duration, actions);
            }
            Message::GrantVote { term, sent_at } => self.on_vote_granted(now, from, term, sent_at, actions),
            Message::Reject { term, highest_term } => {
                self.on_rejection(now, from, term, highest_term, actions)
            }
            Message::Renew { term, to_incarnation, sent_at, duration, last_directive: _, list }
                if is_senders_term(&term) && self.is_plausible(&term) =>
            {
                self.on_renewal(now, term, to_incarnation, sent_at, duration, list, actions);
            }
            Message::Ack { term, sent_at, through, inherited } => {
                self.on_ack(now, from, term, sent_at, through, &inherited);
            }
            Message::Directives { term, to_incarnation, after, up_to, directives }
                if is_senders_term(&term) && self.is_plausible(&term) =>
            {
                self.on_directives(now, term, to_incarnation, after, up_to, &directives, actions);
            }
            Message::TermEnded { term, discovery_back } if is_senders_term(&term) => {
                self.on_term_ended(now, term, discovery_back);
                if discovery_back {
                    actions.push(Output::Send { to: from, message: Message::TermEndedAck { term } });
                }
            }
            Message::TermEndedAck { term } => self.on_term_ended_ack(from, term),
            _ => {}
        }
    }

    fn update_polling(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let polling = match self.role() {
            Role::Coordinator if self.is_acting(now) => PollingRate::Frequent,
            Role::Follower if self.own_reach() == Some(Reachability::Down) => PollingRate::Infrequent,
            _ => PollingRate::Normal,
        };
        if polling != self.polling {
            self.polling = polling;
            actions.push(Output::SetPolling(polling));
        }
    }

    /// Requests a wake-up for the next time at which something is due.
    fn schedule_wake(&mut self, now: Millis, actions: &mut Vec<Output>) {
        let withdrawals_expire = (!self.applied.is_empty())
            .then(|| self.applied.last_contact + WITHDRAWAL_TTL_LEASES * self.params.lease);
        let quarantine = self.quarantined(now).then_some(self.params.quarantine_until);
        let promise_ends = self.promise.map(|promise| promise.until).filter(|until| *until > now);
        let times = [
            self.needed_at(now),
            quarantine,
            promise_ends,
            self.candidacy_at,
            self.candidacy.as_ref().map(|candidacy| candidacy.ends_at.min(candidacy.resend_at)),
            self.leadership.as_ref().map(|leadership| leadership.renew_at),
            self.lease_until(),
            self.resignation.as_ref().map(|resignation| resignation.resend_at),
            self.following.map(|(_, until)| until),
            withdrawals_expire,
            self.lists.next_tick(),
        ];
        let Some(next) = times.into_iter().flatten().min().map(|at| at.max(now + 1)) else { return };
        if self.next_wake.is_none_or(|wake| wake <= now || next < wake) {
            self.next_wake = Some(next);
            actions.push(Output::WakeAt(next));
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
