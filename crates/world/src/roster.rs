//! The lists that sidecars get from discovery, by the clock that real ones follow.

use listclock::{Command, ListEvent, PollSchedule, ScheduleConfig, Start};
use peers::api::{Reachability, ServerState};
use sagemast::api::*;

use crate::discovery::{Listed, Way};
use crate::member::Told;
use crate::time::{Micros, micros};
use crate::world::{Event, World};

/// A message to or from discovery takes this long at most, in milliseconds.
const WIRE: f64 = 2.0;

impl World {
    /// The clock of a sidecar's list.
    pub(crate) fn list_clock(&self, member: usize, incarnation: u64, start: Start) -> PollSchedule {
        let rules = ScheduleConfig {
            max_poll_interval: Some(self.spec.discovery.must_ask_in),
            can_fall_silent: true,
        };
        let seed = crate::dice::hash(self.spec.seed ^ crate::dice::hash((member as u64) << 32 | incarnation));
        // A world begins in the middle of a day: all find their lists soon.
        let start = if self.now == 0 { Start::NoList } else { start };
        PollSchedule::new(rules, start, seed, 0.0)
    }

    /// A process that starts reads the list that its file has.
    pub(crate) fn restore(&mut self, member: usize) {
        let list: Vec<(usize, Listed)> =
            self.members[member].list.iter().map(|(n, e)| (*n, e.clone())).collect();
        self.remembered(member, &list);
        let listings = self.take_in(member, &list);
        self.module(member, sagemast::api::Event::Listed(ListUpdate::Restored(listings)));
    }

    /// Sets the timer for what the clock of a list has due.
    pub(crate) fn set_list_timer(&mut self, member: usize) {
        let this = &mut self.members[member];
        let due = this.list_clock.due().map(|due| this.clock.truth(due));
        if let Some(at) = due.filter(|_| due != this.ringing) {
            this.ringing = due;
            self.tell_at(at.max(self.now), member, Told::ListDue);
        }
    }

    /// The clock of a list may have something due.
    pub(crate) fn list_due(&mut self, member: usize) {
        let this = &mut self.members[member];
        let order = this.list_clock.poll(this.clock.at(self.now));
        let incarnation = this.incarnation;
        match order {
            Some(Command::Call) => match self.links.way(member) {
                Way::Open => {
                    let at = self.now + self.wire();
                    self.queue.push(at, Event::Call { member, incarnation });
                }
                Way::Refused => self.tell_at(self.now + micros(WIRE), member, Told::ListEnded),
                Way::Silent => {}
            },
            Some(Command::Cancel) => {
                this.watches = false;
                self.reach(member, Reachability::Down);
            }
            None => {}
        }
        self.set_list_timer(member);
    }

    fn wire(&mut self) -> Micros {
        micros(WIRE * self.server_dice.even())
    }

    /// A call comes to discovery.
    pub(crate) fn called(&mut self, member: usize, incarnation: u64) {
        let taken = self.discovery.call(self.now);
        let late = self.spec.discovery.late;
        let (after, told) = if taken {
            (late * (0.5 + self.server_dice.even()), Told::List { opening: true })
        } else {
            (WIRE, Told::ListEnded)
        };
        self.queue.push(self.now + micros(after), Event::Tell { member, incarnation, told });
    }

    /// Discovery writes to whoever watches: what changed, or an empty line.
    pub(crate) fn write_to(&mut self, member: usize) {
        if self.members[member].watches && self.links.way(member) == Way::Open {
            let late = self.spec.discovery.late * self.server_dice.even() + WIRE;
            self.tell_at(self.now + micros(late), member, Told::List { opening: false });
        }
    }

    /// Discovery's list changes; all that watch are written to.
    pub(crate) fn relist(&mut self, server: usize, change: impl FnOnce(&mut Listed)) {
        self.discovery.change(server, change);
        self.checks.lists.named(server);
        (0..self.members.len()).for_each(|member| self.write_to(member));
    }

    /// A sidecar reads what discovery wrote.
    pub(crate) fn list_came(&mut self, member: usize, opening: bool) {
        let now = self.now;
        let this = &mut self.members[member];
        if self.links.way(member) != Way::Open || (!opening && !this.watches) {
            return;
        }
        let at = this.clock.at(now);
        if opening {
            this.list_clock.observe(at, ListEvent::Answered);
            this.watches = true;
        }
        let since = if opening { 0 } else { this.version };
        this.version = self.discovery.version;
        let list: Vec<(usize, Listed)> = self.discovery.since(since).map(|(n, e)| (n, e.clone())).collect();
        let heard = if opening || !list.is_empty() { ListEvent::List } else { ListEvent::KeepAlive };
        this.list_clock.observe(at, heard);
        self.set_list_timer(member);
        if opening {
            self.reach(member, Reachability::Up);
        }
        if heard == ListEvent::List {
            self.listed(member, opening, &list);
            let listings = self.take_in(member, &list);
            let news = if opening { ListUpdate::Complete(listings) } else { ListUpdate::Changed(listings) };
            self.module(member, sagemast::api::Event::Listed(news));
        }
    }

    /// A sidecar's call failed or its watch broke.
    pub(crate) fn list_ended(&mut self, member: usize) {
        let this = &mut self.members[member];
        this.watches = false;
        let calling = this.list_clock.is_calling();
        this.list_clock.observe(this.clock.at(self.now), ListEvent::Ended);
        self.set_list_timer(member);
        // When a watch breaks the next call shows whether discovery is there.
        if calling {
            self.reach(member, Reachability::Down);
        }
    }

    /// Entries in the terms of a sidecar's module, which holds them from now on.
    pub(crate) fn take_in(&mut self, member: usize, list: &[(usize, Listed)]) -> Vec<Listing> {
        let mut listings = Vec::new();
        for (number, entry) in list {
            let serving = entry.standing == ServerState::Serving;
            self.checks.lists.told(self.now, member, *number, serving);
            let this = &mut self.members[member];
            this.list.insert(*number, entry.clone());
            listings.push(Listing {
                upstream: UpstreamId(*number as u64),
                zone: ZoneId(entry.zone as u64),
                cell: CellId(self.servers[*number].cell),
                kind: KindId(0),
                lifecycle: if serving { Lifecycle::Serving } else { Lifecycle::Draining },
                weight: self.servers[*number].cores as f64,
                started: (entry.started > 0).then(|| this.clock.at(entry.started)),
            });
        }
        listings
    }
}
