//! A simulated cluster: members, the network between them, and a queue of events with a clock in
//! milliseconds. All randomness comes from one seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::Peer;
use peers::api::{
    Budgets, Config, Guidance, Input, MAX_DATAGRAM_BYTES, Member, MemberId, Millis, Output, RegionId, Timing,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The address of a member: its port is 10,000 plus its position.
fn address_of(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + member as u16))
}

/// The configuration of member `me` in a cluster of `count` members in one region and zone.
pub fn config(count: usize, me: usize) -> Config {
    let member = |n: usize| Member {
        name: format!("s{n:05}"),
        address: address_of(n),
        region: RegionId(0),
        zone: "z1".into(),
    };
    Config {
        me: MemberId(me as u16),
        members: (0..count).map(member).collect(),
        regions: vec!["west".into()],
        classes: Vec::new(),
        class_floor: 0.05,
        budgets: Budgets { retries: 0.1, hedges: 0.1 },
        timing: Timing::default(),
    }
}

/// Something that happens at a member at a certain time.
enum Event {
    /// A datagram arrives at the member `to`.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// A timer of a member is due.
    Wake(usize),
}

/// Members in one thread, with a simulated network and clock.
pub struct Cluster {
    /// The current time, which is the same at all members.
    pub now: Millis,
    /// The running members by position. `None` stands for a stopped member.
    pub peers: Vec<Option<Peer>>,
    /// By member, all outputs except datagrams, timers and guidance.
    pub outputs: Vec<Vec<Output>>,
    /// All guidance that members gave to their modules, with the time and the member.
    pub guidance: Vec<(Millis, Guidance, MemberId)>,
    /// The probability that the network loses a datagram.
    pub loss: f64,
    /// Changes the configuration of each member before its start.
    configure: fn(&mut Config),
    /// By member, all datagrams that it sent.
    sent_datagrams: Vec<Vec<Vec<u8>>>,
    /// By member, the time at which its process resumes after a pause.
    paused_until: Vec<Millis>,
    /// Whether the network drops all datagrams from the first member to the second.
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Pending events, by time and then in the order in which they were scheduled.
    events: BTreeMap<(Millis, u64), Event>,
    events_scheduled: u64,
    rng: Pcg64Mcg,
}

impl Cluster {
    /// Starts a cluster of `count` members with the default configuration.
    pub fn new(count: usize, seed: u64) -> Cluster {
        Cluster::with_config(count, seed, |_| {})
    }

    /// Starts a cluster of `count` members whose configuration `configure` has changed.
    pub fn with_config(count: usize, seed: u64, configure: fn(&mut Config)) -> Cluster {
        let mut cluster = Cluster {
            now: 1_000,
            peers: (0..count).map(|_| None).collect(),
            outputs: vec![Vec::new(); count],
            guidance: Vec::new(),
            loss: 0.0,
            configure,
            sent_datagrams: vec![Vec::new(); count],
            paused_until: vec![0; count],
            is_cut: Box::new(|_, _| false),
            events: BTreeMap::new(),
            events_scheduled: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        (0..count).for_each(|member| cluster.start(member));
        cluster
    }

    /// Starts a member. Its incarnation is the simulated wall clock, in Unix milliseconds.
    pub fn start(&mut self, member: usize) {
        self.start_with_incarnation(member, 1_700_000_000_000 + self.now);
    }

    /// Starts a member with the given incarnation.
    pub fn start_with_incarnation(&mut self, member: usize, incarnation: u64) {
        let mut config = config(self.peers.len(), member);
        (self.configure)(&mut config);
        let peer =
            Peer::new(config, self.now, incarnation, self.rng.random()).expect("the configuration is valid");
        self.peers[member] = Some(peer);
        self.handle(member, Input::Woke);
    }

    /// Stops a member without notice to the others, as a crash does.
    pub fn stop(&mut self, member: usize) {
        self.peers[member] = None;
    }

    /// Pauses the process of a member. Datagrams and timers that come due meanwhile reach it when it
    /// resumes.
    pub fn pause(&mut self, member: usize, duration: Millis) {
        self.paused_until[member] = self.now + duration;
    }

    /// From now on, drops the datagrams for whose sender and receiver `is_cut` holds.
    pub fn partition(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    /// The last 100 datagrams that a member sent, the latest first.
    pub fn last_sent_by(&self, member: usize) -> Vec<Vec<u8>> {
        self.sent_datagrams[member].iter().rev().take(100).cloned().collect()
    }

    /// Delivers a datagram to a member without the loss and the delay of the network.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.schedule(self.now, Event::Datagram { from, to, bytes });
    }

    /// Hands an input to a member and carries out what the member outputs. The network duplicates one
    /// datagram in fifty and delays each by 1 to 20 ms. Inputs for a stopped member are dropped.
    pub fn handle(&mut self, member: usize, input: Input) {
        let Some(peer) = &mut self.peers[member] else { return };
        let mut outputs = Vec::new();
        peer.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::WakeAt(at) => self.schedule(at, Event::Wake(member)),
                Output::Send { to, bytes } => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "a datagram of {} bytes", bytes.len());
                    self.sent_datagrams[member].push(bytes.clone());
                    let to = usize::from(to.port() - 10_000);
                    for _ in 0..1 + usize::from(self.rng.random_bool(0.02)) {
                        if !self.rng.random_bool(self.loss) && !(self.is_cut)(member, to) {
                            let at = self.now + self.rng.random_range(1..=20);
                            self.schedule(at, Event::Datagram { from: member, to, bytes: bytes.clone() });
                        }
                    }
                }
                Output::Guidance(guidance) => {
                    self.guidance.push((self.now, guidance, MemberId(member as u16)));
                }
                other => self.outputs[member].push(other),
            }
        }
    }

    /// Processes all events of the next `duration` milliseconds.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs the cluster until `condition` holds, which is checked every 50 ms, and returns how long that
    /// took. Returns `None` if the condition does not hold within `limit`.
    pub fn run_until(
        &mut self,
        limit: Millis,
        mut condition: impl FnMut(&Cluster) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now < start + limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(50);
        }
        None
    }

    /// Processes the next event that is due by `end`. Returns false if there is none.
    fn step(&mut self, end: Millis) -> bool {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) else {
            return false;
        };
        let ((at, _), event) = entry.remove_entry();
        self.now = self.now.max(at);
        let member = match &event {
            Event::Wake(member) => *member,
            Event::Datagram { to, .. } => *to,
        };
        if self.paused_until[member] > self.now {
            self.schedule(self.paused_until[member], event);
            return true;
        }
        match event {
            Event::Wake(member) => self.handle(member, Input::Woke),
            Event::Datagram { from, to, bytes } => {
                let from = address_of(from);
                self.handle(to, Input::Datagram { from, bytes: &bytes });
            }
        }
        true
    }

    /// Adds an event to the queue.
    fn schedule(&mut self, at: Millis, event: Event) {
        self.events_scheduled += 1;
        self.events.insert((at, self.events_scheduled), event);
    }
}
