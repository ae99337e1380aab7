//! Model checking of the coordinator. The model runs the real code and explores the states that it reaches
//! when messages are reordered, lost, delayed and duplicated, when clocks differ in speed as much as the
//! configured drift allows, when members are suspended at any point (they are not called while time passes),
//! and when members restart. A message may be delivered at any later time and any number of times, or never.
//!
//! Time passes in ticks that all clocks observe. A tick is longer on some clocks than on others. The number
//! of ticks and restarts is bounded, and in the larger variants also the number of ticks for which a message
//! may be in flight.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use peers::api::{
    Budgets, Config, Member, MemberId, Reachability, RegionId, ServerEntry, ServerKey, ServerState, Timing,
};
use peers::coordinator::{Coordinator, Input, Message, Output, Role, Term};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The outage threshold, longer than all ticks together. When the model starts, the outage has already lasted
/// this long.
const OUTAGE: u64 = 10_000;
/// The time on all clocks when the model starts. The quarantine of the first processes has ended by then.
const START: u64 = 2 * OUTAGE;
const LEASE: u64 = 24;

/// A deliberate error, to show that the model detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A voter forgets its promise: after it grants a vote, its previous state is restored.
    ForgottenPromise,
    /// A new process votes without waiting for the end of its quarantine.
    NoQuarantine,
    /// Clocks differ in speed by more than the configured drift.
    ExcessDrift,
    /// The clock of a suspended process stands still.
    StoppedClock,
}

#[derive(Debug, Clone)]
struct Fleet {
    members: u16,
    /// The number of members that may become candidates, counted from the first.
    candidates: u16,
    /// The length of a tick in milliseconds, by each member's clock.
    tick_lengths: Vec<u64>,
    ticks: u8,
    restarts: u8,
    /// The number of ticks for which a request may be in flight.
    message_delay: u8,
    /// The same for replies that are not delivered at once. If zero, such replies are lost.
    reply_delay: u8,
    /// Whether there is a list, with a server that two members observed draining.
    with_servers: bool,
    fault: Option<Fault>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    clock: u64,
    incarnation: u64,
    coordinator: Coordinator,
    /// The highest term that this process has known since its start.
    highest_term: Term,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    /// The last tick in which the message can be delivered.
    until: u8,
    from: u16,
    sender_incarnation: u64,
    to: u16,
    /// Encoded, so that the set has an order.
    message: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Arc<Node>>,
    net: Arc<BTreeSet<Envelope>>,
    ticks: u8,
    restarts: u8,
    /// The number of voters, beyond the candidates, that received a message or restarted.
    touched_voters: u16,
    discovery_back: bool,
    /// A directive or renewal was sent without a lease.
    sent_without_lease: bool,
    /// A directive of an older term than the highest known one was applied.
    stale_applied: bool,
    /// How many coordinators were elected, counted up to two.
    elections: u8,
    /// A coordinator stepped down while its lease was valid.
    stepped_down: bool,
    /// A coordinator found that its lease had expired.
    lease_lost: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Tick,
    /// Time passes for all other members. This one is suspended, and its clock stands still.
    TickWithout(u16),
    Wake(u16),
    /// Delivers a message. The flag says whether the reply is delivered at once, instead of late or never.
    Deliver(Envelope, bool),
    Restart(u16),
    /// A member reaches discovery again.
    DiscoveryBack(u16),
}

/// Whether a message is a request. Requests may be delivered late and more than once. Replies are delivered
/// at most once, because a duplicate reply changes nothing.
fn is_request(message: &Message) -> bool {
    use Message::{Directives, Renew, RequestVote, TermEnded};
    matches!(message, RequestVote { .. } | Renew { .. } | Directives { .. } | TermEnded { .. })
}

fn config(me: u16, members: u16, drift: f64) -> Arc<Config> {
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
        timing: Timing { lease: LEASE, drift, outage: OUTAGE, election: 5, ..Timing::default() },
    })
}

fn list() -> Vec<ServerEntry> {
    let entry = |port: u16| ServerEntry {
        host: format!("s{port}"),
        dial: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "z".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: ServerState::Serving,
        weight: 1.0,
        started_ms: 0.0,
    };
    (1..=4).map(entry).collect()
}

impl Fleet {
    fn node(&self, id: u16, incarnation: u64, clock: u64, state: &mut Option<&mut State>) -> Node {
        // A process that is to have no quarantine gets an early start time.
        let drift = if self.fault == Some(Fault::ExcessDrift) { 0.0 } else { 0.1 };
        let no_quarantine = self.fault == Some(Fault::NoQuarantine);
        let started_at = if no_quarantine || incarnation == 1 { clock - OUTAGE } else { clock };
        let coordinator =
            Coordinator::new(config(id, self.members, drift), started_at, incarnation, u64::from(id));
        let mut node = Node { clock, incarnation, coordinator, highest_term: Term::NONE };
        let before = clock - OUTAGE;
        let mut inputs = Vec::new();
        if id < self.candidates {
            if self.with_servers {
                inputs.push(Input::ListUpdate { version: 1, complete: true, entries: list() });
                for reporter in [0, 1].map(MemberId) {
                    let standing = Some(ServerState::Draining);
                    inputs.push(Input::Evidence { reporter, server: ServerKey::of("s1"), standing });
                }
            }
            let down = |member| Input::DiscoveryReach { member: MemberId(member), reach: Reachability::Down };
            inputs.extend((0..self.members).map(down));
        }
        // The member has received a message from the first run of every other member.
        let heard = Message::TermEndedAck { term: Term::NONE };
        inputs.extend((0..self.members).map(|from| Input::Message {
            from: MemberId(from),
            incarnation: 1,
            message: heard.clone(),
        }));
        for input in inputs {
            node.coordinator.handle(before, input, &mut Vec::new());
        }
        if let Some(state) = state {
            state.restarts += 1;
        }
        node
    }

    fn step(&self, state: &mut State, id: u16, input: Input, reply_at_once: bool) {
        let Some(shared) = state.nodes.get_mut(usize::from(id)) else { return };
        let before = Arc::clone(shared);
        let node = Arc::make_mut(shared);
        let role_before = node.coordinator.role();
        let applied_before = node.coordinator.applied_through();
        let was_acting = node.coordinator.is_acting(node.clock);
        let mut outputs = Vec::new();
        node.coordinator.handle(node.clock, input, &mut outputs);
        let term = node.coordinator.term();
        if term < node.highest_term
            || (node.coordinator.applied_through() != applied_before
                && node.coordinator.applied_through().0 < node.highest_term)
        {
            state.stale_applied = true;
        }
        node.highest_term = node.highest_term.max(term);
        match (role_before, node.coordinator.role()) {
            (Role::Coordinator, Role::Coordinator) => {}
            (_, Role::Coordinator) => state.elections = (state.elections + 1).min(2),
            (Role::Coordinator, _) if was_acting => state.stepped_down = true,
            (Role::Coordinator, _) => state.lease_lost = true,
            _ => {}
        }
        let acting = node.coordinator.is_acting(node.clock);
        let mut vote_granted = false;
        let mut replies = Vec::new();
        let sender_incarnation = node.incarnation;
        let net = Arc::make_mut(&mut state.net);
        for output in outputs {
            match output {
                // The exchange of lists has tests of its own.
                Output::Send { message: Message::List(_), .. } => {}
                Output::Send { to, message } => {
                    vote_granted |= matches!(message, Message::GrantVote { .. });
                    let needs_lease = matches!(message, Message::Renew { .. } | Message::Directives { .. });
                    state.sent_without_lease |= needs_lease && !acting;
                    let is_request = is_request(&message);
                    if !is_request && reply_at_once {
                        replies.push((to.0, message));
                        continue;
                    }
                    let delay = if is_request { self.message_delay } else { self.reply_delay };
                    if !is_request && delay == 0 {
                        continue;
                    }
                    let until = (state.ticks + delay).min(self.ticks);
                    let message = postcard::to_allocvec(&message).expect("it encodes");
                    assert!(message.len() <= 200, "{} bytes", message.len());
                    net.insert(Envelope {
                        until,
                        from: id,
                        sender_incarnation: node.incarnation,
                        to: to.0,
                        message,
                    });
                }
                _ => {}
            }
        }
        if vote_granted && self.fault == Some(Fault::ForgottenPromise) {
            *shared = before;
        }
        for (to, message) in replies {
            let input = Input::Message { from: MemberId(id), incarnation: sender_incarnation, message };
            self.step(state, to, input, true);
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            nodes: (0..self.members).map(|id| Arc::new(self.node(id, 1, START, &mut None))).collect(),
            net: Arc::new(BTreeSet::new()),
            ticks: 0,
            restarts: 0,
            touched_voters: 0,
            discovery_back: false,
            sent_without_lease: false,
            stale_applied: false,
            elections: 0,
            stepped_down: false,
            lease_lost: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Untouched voters are interchangeable, so only the next one needs to be considered.
        let is_representative = |id: u16| id <= self.candidates + state.touched_voters;
        if state.ticks < self.ticks {
            actions.push(Action::Tick);
            if self.fault == Some(Fault::StoppedClock) {
                actions.extend((0..self.candidates).map(Action::TickWithout));
            }
        }
        for (id, node) in (0..).zip(&state.nodes) {
            // Timers of voters need no wake-up: a voter checks its promise when a vote request arrives.
            if id < self.candidates {
                actions.push(Action::Wake(id));
            }
            if state.restarts < self.restarts && is_representative(id) {
                actions.push(Action::Restart(id));
            }
            if !state.discovery_back && node.coordinator.role() == Role::Coordinator {
                actions.push(Action::DiscoveryBack(id));
            }
        }
        for envelope in state.net.iter().filter(|envelope| is_representative(envelope.to)) {
            actions.push(Action::Deliver(envelope.clone(), true));
            actions.push(Action::Deliver(envelope.clone(), false));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        if let Action::Restart(to) | Action::Deliver(Envelope { to, .. }, _) = &action {
            state.touched_voters = state.touched_voters.max((to + 1).saturating_sub(self.candidates));
        }
        match action {
            Action::Tick | Action::TickWithout(_) => {
                state.ticks += 1;
                for ((id, node), tick_length) in (0..).zip(&mut state.nodes).zip(&self.tick_lengths) {
                    if action != Action::TickWithout(id) {
                        Arc::make_mut(node).clock += tick_length;
                    }
                }
                let now = state.ticks;
                Arc::make_mut(&mut state.net).retain(|envelope| now <= envelope.until);
            }
            Action::Wake(id) => self.step(&mut state, id, Input::Woke, true),
            Action::Deliver(envelope, reply_at_once) => {
                let message = postcard::from_bytes(&envelope.message).expect("it decodes");
                if !is_request(&message) {
                    Arc::make_mut(&mut state.net).remove(&envelope);
                }
                let Envelope { from, sender_incarnation, to, .. } = envelope;
                let input = Input::Message { from: MemberId(from), incarnation: sender_incarnation, message };
                self.step(&mut state, to, input, reply_at_once);
            }
            Action::Restart(id) => {
                let old = &state.nodes[usize::from(id)];
                let (incarnation, clock) = (old.incarnation + 1, old.clock);
                let node = self.node(id, incarnation, clock, &mut Some(&mut state));
                state.nodes[usize::from(id)] = Arc::new(node);
            }
            Action::DiscoveryBack(id) => {
                state.discovery_back = true;
                let input = Input::DiscoveryReach { member: MemberId(id), reach: Reachability::Up };
                self.step(&mut state, id, input, true);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("at most one acting coordinator", |_, state: &State| {
                state.nodes.iter().filter(|node| node.coordinator.is_acting(node.clock)).count() <= 1
            }),
            Property::always("only its own candidate holds a term", |_, state: &State| {
                (0..).zip(&state.nodes).all(|(id, node)| {
                    let term = node.coordinator.term();
                    let own = term.candidate == MemberId(id) && term.incarnation == node.incarnation;
                    own || !node.coordinator.is_acting(node.clock)
                })
            }),
            Property::always("a directive of an older term is never applied", |_, state: &State| {
                !state.stale_applied
            }),
            Property::always("no renewal or directive is sent without a lease", |_, state: &State| {
                !state.sent_without_lease
            }),
            Property::sometimes("a coordinator is elected", |_, state: &State| state.elections > 0),
            Property::sometimes("a coordinator steps down", |_, state: &State| state.stepped_down),
        ];
        if self.with_servers {
            properties.push(Property::sometimes("a directive is applied", |fleet: &Fleet, state: &State| {
                let voters = state.nodes.iter().skip(usize::from(fleet.candidates));
                voters.into_iter().any(|node| !node.coordinator.withdrawn().is_empty())
            }));
        }
        properties
    }
}

/// Two candidates with slow clocks, whose leases last longest, and voters with fast clocks, whose promises
/// expire soonest.
fn fleet(members: u16) -> Fleet {
    let tick_lengths = (0..members).map(|id| if id < 2 { 10 } else { 12 }).collect();
    Fleet {
        members,
        candidates: 2,
        tick_lengths,
        ticks: 3,
        restarts: 0,
        message_delay: 9,
        reply_delay: 0,
        with_servers: false,
        fault: None,
    }
}

/// Explores all states within the bounds, up to a depth of `steps`, and checks every property.
fn check_properties(name: &str, steps: usize, fleet: Fleet) {
    let checker = fleet.checker().threads(3).target_max_depth(steps).spawn_bfs().join();
    println!(
        "{name}: {} states, {} of them different, {} steps deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Checks that the model finds a state with two acting coordinators.
fn expect_two_coordinators(fleet: Fleet) {
    let (members, fault) = (fleet.members, fleet.fault);
    let checker = fleet.checker().threads(3).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (states, deep) = (checker.unique_state_count(), checker.max_depth());
    println!("{fault:?} among {members} members: found after {states} different states, {deep} steps deep");
    checker.assert_any_discovery("at most one acting coordinator");
}

#[test]
fn three_members_without_delay() {
    check_properties(
        "three members, all states of one tick",
        usize::MAX,
        Fleet { ticks: 1, message_delay: 0, ..fleet(3) },
    );
    check_properties("three members, two ticks", 13, Fleet { ticks: 2, message_delay: 0, ..fleet(3) });
}

#[test]
fn three_members_with_late_and_duplicated_messages_and_a_restart() {
    check_properties(
        "three members, late and duplicated",
        10,
        Fleet { ticks: 4, message_delay: 4, reply_delay: 1, restarts: 1, ..fleet(3) },
    );
}

#[test]
fn three_members_with_directives() {
    check_properties(
        "three members, with directives",
        10,
        Fleet { ticks: 3, message_delay: 3, with_servers: true, ..fleet(3) },
    );
}

#[test]
fn five_members_with_delay_and_a_restart() {
    check_properties("five members", 11, Fleet { ticks: 3, message_delay: 0, restarts: 1, ..fleet(5) });
}

#[test]
fn a_model_with_forgotten_promises_has_two_coordinators() {
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::ForgottenPromise), ..fleet(3) });
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::ForgottenPromise), ..fleet(5) });
}

#[test]
fn a_model_without_quarantine_has_two_coordinators() {
    expect_two_coordinators(Fleet {
        message_delay: 0,
        restarts: 1,
        fault: Some(Fault::NoQuarantine),
        ..fleet(3)
    });
}

#[test]
fn a_model_with_excess_drift_has_two_coordinators() {
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::ExcessDrift), ..fleet(3) });
}

#[test]
fn a_model_with_stopped_clocks_has_two_coordinators() {
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::StoppedClock), ..fleet(3) });
}
