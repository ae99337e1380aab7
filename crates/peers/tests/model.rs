//! Model checking of the coordinator: the states that the real code reaches under any order, loss, delay and
//! doubling of its messages, with clocks as far apart as the bound allows, members that stall at any point (they
//! are not called while time goes on) and members that are restarted. A message that is sent may be delivered at
//! any later time and any number of times, or never.
//!
//! Time goes in ticks that all clocks see; a tick is longer by some clocks than by others. What is bounded: ticks,
//! restarts, and in the larger variants how many ticks a message may be under way.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use peers::api::{Budgets, Config, Entry, Member, MemberId, Reach, RegionId, ServerKey, Standing, Timing};
use peers::coordinator::{Coordinator, Input, Message, Output, Role, Term};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Longer than all ticks together: that discovery is out of reach is as old as that when the model begins.
const OUTAGE: u64 = 10_000;
/// When the model begins, by all clocks: quarantine of the first processes is over.
const START: u64 = 2 * OUTAGE;
const LEASE: u64 = 24;

/// What is done wrong, to show that the model sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A voter does not remember its promise (it is put back to where it was before).
    ForgottenPromise,
    /// A new process votes at once.
    NoQuarantine,
    /// Clocks are further apart than members were told.
    ExcessDrift,
    /// A process's clock stands still while it does.
    StoppedClock,
}

#[derive(Debug, Clone)]
struct Fleet {
    members: u16,
    /// Those who stand: the first so many.
    candidates: u16,
    /// How many milliseconds a tick takes by each clock.
    tick_lengths: Vec<u64>,
    ticks: u8,
    restarts: u8,
    /// How many ticks a message may be under way.
    message_delay: u8,
    /// The same for answers that do not come at once; 0: they are lost.
    reply_delay: u8,
    /// Whether there is a list, and a server that two members saw draining.
    with_servers: bool,
    fault: Option<Fault>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    clock: u64,
    incarnation: u64,
    coordinator: Coordinator,
    /// The highest term that it ever knew in this life.
    highest_term: Term,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    /// Gone when this tick is over.
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
    /// How many of the voters anything happened to.
    touched_voters: u16,
    discovery_back: bool,
    /// A word or renewal went out without a lease.
    sent_without_lease: bool,
    /// A word of an older term than the highest known was obeyed.
    stale_applied: bool,
    /// What was seen to happen: taken office, taken office a second time, stood down, woke past its lease.
    elections: u8,
    stepped_down: bool,
    lease_lost: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Tick,
    /// Time goes on for all others: this one is stopped with its clock.
    TickWithout(u16),
    Wake(u16),
    /// The answer comes at once, or is late or lost.
    Deliver(Envelope, bool),
    Restart(u16),
    /// Discovery answers a member again.
    DiscoveryBack(u16),
}

/// What may come late and twice. Answers change nothing when they come twice.
fn is_unsolicited(message: &Message) -> bool {
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
        budgets: Budgets { retries: 0.1, copies: 0.1 },
        timing: Timing { lease: LEASE, drift, outage: OUTAGE, election: 5, ..Timing::default() },
    })
}

fn list() -> Vec<Entry> {
    let entry = |port: u16| Entry {
        host: format!("s{port}"),
        dial: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "z".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        standing: Standing::Serving,
        weight: 1.0,
        started_ms: 0.0,
    };
    (1..=4).map(entry).collect()
}

impl Fleet {
    fn node(&self, id: u16, incarnation: u64, clock: u64, state: &mut Option<&mut State>) -> Node {
        // Without quarantine: as though it had begun long ago.
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
                    let standing = Some(Standing::Draining);
                    inputs.push(Input::Evidence { reporter, server: ServerKey::of("s1"), standing });
                }
            }
            let down = |member| Input::DiscoveryReach { member: MemberId(member), reach: Reach::Down };
            inputs.extend((0..self.members).map(down));
        }
        // All have heard of each other.
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
                // Lists have their own tests.
                Output::Send { message: Message::List(_), .. } => {}
                Output::Send { to, message } => {
                    vote_granted |= matches!(message, Message::GrantVote { .. });
                    let needs_lease = matches!(message, Message::Renew { .. } | Message::Directives { .. });
                    state.sent_without_lease |= needs_lease && !acting;
                    let is_unsolicited = is_unsolicited(&message);
                    if !is_unsolicited && reply_at_once {
                        replies.push((to.0, message));
                        continue;
                    }
                    let delay = if is_unsolicited { self.message_delay } else { self.reply_delay };
                    if !is_unsolicited && delay == 0 {
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
        // Voters that nothing happened to are alike: the next one stands for all.
        let is_representative = |id: u16| id <= self.candidates + state.touched_voters;
        if state.ticks < self.ticks {
            actions.push(Action::Tick);
            if self.fault == Some(Fault::StoppedClock) {
                actions.extend((0..self.candidates).map(Action::TickWithout));
            }
        }
        for (id, node) in (0..).zip(&state.nodes) {
            // Voters' timers decide nothing: promises are looked at when a call comes.
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
                if !is_unsolicited(&message) {
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
                let input = Input::DiscoveryReach { member: MemberId(id), reach: Reach::Up };
                self.step(&mut state, id, input, true);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("never two acting coordinators", |_, state: &State| {
                state.nodes.iter().filter(|node| node.coordinator.is_acting(node.clock)).count() <= 1
            }),
            Property::always("a term has one holder, its own candidate", |_, state: &State| {
                (0..).zip(&state.nodes).all(|(id, node)| {
                    let term = node.coordinator.term();
                    let own = term.candidate == MemberId(id) && term.incarnation == node.incarnation;
                    own || !node.coordinator.is_acting(node.clock)
                })
            }),
            Property::always("a word of an older term is never obeyed", |_, state: &State| {
                !state.stale_applied
            }),
            Property::always("nobody speaks without a lease", |_, state: &State| !state.sent_without_lease),
            Property::sometimes("one is elected", |_, state: &State| state.elections > 0),
            Property::sometimes("one stands down", |_, state: &State| state.stepped_down),
        ];
        if self.with_servers {
            properties.push(Property::sometimes("a word is obeyed", |fleet: &Fleet, state: &State| {
                let voters = state.nodes.iter().skip(usize::from(fleet.candidates));
                voters.into_iter().any(|node| !node.coordinator.withdrawn().is_empty())
            }));
        }
        properties
    }
}

/// Two slow candidates, whose leases last longest, and fast voters, whose promises are over soonest.
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

/// All states within the bounds, so many steps deep, with every property held.
fn check(name: &str, steps: usize, fleet: Fleet) {
    let checker = fleet.checker().threads(3).target_max_depth(steps).spawn_bfs().join();
    println!(
        "{name}: {} states, {} of them different, {} steps deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// The model finds two acting coordinators.
fn expect_two_coordinators(fleet: Fleet) {
    let (members, fault) = (fleet.members, fleet.fault);
    let checker = fleet.checker().threads(3).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let (states, deep) = (checker.unique_state_count(), checker.max_depth());
    println!("{fault:?} among {members} members: found after {states} different states, {deep} steps deep");
    checker.assert_any_discovery("never two acting coordinators");
}

#[test]
fn three_members_without_delay() {
    check(
        "three members, all states of one tick",
        usize::MAX,
        Fleet { ticks: 1, message_delay: 0, ..fleet(3) },
    );
    check("three members, two ticks", 13, Fleet { ticks: 2, message_delay: 0, ..fleet(3) });
}

#[test]
fn three_members_with_late_and_doubled_messages_and_a_restart() {
    check(
        "three, late and doubled",
        10,
        Fleet { ticks: 4, message_delay: 4, reply_delay: 1, restarts: 1, ..fleet(3) },
    );
}

#[test]
fn three_members_with_words() {
    check("three, with words", 10, Fleet { ticks: 3, message_delay: 3, with_servers: true, ..fleet(3) });
}

#[test]
fn five_members_with_delay_and_a_restart() {
    check("five members", 11, Fleet { ticks: 3, message_delay: 0, restarts: 1, ..fleet(5) });
}

#[test]
fn a_model_that_forgets_promises_has_two_coordinators() {
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
fn a_model_that_leaves_drift_out_has_two_coordinators() {
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::ExcessDrift), ..fleet(3) });
}

#[test]
fn a_model_with_clocks_that_stop_has_two_coordinators() {
    expect_two_coordinators(Fleet { message_delay: 0, fault: Some(Fault::StoppedClock), ..fleet(3) });
}
