//! What stands in the operators' file under `residency`.

use std::collections::BTreeMap;
use std::fmt::Formatter;

use schemars::JsonSchema;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Where the requests of a service may go.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// Which edition of the rules this is: the highest among the members binds them all. Raise it with every change.
    #[schemars(range(min = 1, max = 9_007_199_254_740_991_u64))]
    pub generation: u64,
    /// Zones by the region's name. A zone is of one region at most; one that is in none is outside all.
    #[schemars(with = "BTreeMap<String, Vec<String>>")]
    pub regions: Regions,
    /// Which services are kept inside which regions.
    pub rules: Vec<Rule>,
    /// Where requests go that no rule is for.
    #[serde(default)]
    pub unruled: Unruled,
}

/// One service's rule. Exactly one of `class`, `route` and `tenant` is given.
#[derive(Deserialize, JsonSchema, Debug, Clone, PartialEq, Eq, Default)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// A class of the platform.
    #[serde(default)]
    pub class: Option<String>,
    /// A route of the section `routes`.
    #[serde(default)]
    pub route: Option<String>,
    /// A tenant of the platform.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Regions in whose zones its requests may be served.
    pub regions: Vec<String>,
}

/// Where requests go that no rule is for.
#[derive(Deserialize, JsonSchema, Debug, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Unruled {
    /// To any zone.
    #[default]
    Anywhere,
}

/// Regions with their zones as the file gives them: in its order, and with names given twice, which a map would lose.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Regions(pub Vec<(String, Vec<String>)>);

impl<'de> Deserialize<'de> for Regions {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Regions, D::Error> {
        struct Pairs;
        impl<'de> Visitor<'de> for Pairs {
            type Value = Regions;

            fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
                f.write_str("regions by name, each a list of zones")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Regions, A::Error> {
                let mut regions = Vec::new();
                while let Some(pair) = map.next_entry()? {
                    regions.push(pair);
                }
                Ok(Regions(regions))
            }
        }
        from.deserialize_map(Pairs)
    }
}
