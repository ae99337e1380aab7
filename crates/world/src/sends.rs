//! Sends and probes on their way, and what became of them.

use sagemast::api::*;

use crate::checks::{Place, Rule};
use crate::faults::Fault;
use crate::member::Told;
use crate::server::{SendKey, Taken};
use crate::time::{Micros, micros};
use crate::world::{Event, Sent, World};

/// A connection that has not come up by then has failed, in milliseconds.
const CONNECT: f64 = 250.0;
/// A probe that has not come back by then says nothing.
const PROBE: f64 = 150.0;
/// A cold server that fell is back after this, cold once more, in milliseconds.
const FALLEN: f64 = 3_000.0;

/// A send that has not ended for its sidecar.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sending {
    pub member: usize,
    pub ask: usize,
    pub server: usize,
    /// Where the module thinks that it went.
    pub meant: usize,
    pub sent: Micros,
    /// Nothing of it gets through.
    pub cut: bool,
}

impl World {
    /// A sidecar sends a request.
    pub(crate) fn send(&mut self, member: usize, request: u64, server: usize, timeout: Millis) {
        let meant = server;
        let server = self.sabotaged(member, request, server);
        let Some(open) = self.members[member].open.get_mut(&request) else {
            let text = || format!("sidecar {member} sends request {request}, which has its answer");
            return self.checks.found.broken(self.now, Rule::OneAnswer, text);
        };
        let key = (request, open.sends);
        open.sends += 1;
        let (ask, class, deadline) = (open.ask, open.class, open.deadline);
        let zone = self.servers[server].zone;
        let place = Place { server, cell: self.servers[server].cell, zone };
        let listed = self.members[member].list.get(&server).map_or(zone, |entry| entry.zone);
        let cut = !self.links.reaches(member, zone);
        self.sends.insert(key, Sending { member, ask, server, meant, sent: self.now, cut });
        // The last look before a byte is written.
        let company = self.members[member].company.as_mut();
        let name = &self.zones[listed].0;
        if company.is_some_and(|company| !company.may_write(ClassId(class), TenantId(0), name)) {
            let ended = Told::Ended { key, outcome: Outcome::NotSent, report: None };
            return self.tell_at(self.now, member, ended);
        }
        self.sent.push(Sent {
            at: self.now,
            member: member as u16,
            server: server as u16,
            zone: listed as u16,
            class: class as u16,
        });
        let found = &mut self.checks.found;
        self.checks.lists.sent(self.now, member, server, found);
        self.checks.regions.sent(self.now, member, class, listed, found);
        self.checks.repeats.sent(
            self.now,
            (ask, key),
            self.spec.classes[class].class.idempotency,
            place,
            found,
        );
        if key.1 == 0 {
            self.tally.at(self.now).sends += 1;
        } else {
            self.tally.at(self.now).retries += 1;
            self.checks.budgets.retried(self.now, found);
        }
        let rate = self.members[member].clock.rate;
        let until = if timeout > 0.0 { (self.now + micros(timeout / rate)).min(deadline) } else { deadline };
        self.tell_at(until.max(self.now), member, Told::TimeUp(key));
        if cut {
            let ended = Told::Ended { key, outcome: Outcome::Unreachable, report: None };
            self.checks.repeats.never_ran(ask, key);
            self.tell_at(self.now + micros(CONNECT), member, ended);
        } else {
            let takes = self.links.takes(self.apart(member, zone));
            self.queue.push(self.now + takes, Event::Comes(key));
        }
        self.after_send(member, key);
    }

    /// A send comes to its server, if its sidecar has not given it up meanwhile.
    pub(crate) fn comes(&mut self, key: SendKey) {
        let Some(Sending { server: number, ask, .. }) = self.sends.get(&key).copied() else { return };
        let (now, safety) = (self.now, &self.spec.safety);
        let server = &mut self.servers[number];
        let cold = server.count_cold(now, safety);
        let taken = server.take(now, key, self.asks[ask].work, safety);
        match taken {
            Taken::Begun(end) => self.done_at(end, number, key),
            Taken::Waits => {}
            Taken::Full => self.turned_away(key, Outcome::Full),
            Taken::Nobody => self.turned_away(key, Outcome::Unreachable),
        }
        let Some((came, warmth)) = cold else { return };
        let bound = self.spec.cold_bound(warmth);
        if came as f64 > bound && self.servers[number].life != crate::server::Life::Down {
            let text =
                || format!("server {number} was sent {came} requests, {bound:.0} at warmth {warmth:.2}");
            self.checks.found.broken(now, Rule::Cold, text);
            self.fallen.push(number);
            self.act(Fault::CrashServer(number));
            self.at(now + micros(FALLEN), Fault::StartServer(number));
        }
    }

    /// Notes when a server will be done with a send; one that hangs never is.
    pub(crate) fn done_at(&mut self, end: Micros, server: usize, key: SendKey) {
        let turn = self.servers[server].turn;
        if end != Micros::MAX {
            self.queue.push(end, Event::Done { server, turn, key });
        }
    }

    fn turned_away(&mut self, key: SendKey, outcome: Outcome) {
        if let Some(sending) = self.sends.get(&key) {
            self.checks.repeats.never_ran(sending.ask, key);
        }
        self.answers(key, outcome, None);
    }

    /// An end of a send is on its way back.
    pub(crate) fn answers(&mut self, key: SendKey, outcome: Outcome, report: Option<LoadReport>) {
        let Some(Sending { member, server, .. }) = self.sends.get(&key).copied() else { return };
        let zone = self.servers[server].zone;
        if self.links.reaches(member, zone) {
            let takes = self.links.takes(self.apart(member, zone));
            self.tell_at(self.now + takes, member, Told::Ended { key, outcome, report });
        }
    }

    /// A server is done with a send.
    pub(crate) fn done(&mut self, number: usize, turn: u32, key: SendKey) {
        if self.servers[number].turn != turn {
            return;
        }
        if let Some((next, end)) = self.servers[number].done(self.now, key, &self.spec.safety) {
            self.done_at(end, number, next);
        }
        let server = &mut self.servers[number];
        let report = server.report(self.now);
        let outcome = if self.server_dice.chance(server.errors) { Outcome::Error } else { Outcome::Ok };
        self.answers(key, outcome, Some(report));
    }

    /// A sidecar reads how a send ended.
    pub(crate) fn ended(
        &mut self,
        member: usize,
        key: SendKey,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(sending) = self.sends.remove(&key) else { return };
        let mut closed = !self.members[member].open.contains_key(&key.0);
        if outcome == Outcome::Ok && !closed {
            closed = true;
            self.answer(member, key.0, crate::clients::Answer::Served);
        }
        let latency = (self.now - sending.sent) as f64 / 1e3 * self.members[member].clock.rate;
        self.module(
            member,
            sagemast::api::Event::Finished(Finished {
                request: RequestId(key.0),
                attempt: AttemptNo(key.1),
                upstream: UpstreamId(sending.meant as u64),
                outcome,
                latency,
                request_closed: closed,
                report,
            }),
        );
        self.after_end(member, key, outcome);
    }

    /// A sidecar gives a send up because its time is over.
    pub(crate) fn time_up(&mut self, member: usize, key: SendKey) {
        let Some(sending) = self.sends.get(&key).copied() else { return };
        self.given_up(key, &sending);
        let outcome = if sending.cut { Outcome::Unreachable } else { Outcome::TimedOut };
        self.ended(member, key, outcome, None);
    }

    /// A sidecar cancels a send.
    pub(crate) fn cancel(&mut self, member: usize, key: SendKey) {
        let Some(sending) = self.sends.get(&key).copied() else { return };
        self.given_up(key, &sending);
        self.tell_at(self.now, member, Told::Ended { key, outcome: Outcome::Cancelled, report: None });
    }

    /// A sidecar's process ended with this send under way.
    pub(crate) fn drop_send(&mut self, key: SendKey) {
        if let Some(sending) = self.sends.remove(&key) {
            self.given_up(key, &sending);
        }
    }

    /// A server learns that nobody waits for a send. One that waits there is dropped; one that runs runs on.
    fn given_up(&mut self, key: SendKey, sending: &Sending) {
        if self.servers[sending.server].given_up(key) {
            self.checks.repeats.never_ran(sending.ask, key);
        }
    }

    /// A sidecar asks a server for its load.
    pub(crate) fn probe(&mut self, member: usize, server: usize) {
        self.tally.at(self.now).probes += 1;
        let zone = self.servers[server].zone;
        let incarnation = self.members[member].incarnation;
        if self.links.reaches(member, zone) {
            let takes = self.links.takes(self.apart(member, zone));
            self.queue.push(self.now + takes, Event::Probe { member, incarnation, server });
        } else {
            self.tell_at(self.now + micros(PROBE), member, Told::Probed { server, report: None });
        }
    }

    /// A probe comes to its server, which answers beside its queue.
    pub(crate) fn asked_for_load(&mut self, member: usize, incarnation: u64, number: usize) {
        let server = &mut self.servers[number];
        let answers = server.life != crate::server::Life::Down && !server.hung;
        let report = answers.then(|| server.report(self.now));
        let zone = server.zone;
        let after = if answers { self.links.takes(self.apart(member, zone)) } else { micros(PROBE) };
        let told = Told::Probed { server: number, report };
        self.queue.push(self.now + after, Event::Tell { member, incarnation, told });
    }
}
