//! Facts of all members.

use crate::api::{Config, Fact, FactKind, MemberId, Millis};

/// The facts that a member holds, its own and others'.
#[derive(Debug)]
pub struct Facts {}

impl Facts {
    /// No facts yet, at a process that started with this incarnation.
    pub fn new(_config: &Config, _now: Millis, _incarnation: u64, _seed: u64) -> Facts {
        Facts {}
    }

    /// Says a fact of this member's own; one with an empty body takes it back. False: there are too many already.
    pub fn put(&mut self, _now: Millis, _fact: Fact) -> bool {
        false
    }

    /// The body of a fact and its age in milliseconds.
    pub fn get(&self, _now: Millis, _owner: MemberId, _kind: FactKind, _key: u64) -> Option<(&[u8], Millis)> {
        None
    }

    /// All facts of a kind: owner, key, body and age in milliseconds.
    pub fn of(&self, _now: Millis, _kind: FactKind) -> impl Iterator<Item = (MemberId, u64, &[u8], Millis)> {
        std::iter::empty()
    }
}
