//! Clients: they ask at random times whatever becomes of them, wait for so long, and some ask again.

use sagemast::api::*;

use crate::checks::Rule;
use crate::member::{Open, Told};
use crate::sabotage::Sabotage;
use crate::time::{Micros, micros, millis};
use crate::world::{Event, World};

/// The module is told this much less than the client waits, in milliseconds: its last word must come in time.
const IN_HAND: f64 = 8.0;
/// What the module has not ended by then, the engine does.
const BACKSTOP: f64 = 4.0;
/// Those who do not heed what they are told come back within this, in milliseconds.
const IMPATIENT: [f64; 2] = [20.0, 120.0];

/// What a client wants, over all its tries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask {
    /// The sidecar that it asks at.
    pub member: usize,
    /// Its class.
    pub class: usize,
    /// Milliseconds of work.
    pub work: f64,
    /// When it first asked.
    pub first: Micros,
    /// Tries so far.
    pub tries: u32,
    /// Whether its sidecar ran when it came: what came to a stopped one nobody could have served.
    pub counts: bool,
}

/// One try.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub ask: usize,
    pub came: Micros,
}

/// A final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Answer {
    Served,
    /// Come back after so many milliseconds.
    Refused(f64, Reason),
    Failed,
}

impl World {
    /// The mean time between first tries at a sidecar, in milliseconds.
    pub(crate) fn mean_gap(&self, member: usize) -> f64 {
        1e3 / (self.load * self.spec.capacity() * self.shares[member]).max(1e-6)
    }

    /// The next client asks at a sidecar.
    pub(crate) fn asks(&mut self, member: usize) {
        let gap = self.clients_dice.gap(self.mean_gap(member));
        self.queue.push(self.now + micros(gap), Event::Asks(member));
        let class = self.clients_dice.by_share(self.spec.classes.iter().map(|class| class.share));
        let spec = &self.spec.classes[class];
        let work = self.clients_dice.around(spec.work, spec.spread);
        if matches!(self.members[member].life, crate::member::Life::Gone) {
            return;
        }
        let counts = self.members[member].runs();
        let ask = Ask { member, class, work, first: self.now, tries: 0, counts };
        if counts {
            let part = self.tally.at(self.now);
            part.first_tries += 1;
            part.offered[class].0 += work;
            part.offered[class].1 += 1;
            self.tally.member(self.now, member, class).0 += 1;
        }
        self.asks.push(ask);
        self.tries(self.asks.len() - 1);
    }

    /// A client's try, its first or another.
    pub(crate) fn tries(&mut self, ask: usize) {
        let this = &mut self.asks[ask];
        this.tries += 1;
        let (member, class) = (this.member, this.class);
        if matches!(self.members[member].life, crate::member::Life::Gone) {
            return self.checks.repeats.over(ask);
        }
        self.next_request += 1;
        let request = self.next_request;
        let deadline = self.now + micros(self.spec.classes[class].deadline);
        self.requests.insert(request, Request { ask, came: self.now });
        self.checks.answers.opened(request, deadline);
        self.queue.push(deadline, Event::Leaves(request));
        let incarnation = self.members[member].incarnation;
        self.tell(member, incarnation, Told::Arrived(request));
    }

    /// A sidecar's process reads a request.
    pub(crate) fn arrived(&mut self, member: usize, request: u64) {
        let Some(Request { ask, came }) = self.requests.get(&request).copied() else { return };
        let Ask { class, tries, .. } = self.asks[ask];
        let whole = self.spec.classes[class].deadline;
        let deadline = came + micros(whole - IN_HAND);
        let open = Open { ask, class, deadline, sends: 0 };
        self.members[member].open.insert(request, open);
        self.tell_at((came + micros(whole - BACKSTOP)).max(self.now), member, Told::Backstop(request));
        if tries == 1 {
            self.checks.budgets.tried(self.now, &mut self.checks.found);
        }
        self.module(
            member,
            sagemast::api::Event::Arrived {
                request: RequestId(request),
                class: ClassId(class),
                tenant: TenantId(0),
                time_left: millis(deadline.saturating_sub(self.now)),
                is_retry: tries > 1,
            },
        );
    }

    /// A sidecar answers a request.
    pub(crate) fn answer(&mut self, member: usize, request: u64, answer: Answer) {
        if member == 0 && self.sabotage == Some(Sabotage::NeverAnswers) {
            return;
        }
        let held = self.members[member].open.remove(&request).is_some();
        let waits = self.requests.remove(&request);
        // A process that wakes answers clients that have left: that goes nowhere.
        if waits.is_some() || !held {
            self.checks.answers.ended(self.now, request, &mut self.checks.found);
        }
        let Some(Request { ask, came }) = waits else { return };
        let this = self.asks[ask];
        let spec = &self.spec.classes[this.class].class;
        if let Answer::Refused(_, reason) = answer {
            self.tally.at(self.now).refused[reason as usize] += 1;
        }
        match answer {
            Answer::Served if this.counts => {
                let good = self.now <= came + micros(spec.latency_objective);
                let earned = spec.priority_weight * if good { 1.0 } else { spec.late_weight };
                let part = self.tally.at(this.first);
                part.served += 1;
                part.good += u32::from(good);
                part.earned += earned;
                part.served_by[this.class] += 1;
                self.tally.member(this.first, this.member, this.class).1 += 1;
            }
            Answer::Refused(retry_after, _) if this.tries < self.spec.clients.tries => {
                let after = if self.again_dice.chance(self.spec.clients.heed) {
                    retry_after
                } else {
                    IMPATIENT[0] + (IMPATIENT[1] - IMPATIENT[0]) * self.again_dice.even()
                };
                return self.queue.push(self.now + micros(after), Event::AsksAgain(ask));
            }
            Answer::Served | Answer::Refused(..) | Answer::Failed => {}
        }
        self.checks.repeats.over(ask);
    }

    /// A client leaves if it still waits.
    pub(crate) fn leaves(&mut self, request: u64) {
        let Some(Request { ask, came }) = self.requests.get(&request).copied() else { return };
        self.lost(request);
        let member = self.asks[ask].member;
        // A process that ran all the time had its last word before that.
        if self.members[member].runs() && self.members[member].woke <= came {
            let text = || format!("sidecar {member} let the client of request {request} wait in vain");
            self.checks.found.broken(self.now, Rule::OneAnswer, text);
        }
        let incarnation = self.members[member].incarnation;
        self.tell(member, incarnation, Told::Left(request));
    }

    /// A request ends without an answer.
    pub(crate) fn lost(&mut self, request: u64) {
        let Some(Request { ask, .. }) = self.requests.remove(&request) else { return };
        self.checks.answers.ended(self.now, request, &mut self.checks.found);
        self.checks.repeats.over(ask);
    }
}
