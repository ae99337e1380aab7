//! Statistics of a member.

use crate::coordinator::{Role, Term};

/// The state and the counters of a member, for its operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stats {
    /// Members that are alive, including this one.
    pub living: usize,
    /// Configured members.
    pub members: usize,
    /// The role of this member in its region.
    pub role: Role,
    /// The highest term that this member knows.
    pub term: Term,
    /// The shedding level, from 0 to 1.
    pub level: f64,
    /// Directives and lease renewals that were rejected because they belong to an older term.
    pub stale_rejected: u64,
    /// Facts that were rejected: their owner is not configured, the owner has too many, or they are invalid.
    pub rejected_facts: u64,
    /// Facts that this member holds.
    pub facts: usize,
    /// Datagrams accepted.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes accepted.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams and parts of datagrams that were dropped. They are malformed, belong to another cluster,
    /// come from an address that is not configured for their sender, or are of an outdated incarnation of a
    /// member.
    pub dropped_datagrams: u64,
}
