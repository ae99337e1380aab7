//! What a coordinator does: its lease, its words, and how it stands down.

use std::collections::{BTreeMap, BTreeSet};

use super::election::{Candidacy, Promise};
use super::term::{Message, Term};
use super::words::Spoken;
use super::{Coordinator, Output};
use crate::api::{MemberId, Millis, Reach, ServerKey, Standing};

/// A withdrawal without evidence any more is given back after so many leases: where nobody sends there nobody sees
/// anything new, and each giving back costs requests that find out.
const HOLD: u64 = 5;

/// In regions of at most so many members renewals go out four times a lease, in larger ones twice: there a majority
/// of those that were asked once is nearly certain, and each costs a datagram.
const SMALL: usize = 64;

/// The coordinator's own state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Office {
    pub term: Term,
    /// Until when each member's promise can be counted on, by this member's clock.
    held: BTreeMap<MemberId, Millis>,
    /// Up to which number each has heard, and when it was last sent what follows which.
    through: BTreeMap<MemberId, u32>,
    sent: BTreeMap<MemberId, (u32, Millis)>,
    spoken: Spoken,
    pub renew: Millis,
}

/// A coordinator that has stood down and says so until all have heard, for the length of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leaving {
    term: Term,
    waiting: BTreeSet<MemberId>,
    pub again: Millis,
    until: Millis,
}

impl Coordinator {
    /// Until when a majority's promises can be counted on, by this member's clock; nothing where it is not in
    /// office.
    pub fn lease_until(&self) -> Option<Millis> {
        let office = self.office.as_ref()?;
        let mut held: Vec<Millis> = office.held.values().copied().collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.get(self.setup.majority.checked_sub(1)?).copied()
    }

    /// Whether this member is the coordinator at this time by its clock, however long ago it was last called.
    pub fn acting(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Before anything else: a process that slept past its lease is no coordinator any more.
    pub(super) fn check_lease(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.office.is_some()
            && !self.acting(now)
            && let Some(office) = self.office.take()
        {
            self.heard = None;
            out.push(Output::Log(format!(
                "coordinator no more: no majority of the region renewed the lease of term {}",
                office.term.number
            )));
        }
    }

    /// How often a lease is renewed.
    fn interval(&self) -> Millis {
        let times = if self.setup.region.len() <= SMALL { 4 } else { 2 };
        (self.setup.lease / times).max(1)
    }

    pub(super) fn take_office(&mut self, now: Millis, candidacy: Candidacy, out: &mut Vec<Output>) {
        let term = candidacy.term;
        out.push(Output::Log(format!(
            "coordinator of the region in term {}: discovery is out of reach for most of it",
            term.number
        )));
        self.leaving = None;
        self.heard = None;
        self.obeyed.begin(now, term);
        self.office = Some(Office {
            term,
            held: candidacy.granted,
            through: BTreeMap::new(),
            sent: BTreeMap::new(),
            spoken: Spoken::default(),
            renew: now,
        });
        // What former coordinators withdrew, as far as this member knows, it withdraws itself before it may give it
        // back.
        let former: Vec<(ServerKey, Standing)> = self.obeyed.all().collect();
        for (server, standing) in former {
            self.say(now, server, standing);
        }
    }

    /// Takes a higher number while the lease goes on: some member knows a higher term than this one, of a candidate
    /// that was not elected, and would refuse its words. Promises are to a run, so that no vote is needed.
    pub(super) fn renumber(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(number) = self.known.number.max(self.floor).checked_add(1) else { return };
        let Some(office) = &mut self.office else { return };
        office.term.number = number;
        office.through.clear();
        office.sent.clear();
        office.renew = now;
        self.known = office.term;
        if let Some(promise) = &mut self.promise {
            promise.term = office.term;
        }
        let (words, upto) = office.spoken.after(0, usize::MAX);
        self.obeyed.begin(now, office.term);
        self.obeyed.hear(0, upto, &words);
        self.keep_office(now, out);
    }

    /// Renews, judges and speaks, as it is time; stands down when discovery is back.
    pub(super) fn keep_office(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.office.is_none() {
            return;
        }
        if self.back(now) {
            self.stand_down(now, out);
            return;
        }
        let interval = self.interval();
        let Some(office) = &mut self.office else { return };
        if now < office.renew {
            return;
        }
        let (term, lasts) = (office.term, self.setup.lease);
        office.renew = now + interval;
        office.held.insert(self.setup.me, now + self.setup.usable(lasts));
        self.promise = Some(Promise { term, until: now + lasts });
        self.obeyed.at = now;
        self.judge_all(now);
        let Some(office) = &self.office else { return };
        for to in self.setup.others() {
            let message = Message::Renew {
                term,
                to: self.lives.get(&to).copied().unwrap_or(0),
                at: now,
                lasts: u32::try_from(lasts).unwrap_or(u32::MAX),
                words: office.spoken.last(),
                list: self.lists.rank(),
            };
            out.push(Output::Send { to, message });
        }
    }

    /// A member's answer to a renewal or to words.
    pub(super) fn held(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        at: Option<Millis>,
        through: u32,
        carried: &[(ServerKey, Standing)],
    ) {
        let Some(office) = &mut self.office else { return };
        if office.term != term {
            return;
        }
        if let Some(at) = at.filter(|at| *at <= now) {
            let good = at + self.setup.usable(self.setup.lease);
            let until = office.held.entry(from).or_insert(good);
            *until = good.max(*until);
        }
        office.through.insert(from, through);
        for (server, standing) in carried {
            // Said already: it will hear.
            if office.spoken.of(*server).is_none() {
                self.evidence.carries(now, from, *server, *standing);
            }
        }
    }

    /// Sends who lags what comes next, once in half an interval until it is acknowledged.
    pub(super) fn speak(&mut self, now: Millis, out: &mut Vec<Output>) {
        let pause = self.interval() / 2;
        let Some(office) = &mut self.office else { return };
        if office.spoken.last() == 0 {
            return;
        }
        for to in self.setup.others() {
            // Who has never answered is not known to live in this run, and no word is for another.
            let Some(incarnation) = self.lives.get(&to) else { continue };
            let after = office.through.get(&to).copied().unwrap_or(0);
            let lately = office.sent.get(&to).is_some_and(|(sent, at)| {
                *sent == after && now.saturating_sub(*at) < pause && office.spoken.last() != 0
            });
            if after >= office.spoken.last() || lately {
                continue;
            }
            office.sent.insert(to, (after, now));
            let (words, upto) = office.spoken.batch(after);
            let message = Message::Words { term: office.term, to: *incarnation, after, upto, words };
            out.push(Output::Send { to, message });
        }
    }

    /// A member's process was started anew: it has heard nothing.
    pub(super) fn reborn(&mut self, member: MemberId) {
        if let Some(office) = &mut self.office {
            office.through.remove(&member);
            office.sent.remove(&member);
        }
    }

    fn say(&mut self, now: Millis, server: ServerKey, standing: Standing) {
        let Some(office) = &mut self.office else { return };
        let after = office.spoken.last();
        office.spoken.say(now, server, standing);
        let (words, upto) = office.spoken.batch(after);
        self.obeyed.hear(after, upto, &words);
        self.evidence.settled(server);
    }

    fn judge_all(&mut self, now: Millis) {
        let mut servers = self.evidence.servers();
        if let Some(office) = &self.office {
            servers.extend(office.spoken.withdrawn());
        }
        for server in servers {
            self.judge(now, server);
        }
    }

    /// Withdraws a server by the evidence of two members, or gives back what this coordinator withdrew.
    pub(super) fn judge(&mut self, now: Millis, server: ServerKey) {
        let Some(office) = &self.office else { return };
        let said = office.spoken.of(server);
        let listed = self.lists.standing(server) == Some(Standing::Serving);
        let withdrawn = said.map(|said| said.standing).filter(|standing| *standing != Standing::Serving);
        if let Some((standing, said)) = withdrawn.zip(said) {
            let seen = self.evidence.withdrawn(server, false);
            let held = now.saturating_sub(said.since) >= HOLD * self.setup.lease;
            if self.evidence.serves(server) || (held && seen.is_none()) {
                self.say(now, server, Standing::Serving);
            } else if seen == Some(Standing::Gone) && standing != Standing::Gone {
                self.say(now, server, Standing::Gone);
            }
            return;
        }
        // At least half of the servers that the list has serving stay, whatever is seen.
        let room = (office.spoken.withdrawn().count() + 1) * 2 <= self.lists.serving();
        match self.evidence.withdrawn(server, true) {
            // Where two say this and two say that it serves, the list counts.
            Some(standing) if listed && room && !self.evidence.serves(server) => {
                self.say(now, server, standing)
            }
            _ => {
                let alone = self.evidence.carried_since(server);
                if alone.is_some_and(|since| now.saturating_sub(since) >= self.setup.lease) {
                    // One member alone remembers a withdrawal: it is this term's now, and given back.
                    self.say(now, server, Standing::Serving);
                }
            }
        }
    }

    /// The list has a newer entry of a server: it wins over what this coordinator said.
    pub(super) fn relisted(&mut self, now: Millis, server: ServerKey) {
        self.evidence.forget(server);
        let said = self.office.as_ref().and_then(|office| office.spoken.of(server));
        if said.is_some_and(|said| said.standing != Standing::Serving) {
            self.say(now, server, Standing::Serving);
        }
    }

    fn stand_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(office) = self.office.take() else { return };
        let why = match self.own_reach() {
            Some(Reach::Up) => "discovery is back",
            _ => "most of the region has discovery again",
        };
        out.push(Output::Log(format!("coordinator no more: term {} ends, {why}", office.term.number)));
        self.promise = None;
        self.obeyed.end();
        self.restart_outage(now);
        self.leaving = Some(Leaving {
            term: office.term,
            waiting: self.setup.others().collect(),
            again: now,
            until: now + self.setup.lease,
        });
    }

    /// Repeats that the term is over.
    pub(super) fn keep_leaving(&mut self, now: Millis, out: &mut Vec<Output>) {
        let interval = self.interval() / 2 + 1;
        let Some(leaving) = &mut self.leaving else { return };
        if leaving.waiting.is_empty() || now >= leaving.until {
            self.leaving = None;
            return;
        }
        if now >= leaving.again {
            leaving.again = now + interval;
            for to in &leaving.waiting {
                let message = Message::Stood { term: leaving.term, back: true };
                out.push(Output::Send { to: *to, message });
            }
        }
    }

    /// A member has heard that.
    pub(super) fn stood_heard(&mut self, from: MemberId, term: Term) {
        if let Some(leaving) = &mut self.leaving
            && leaving.term == term
        {
            leaving.waiting.remove(&from);
        }
    }
}
