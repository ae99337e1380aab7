//! Figures of a member.

use crate::coordinator::{Role, Term};

/// Figures of a member, for its operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Members that live, this one included.
    pub living: usize,
    /// Members that are configured.
    pub members: usize,
    /// What this member is in its region.
    pub role: Role,
    /// The highest term it knows of.
    pub term: Term,
    /// The level of shedding, 0 to 1.
    pub level: f64,
    /// Words and renewals of older terms that were refused.
    pub stale_rejected: u64,
    /// Facts that were refused: of nobody configured, too many, absurd.
    pub rejected_facts: u64,
    /// Facts that are held.
    pub facts: usize,
    /// Datagrams that were accepted.
    pub datagrams_in: u64,
    /// Datagrams that were sent.
    pub datagrams_out: u64,
    /// Bytes that were accepted.
    pub bytes_in: u64,
    /// Bytes that were sent.
    pub bytes_out: u64,
    /// Datagrams that were dropped, or parts of them: malformed, of another fleet, not from where their sender is
    /// configured, or of a former self of a member.
    pub dropped_datagrams: u64,
}
