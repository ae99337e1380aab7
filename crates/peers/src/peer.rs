//! One member: what comes in is handed to its parts, and what they want is sent.

use std::fmt;

use crate::api::{Config, Input, Millis, Output};

/// One member of the fleet.
#[derive(Debug)]
pub struct Peer {
    config: Config,
}

/// Figures of a member, for its operators.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct View {
    /// Members that live, this one included.
    pub living: usize,
    /// Members that are configured.
    pub members: usize,
    /// The level of shedding, 0 to 1.
    pub level: f64,
    /// Datagrams that were accepted.
    pub datagrams_in: u64,
    /// Datagrams that were sent.
    pub datagrams_out: u64,
    /// Bytes that were accepted.
    pub bytes_in: u64,
    /// Bytes that were sent.
    pub bytes_out: u64,
    /// Datagrams that were dropped: malformed, of another fleet, of nobody known, or of a former self of a member.
    pub refused_datagrams: u64,
}

/// Why a member cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

impl Peer {
    /// A member whose process started now.
    pub fn new(config: Config, _now: Millis, _incarnation: u64, _seed: u64) -> Result<Peer, ConfigError> {
        Ok(Peer { config })
    }

    /// Takes in what happened.
    pub fn handle(&mut self, _now: Millis, _input: Input, _out: &mut Vec<Output>) {}

    /// Its figures.
    pub fn view(&self) -> View {
        View { members: self.config.members.len(), ..View::default() }
    }
}
