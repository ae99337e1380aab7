//! What a member tells others each period.

use rand::RngExt;

use super::{FANOUT, Facts, Held, MAX_SYNC_DATAGRAMS, Place, age, encode, is_frequent, momentary, signed};
use crate::api::{FactKind, MemberId, Millis};
use crate::wire::{MAX_PART_BYTES, Outbox, PartKind};

impl Facts {
    /// Tells some of the living what is new, compares with one, says own facts again and lets old ones end.
    pub fn on_period(&mut self, now: Millis, living: &[MemberId], out: &mut Outbox) {
        if now >= self.again {
            self.again = now.saturating_add(self.republish_interval());
            self.say_again(now);
        }
        if now >= self.sweep {
            self.sweep = now.saturating_add(self.period.saturating_mul(5));
            let (often, rare) = (self.expiry(FactKind::LOAD), self.expiry(FactKind::REACHABILITY));
            // What is taken back of one's own may be forgotten, what stands is said again.
            let stands = |place: &Place, held: &Held| {
                place.owner == self.me && !held.body.is_empty() && !is_frequent(place.kind)
            };
            let over = |place: &Place, held: &Held| {
                age(now, held.said) > if is_frequent(place.kind) { often } else { rare }
                    && !stands(place, held)
            };
            let ended: Vec<Place> =
                self.held.iter().filter(|(place, held)| over(place, held)).map(|(place, _)| *place).collect();
            self.end(ended.into_iter());
        }
        self.answers = MAX_SYNC_DATAGRAMS;
        let others = self.choose(living, FANOUT + 1);
        for (nth, &to) in others.iter().take(FANOUT).enumerate() {
            let part = self.part(now, to, nth + 1 == FANOUT.min(others.len()) && nth > 0);
            if !part.is_empty() {
                out.push(to, PartKind::FACTS, &part);
            }
        }
        if let Some(&to) = others.last() {
            self.compare_with(to, out);
        }
    }

    /// Up to so many of the living, without this member, in random order.
    fn choose(&mut self, living: &[MemberId], count: usize) -> Vec<MemberId> {
        let mut chosen: Vec<MemberId> = Vec::new();
        let others = living.len().saturating_sub(usize::from(living.contains(&self.me)));
        while chosen.len() < count.min(others) {
            let Some(&member) = living.get(self.rng.random_range(0..living.len())) else { break };
            if member != self.me && !chosen.contains(&member) {
                chosen.push(member);
            }
        }
        chosen
    }

    /// A datagram's part of facts whose turn it is.
    fn part(&mut self, now: Millis, to: MemberId, often_first: bool) -> Vec<u8> {
        let mut part = Vec::new();
        let mut told = Vec::new();
        let queues = match often_first {
            true => [&self.often, &self.rare],
            false => [&self.rare, &self.often],
        };
        'full: for queue in queues {
            let mut misfits = 0;
            for turn in queue {
                if turn.2.owner == to {
                    continue;
                }
                let Some(bytes) = self.held.get(&turn.2).and_then(|held| encode(now, turn.2, held)) else {
                    continue;
                };
                if part.len() + bytes.len() > MAX_PART_BYTES {
                    misfits += 1;
                    // A shorter one may still fit; not for long.
                    if misfits > 4 || MAX_PART_BYTES - part.len() < 16 {
                        continue 'full;
                    }
                    continue;
                }
                part.extend_from_slice(&bytes);
                told.push(*turn);
            }
        }
        let most = self.max_transmissions();
        for turn in told {
            let place = turn.2;
            let queue = if is_frequent(place.kind) { &mut self.often } else { &mut self.rare };
            queue.remove(&turn);
            if let Some(held) = self.held.get_mut(&place) {
                held.told = held.told.map(|told| told + 1).filter(|told| *told < most);
                queue.extend(held.turn(self.me, place));
            }
        }
        part
    }

    /// Says own rare facts again, as if new; what was taken back is left to expire.
    fn say_again(&mut self, now: Millis) {
        let mine: Vec<Place> = self
            .held
            .iter()
            .filter(|(place, held)| {
                place.owner == self.me
                    && !is_frequent(place.kind)
                    && !momentary(place.kind)
                    && !held.body.is_empty()
            })
            .map(|(place, _)| *place)
            .collect();
        for place in mine {
            self.version = self.version.saturating_add(1);
            let Some(held) = self.held.get(&place) else { continue };
            let body = held.body.clone();
            let (incarnation, version) = (self.incarnation, self.version);
            self.insert(place, Held { incarnation, version, body, said: signed(now), told: Some(0) });
        }
    }
}
