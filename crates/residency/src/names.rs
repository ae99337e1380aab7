//! The names that rules are checked against, as the caller's own data.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter};

/// What a rule can be for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Service {
    /// A class of the platform, by its name.
    Class(String),
    /// A route of the operators' file, by its name.
    Route(String),
    /// A tenant of the platform, by its name.
    Tenant(String),
}

impl Service {
    /// Its kind and name.
    pub fn parts(&self) -> (&'static str, &str) {
        match self {
            Service::Class(name) => ("class", name),
            Service::Route(name) => ("route", name),
            Service::Tenant(name) => ("tenant", name),
        }
    }
}

impl Display for Service {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let (kind, name) = self.parts();
        write!(f, "{kind} {name:?}")
    }
}

/// Which servers discard repeats of a class's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Scope {
    /// None has to: the class may run again, or never has a second send that may have run.
    #[default]
    Free,
    /// Every server, by key.
    All,
    /// Those of the zone of the first send, by key.
    Zone,
    /// Those of its cell, by key.
    Cell,
}

/// A class of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// Who discards repeats of its requests.
    pub scope: Scope,
}

/// A route of the operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteFacts {
    /// Its name.
    pub name: String,
    /// The classes whose requests can come to it, each with such a request as text (`POST /issue/x with k: v`); an empty
    /// text where none is at hand.
    pub classes: BTreeMap<String, String>,
    /// Whether headers have part in whether a request comes to it, its own or those of a route inside it: then a client
    /// may try again with the same key and come elsewhere.
    pub by_headers: bool,
}

/// What there is, for the checks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Context {
    /// The platform's classes.
    pub classes: Vec<ClassFacts>,
    /// The routes of the same operators' file.
    pub routes: Vec<RouteFacts>,
    /// The platform's tenants; may be empty.
    pub tenants: Vec<String>,
    /// All zones; empty where they are not known, and then none is refused as unknown.
    pub zones: BTreeSet<String>,
    /// The zones of each cell's servers, by the cell's number; empty where they are not known.
    pub cells: BTreeMap<u64, BTreeSet<String>>,
}
