//! The fleet and its links: an event queue in milliseconds, and a seed for all that is left to chance.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::Peer;
use peers::api::{
    Budgets, Config, Guidance, Input, MAX_DATAGRAM_BYTES, Member, MemberId, Millis, Output, RegionId, Timing,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + member as u16))
}

pub fn config(count: usize, me: usize) -> Config {
    let member = |n: usize| Member {
        name: format!("s{n:05}"),
        address: address(n),
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

enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
}

pub struct Fleet {
    pub now: Millis,
    pub peers: Vec<Option<Peer>>,
    pub outputs: Vec<Vec<Output>>,
    /// What members' modules were given, when and whose.
    pub guidance: Vec<(Millis, Guidance, MemberId)>,
    pub loss: f64,
    change: fn(&mut Config),
    sent: Vec<Vec<Vec<u8>>>,
    paused: Vec<Millis>,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    events: BTreeMap<(Millis, u64), Event>,
    number: u64,
    rng: Pcg64Mcg,
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Fleet {
        Fleet::with(count, seed, |_| {})
    }

    pub fn with(count: usize, seed: u64, change: fn(&mut Config)) -> Fleet {
        let mut fleet = Fleet {
            now: 1_000,
            peers: (0..count).map(|_| None).collect(),
            outputs: vec![Vec::new(); count],
            guidance: Vec::new(),
            loss: 0.0,
            change,
            sent: vec![Vec::new(); count],
            paused: vec![0; count],
            cut: Box::new(|_, _| false),
            events: BTreeMap::new(),
            number: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        (0..count).for_each(|member| fleet.start(member));
        fleet
    }

    pub fn start(&mut self, member: usize) {
        self.start_as(member, 1_700_000_000_000 + self.now);
    }

    pub fn start_as(&mut self, member: usize, incarnation: u64) {
        let mut config = config(self.peers.len(), member);
        (self.change)(&mut config);
        let peer =
            Peer::new(config, self.now, incarnation, self.rng.random()).expect("it is well configured");
        self.peers[member] = Some(peer);
        self.tell(member, Input::Woke);
    }

    pub fn stop(&mut self, member: usize) {
        self.peers[member] = None;
    }

    /// Nothing reaches the process for so long, and then all of it.
    pub fn pause(&mut self, member: usize, time: Millis) {
        self.paused[member] = self.now + time;
    }

    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// The last datagrams that a member sent.
    pub fn log_of(&self, member: usize) -> Vec<Vec<u8>> {
        self.sent[member].iter().rev().take(100).cloned().collect()
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.push(self.now, Event::Datagram { from, to, bytes });
    }

    pub fn tell(&mut self, member: usize, input: Input) {
        let Some(peer) = &mut self.peers[member] else { return };
        let mut out = Vec::new();
        peer.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::WakeAt(at) => self.push(at, Event::Wake(member)),
                Output::Send { to, bytes } => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
                    self.sent[member].push(bytes.clone());
                    let to = usize::from(to.port() - 10_000);
                    for _ in 0..1 + usize::from(self.rng.random_bool(0.02)) {
                        if !self.rng.random_bool(self.loss) && !(self.cut)(member, to) {
                            let at = self.now + self.rng.random_range(1..=20);
                            self.push(at, Event::Datagram { from: member, to, bytes: bytes.clone() });
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

    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// How long until it is so, looked at each 50 ms.
    pub fn until(&mut self, most: Millis, mut so: impl FnMut(&Fleet) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now < start + most {
            if so(self) {
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
        if self.paused[member] > self.now {
            self.push(self.paused[member], event);
            return true;
        }
        match event {
            Event::Wake(member) => self.tell(member, Input::Woke),
            Event::Datagram { from, to, bytes } => {
                let from = address(from);
                self.tell(to, Input::Datagram { from, bytes: &bytes });
            }
        }
        true
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }
}
