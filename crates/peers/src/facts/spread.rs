//! The facts that a member sends to other members in each period.

use rand::RngExt;

use super::{
    FANOUT, FactId, Facts, MAX_SYNC_DATAGRAMS, StoredFact, age, encode, is_event, is_frequent, to_signed,
};
use crate::api::{FactKind, MemberId, Millis};
use crate::wire::{MAX_PART_BYTES, Outbox, PartKind};

impl Facts {
    /// Runs the periodic work: republishes own facts and removes expired ones when they are due, sends facts
    /// to random living members and starts a synchronisation with one of them.
    pub fn on_period(&mut self, now: Millis, living: &[MemberId], outbox: &mut Outbox) {
        if now >= self.next_republish {
            self.next_republish = now.saturating_add(self.republish_interval());
            self.republish(now);
        }
        if now >= self.next_expiry_check {
            self.next_expiry_check = now.saturating_add(self.period.saturating_mul(5));
            let (frequent_expiry, rare_expiry) =
                (self.expiry(FactKind::LOAD), self.expiry(FactKind::REACHABILITY));
            // Own facts of rare kinds do not expire, because this member republishes them. Its withdrawn
            // facts do.
            let is_republished = |id: &FactId, stored: &StoredFact| {
                id.owner == self.me && !stored.body.is_empty() && !is_frequent(id.kind)
            };
            let is_expired = |id: &FactId, stored: &StoredFact| {
                age(now, stored.published_at)
                    > if is_frequent(id.kind) { frequent_expiry } else { rare_expiry }
                    && !is_republished(id, stored)
            };
            let expired: Vec<FactId> =
                self.stored.iter().filter(|(id, stored)| is_expired(id, stored)).map(|(id, _)| *id).collect();
            self.remove_all(expired.into_iter());
        }
        self.sync_datagrams_left = MAX_SYNC_DATAGRAMS;
        let targets = self.choose_targets(living, FANOUT + 1);
        for (index, &to) in targets.iter().take(FANOUT).enumerate() {
            let part = self.next_part(now, to, index + 1 == FANOUT.min(targets.len()) && index > 0);
            if !part.is_empty() {
                outbox.push(to, PartKind::FACTS, &part);
            }
        }
        if let Some(&to) = targets.last() {
            self.start_sync(to, outbox);
        }
    }

    /// Returns up to `count` living members other than this one, in random order.
    fn choose_targets(&mut self, living: &[MemberId], count: usize) -> Vec<MemberId> {
        let mut chosen: Vec<MemberId> = Vec::new();
        let other_count = living.len().saturating_sub(usize::from(living.contains(&self.me)));
        while chosen.len() < count.min(other_count) {
            let Some(&member) = living.get(self.rng.random_range(0..living.len())) else { break };
            if member != self.me && !chosen.contains(&member) {
                chosen.push(member);
            }
        }
        chosen
    }

    /// Returns the datagram part with the next facts to send to a member. Facts that the member itself
    /// published are left out.
    fn next_part(&mut self, now: Millis, to: MemberId, frequent_first: bool) -> Vec<u8> {
        let mut part = Vec::new();
        let mut sent = Vec::new();
        let queues = match frequent_first {
            true => [&self.frequent_queue, &self.rare_queue],
            false => [&self.rare_queue, &self.frequent_queue],
        };
        'queues: for queue in queues {
            let mut skipped = 0;
            for entry in queue {
                if entry.2.owner == to {
                    continue;
                }
                let Some(bytes) = self.stored.get(&entry.2).and_then(|stored| encode(now, entry.2, stored))
                else {
                    continue;
                };
                if part.len() + bytes.len() > MAX_PART_BYTES {
                    skipped += 1;
                    // A shorter fact may still fit. The search in this queue ends at the fifth fact that does
                    // not fit, or when fewer than 16 bytes are left.
                    if skipped > 4 || MAX_PART_BYTES - part.len() < 16 {
                        continue 'queues;
                    }
                    continue;
                }
                part.extend_from_slice(&bytes);
                sent.push(*entry);
            }
        }
        let max_transmissions = self.max_transmissions();
        for entry in sent {
            let id = entry.2;
            let queue = if is_frequent(id.kind) { &mut self.frequent_queue } else { &mut self.rare_queue };
            queue.remove(&entry);
            if let Some(stored) = self.stored.get_mut(&id) {
                stored.transmissions = stored
                    .transmissions
                    .map(|transmissions| transmissions + 1)
                    .filter(|transmissions| *transmissions < max_transmissions);
                queue.extend(stored.queue_entry(self.me, id));
            }
        }
        part
    }

    /// Republishes own facts of rare kinds with a new version, except those that describe an event. Withdrawn
    /// facts are left to expire.
    fn republish(&mut self, now: Millis) {
        let own_ids: Vec<FactId> = self
            .stored
            .iter()
            .filter(|(id, stored)| {
                id.owner == self.me && !is_frequent(id.kind) && !is_event(id.kind) && !stored.body.is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in own_ids {
            self.version = self.version.saturating_add(1);
            let Some(stored) = self.stored.get(&id) else { continue };
            let body = stored.body.clone();
            let (incarnation, version) = (self.incarnation, self.version);
            self.insert(
                id,
                StoredFact {
                    incarnation,
                    version,
                    body,
                    published_at: to_signed(now),
                    transmissions: Some(0),
                },
            );
        }
    }
}
