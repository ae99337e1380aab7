//! Servers by the names of lists and by the module's ids, and what lists said of them last.

use std::collections::{BTreeMap, BTreeSet};

use peers::api::{ChangeReason, ServerEntry, ServerKey, ServerState};
use sagemast::api::UpstreamId;

/// Names of servers that are gone are forgotten when there are more than this many names.
const NAMES: usize = 4_096;

/// What is known of a server's name.
#[derive(Debug)]
struct Named {
    id: UpstreamId,
    standing: ServerState,
    /// What the sidecar's own discovery told last, and of which life.
    told: Option<(ServerState, f64)>,
    /// Whether a coordinator's word withdrew it.
    withdrawn: bool,
}

/// All servers that a list has named.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    named: BTreeMap<ServerKey, Named>,
    keys: BTreeMap<UpstreamId, ServerKey>,
}

impl Roster {
    /// Takes in what the sidecar's own discovery told: its word ends all withdrawals.
    pub fn listed(&mut self, whole: bool, entries: &[(UpstreamId, ServerEntry)]) {
        let told: BTreeSet<ServerKey> = entries.iter().map(|(_, entry)| ServerKey::of(&entry.host)).collect();
        if whole {
            for (_, named) in self.named.iter_mut().filter(|(key, _)| !told.contains(key)) {
                named.standing = ServerState::Gone;
                named.told = named.told.map(|(_, started)| (ServerState::Gone, started));
            }
        }
        for (id, entry) in entries {
            let named = self.applied(*id, entry);
            (named.told, named.withdrawn) = (Some((entry.state, entry.started_ms)), false);
        }
        if self.named.len() > NAMES {
            self.named.retain(|_, named| named.standing != ServerState::Gone);
            self.keys.retain(|_, key| self.named.contains_key(key));
        }
    }

    /// Takes in an entry that the sidecar applied, whoever it came from.
    pub fn apply(&mut self, id: UpstreamId, entry: &ServerEntry) {
        self.applied(id, entry);
    }

    fn applied(&mut self, id: UpstreamId, entry: &ServerEntry) -> &mut Named {
        let key = ServerKey::of(&entry.host);
        self.keys.insert(id, key);
        let named = self.named.entry(key).or_insert(Named {
            id,
            standing: entry.state,
            told: None,
            withdrawn: false,
        });
        (named.id, named.standing) = (id, entry.state);
        named
    }

    /// Whether an entry of peers may be applied; it is then taken for applied. Never one that brings back a server that
    /// the sidecar's own discovery said leaves, unless it has started anew since; never a withdrawal or its end for one
    /// that no list has named here; and only what was withdrawn is given back.
    pub fn allows(&mut self, entry: &ServerEntry, why: ChangeReason) -> bool {
        let serving = entry.state == ServerState::Serving;
        let Some(named) = self.named.get_mut(&ServerKey::of(&entry.host)) else {
            return why == ChangeReason::NewerList;
        };
        let leaves = named.told.is_some_and(|(told, life)| {
            told != ServerState::Serving && !(entry.started_ms > life && why == ChangeReason::NewerList)
        });
        let allowed = match why {
            ChangeReason::NewerList => !(serving && leaves),
            ChangeReason::Withdrawn => !serving,
            ChangeReason::Restored => serving && !leaves && named.withdrawn,
        };
        if allowed {
            (named.standing, named.withdrawn) = (entry.state, why == ChangeReason::Withdrawn);
        }
        allowed
    }

    /// The module's id of a server.
    pub fn id(&self, key: ServerKey) -> Option<UpstreamId> {
        self.named.get(&key).map(|named| named.id)
    }

    /// The key of a server that the module knows by this id.
    pub fn key(&self, id: UpstreamId) -> Option<ServerKey> {
        self.keys.get(&id).copied()
    }
}
