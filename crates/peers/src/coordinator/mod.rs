//! One who speaks for a region while discovery is out of reach for it.
//!
//! **When.** A majority of the region's *configured* members must say, each for
//! [`Timing::outage`](crate::api::Timing), that discovery is out of reach. Then one is elected by the votes of a
//! majority of the configured members. Without one there is no coordinator and all is as without peers. It stands
//! down as soon as it has discovery itself or no majority lacks it any more, says so to all, and the need must then
//! be seen anew for an outage before the next is elected: so that where some reach discovery and others do not,
//! coordinators do not follow each other in haste.
//!
//! **Never two.** A voter promises to follow nobody else for a time by its own clock. The candidate counts on that
//! from when it sent its call, for that time less the drift of both clocks: `usable = lasts (1 - d) / (1 + d)`. It
//! acts while a majority's promises can be counted on, and looks at its clock before anything else, so that a
//! process that slept past its lease wakes as none. Two majorities share a member, and that one promises to one run
//! at a time. Nothing is kept on disk: a new process neither votes nor stands for `lease (1 + d) / (1 - d) +
//! election`, when all that its former self promised has run out. So the proof needs a clock that does not stand
//! still while the process is stopped.
//!
//! **Old terms.** A term is a number, its candidate and which run of it. Members obey the highest that they know;
//! words and renewals of lower ones are refused, counted and answered with what is known, whereupon a holder whose
//! lease still goes takes a higher number, for promises are to a run and not to a number. A fleet that was
//! restarted whole counts from one again. What is still under way from before cannot be obeyed then: each word
//! names the incarnation that it is sent to, a sender learns that only from a message of that very run, and
//! messages of former runs are dropped once the new one was heard.
//!
//! **Small regions.** With one configured member the majority is itself: it asks discovery often, and withdraws
//! nothing, for evidence takes two. With two both must agree on everything: when either is gone there is no
//! coordinator.
//!
//! **Withdrawals.** By the evidence of two members of the region, and never more than leave half of the list's
//! servers. Whoever withdrew gives back: when two members saw the server serve again, when its entry in the list
//! changed, or some leases later when no two say so any more. A successor says again under its own term what former
//! ones withdrew, as far as it or two others know, before it may give it back. They end at once with discovery's
//! own list at a member, and with the coordinator's word that discovery is back. A member that hears no coordinator
//! for [`LAPSE`] leases goes by its list again.
//!
//! Traffic: a coordinator sends each other member of its region two to four renewals a lease, and each answers; a
//! call for votes goes to each once in `election`.

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

use crate::api::{Asking, Config, MemberId, Millis, Reach, ServerKey, Standing};
use crate::lists::{Changed, Lists, Pace};
use directives::AppliedDirectives;
use election::{Candidacy, Promise};
use evidence::Evidence;
use leadership::{Leadership, Resignation};

/// After so many leases without a coordinator's word its withdrawals are obeyed no more.
pub const WITHDRAWAL_TTL_LEASES: u64 = 30;

/// What follows from the configuration. Times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Params {
    me: MemberId,
    incarnation: u64,
    seed: u64,
    /// The configured members of the region, this one included.
    region_members: Vec<MemberId>,
    majority: usize,
    /// The longest promise.
    lease: Millis,
    /// The promise that goes with a vote: short, so that a split vote does not bind for a whole lease.
    vote_duration: Millis,
    election_timeout: Millis,
    outage_threshold: Millis,
    /// Until when this process is too new to vote.
    quarantine_until: Millis,
    /// By how many parts in a million two clocks may differ in speed.
    drift_ppm: u64,
}

/// A million parts.
const PPM: u64 = 1_000_000;

impl Params {
    /// For how long a promise can be counted on, by the clock of whom it was made to.
    fn usable_lease(&self, duration: Millis) -> Millis {
        duration.saturating_mul(PPM - self.drift_ppm) / (PPM + self.drift_ppm)
    }

    fn other_members(&self) -> impl Iterator<Item = MemberId> + use<> {
        let me = self.me;
        self.region_members.clone().into_iter().filter(move |member| *member != me)
    }
}

/// A member's part in its region's coordination. The same inputs give the same outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    params: Arc<Params>,
    /// The highest term that it knows of.
    highest_term: Term,
    /// The highest number that it was refused for.
    number_floor: u64,
    promise: Option<Promise>,
    /// Which run of each member was heard last.
    incarnations: BTreeMap<MemberId, u64>,
    /// How each sees discovery, and since when that is known here.
    discovery_reach: BTreeMap<MemberId, (Reach, Millis)>,
    dead_members: BTreeSet<MemberId>,
    candidacy_at: Option<Millis>,
    election_attempts: u64,
    candidacy: Option<Candidacy>,
    leadership: Option<Leadership>,
    resignation: Option<Resignation>,
    /// The coordinator that is heard, and until when that counts.
    following: Option<(Term, Millis)>,
    applied: AppliedDirectives,
    evidence: Evidence,
    /// What this member's process was told to be withdrawn.
    reported_withdrawals: BTreeMap<ServerKey, Standing>,
    polling: Asking,
    next_wake: Option<Millis>,
    stale_rejected: Counter,
    lists: Lists,
}

/// A count for the operators, which decides nothing: states that differ in it alone are one.
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

/// The `n`th number that follows from a seed (splitmix64, Steele et al. 2014).
pub(crate) fn splitmix64(seed: u64, n: u64) -> u64 {
    let mut z = seed.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Coordinator {
    /// A member's part, from the start of its process. `incarnation` is higher at each start.
    pub fn new(config: Arc<Config>, now: Millis, incarnation: u64, seed: u64) -> Coordinator {
        let me = config.me;
        let own_region = config.members.get(usize::from(me.0)).map(|member| member.region);
        let region_members: Vec<MemberId> = (0..=u16::MAX)
            .zip(&config.members)
            .filter(|(_, member)| Some(member.region) == own_region)
            .map(|(id, _)| MemberId(id))
            .collect();
        let timing = &config.timing;
        // The cast saturates, and a share that is no number is none.
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
        let pace = Pace {
            me,
            members: u16::try_from(config.members.len()).unwrap_or(u16::MAX),
            period: timing.period.max(1),
            round: timing.outage.max(1),
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
            polling: Asking::Usual,
            next_wake: None,
            stale_rejected: Counter(0),
            lists: Lists::new(pace, now),
        }
    }

    /// Takes in what happened at `now`, by this member's clock, and appends what should be done.
    pub fn handle(&mut self, now: Millis, input: Input, actions: &mut Vec<Output>) {
        self.drop_expired_lease(now, actions);
        let mut changed = Changed::new();
        match input {
            // Whoever keeps one timer only has none now.
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
                    self.lists.gone(member);
                }
            }
            Input::ListUpdate { version, complete, entries } => {
                self.set_reach(now, self.params.me, Reach::Up);
                self.lists.listed(version, complete, &entries, &mut changed, actions);
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
            Input::ListFact { member, body } => self.lists.fact(member, &body),
        }
        for server in &changed {
            self.on_entry_updated(now, *server);
        }
        self.run_election(now, actions);
        self.maintain_leadership(now, actions);
        self.send_directives(now, actions);
        self.announce_resignation(now, actions);
        self.expire(now, actions);
        let down = |(member, (reach, _)): (&MemberId, &(Reach, Millis))| {
            *reach == Reach::Down && !self.dead_members.contains(member)
        };
        let discovery_down = self.discovery_reach.iter().any(down);
        self.lists.tick(now, discovery_down, actions);
        self.report_changes(&changed, actions);
        self.update_polling(now, actions);
        self.schedule_wake(now, actions);
    }

    /// What this member is, as of the last call.
    pub fn role(&self) -> Role {
        match (&self.leadership, &self.candidacy, &self.following) {
            (Some(_), ..) => Role::Coordinator,
            (_, Some(_), _) => Role::Candidate,
            (_, _, Some(_)) => Role::Follower,
            _ => Role::Unattached,
        }
    }

    /// The highest term it knows of.
    pub fn term(&self) -> Term {
        self.highest_term
    }

    /// The term whose words it obeys, and up to which number it has heard them.
    pub fn applied_through(&self) -> (Term, u32) {
        (self.applied.term, self.applied.through)
    }

    /// What is withdrawn by coordinators' words, as far as this member has heard.
    pub fn withdrawn(&self) -> Vec<(ServerKey, Standing)> {
        self.applied.withdrawals().collect()
    }

    /// How many words and renewals of older terms it refused.
    pub fn stale_rejected(&self) -> u64 {
        self.stale_rejected.0
    }

    /// The list.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    fn on_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        message: Message,
        changed: &mut Changed,
        actions: &mut Vec<Output>,
    ) {
        if from == self.params.me {
            return;
        }
        if let Message::List(message) = message {
            self.lists.message(now, from, message, changed, actions);
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
        // Nobody speaks for another's term.
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
            Role::Coordinator if self.is_acting(now) => Asking::Often,
            Role::Follower if self.own_reach() == Some(Reach::Down) => Asking::Seldom,
            _ => Asking::Usual,
        };
        if polling != self.polling {
            self.polling = polling;
            actions.push(Output::SetPolling(polling));
        }
    }

    /// Asks to be woken when something is due next.
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
            self.lists.next(),
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
