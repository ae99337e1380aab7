//! Tests of elections, directives and lists with several real members that exchange messages in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use super::*;
use crate::api::{Budgets, ChangeReason, Member, RegionId, ServerEntry, Timing};

/// The members of one region. Each message takes 5 ms.
pub(crate) struct Fleet {
    pub now: Millis,
    pub nodes: Vec<Coordinator>,
    /// Suspended members: they receive no messages, their own messages are lost, and their timers wait.
    pub stopped: BTreeSet<u16>,
    /// The actions of each member, other than messages and timers.
    pub outputs: Vec<Vec<Output>>,
    /// The inverse of the probability that a message is lost. Zero means that none is.
    pub lose_one_in: u64,
    pub sent: u64,
    wakes: BTreeMap<u16, Millis>,
    net: Vec<(Millis, u16, u16, u64, Message)>,
}

fn config(me: u16, members: u16) -> Arc<Config> {
    let member = |id: u16| Member {
        name: format!("m{id}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + id)),
        region: RegionId(0),
        zone: "z".to_owned(),
    };
    Arc::new(Config {
        me: MemberId(me),
        members: (0..members).map(member).collect(),
        regions: vec!["r".to_owned()],
        classes: Vec::new(),
        class_floor: 0.0,
        budgets: Budgets { retries: 0.1, hedges: 0.1 },
        timing: Timing::default(),
    })
}

/// The list entry of the server with this number.
pub(crate) fn entry(number: u16, standing: ServerState) -> ServerEntry {
    ServerEntry {
        host: format!("server-{number}"),
        dial: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
        zone: "z".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: standing,
        weight: 1.0,
        started_ms: 0.0,
    }
}

pub(crate) fn list(servers: u16) -> Vec<ServerEntry> {
    (0..servers).map(|number| entry(number, ServerState::Serving)).collect()
}

pub(crate) fn key(number: u16) -> ServerKey {
    ServerKey::of(&format!("server-{number}"))
}

impl Fleet {
    /// Creates members whose quarantine has ended.
    pub fn new(members: u16) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000_000,
            nodes: (0..members).map(|id| Coordinator::new(config(id, members), 1_000_000, 1, 7)).collect(),
            stopped: BTreeSet::new(),
            outputs: vec![Vec::new(); usize::from(members)],
            lose_one_in: 0,
            sent: 0,
            wakes: (0..members).map(|id| (id, 0)).collect(),
            net: Vec::new(),
        };
        for (id, node) in (0..).zip(&mut fleet.nodes) {
            // Each member has its own seed, as separate processes do.
            *node = Coordinator::new(config(id, members), 1_000_000, 1, 7 + u64::from(id));
        }
        fleet.run(3_000);
        fleet
    }

    pub fn input(&mut self, id: u16, input: Input) {
        let node = &mut self.nodes[usize::from(id)];
        let mut actions = Vec::new();
        node.handle(self.now, input, &mut actions);
        for output in actions {
            match output {
                Output::Send { to, message } => {
                    let size = postcard::to_allocvec(&message).expect("it encodes").len();
                    assert!(size <= 200, "{size} bytes: {message:?}");
                    self.sent += 1;
                    if self.lose_one_in == 0 || !splitmix64(3, self.sent).is_multiple_of(self.lose_one_in) {
                        let incarnation = node.params.incarnation;
                        self.net.push((self.now + 5, id, to.0, incarnation, message));
                    }
                }
                Output::WakeAt(at) => {
                    let wake = self.wakes.entry(id).or_insert(at);
                    *wake = at.min(*wake);
                }
                other => self.outputs[usize::from(id)].push(other),
            }
        }
    }

    pub fn input_all(&mut self, input: &Input) {
        for id in 0..self.outputs.len() as u16 {
            self.input(id, input.clone());
        }
    }

    /// Tells all members whether one of them reaches discovery.
    pub fn set_reach(&mut self, member: u16, reach: Reachability) {
        self.input_all(&Input::DiscoveryReach { member: MemberId(member), reach });
    }

    pub fn lose_discovery(&mut self) {
        for member in 0..self.outputs.len() as u16 {
            self.set_reach(member, Reachability::Down);
        }
    }

    /// Tells all members what one of them observed of a server.
    pub fn report_evidence(&mut self, reporter: u16, server: u16, standing: Option<ServerState>) {
        self.input_all(&Input::Evidence { reporter: MemberId(reporter), server: key(server), standing });
    }

    pub fn restart(&mut self, id: u16) {
        let members = self.outputs.len() as u16;
        let incarnation = self.nodes[usize::from(id)].params.incarnation + 1;
        self.nodes[usize::from(id)] = Coordinator::new(config(id, members), self.now, incarnation, 7);
        self.wakes.insert(id, self.now);
    }

    pub fn run(&mut self, millis: Millis) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = self.net.drain(..).partition(|(at, ..)| *at <= now);
            self.net = later;
            for (_, from, to, incarnation, message) in due {
                if !self.stopped.contains(&to) && !self.stopped.contains(&from) {
                    self.input(to, Input::Message { from: MemberId(from), incarnation, message });
                }
            }
            let woken: Vec<u16> =
                self.wakes.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
            for id in woken.into_iter().filter(|id| !self.stopped.contains(id)).collect::<Vec<_>>() {
                self.wakes.remove(&id);
                self.input(id, Input::Woke);
            }
            let acting = self.nodes.iter().filter(|node| node.is_acting(now)).count();
            assert!(acting <= 1, "{acting} coordinators");
        }
    }

    pub fn coordinator(&self) -> Option<u16> {
        (0..).zip(&self.nodes).find(|(_, node)| node.is_acting(self.now)).map(|(id, _)| id)
    }

    /// The last state of a server that was reported to a member's process, and the reason.
    pub fn notified(&self, id: u16, server: u16) -> Option<(ServerState, ChangeReason)> {
        self.outputs[usize::from(id)].iter().rev().find_map(|output| match output {
            Output::ServerChanged { entry, why } if ServerKey::of(&entry.host) == key(server) => {
                Some((entry.state, *why))
            }
            _ => None,
        })
    }

    fn polling(&self, id: u16) -> Option<PollingRate> {
        self.outputs[usize::from(id)].iter().rev().find_map(|output| match output {
            Output::SetPolling(asking) => Some(*asking),
            _ => None,
        })
    }
}

/// A region without discovery that has a list of servers and an elected coordinator.
fn region_with_coordinator(members: u16, servers: u16) -> (Fleet, u16) {
    let mut fleet = Fleet::new(members);
    fleet.input_all(&Input::ListUpdate { version: 1, complete: true, entries: list(servers) });
    fleet.lose_discovery();
    fleet.run(2_500);
    let first = fleet.coordinator().expect("a coordinator is elected");
    (fleet, first)
}

#[test]
fn a_majority_without_discovery_elects_a_coordinator_and_a_minority_does_not() {
    for (members, down, elected) in
        [(1, 1, true), (2, 1, false), (2, 2, true), (5, 2, false), (5, 3, true), (6, 3, false)]
    {
        let mut fleet = Fleet::new(members);
        for member in 0..members {
            fleet.set_reach(member, if member < down { Reachability::Down } else { Reachability::Up });
        }
        fleet.run(1_499);
        assert_eq!(fleet.coordinator(), None, "the outage is too short");
        fleet.run(1_000);
        assert_eq!(fleet.coordinator().is_some(), elected, "{down} of {members}");
        if let Some(id) = fleet.coordinator() {
            assert!(id < down, "the coordinator does not reach discovery itself");
            let all: Vec<Option<PollingRate>> = (0..members).map(|id| fleet.polling(id)).collect();
            let expected = |member| match member {
                member if member == id => Some(PollingRate::Frequent),
                member if member < down => Some(PollingRate::Infrequent),
                _ => None,
            };
            assert_eq!(all, (0..members).map(expected).collect::<Vec<_>>());
        }
    }
}

#[test]
fn a_region_without_a_majority_of_its_members_has_no_coordinator() {
    let mut fleet = Fleet::new(5);
    fleet.lose_discovery();
    fleet.stopped = BTreeSet::from([2, 3, 4]);
    fleet.run(10_000);
    assert_eq!(fleet.coordinator(), None);
    fleet.stopped.remove(&4);
    fleet.run(2_000);
    assert!(fleet.coordinator().is_some(), "three of five");
}

#[test]
fn a_coordinator_suspended_past_its_lease_resumes_as_follower_of_its_successor() {
    let (mut fleet, first) = region_with_coordinator(5, 4);
    fleet.stopped.insert(first);
    fleet.run(4_000);
    let second = fleet.coordinator().expect("a successor");
    assert_ne!(second, first);
    fleet.stopped.clear();
    let sent = fleet.sent;
    fleet.input(first, Input::Woke);
    let node = &fleet.nodes[usize::from(first)];
    assert_ne!(node.role(), Role::Coordinator);
    assert!(fleet.sent <= sent + 1, "no renewal, at most a request about the list");
    fleet.run(1_000);
    assert_eq!(fleet.coordinator(), Some(second));
    assert_eq!(fleet.nodes[usize::from(first)].role(), Role::Follower);
    assert_eq!(fleet.nodes[usize::from(first)].term(), fleet.nodes[usize::from(second)].term());
}

#[test]
fn stale_directives_are_rejected_and_counted_and_the_coordinator_raises_its_term_number() {
    let (mut fleet, first) = region_with_coordinator(3, 4);
    let member = (first + 1) % 3;
    let term = fleet.nodes[usize::from(first)].term();
    // The member learns a higher term, of a candidate that was never elected.
    let late = Term { number: term.number + 3, candidate: MemberId((first + 2) % 3), incarnation: 1 };
    let message = Message::Renew {
        term: late,
        to_incarnation: 1,
        sent_at: 0,
        duration: 0,
        last_directive: 0,
        list: Default::default(),
    };
    fleet.input(member, Input::Message { from: late.candidate, incarnation: 1, message });
    let directive = Directive { number: 1, server: key(0), standing: ServerState::Gone };
    let old =
        Message::Directives { term, to_incarnation: 1, after: 0, up_to: 1, directives: vec![directive] };
    fleet.input(member, Input::Message { from: MemberId(first), incarnation: 1, message: old });
    let node = &fleet.nodes[usize::from(member)];
    assert_eq!((node.stale_rejected(), node.withdrawn()), (1, Vec::new()));
    fleet.run(1_000);
    assert_eq!(fleet.coordinator(), Some(first));
    let now = fleet.nodes[usize::from(first)].term();
    assert!(now > late && now.same_run(&term));
    assert!(fleet.nodes.iter().all(|node| node.applied_through().0 == now));
}

#[test]
fn a_directive_to_an_earlier_run_or_from_the_wrong_sender_is_not_applied() {
    let mut fleet = Fleet::new(3);
    fleet.input_all(&Input::ListUpdate { version: 1, complete: true, entries: list(4) });
    let term = Term { number: 9, candidate: MemberId(0), incarnation: 1 };
    let directive = Directive { number: 1, server: key(0), standing: ServerState::Gone };
    // The addressed incarnation, the sender, and the sender's incarnation.
    for (to_incarnation, from, incarnation) in [(0, 0, 1), (2, 0, 1), (1, 2, 1), (1, 0, 2)] {
        let message =
            Message::Directives { term, to_incarnation, after: 0, up_to: 1, directives: vec![directive] };
        fleet.input(1, Input::Message { from: MemberId(from), incarnation, message });
        assert!(fleet.nodes[1].withdrawn().is_empty(), "{to_incarnation} {from} {incarnation}");
    }
}

#[test]
fn evidence_of_two_members_withdraws_a_server_for_all_and_the_coordinator_restores_it() {
    let (mut fleet, first) = region_with_coordinator(5, 4);
    fleet.lose_one_in = 3;
    fleet.report_evidence(0, 1, Some(ServerState::Gone));
    fleet.run(3_000);
    assert_eq!(fleet.notified(2, 1), None, "evidence of one member only");
    fleet.report_evidence(1, 1, Some(ServerState::Draining));
    // A member that restarts, and members that missed messages meanwhile, catch up.
    let other = (first + 1) % 5;
    fleet.run(3_000);
    fleet.restart(other);
    fleet.input(other, Input::ListUpdate { version: 1, complete: true, entries: list(4) });
    fleet.input(other, Input::DiscoveryReach { member: MemberId(other), reach: Reachability::Down });
    fleet.run(3_000);
    for id in 0..5 {
        assert_eq!(fleet.notified(id, 1), Some((ServerState::Draining, ChangeReason::Withdrawn)), "{id}");
    }
    // Half of the four servers stay in service, whatever the evidence.
    for server in 0..4 {
        fleet.report_evidence(3, server, Some(ServerState::Gone));
        fleet.report_evidence(4, server, Some(ServerState::Gone));
    }
    fleet.run(2_000);
    assert_eq!(fleet.nodes[usize::from(first)].withdrawn().len(), 2);
    for server in 0..4 {
        fleet.report_evidence(3, server, Some(ServerState::Serving));
        fleet.report_evidence(4, server, Some(ServerState::Serving));
    }
    fleet.run(3_000);
    for id in 0..5 {
        assert_eq!(fleet.notified(id, 1), Some((ServerState::Serving, ChangeReason::Restored)), "{id}");
    }
}

#[test]
fn a_successor_repeats_inherited_withdrawals_and_restores_servers_without_evidence() {
    let (mut fleet, first) = region_with_coordinator(5, 4);
    fleet.report_evidence(0, 1, Some(ServerState::Gone));
    fleet.report_evidence(1, 1, Some(ServerState::Gone));
    fleet.run(1_000);
    fleet.stopped.insert(first);
    for reporter in [0, 1] {
        fleet.report_evidence(reporter, 1, None);
    }
    fleet.run(5_000);
    let second = fleet.coordinator().expect("a successor");
    let watched = (0..5).find(|id| *id != first && *id != second).expect("another");
    assert_eq!(fleet.notified(watched, 1), Some((ServerState::Gone, ChangeReason::Withdrawn)));
    let (term, through) = fleet.nodes[usize::from(watched)].applied_through();
    assert_eq!((term.candidate, through), (MemberId(second), 1), "repeated under its own term");
    fleet.run(15_000);
    assert_eq!(fleet.notified(watched, 1), Some((ServerState::Serving, ChangeReason::Restored)));
}

#[test]
fn discovery_prevails_at_once_and_ends_all_withdrawals() {
    let (mut fleet, first) = region_with_coordinator(5, 4);
    fleet.report_evidence(0, 1, Some(ServerState::Gone));
    fleet.report_evidence(1, 1, Some(ServerState::Gone));
    fleet.run(1_000);
    // A list from discovery prevails at the member that received it, even while no other member reaches
    // discovery.
    let other = (first + 1) % 5;
    fleet.input(other, Input::ListUpdate { version: 1, complete: true, entries: list(4) });
    assert_eq!(fleet.notified(other, 1), Some((ServerState::Serving, ChangeReason::Restored)));
    let entries = vec![entry(1, ServerState::Draining)];
    fleet.input(first, Input::ListUpdate { version: 2, complete: false, entries });
    assert_eq!(fleet.coordinator(), None);
    fleet.lose_one_in = 3;
    fleet.run(2_900);
    // The draining state that one member learnt from discovery reaches all members, and no member reverts it.
    for id in (0..5).filter(|id| ![first, other].contains(id)) {
        assert_eq!(fleet.notified(id, 1), Some((ServerState::Draining, ChangeReason::NewerList)), "{id}");
    }
}

#[test]
fn after_only_the_coordinator_reaches_discovery_the_next_election_waits_for_a_full_outage() {
    let (mut fleet, first) = region_with_coordinator(5, 4);
    fleet.set_reach(first, Reachability::Up);
    fleet.run(1_400);
    assert_eq!(fleet.coordinator(), None);
    fleet.run(1_000);
    let second = fleet.coordinator().expect("four of five have no discovery");
    assert_ne!(second, first);
    fleet.run(5_000);
    assert_eq!(fleet.coordinator(), Some(second), "the second coordinator stays");
}

#[test]
fn when_all_members_restart_the_next_election_follows_the_quarantine() {
    let (mut fleet, _) = region_with_coordinator(3, 4);
    for id in 0..3 {
        fleet.restart(id);
    }
    fleet.lose_discovery();
    fleet.run(2_000);
    assert_eq!(fleet.coordinator(), None, "the quarantine has not ended");
    fleet.run(1_000);
    let first = fleet.coordinator().expect("a coordinator after the quarantine");
    assert_eq!(fleet.nodes[usize::from(first)].term().incarnation, 2);
}

#[test]
fn elections_succeed_under_message_loss_and_in_large_regions() {
    for (members, lost, within) in [(5, 3, 1_500), (60, 0, 1_000), (60, 3, 1_500)] {
        let mut fleet = Fleet::new(members);
        fleet.lose_one_in = lost;
        fleet.lose_discovery();
        fleet.run(1_500 + within);
        assert!(fleet.coordinator().is_some(), "{members} members, one in {lost} lost");
        let first = fleet.coordinator();
        fleet.run(5_000);
        assert_eq!(fleet.coordinator(), first, "it keeps its lease");
    }
}

#[test]
fn withdrawals_expire_after_a_long_time_without_a_coordinator() {
    let (mut fleet, first) = region_with_coordinator(3, 4);
    fleet.report_evidence(0, 1, Some(ServerState::Gone));
    fleet.report_evidence(1, 1, Some(ServerState::Gone));
    fleet.run(1_000);
    let isolated = (first + 1) % 3;
    fleet.stopped = (0..3).filter(|id| *id != isolated).collect();
    fleet.run(58_000);
    assert_eq!(fleet.notified(isolated, 1), Some((ServerState::Gone, ChangeReason::Withdrawn)));
    fleet.run(4_000);
    assert_eq!(fleet.notified(isolated, 1), Some((ServerState::Serving, ChangeReason::Restored)));
}
