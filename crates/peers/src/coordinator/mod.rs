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
mod election;
mod evidence;
mod follow;
mod office;
mod term;
mod words;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use api::{Input, Output, Role};
pub use term::{CARRIED, Message, Term, WORDS, Word};

use crate::api::{Asking, Config, MemberId, Millis, Reach, ServerKey, Standing};
use crate::lists::{Changed, Lists, Pace};
use election::{Candidacy, Promise};
use evidence::Evidence;
use office::{Leaving, Office};
use words::Obeyed;

/// After so many leases without a coordinator's word its withdrawals are obeyed no more.
pub const LAPSE: u64 = 30;

/// What follows from the configuration. Times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Setup {
    me: MemberId,
    incarnation: u64,
    seed: u64,
    /// The configured members of the region, this one included.
    region: Vec<MemberId>,
    majority: usize,
    /// The longest promise.
    lease: Millis,
    /// The promise that goes with a vote: short, so that a split vote does not bind for a whole lease.
    vote: Millis,
    election: Millis,
    outage: Millis,
    /// Until when this process is too new to vote.
    quarantine: Millis,
    /// By how many parts in a million two clocks may differ in speed.
    drift: u64,
}

/// A million parts.
const WHOLE: u64 = 1_000_000;

impl Setup {
    /// For how long a promise can be counted on, by the clock of whom it was made to.
    fn usable(&self, lasts: Millis) -> Millis {
        lasts.saturating_mul(WHOLE - self.drift) / (WHOLE + self.drift)
    }

    fn others(&self) -> impl Iterator<Item = MemberId> + use<> {
        let me = self.me;
        self.region.clone().into_iter().filter(move |member| *member != me)
    }
}

/// A member's part in its region's coordination. The same inputs give the same outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    setup: Arc<Setup>,
    /// The highest term that it knows of.
    known: Term,
    /// The highest number that it was refused for.
    floor: u64,
    promise: Option<Promise>,
    /// Which run of each member was heard last.
    lives: BTreeMap<MemberId, u64>,
    /// How each sees discovery, and since when that is known here.
    reaches: BTreeMap<MemberId, (Reach, Millis)>,
    gone: BTreeSet<MemberId>,
    stand_at: Option<Millis>,
    attempts: u64,
    candidacy: Option<Candidacy>,
    office: Option<Office>,
    leaving: Option<Leaving>,
    /// The coordinator that is heard, and until when that counts.
    heard: Option<(Term, Millis)>,
    obeyed: Obeyed,
    evidence: Evidence,
    /// What this member's process was told to be withdrawn.
    in_force: BTreeMap<ServerKey, Standing>,
    asked: Asking,
    wake: Option<Millis>,
    refused: Figure,
    lists: Lists,
}

/// A count for the operators, which decides nothing: states that differ in it alone are one.
#[derive(Debug, Clone, Copy)]
struct Figure(u64);

impl PartialEq for Figure {
    fn eq(&self, _: &Figure) -> bool {
        true
    }
}

impl Eq for Figure {}

impl std::hash::Hash for Figure {
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
        let home = config.members.get(usize::from(me.0)).map(|member| member.region);
        let region: Vec<MemberId> = (0..=u16::MAX)
            .zip(&config.members)
            .filter(|(_, member)| Some(member.region) == home)
            .map(|(id, _)| MemberId(id))
            .collect();
        let timing = &config.timing;
        // The cast saturates, and a share that is no number is none.
        let drift = ((timing.drift * WHOLE as f64).ceil() as u64).min(WHOLE - 1);
        let longest = timing.lease.saturating_mul(WHOLE + drift).div_ceil(WHOLE - drift);
        let setup = Setup {
            me,
            incarnation,
            seed,
            majority: region.len() / 2 + 1,
            region,
            lease: timing.lease,
            vote: timing.lease.min(4 * timing.election).max(1),
            election: timing.election.max(1),
            outage: timing.outage,
            quarantine: now.saturating_add(longest).saturating_add(timing.election),
            drift,
        };
        let pace = Pace {
            me,
            members: u16::try_from(config.members.len()).unwrap_or(u16::MAX),
            period: timing.period.max(1),
            round: timing.outage.max(1),
            seed,
        };
        Coordinator {
            setup: Arc::new(setup),
            known: Term::NONE,
            floor: 0,
            promise: None,
            lives: BTreeMap::new(),
            reaches: BTreeMap::new(),
            gone: BTreeSet::new(),
            stand_at: None,
            attempts: 0,
            candidacy: None,
            office: None,
            leaving: None,
            heard: None,
            obeyed: Obeyed::new(),
            evidence: Evidence::default(),
            in_force: BTreeMap::new(),
            asked: Asking::Usual,
            wake: None,
            refused: Figure(0),
            lists: Lists::new(pace, now),
        }
    }

    /// Takes in what happened at `now`, by this member's clock, and appends what should be done.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        self.check_lease(now, out);
        let mut changed = Changed::new();
        match input {
            // Whoever keeps one timer only has none now.
            Input::Woke => self.wake = None,
            Input::Message { from, incarnation, message } => {
                self.message(now, from, incarnation, message, &mut changed, out);
            }
            Input::DiscoveryReach { member, reach } => self.reach(now, member, reach),
            Input::Liveness { member, alive } => {
                if alive {
                    self.gone.remove(&member);
                } else if member != self.setup.me {
                    self.gone.insert(member);
                    self.lists.gone(member);
                }
            }
            Input::ListUpdate { version, complete, entries } => {
                self.reach(now, self.setup.me, Reach::Up);
                self.lists.listed(version, complete, &entries, &mut changed, out);
                for server in changed.drain(..) {
                    self.evidence.forget(server);
                }
            }
            Input::Evidence { reporter, server, standing } => {
                if self.setup.region.contains(&reporter) {
                    self.evidence.saw(reporter, server, standing);
                    self.judge(now, server);
                }
            }
            Input::ListFact { member, body } => self.lists.fact(member, &body),
        }
        for server in &changed {
            self.relisted(now, *server);
        }
        self.elect(now, out);
        self.keep_office(now, out);
        self.speak(now, out);
        self.keep_leaving(now, out);
        self.lapse(now, out);
        let down = |(member, (reach, _)): (&MemberId, &(Reach, Millis))| {
            *reach == Reach::Down && !self.gone.contains(member)
        };
        let trouble = self.reaches.iter().any(down);
        self.lists.tick(now, trouble, out);
        self.settle(&changed, out);
        self.ask(now, out);
        self.wake(now, out);
    }

    /// What this member is, as of the last call.
    pub fn role(&self) -> Role {
        match (&self.office, &self.candidacy, &self.heard) {
            (Some(_), ..) => Role::Coordinator,
            (_, Some(_), _) => Role::Candidate,
            (_, _, Some(_)) => Role::Follower,
            _ => Role::Unattached,
        }
    }

    /// The highest term it knows of.
    pub fn term(&self) -> Term {
        self.known
    }

    /// The term whose words it obeys, and up to which number it has heard them.
    pub fn obeys(&self) -> (Term, u32) {
        (self.obeyed.term, self.obeyed.through)
    }

    /// What is withdrawn by coordinators' words, as far as this member has heard.
    pub fn withdrawn(&self) -> Vec<(ServerKey, Standing)> {
        self.obeyed.all().collect()
    }

    /// How many words and renewals of older terms it refused.
    pub fn stale_rejected(&self) -> u64 {
        self.refused.0
    }

    /// The list.
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    fn message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        message: Message,
        changed: &mut Changed,
        out: &mut Vec<Output>,
    ) {
        if from == self.setup.me {
            return;
        }
        if let Message::List(message) = message {
            self.lists.message(now, from, message, changed, out);
            return;
        }
        if !self.setup.region.contains(&from) {
            return;
        }
        match self.lives.get(&from) {
            Some(life) if incarnation < *life => return,
            Some(life) if incarnation == *life => {}
            _ => {
                self.lives.insert(from, incarnation);
                self.reborn(from);
            }
        }
        // Nobody speaks for another's term.
        let speaks = |term: &Term| term.candidate == from && term.incarnation == incarnation;
        match message {
            Message::Call { term, at, lasts } if speaks(&term) && self.plausible(&term) => {
                self.called(now, term, at, lasts, out);
            }
            Message::Grant { term, at } => self.granted(now, from, term, at, out),
            Message::Refuse { term, known } => self.refused_by(now, from, term, known, out),
            Message::Renew { term, to, at, lasts, words: _, list }
                if speaks(&term) && self.plausible(&term) =>
            {
                self.renewed(now, term, to, at, lasts, list, out);
            }
            Message::Held { term, at, through, carried } => {
                self.held(now, from, term, at, through, &carried);
            }
            Message::Words { term, to, after, upto, words } if speaks(&term) && self.plausible(&term) => {
                self.worded(now, term, to, after, upto, &words, out);
            }
            Message::Stood { term, back } if speaks(&term) => {
                self.stood(now, term, back);
                if back {
                    out.push(Output::Send { to: from, message: Message::StoodHeard { term } });
                }
            }
            Message::StoodHeard { term } => self.stood_heard(from, term),
            _ => {}
        }
    }

    fn ask(&mut self, now: Millis, out: &mut Vec<Output>) {
        let asking = match self.role() {
            Role::Coordinator if self.acting(now) => Asking::Often,
            Role::Follower if self.own_reach() == Some(Reach::Down) => Asking::Seldom,
            _ => Asking::Usual,
        };
        if asking != self.asked {
            self.asked = asking;
            out.push(Output::SetPolling(asking));
        }
    }

    /// Asks to be woken when something is due next.
    fn wake(&mut self, now: Millis, out: &mut Vec<Output>) {
        let lapse = (!self.obeyed.is_empty()).then(|| self.obeyed.at + LAPSE * self.setup.lease);
        let quarantine = self.quarantined(now).then_some(self.setup.quarantine);
        let free = self.promise.map(|promise| promise.until).filter(|until| *until > now);
        let times = [
            self.needed_at(now),
            quarantine,
            free,
            self.stand_at,
            self.candidacy.as_ref().map(|candidacy| candidacy.ends.min(candidacy.again)),
            self.office.as_ref().map(|office| office.renew),
            self.lease_until(),
            self.leaving.as_ref().map(|leaving| leaving.again),
            self.heard.map(|(_, until)| until),
            lapse,
            self.lists.next(),
        ];
        let Some(next) = times.into_iter().flatten().min().map(|at| at.max(now + 1)) else { return };
        if self.wake.is_none_or(|wake| wake <= now || next < wake) {
            self.wake = Some(next);
            out.push(Output::WakeAt(next));
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
