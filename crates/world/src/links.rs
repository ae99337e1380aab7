//! Links: between any two sidecars, from a sidecar to the servers of a zone, and to discovery.

use std::collections::{BTreeMap, BTreeSet};

use crate::dice::{Dice, hash};
use crate::discovery::Way;
use crate::spec::Delays;
use crate::time::{Micros, micros};

/// What a link between two sidecars does to datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fate {
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub doubled: f64,
    /// Milliseconds that they take longer, each up to so much at random.
    pub late: f64,
}

/// All links.
#[derive(Debug)]
pub struct Links {
    seed: u64,
    delays: Delays,
    /// Which share of the links between sidecars fares so; each way of a link counts by itself.
    bad: (f64, Fate),
    /// Sidecars hear only those with the same number.
    sides: Vec<u32>,
    /// One way, from and to.
    cut: BTreeSet<(usize, usize)>,
    /// From a sidecar to a zone's servers.
    zones_cut: BTreeSet<(usize, usize)>,
    discovery: BTreeMap<usize, Way>,
    dice: Dice,
}

impl Links {
    /// Links that do as they should.
    pub fn new(seed: u64, members: usize, delays: Delays) -> Links {
        Links {
            seed,
            delays,
            bad: (0.0, Fate::default()),
            sides: vec![0; members],
            cut: BTreeSet::new(),
            zones_cut: BTreeSet::new(),
            discovery: BTreeMap::new(),
            dice: Dice::new(seed, "links", 0),
        }
    }

    /// Lets a share of the links between sidecars fare so.
    pub fn spoil(&mut self, share: f64, fate: Fate) {
        self.bad = (share, fate);
    }

    /// Puts a sidecar on a side of a partition; all begin on side 0.
    pub fn side(&mut self, member: usize, side: u32) {
        if let Some(at) = self.sides.get_mut(member) {
            *at = side;
        }
    }

    /// Cuts one way of a link between two sidecars, or mends it.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        let _ = if cut { self.cut.insert((from, to)) } else { self.cut.remove(&(from, to)) };
    }

    /// Cuts a sidecar off from a zone's servers, or mends that.
    pub fn cut_zone(&mut self, member: usize, zone: usize, cut: bool) {
        let _ =
            if cut { self.zones_cut.insert((member, zone)) } else { self.zones_cut.remove(&(member, zone)) };
    }

    /// Whether a sidecar reaches a zone's servers.
    pub fn reaches(&self, member: usize, zone: usize) -> bool {
        !self.zones_cut.contains(&(member, zone))
    }

    /// Sets how a sidecar gets through to discovery.
    pub fn set_way(&mut self, member: usize, way: Way) {
        self.discovery.insert(member, way);
    }

    /// How a sidecar gets through to discovery.
    pub fn way(&self, member: usize) -> Way {
        self.discovery.get(&member).copied().unwrap_or(Way::Open)
    }

    /// Whether a datagram may get from one sidecar to another at all.
    pub fn open(&self, from: usize, to: usize) -> bool {
        self.sides.get(from) == self.sides.get(to) && !self.cut.contains(&(from, to))
    }

    /// When a datagram between two sidecars arrives, from now: never, once or twice.
    pub fn carry(&mut self, from: usize, to: usize, apart: Apart) -> Vec<Micros> {
        if !self.open(from, to) {
            return Vec::new();
        }
        let (share, fate) = self.bad;
        let place = hash(self.seed ^ hash((from as u64) << 32 | to as u64));
        let fate = if (place as f64) < share * u64::MAX as f64 { fate } else { Fate::default() };
        if self.dice.chance(fate.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.dice.chance(fate.doubled));
        (0..copies).map(|_| self.takes(apart) + micros(fate.late * self.dice.even())).collect()
    }

    /// How long a message takes one way.
    pub fn takes(&mut self, apart: Apart) -> Micros {
        let plain = match apart {
            Apart::Zone => self.delays.near,
            Apart::Region => self.delays.zones,
            Apart::World => self.delays.regions,
        };
        micros(plain * (1.0 + self.delays.jitter * self.dice.even()))
    }
}

/// What two ends of a link have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Apart {
    /// Their zone.
    Zone,
    /// Their region.
    Region,
    /// Nothing.
    World,
}
