//! Two members compare what they hold of rare facts, in three steps at most, and tell each other what differs.

use std::collections::BTreeSet;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{Facts, Owner, Place, encode, is_frequent};
use crate::api::{MemberId, Millis};
use crate::wire::{MAX_PART_BYTES, Outbox, PartKind};

/// How many digests stand in one step of a comparison.
const DIGESTS: u16 = 32;

/// A step of a comparison.
#[derive(Debug, Serialize, Deserialize)]
enum Compare {
    /// Digests of what the owners of places that leave this remainder by [`DIGESTS`] said.
    Remainders(Vec<u32>),
    /// Digests by owner, for the owners `first`, `first` + 32, `first` + 64 and so on.
    Owners { first: u16, digests: Vec<u32> },
    /// Tell what is known of these owners.
    Want(Vec<MemberId>),
}

impl Facts {
    /// Begins to compare rare facts with a member.
    pub(super) fn compare_with(&mut self, to: MemberId, out: &mut Outbox) {
        let mut digests = vec![0; usize::from(DIGESTS).min(self.owners.len())];
        for (place, owner) in self.owners.iter().enumerate() {
            if let Some(digest) = digests.get_mut(place % usize::from(DIGESTS)) {
                *digest ^= owner.digest;
            }
        }
        send(to, &Compare::Remainders(digests), out);
    }

    /// Takes in a step of a comparison. False: it is malformed.
    pub fn handle_sync(&mut self, now: Millis, from: MemberId, part: &[u8], out: &mut Outbox) -> bool {
        let Ok(step) = postcard::from_bytes::<Compare>(part) else { return false };
        match step {
            Compare::Remainders(theirs) => {
                if theirs.len() != usize::from(DIGESTS).min(self.owners.len()) {
                    return false;
                }
                let mut differ: Vec<u16> = Vec::new();
                for (remainder, &digest) in (0..).zip(&theirs) {
                    if self.owners_from(remainder).fold(0, |all, (_, owner)| all ^ owner.digest) != digest {
                        differ.push(remainder);
                    }
                }
                // As many as hold 32 owners, at least two: the rest have their turn in later periods.
                let each = self.owners.len().div_ceil(usize::from(DIGESTS));
                for _ in 0..(usize::from(DIGESTS) / each).max(2).min(differ.len()) {
                    let remainder = differ.swap_remove(self.rng.random_range(0..differ.len()));
                    let all = self.owners_from(remainder).count();
                    let rows = all.div_ceil(usize::from(DIGESTS));
                    let skip = self.rng.random_range(0..rows.max(1)) * usize::from(DIGESTS);
                    let some: Vec<(u16, Owner)> =
                        self.owners_from(remainder).skip(skip).take(usize::from(DIGESTS)).collect();
                    if let Some(&(first, _)) = some.first() {
                        let digests = some.iter().map(|(_, owner)| owner.digest).collect();
                        send(from, &Compare::Owners { first, digests }, out);
                    }
                }
                true
            }
            Compare::Owners { first, digests } => {
                if digests.len() > usize::from(DIGESTS) {
                    return false;
                }
                let differ: Vec<MemberId> = self
                    .owners_from(first)
                    .zip(&digests)
                    .filter(|((_, mine), theirs)| mine.digest != **theirs && !mine.gone)
                    .map(|((owner, _), _)| MemberId(owner))
                    .collect();
                if !differ.is_empty() {
                    self.answer(now, from, &differ, out);
                    send(from, &Compare::Want(differ), out);
                }
                true
            }
            Compare::Want(owners) => {
                if owners.len() > usize::from(DIGESTS) {
                    return false;
                }
                self.answer(now, from, &owners, out);
                true
            }
        }
    }

    /// Tells a member what is held of these owners, beginning anywhere among them: what does not fit is told another time.
    fn answer(&mut self, now: Millis, to: MemberId, owners: &[MemberId], out: &mut Outbox) {
        if self.answers == 0 {
            return;
        }
        let wanted: BTreeSet<MemberId> = owners.iter().copied().filter(|owner| *owner != to).collect();
        let all: Vec<Place> = wanted
            .into_iter()
            .flat_map(|owner| self.of_owner(owner))
            .filter(|place| !is_frequent(place.kind))
            .collect();
        if all.is_empty() {
            return;
        }
        let first = self.rng.random_range(0..all.len());
        let mut part = Vec::new();
        for place in all.iter().cycle().skip(first).take(all.len()) {
            let Some(held) = self.held.get(place) else { continue };
            let Some(bytes) = encode(now, *place, held) else { continue };
            if part.len() + bytes.len() > MAX_PART_BYTES {
                out.push(to, PartKind::FACTS, &std::mem::take(&mut part));
                self.answers -= 1;
                if self.answers == 0 {
                    return;
                }
            }
            part.extend_from_slice(&bytes);
        }
        if !part.is_empty() {
            self.answers -= 1;
            out.push(to, PartKind::FACTS, &part);
        }
    }

    fn owners_from(&self, first: u16) -> impl Iterator<Item = (u16, Owner)> {
        (first..u16::MAX)
            .step_by(usize::from(DIGESTS))
            .map_while(|place| self.owners.get(usize::from(place)).map(|owner| (place, *owner)))
    }
}

fn send(to: MemberId, step: &Compare, out: &mut Outbox) {
    if let Ok(body) = postcard::to_allocvec(step) {
        out.push(to, PartKind::FACT_SYNC, &body);
    }
}
