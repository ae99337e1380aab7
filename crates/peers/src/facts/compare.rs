//! Synchronisation of rare facts between two members. They compare digests in at most three steps and send
//! each other the facts of owners whose digests differ.

use std::collections::BTreeSet;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{FactId, Facts, OwnerState, encode, is_frequent};
use crate::api::{MemberId, Millis};
use crate::wire::{MAX_PART_BYTES, Outbox, PartKind};

/// The maximum number of digests or owners in one step. It is also the number of groups: an owner belongs to
/// the group that is the remainder of its member id divided by this number.
const DIGESTS_PER_STEP: u16 = 32;

/// A step of a synchronisation.
#[derive(Debug, Serialize, Deserialize)]
enum SyncStep {
    /// One digest per group of owners, in the order of the groups. See [`DIGESTS_PER_STEP`].
    GroupDigests(Vec<u32>),
    /// One digest per owner, for the owners `first`, `first` + 32, `first` + 64 and so on.
    OwnerDigests { first: u16, digests: Vec<u32> },
    /// A request for the facts of these owners.
    Request(Vec<MemberId>),
}

impl Facts {
    /// Starts a synchronisation of rare facts with a member.
    pub(super) fn start_sync(&mut self, to: MemberId, outbox: &mut Outbox) {
        let mut digests = vec![0; usize::from(DIGESTS_PER_STEP).min(self.owners.len())];
        for (index, owner) in self.owners.iter().enumerate() {
            if let Some(digest) = digests.get_mut(index % usize::from(DIGESTS_PER_STEP)) {
                *digest ^= owner.digest;
            }
        }
        send_step(to, &SyncStep::GroupDigests(digests), outbox);
    }

    /// Handles a step of a synchronisation. Returns false if the step is malformed.
    pub fn handle_sync(&mut self, now: Millis, from: MemberId, part: &[u8], outbox: &mut Outbox) -> bool {
        let Ok(step) = postcard::from_bytes::<SyncStep>(part) else { return false };
        match step {
            SyncStep::GroupDigests(their_digests) => {
                if their_digests.len() != usize::from(DIGESTS_PER_STEP).min(self.owners.len()) {
                    return false;
                }
                let mut differing: Vec<u16> = Vec::new();
                for (group, &digest) in (0..).zip(&their_digests) {
                    if self.owners_in_group(group).fold(0, |combined, (_, owner)| combined ^ owner.digest)
                        != digest
                    {
                        differing.push(group);
                    }
                }
                // Replies for as many differing groups as contain 32 owners, and for at least two if that
                // many differ. Later periods cover the remaining groups.
                let owners_per_group = self.owners.len().div_ceil(usize::from(DIGESTS_PER_STEP));
                for _ in 0..(usize::from(DIGESTS_PER_STEP) / owners_per_group).max(2).min(differing.len()) {
                    let group = differing.swap_remove(self.rng.random_range(0..differing.len()));
                    let owner_count = self.owners_in_group(group).count();
                    let chunk_count = owner_count.div_ceil(usize::from(DIGESTS_PER_STEP));
                    let skipped =
                        self.rng.random_range(0..chunk_count.max(1)) * usize::from(DIGESTS_PER_STEP);
                    let chunk: Vec<(u16, OwnerState)> = self
                        .owners_in_group(group)
                        .skip(skipped)
                        .take(usize::from(DIGESTS_PER_STEP))
                        .collect();
                    if let Some(&(first, _)) = chunk.first() {
                        let digests = chunk.iter().map(|(_, owner)| owner.digest).collect();
                        send_step(from, &SyncStep::OwnerDigests { first, digests }, outbox);
                    }
                }
                true
            }
            SyncStep::OwnerDigests { first, digests } => {
                if digests.len() > usize::from(DIGESTS_PER_STEP) {
                    return false;
                }
                let differing: Vec<MemberId> = self
                    .owners_in_group(first)
                    .zip(&digests)
                    .filter(|((_, own), their_digest)| own.digest != **their_digest && !own.gone)
                    .map(|((owner, _), _)| MemberId(owner))
                    .collect();
                if !differing.is_empty() {
                    self.send_facts(now, from, &differing, outbox);
                    send_step(from, &SyncStep::Request(differing), outbox);
                }
                true
            }
            SyncStep::Request(owners) => {
                if owners.len() > usize::from(DIGESTS_PER_STEP) {
                    return false;
                }
                self.send_facts(now, from, &owners, outbox);
                true
            }
        }
    }

    /// Sends a member the stored rare facts of these owners, beginning at a random one. Facts that do not fit
    /// into the datagrams left in this period are sent in a later synchronisation.
    fn send_facts(&mut self, now: Millis, to: MemberId, owners: &[MemberId], outbox: &mut Outbox) {
        if self.sync_datagrams_left == 0 {
            return;
        }
        let wanted: BTreeSet<MemberId> = owners.iter().copied().filter(|owner| *owner != to).collect();
        let ids: Vec<FactId> = wanted
            .into_iter()
            .flat_map(|owner| self.ids_of_owner(owner))
            .filter(|id| !is_frequent(id.kind))
            .collect();
        if ids.is_empty() {
            return;
        }
        let start = self.rng.random_range(0..ids.len());
        let mut part = Vec::new();
        for id in ids.iter().cycle().skip(start).take(ids.len()) {
            let Some(stored) = self.stored.get(id) else { continue };
            let Some(bytes) = encode(now, *id, stored) else { continue };
            if part.len() + bytes.len() > MAX_PART_BYTES {
                outbox.push(to, PartKind::FACTS, &std::mem::take(&mut part));
                self.sync_datagrams_left -= 1;
                if self.sync_datagrams_left == 0 {
                    return;
                }
            }
            part.extend_from_slice(&bytes);
        }
        if !part.is_empty() {
            self.sync_datagrams_left -= 1;
            outbox.push(to, PartKind::FACTS, &part);
        }
    }

    /// Returns the owners `first`, `first` + 32, `first` + 64 and so on, with their indexes.
    fn owners_in_group(&self, first: u16) -> impl Iterator<Item = (u16, OwnerState)> {
        (first..u16::MAX)
            .step_by(usize::from(DIGESTS_PER_STEP))
            .map_while(|index| self.owners.get(usize::from(index)).map(|owner| (index, *owner)))
    }
}

fn send_step(to: MemberId, step: &SyncStep, outbox: &mut Outbox) {
    if let Ok(body) = postcard::to_allocvec(step) {
        outbox.push(to, PartKind::FACT_SYNC, &body);
    }
}
