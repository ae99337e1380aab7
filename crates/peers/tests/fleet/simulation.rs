//! The cluster and its links: an event queue in milliseconds, and a seed for all that is left to chance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::Peer;
use peers::api::{
    Budgets, Config, DATAGRAM_BYTES, Guidance, Input, Member, MemberId, Millis, Output, RegionId, Timing,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn address_of(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + member as u16))
}

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
        budgets: Budgets { retries: 0.1, copies: 0.1 },
        timing: Timing::default(),
    }
}

enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
}

pub struct Cluster {
    pub now: Millis,
    pub peers: Vec<Option<Peer>>,
    pub outputs: Vec<Vec<Output>>,
    /// What members' modules were given, when and whose.
    pub guidance: Vec<(Millis, Guidance, MemberId)>,
    pub loss: f64,
    configure: fn(&mut Config),
    sent_datagrams: Vec<Vec<Vec<u8>>>,
    paused_until: Vec<Millis>,
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    events: BTreeMap<(Millis, u64), Event>,
    events_scheduled: u64,
    rng: Pcg64Mcg,
}

impl Cluster {
    pub fn new(count: usize, seed: u64) -> Cluster {
        Cluster::with_config(count, seed, |_| {})
    }

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

    pub fn start(&mut self, member: usize) {
        self.start_with_incarnation(member, 1_700_000_000_000 + self.now);
    }

    pub fn start_with_incarnation(&mut self, member: usize, incarnation: u64) {
        let mut config = config(self.peers.len(), member);
        (self.configure)(&mut config);
        let peer =
            Peer::new(config, self.now, incarnation, self.rng.random()).expect("it is well configured");
        self.peers[member] = Some(peer);
        self.handle(member, Input::Woke);
    }

    pub fn stop(&mut self, member: usize) {
        self.peers[member] = None;
    }

    /// Nothing reaches the process for so long, and then all of it.
    pub fn pause(&mut self, member: usize, duration: Millis) {
        self.paused_until[member] = self.now + duration;
    }

    pub fn partition(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    /// The last datagrams that a member sent.
    pub fn last_sent_by(&self, member: usize) -> Vec<Vec<u8>> {
        self.sent_datagrams[member].iter().rev().take(100).cloned().collect()
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.schedule(self.now, Event::Datagram { from, to, bytes });
    }

    pub fn handle(&mut self, member: usize, input: Input) {
        let Some(peer) = &mut self.peers[member] else { return };
        let mut outputs = Vec::new();
        peer.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::WakeAt(at) => self.schedule(at, Event::Wake(member)),
                Output::Send { to, bytes } => {
                    assert!(bytes.len() <= DATAGRAM_BYTES, "{} bytes", bytes.len());
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

    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// How long until it is so, looked at each 50 ms.
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

    fn schedule(&mut self, at: Millis, event: Event) {
        self.events_scheduled += 1;
        self.events.insert((at, self.events_scheduled), event);
    }
}
