//! What others claim to know of a later start of this member. Its incarnation is its wall clock's at the start, so that
//! after a step back it is lower than that of the process before, and others pass over what it says.
//!
//! A claim can be bogus, and one that is taken raises the incarnation for good: each later start has to be higher, up to
//! [`MAX_INCARNATION`], beyond which no start is. So one claim alone raises it by [`NEAR`] at most, and only as many
//! as [`VOUCHERS`] raise it further, to what all of these know.

use std::collections::BTreeMap;

use crate::api::{MemberId, Millis};
use crate::wire::MAX_INCARNATION;

/// As far above its start a single claim is taken: a day, many times what clocks are stepped by.
const NEAR: Millis = 24 * 60 * 60 * 1_000;

/// So many others have to know a start further ahead, such as after a clock that began at 1970; all of them in a fleet
/// with fewer.
const VOUCHERS: usize = 2;

/// The claims of a later start than this member's.
#[derive(Debug)]
pub struct IncarnationClaims {
    started_as: u64,
    vouchers: usize,
    /// What each member claimed last, of those too far ahead for one alone.
    far: BTreeMap<MemberId, u64>,
}

impl IncarnationClaims {
    /// No claims yet, at a process that started with this incarnation and has so many others beside it.
    pub fn new(incarnation: u64, others: usize) -> IncarnationClaims {
        IncarnationClaims {
            started_as: incarnation,
            vouchers: VOUCHERS.min(others).max(1),
            far: BTreeMap::new(),
        }
    }

    /// Takes in that a configured member claims to know a start; the one that this member, which goes by `incarnation`
    /// now, has to overtake, if it has to.
    pub fn claimed(&mut self, by: MemberId, start: u64, incarnation: u64) -> Option<u64> {
        if start <= incarnation || start >= MAX_INCARNATION {
            return None;
        }
        if start <= self.started_as.saturating_add(NEAR) {
            return Some(start);
        }
        self.far.insert(by, start);
        let mut known: Vec<u64> = self.far.values().copied().filter(|start| *start > incarnation).collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        known.get(self.vouchers - 1).copied()
    }
}

#[cfg(test)]
mod tests;
