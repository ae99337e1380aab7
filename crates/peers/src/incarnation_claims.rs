//! Claims by other members that this member has run with a higher incarnation before.
//!
//! A process takes its incarnation from its wall clock at the start. If the clock was set back since the
//! previous start, the incarnation is lower than that of the previous process, and other members ignore what
//! this process sends. They answer with the incarnation that they know, and this process has to exceed it.
//!
//! A claim can be false, and accepting one raises the incarnation for good: every later start has to use a
//! higher one, and no incarnation is valid above [`MAX_INCARNATION`]. Therefore the claim of a single member
//! raises it by [`MAX_SINGLE_CLAIM`] at most. A higher one needs claims of [`REQUIRED_CLAIMANTS`] members,
//! and is raised only as far as all of them claim.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis};
use crate::wire::MAX_INCARNATION;

/// How far above its incarnation at the start a process follows the claim of a single member: one day, which
/// is many times what clocks are usually set back by.
const MAX_SINGLE_CLAIM: Millis = 24 * 60 * 60 * 1_000;

/// How many members must claim an incarnation that is further ahead, for example after a start with a clock
/// that began at 1970. In a cluster with fewer other members, all of them must.
const REQUIRED_CLAIMANTS: usize = 2;

/// The claims that other members have made.
#[derive(Debug)]
pub struct IncarnationClaims {
    /// The incarnation of this process at its start.
    start_incarnation: u64,
    required_claimants: usize,
    /// The last claim of each member, among those that are too far ahead for a single claim.
    far_claims: BTreeMap<MemberId, u64>,
}

impl IncarnationClaims {
    /// Creates an empty set of claims for a process that started with this incarnation, in a cluster with
    /// `others` other members.
    pub fn new(incarnation: u64, others: usize) -> IncarnationClaims {
        IncarnationClaims {
            start_incarnation: incarnation,
            required_claimants: REQUIRED_CLAIMANTS.min(others).max(1),
            far_claims: BTreeMap::new(),
        }
    }

    /// Handles the claim of a configured member. `incarnation` is this member's current one. Returns the
    /// incarnation that this member has to exceed, or `None` if it need not change its own.
    pub fn claimed(&mut self, claimant: MemberId, claim: u64, incarnation: u64) -> Option<u64> {
        if claim <= incarnation || claim >= MAX_INCARNATION {
            return None;
        }
        if claim <= self.start_incarnation.saturating_add(MAX_SINGLE_CLAIM) {
            return Some(claim);
        }
        self.far_claims.insert(claimant, claim);
        let mut claims: Vec<u64> =
            self.far_claims.values().copied().filter(|claim| *claim > incarnation).collect();
        claims.sort_unstable_by(|a, b| b.cmp(a));
        claims.get(self.required_claimants - 1).copied()
    }
}

#[cfg(test)]
mod tests;
