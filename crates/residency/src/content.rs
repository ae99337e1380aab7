//! What the rules of one generation come to, by keys in place of names.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use crate::names::Service;

/// The key of a zone's name: 64 bits of FNV-1a. Among 1,000 zones two share one once in 10^13; the checks refuse that.
pub fn zone_key(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The key of a service, likewise, with its kind.
pub fn key_of(service: &Service) -> u64 {
    let (kind, name) = service.parts();
    zone_key(&format!("{kind}:{name}"))
}

/// What the rules of one generation come to. A service that has no entry is not ruled and may go anywhere.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Content {
    /// Nothing may go anywhere: so many contradictions that they could not be written down.
    pub closed: bool,
    /// Zones by service, both by their keys. An empty set lets nothing through.
    pub services: BTreeMap<u64, BTreeSet<u64>>,
}

impl Content {
    /// What both let through: for a service that both rule the zones of both, for one that one rules that one's.
    pub fn meet(&self, other: &Content) -> Content {
        let mut services = self.services.clone();
        for (service, zones) in &other.services {
            let entry = services.entry(*service).or_insert_with(|| zones.clone());
            entry.retain(|zone| zones.contains(zone));
        }
        Content { closed: self.closed || other.closed, services }.bounded()
    }

    /// Itself, if it can be written within the bound of pieces; else closed, which no further contradiction changes.
    fn bounded(self) -> Content {
        if self.closed || !crate::codec::fits(&self) {
            return Content { closed: true, services: BTreeMap::new() };
        }
        self
    }

    /// The services whose zones differ between the two.
    pub fn differing<'a>(&'a self, other: &'a Content) -> impl Iterator<Item = u64> + 'a {
        let all: BTreeSet<u64> = self.services.keys().chain(other.services.keys()).copied().collect();
        all.into_iter().filter(|service| self.services.get(service) != other.services.get(service))
    }
}

/// Bytes of a [`Filter`].
pub const FILTER_BYTES: usize = 48;

/// A set of services that says yes to all its members and, by chance, to some others (Bloom 1970): 40 members leave 2%
/// of others, 200 leave most. Whoever is held up without need waits some round trips; nobody is let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Filter(pub [u8; FILTER_BYTES]);

impl Filter {
    /// Nobody is in it.
    pub const NONE: Filter = Filter([0; FILTER_BYTES]);
    /// Everybody is.
    pub const ALL: Filter = Filter([0xff; FILTER_BYTES]);

    /// The set of these services.
    pub fn of(services: impl IntoIterator<Item = u64>) -> Filter {
        let mut filter = Filter::NONE;
        for bit in services.into_iter().flat_map(bits) {
            if let Some(byte) = filter.0.get_mut(bit / 8) {
                *byte |= 1 << (bit % 8);
            }
        }
        filter
    }

    /// Whether a service may be in it.
    pub fn may_hold(&self, service: u64) -> bool {
        bits(service)
            .into_iter()
            .all(|bit| self.0.get(bit / 8).is_some_and(|byte| byte & (1 << (bit % 8)) != 0))
    }

    /// The set of those that are in one of both, or perhaps some more.
    pub fn or(self, other: Filter) -> Filter {
        self.with(other, |one, other| one | other)
    }

    /// The set of those that are in both, or perhaps some more.
    pub fn and(self, other: Filter) -> Filter {
        self.with(other, |one, other| one & other)
    }

    fn with(mut self, other: Filter, join: impl Fn(u8, u8) -> u8) -> Filter {
        for (byte, other) in self.0.iter_mut().zip(other.0) {
            *byte = join(*byte, other);
        }
        self
    }
}

/// The four bits of a service.
fn bits(service: u64) -> [usize; 4] {
    let mixed = mix(service);
    [0, 16, 32, 48].map(|shift| ((mixed >> shift) & 0xffff) as usize % (FILTER_BYTES * 8))
}

/// Mixes a number so that every bit of it moves all others (the last step of SplitMix64, Steele et al. 2014).
pub fn mix(number: u64) -> u64 {
    let one = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let two = (one ^ (one >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    two ^ (two >> 31)
}
