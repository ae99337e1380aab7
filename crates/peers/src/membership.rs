//! Who lives.

use crate::api::{Config, MemberId, Millis};

/// Where a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was heard of it yet.
    Unknown,
    /// It answers.
    Alive,
    /// It did not answer somebody, and may still say that it lives.
    Suspect,
    /// It is gone.
    Gone,
}

/// Who lives, as this member sees it.
#[derive(Debug)]
pub struct Membership {}

impl Membership {
    /// At a process that started now with this incarnation, which knows nobody yet.
    pub fn new(_config: &Config, _now: Millis, _incarnation: u64, _seed: u64) -> Membership {
        Membership {}
    }

    /// The living, this member included, in their order.
    pub fn living(&self) -> &[MemberId] {
        &[]
    }

    /// Where a member stands.
    pub fn standing(&self, _member: MemberId) -> Standing {
        Standing::Unknown
    }

    /// The incarnation in which a member was last heard of.
    pub fn incarnation(&self, _member: MemberId) -> Option<u64> {
        None
    }
}
