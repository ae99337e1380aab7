//! Validation of a member's configuration.

use std::collections::BTreeMap;
use std::fmt;

use crate::api::Config;

/// The reason why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Rejects a configuration with which members could not communicate or would disagree.
pub(crate) fn validate(config: &Config) -> Result<(), ConfigError> {
    let error = |text: String| Err(ConfigError(text));
    let members = &config.members;
    if members.len() > usize::from(u16::MAX) {
        return error(format!("{} members are configured; the maximum is {}", members.len(), u16::MAX));
    }
    if usize::from(config.me.0) >= members.len() {
        return error(format!(
            "member index {} is out of range: {} members are configured",
            config.me.0,
            members.len()
        ));
    }
    for pair in members.windows(2) {
        if let [first, second] = pair
            && first.name >= second.name
        {
            return error(format!(
                "member {} precedes {}: member names must be unique and sorted",
                first.name, second.name
            ));
        }
    }
    let mut addresses = BTreeMap::new();
    for member in members {
        if usize::from(member.region.0) >= config.regions.len() {
            return error(format!(
                "member {} has region index {}, which is out of range",
                member.name, member.region.0
            ));
        }
        if let Some(other) = addresses.insert(member.address, &member.name) {
            return error(format!(
                "members {other} and {} have the same address {}",
                member.name, member.address
            ));
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
            return error(format!("timing.{name} is {time} ms; it must be between 1 and 3,600,000"));
        }
    }
    if !(0.0..=0.5).contains(&timing.drift) {
        return error(format!("timing.drift is {}; it must be between 0 and 0.5", timing.drift));
    }
    Ok(())
}
