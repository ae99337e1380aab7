//! What of a configuration a member cannot start with.

use std::collections::BTreeMap;
use std::fmt;

use crate::api::Config;

/// Why a member cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Checks what would make members misunderstand each other.
pub(crate) fn check(config: &Config) -> Result<(), ConfigError> {
    let fault = |text: String| Err(ConfigError(text));
    let members = &config.members;
    if members.len() > usize::from(u16::MAX) {
        return fault(format!("{} members are more than {}", members.len(), u16::MAX));
    }
    if usize::from(config.me.0) >= members.len() {
        return fault(format!("member {} is not among the {} configured", config.me.0, members.len()));
    }
    for pair in members.windows(2) {
        if let [one, other] = pair
            && one.name >= other.name
        {
            return fault(format!("member {} stands before {}: names must rise", one.name, other.name));
        }
    }
    let mut addresses = BTreeMap::new();
    for member in members {
        if usize::from(member.region.0) >= config.regions.len() {
            return fault(format!(
                "member {} is of region {}, which has no name",
                member.name, member.region.0
            ));
        }
        if let Some(other) = addresses.insert(member.address, &member.name) {
            return fault(format!("members {other} and {} have the address {}", member.name, member.address));
        }
    }
    let timing = &config.timing;
    for (name, time) in [
        ("period", timing.period),
        ("suspect", timing.suspect),
        ("lease", timing.lease),
        ("election", timing.election),
    ] {
        if !(1..=3_600_000).contains(&time) {
            return fault(format!("timing.{name} of {time} ms is not between 1 and 3,600,000"));
        }
    }
    if !(0.0..=0.5).contains(&timing.drift) {
        return fault(format!("timing.drift of {} is not between 0 and 0.5", timing.drift));
    }
    Ok(())
}
