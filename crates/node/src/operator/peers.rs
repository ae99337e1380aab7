//! The section `peers`: the configured members of a fleet that acts together, and which of them this process is. One
//! file serves all of them, since [`MEMBER`] can say who reads it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ::peers::api;
use anyhow::{Context, Result, bail};
use sagemast::settings::PlatformSettings as SettingsObject;
use schemars::JsonSchema;
use serde::Deserialize;

/// The environment variable that names this member where the file does not.
pub const MEMBER: &str = "HARELOCK_MEMBER";
/// More members than this have no number each.
const MEMBERS: usize = 65_535;

/// Settings of a fleet that acts together.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Which of the members this one is; the environment variable `HARELOCK_MEMBER` says so where it is left out.
    pub me: Option<String>,
    /// All members, this one included. The same at every member, addresses apart.
    pub members: Vec<Member>,
    /// Where this member's socket is opened, if not at its own address; port 0 takes any.
    #[schemars(with = "Option<String>")]
    pub bind: Option<SocketAddr>,
    /// The share of each class that is let in however much is shed, 0 to 1.
    #[serde(default = "class_floor")]
    #[schemars(range(min = 0, max = 1))]
    pub class_floor: f64,
    /// The further sends that the fleet may make.
    #[serde(default)]
    pub budgets: Budgets,
    /// Times of the protocol.
    #[serde(default)]
    pub timing: Timing,
}

/// A member.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, unlike all others.
    pub name: String,
    /// Where its datagrams come from and go to: an IP address and a port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its region: its members elect a coordinator among them.
    pub region: String,
    /// Its zone.
    pub zone: String,
}

/// Further sends, as shares of the fleet's first tries.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Retries, 0 to 10.
    #[schemars(range(min = 0, max = 10))]
    pub retries: f64,
    /// Second copies, 0 to 10.
    #[schemars(range(min = 0, max = 10))]
    pub copies: f64,
}

impl Default for Budgets {
    fn default() -> Budgets {
        Budgets { retries: 0.1, copies: 0.05 }
    }
}

/// Times of the protocol, in milliseconds.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How often a member tells some others what it knows, 20 to 60,000.
    #[schemars(range(min = 20, max = 60_000))]
    pub period_ms: u64,
    /// How long a member that does not answer is suspected before it counts as gone: one period at least.
    #[schemars(range(max = 600_000))]
    pub suspect_ms: u64,
    /// How long a lease lasts: four periods at least, since it is renewed within them.
    #[schemars(range(max = 600_000))]
    pub lease_ms: u64,
    /// By what share two clocks may differ in speed, 0 to 0.2.
    #[schemars(range(min = 0, max = 0.2))]
    pub drift: f64,
    /// How long discovery is out of reach before members elect a coordinator: one period at least.
    #[schemars(range(max = 600_000))]
    pub outage_ms: u64,
    /// A call for votes comes between this and twice this long after the need for one is seen.
    #[schemars(range(min = 20, max = 60_000))]
    pub election_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        let api::Timing { period, suspect, lease, drift, outage, election } = api::Timing::default();
        Timing {
            period_ms: period,
            suspect_ms: suspect,
            lease_ms: lease,
            drift,
            outage_ms: outage,
            election_ms: election,
        }
    }
}

fn class_floor() -> f64 {
    0.05
}

impl Timing {
    /// Checks each time against its bounds, and those that hang together against each other.
    fn check(&self) -> Result<()> {
        let Timing { period_ms, suspect_ms, lease_ms, drift, outage_ms, election_ms } = *self;
        for (key, value, least, most) in [
            ("period_ms", period_ms, 20, 60_000),
            ("suspect_ms", suspect_ms, period_ms, 600_000),
            ("lease_ms", lease_ms, period_ms.saturating_mul(4), 600_000),
            ("outage_ms", outage_ms, period_ms, 600_000),
            ("election_ms", election_ms, 20, 60_000),
        ] {
            if !(least..=most).contains(&value) {
                bail!("peers.timing.{key}: {value} is not between {least} and {most}");
            }
        }
        within("peers.timing.drift", drift, 0.2)
    }
}

/// Checks a figure that is not below 0.
fn within(key: &str, value: f64, most: f64) -> Result<()> {
    // What is no number is in no range.
    if (0.0..=most).contains(&value) {
        return Ok(());
    }
    bail!("{key}: {value} is not between 0 and {most}")
}

impl Peers {
    /// Checks the section by itself. An error names the key.
    pub fn check(&self) -> Result<()> {
        if self.members.is_empty() {
            bail!("peers.members: there is none");
        }
        if self.members.len() > MEMBERS {
            bail!("peers.members: {} are more than {MEMBERS}", self.members.len());
        }
        let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
        for (place, member) in self.members.iter().enumerate() {
            let key = |name: &str| format!("peers.members[{place}].{name}");
            for (name, text) in [("name", &member.name), ("region", &member.region), ("zone", &member.zone)] {
                if text.trim().is_empty() {
                    bail!("{}: it is empty", key(name));
                }
            }
            let address = member.address;
            if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
                bail!("{}: nothing can be sent to {address}", key("address"));
            }
            if let Some(other) = names.insert(&member.name, place) {
                bail!("{}: members[{other}] is named {:?}, too", key("name"), member.name);
            }
            if let Some(other) = addresses.insert(address, place) {
                bail!("{}: members[{other}] is at {address}, too", key("address"));
            }
        }
        if let Some(me) = self.me.as_ref().filter(|me| !names.contains_key(me)) {
            bail!("peers.me: no member is named {me:?}");
        }
        within("peers.class_floor", self.class_floor, 1.0)?;
        within("peers.budgets.retries", self.budgets.retries, 10.0)?;
        within("peers.budgets.copies", self.budgets.copies, 10.0)?;
        self.timing.check()
    }

    /// The member that this process is: the file's, or the one of the environment.
    fn me(&self, environment: Option<&str>) -> Result<&Member> {
        let environment = environment.filter(|name| !name.is_empty());
        let name = match (self.me.as_deref(), environment) {
            (Some(file), Some(other)) if file != other => {
                bail!("peers.me: the file says {file:?}, and {MEMBER} says {other:?}")
            }
            (file, environment) => file.or(environment).with_context(|| {
                format!("peers.me: it is missing, and {MEMBER} does not say which member this is")
            })?,
        };
        let found = self.members.iter().find(|member| member.name == name);
        found.with_context(|| format!("peers.me: no member is named {name:?}"))
    }

    /// Where this member's socket is opened.
    pub fn bind(&self, environment: Option<&str>) -> Result<SocketAddr> {
        Ok(self.bind.unwrap_or(self.me(environment)?.address))
    }

    /// The section in the terms of the protocol, for a platform's classes.
    pub fn config(&self, environment: Option<&str>, settings: &SettingsObject) -> Result<api::Config> {
        let me = &self.me(environment)?.name;
        let mut members: Vec<&Member> = self.members.iter().collect();
        members.sort_by(|one, other| one.name.cmp(&other.name));
        let regions: BTreeSet<&String> = members.iter().map(|member| &member.region).collect();
        let regions: Vec<String> = regions.into_iter().cloned().collect();
        let place = |found: Option<usize>| found.and_then(|place| u16::try_from(place).ok());
        let region = |name: &String| place(regions.binary_search(name).ok()).map(api::RegionId);
        let told = settings.settings();
        let classes = told.classes.iter();
        let Timing { period_ms, suspect_ms, lease_ms, drift, outage_ms, election_ms } = self.timing;
        Ok(api::Config {
            me: place(members.iter().position(|member| member.name == *me))
                .map(api::MemberId)
                .context("peers.members: too many")?,
            members: members
                .iter()
                .map(|member| {
                    let region = region(&member.region).context("peers.members: too many regions")?;
                    let Member { name, address, zone, .. } = (*member).clone();
                    Ok(api::Member { name, address, region, zone })
                })
                .collect::<Result<_>>()?,
            classes: classes
                .map(|class| api::ClassPriority {
                    priority_weight: class.priority_weight,
                    per_work_unit: told.weight_per_work,
                })
                .collect(),
            class_floor: self.class_floor,
            budgets: api::Budgets { retries: self.budgets.retries, hedges: self.budgets.copies },
            timing: api::Timing {
                period: period_ms,
                suspect: suspect_ms,
                lease: lease_ms,
                drift,
                outage: outage_ms,
                election: election_ms,
            },
            regions,
        })
    }
}

#[cfg(test)]
mod tests;
