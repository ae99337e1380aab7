//! Sets of servers, and groups of them by a key. Nothing is decided here.

use std::collections::BTreeMap;

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

use crate::api::UpstreamId;

/// Members in the order that draws go by; which one has an index is the same wherever the same events came.
pub(crate) type Set = IndexSet<UpstreamId, FxBuildHasher>;

/// Adds a member to its group.
pub(crate) fn join<K: Ord>(groups: &mut BTreeMap<K, Set>, group: K, id: UpstreamId) {
    groups.entry(group).or_default().insert(id);
}

/// Takes a member out of its group, and the group away with its last member.
pub(crate) fn leave<K: Ord + Copy>(groups: &mut BTreeMap<K, Set>, group: K, id: UpstreamId) {
    let Some(set) = groups.get_mut(&group) else { return };
    set.swap_remove(&id);
    if set.is_empty() {
        groups.remove(&group);
    }
}
