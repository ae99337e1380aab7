//! What binds a process now: where each service's requests may go.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::content::{Content, Filter, key_of, zone_key};
use crate::names::Service;

/// What may be done with a request towards a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent there.
    Allowed,
    /// Its rules forbid that.
    Outside,
    /// Rules that bind it are known of and not yet here: nothing of it may be sent at all.
    Waiting {
        /// The generation that is waited for; 0 while a new process listens for any.
        generation: u64,
    },
}

/// Where a service's requests may go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stand<'b> {
    /// Anywhere: no rule is for it.
    Free,
    /// To zones with these keys ([`zone_key`]).
    Within(&'b BTreeSet<u64>),
    /// Nowhere, until the rules of this generation are here; 0 while a new process listens for any.
    Waiting(u64),
}

impl Stand<'_> {
    /// The verdict for a zone.
    pub fn verdict(self, zone: &str) -> Verdict {
        match self {
            Stand::Free => Verdict::Allowed,
            Stand::Within(zones) if zones.contains(&zone_key(zone)) => Verdict::Allowed,
            Stand::Within(_) => Verdict::Outside,
            Stand::Waiting(generation) => Verdict::Waiting { generation },
        }
    }
}

/// What binds now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    pub(crate) version: u64,
    pub(crate) generation: u64,
    pub(crate) content: Arc<Content>,
    /// A newer generation, or another content of this, that was heard of, and the services that it may be for.
    pub(crate) awaited: Option<(u64, Filter)>,
    /// Whether a new process still listens for what others hold.
    pub(crate) listening: bool,
}

static NOWHERE: BTreeSet<u64> = BTreeSet::new();

impl Binding {
    /// A number that changes only when something here does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Where a service's requests may go.
    pub fn of(&self, service: &Service) -> Stand<'_> {
        self.of_key(key_of(service))
    }

    /// The same by the service's key.
    pub fn of_key(&self, service: u64) -> Stand<'_> {
        let ruled = self.content.services.get(&service);
        match self.awaited {
            Some((generation, concerned)) if concerned.may_hold(service) => Stand::Waiting(generation),
            _ if self.listening && ruled.is_some() => Stand::Waiting(0),
            _ if self.content.closed => Stand::Within(&NOWHERE),
            _ => ruled.map_or(Stand::Free, Stand::Within),
        }
    }
}
