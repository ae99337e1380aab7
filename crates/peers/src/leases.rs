//! What this member may use of things that all members share.

use crate::api::{ColdLease, Config, MemberId, Millis};

/// What this member may use, has lent and has borrowed.
#[derive(Debug)]
pub struct Ledger {}

impl Ledger {
    /// The ledger of a process that started now.
    pub fn new(_config: &Config, _now: Millis, _seed: u64) -> Ledger {
        Ledger {}
    }

    /// How much of a total a member may use by right: over all configured members these add up to the total.
    pub fn right(&self, _thing: u64, _total: u32, _member: MemberId) -> u32 {
        0
    }

    /// Hands out what this member may use from now until so many milliseconds later.
    pub fn grant(&mut self, _now: Millis, _thing: u64, _span: Millis) -> Option<ColdLease> {
        None
    }
}
