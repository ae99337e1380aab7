//! Votes: the need for a coordinator, candidates, voters' promises.

use std::collections::BTreeMap;

use super::term::{Message, Term};
use super::{Coordinator, Output};
use crate::api::{MemberId, Millis, Reach};

/// Numbers may rise by so much at once: a broken member cannot use them up.
const LEAP: u64 = 1 << 32;

/// A call for votes that is not decided.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidacy {
    pub term: Term,
    /// Until when each voter's promise can be counted on, by this member's clock.
    pub granted: BTreeMap<MemberId, Millis>,
    /// When those who have not answered are called again.
    pub again: Millis,
    /// When it is given up.
    pub ends: Millis,
}

/// A promise to follow nobody else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Promise {
    pub term: Term,
    /// By this member's clock.
    pub until: Millis,
}

impl Coordinator {
    /// Whether this process is too new to vote: its former self may have made a promise that still counts.
    pub(super) fn quarantined(&self, now: Millis) -> bool {
        now < self.setup.quarantine
    }

    /// Whether a term is of this very run.
    pub(super) fn own(&self, term: &Term) -> bool {
        term.candidate == self.setup.me && term.incarnation == self.setup.incarnation
    }

    /// Whether another run has this member's promise.
    pub(super) fn promised(&self, now: Millis, to: &Term) -> bool {
        self.promise.is_some_and(|promise| now < promise.until && !promise.term.same_run(to))
    }

    /// Takes note of a term, where its number can be meant.
    pub(super) fn plausible(&self, term: &Term) -> bool {
        term.number != 0 && term.number <= self.known.number.max(self.floor).saturating_add(LEAP)
    }

    /// How many of the region's living members have said for so long that discovery is out of reach.
    fn downs(&self, now: Millis, age: Millis) -> usize {
        let down = |member: &&MemberId| {
            self.reaches.get(member).is_some_and(|(reach, since)| {
                *reach == Reach::Down && now.saturating_sub(*since) >= age && !self.gone.contains(*member)
            })
        };
        self.setup.region.iter().filter(down).count()
    }

    fn ups(&self) -> usize {
        let up = |member: &&MemberId| {
            self.reaches.get(member).is_some_and(|(reach, _)| *reach == Reach::Up)
                && !self.gone.contains(*member)
        };
        self.setup.region.iter().filter(up).count()
    }

    /// How this member sees discovery.
    pub(super) fn own_reach(&self) -> Option<Reach> {
        self.reaches.get(&self.setup.me).map(|(reach, _)| *reach)
    }

    /// Whether a coordinator is needed, as far as this member knows, which is one of those without discovery.
    fn needed(&self, now: Millis) -> bool {
        self.own_reach() == Some(Reach::Down) && self.downs(now, self.setup.outage) >= self.setup.majority
    }

    /// Whether a coordinator has nothing more to do: it has discovery itself, or a majority does not say any more
    /// that it is out of reach. Members that fell silent do not count as such: without them the lease ends by
    /// itself.
    pub(super) fn back(&self, now: Millis) -> bool {
        self.own_reach() == Some(Reach::Up) || (self.ups() > 0 && self.downs(now, 0) < self.setup.majority)
    }

    /// The need must be seen anew, for as long as an outage takes: a coordinator said that discovery is back.
    pub(super) fn restart_outage(&mut self, now: Millis) {
        for (reach, since) in self.reaches.values_mut() {
            if *reach == Reach::Down {
                *since = now;
            }
        }
    }

    /// When the present need will be old enough.
    pub(super) fn needed_at(&self, now: Millis) -> Option<Millis> {
        if self.own_reach() != Some(Reach::Down) {
            return None;
        }
        let mut since: Vec<Millis> = self
            .setup
            .region
            .iter()
            .filter(|member| !self.gone.contains(*member))
            .filter_map(|member| self.reaches.get(member))
            .filter(|(reach, _)| *reach == Reach::Down)
            .map(|(_, since)| *since)
            .collect();
        since.sort_unstable();
        let at = since.get(self.setup.majority.checked_sub(1)?)? + self.setup.outage;
        (at > now).then_some(at)
    }

    /// Stands, calls again, or gives up, as it is time.
    pub(super) fn elect(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.office.is_some() || self.quarantined(now) {
            self.stand_at = None;
            return;
        }
        match &self.candidacy {
            Some(candidacy) if now >= candidacy.ends || !self.needed(now) => self.abandon(out),
            Some(candidacy) if now >= candidacy.again => return self.call(now, out),
            Some(_) => return,
            None => {}
        }
        let me = Term { number: 0, candidate: self.setup.me, incarnation: self.setup.incarnation };
        let free = !self.promised(now, &me) && self.heard.is_none_or(|(_, until)| now >= until);
        match self.stand_at {
            _ if !(free && self.needed(now)) => self.stand_at = None,
            None => {
                self.attempts += 1;
                let delay = super::splitmix64(self.setup.seed, self.attempts) % self.setup.election;
                self.stand_at = Some(now + self.setup.election + delay);
            }
            Some(at) if now >= at => self.stand(now, out),
            Some(_) => {}
        }
    }

    fn stand(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.stand_at = None;
        let Some(number) = self.known.number.max(self.floor).checked_add(1) else { return };
        let term = Term { number, candidate: self.setup.me, incarnation: self.setup.incarnation };
        let lasts = self.setup.vote;
        self.known = term;
        self.promise = Some(Promise { term, until: now + lasts });
        let granted = BTreeMap::from([(self.setup.me, now + self.setup.usable(lasts))]);
        self.candidacy = Some(Candidacy { term, granted, again: now, ends: now + lasts });
        self.call(now, out);
        self.count(now, out);
    }

    /// Calls those who have not answered.
    fn call(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(candidacy) = &mut self.candidacy else { return };
        candidacy.again = now + self.setup.election;
        let lasts = u32::try_from(self.setup.vote).unwrap_or(u32::MAX);
        for to in self.setup.region.iter().filter(|member| !candidacy.granted.contains_key(member)) {
            out.push(Output::Send {
                to: *to,
                message: Message::Call { term: candidacy.term, at: now, lasts },
            });
        }
    }

    /// Gives up a candidacy and says so, so that who promised is free.
    pub(super) fn abandon(&mut self, out: &mut Vec<Output>) {
        let Some(candidacy) = self.candidacy.take() else { return };
        if self.promise.is_some_and(|promise| promise.term == candidacy.term) {
            self.promise = None;
        }
        // To all: a vote may be under way.
        for to in self.setup.others() {
            out.push(Output::Send { to, message: Message::Stood { term: candidacy.term, back: false } });
        }
    }

    /// Takes office with the promises of a majority.
    fn count(&mut self, now: Millis, out: &mut Vec<Output>) {
        let won = self.candidacy.as_ref().is_some_and(|candidacy| {
            candidacy.granted.values().filter(|until| **until > now).count() >= self.setup.majority
        });
        if won && let Some(candidacy) = self.candidacy.take() {
            self.take_office(now, candidacy, out);
        }
    }

    /// A candidate calls for this member's vote.
    pub(super) fn called(&mut self, now: Millis, term: Term, at: Millis, lasts: u32, out: &mut Vec<Output>) {
        // A longer promise than this member's own longest would outlast its quarantine.
        if self.quarantined(now) || u64::from(lasts) > self.setup.lease {
            return;
        }
        // Who knows that most have discovery does not vote.
        if self.ups() > self.setup.region.len() - self.setup.majority {
            return;
        }
        // Of two candidates the lower gives way, so that a split vote ends at once.
        if term > self.known && self.candidacy.is_some() {
            self.abandon(out);
        }
        let to = term.candidate;
        if term < self.known || self.promised(now, &term) || self.office.is_some() {
            out.push(Output::Send { to, message: Message::Refuse { term, known: self.known } });
            // The lower of two candidates may have given way, and its word of that was lost.
            if let Some(promise) = self.promise
                && promise.term < term
                && self.heard.is_none()
                && !self.own(&promise.term)
            {
                let message = Message::Refuse { term: promise.term, known: term };
                out.push(Output::Send { to: promise.term.candidate, message });
            }
            return;
        }
        self.known = term;
        let kept = self.promise.filter(|promise| promise.term.same_run(&term)).map_or(0, |old| old.until);
        self.promise = Some(Promise { term, until: kept.max(now + u64::from(lasts)) });
        out.push(Output::Send { to, message: Message::Grant { term, at } });
    }

    /// A voter has promised.
    pub(super) fn granted(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        at: Millis,
        out: &mut Vec<Output>,
    ) {
        let good = at.saturating_add(self.setup.usable(self.setup.vote));
        match &mut self.candidacy {
            Some(candidacy) if candidacy.term == term && at <= now => {
                let until = candidacy.granted.entry(from).or_insert(good);
                *until = good.max(*until);
                self.count(now, out);
            }
            _ => {}
        }
    }

    /// A member refused a term of this run: it knows a higher one.
    pub(super) fn refused_by(
        &mut self,
        now: Millis,
        by: MemberId,
        term: Term,
        known: Term,
        out: &mut Vec<Output>,
    ) {
        if !self.own(&term) || !self.plausible(&known) {
            return;
        }
        // Not while in office: its term may have been this one before it took a higher number, and its promises
        // count.
        if self.office.is_none() && self.candidacy.as_ref().is_none_or(|candidacy| candidacy.term != term) {
            out.push(Output::Send { to: by, message: Message::Stood { term, back: false } });
        }
        self.floor = self.floor.max(known.number);
        if self.candidacy.as_ref().is_some_and(|candidacy| known > candidacy.term) {
            self.abandon(out);
        }
        if self.office.as_ref().is_some_and(|office| known > office.term) {
            self.renumber(now, out);
        }
    }

    /// A term is over, as its own candidate says.
    pub(super) fn stood(&mut self, now: Millis, term: Term, back: bool) {
        if self.promise.is_some_and(|promise| promise.term == term) {
            self.promise = None;
        }
        if self.heard.is_some_and(|(heard, _)| heard == term) {
            self.heard = None;
        }
        if back && self.known == term {
            self.obeyed.end();
            self.restart_outage(now);
        }
    }
}
