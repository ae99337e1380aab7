//! What this member may use of things that all members share: whole requests to a cold server in each window.
//!
//! **Rights.** A bound of B requests in each window W is split over the *configured* members by rendezvous hashing: member
//! m has R(m) by right, and these add up to B exactly. A right is never dealt, voted for or lost, whoever lives. It depends
//! on the server's key and on B alone: each member has its own view of when a server started, and two views
//! of a split would add up to more. Where members know different B, what they have is no more than by the highest, as
//! R(m) only grows with B.
//!
//! **Grants.** What a member hands to its module at time t, to be used until u, counts as used the moment it is handed
//! out, and is charged against R(m) until u + W, by its own clock. In a window from x to x + W count only grants with
//! t <= x + W and u >= x. Let s be the latest t among them: each of them was handed out by s and is charged until
//! u + W >= x + W >= s, so that all of them are charged at s together; at no time is more charged than R(m).
//!
//! **Loans.** A borrower asks at time a, and may use what it is lent until a + L by its own clock, once. The lender hears it
//! later than that, at r, and charges the loan against its right from r until its own clock has gone on by
//! (L + W) (1 + d) / (1 - d), where d bounds by what share a clock is fast or slow: the lender's clock
//! runs at most at 1 + d, so at least (L + W) / (1 - d) of real time go by, which is what the borrower's L takes at most,
//! and one window more. So a loan is one more grant in the sum above, given by the lender. A doubled ask gets the same
//! loan again, and a doubled loan counts once; a lost one comes back to the lender by time.
//!
//! **Clocks.** W is real time: grants are charged for W (1 + d) by the member's own clock, which is no less.
//!
//! **Restarts.** A new process does not know what its former self handed out or lent. It uses nothing by right until
//! (L + W) (1 + d) / (1 - d) after its start, with the longest L, by when all of that is over. It may borrow.
//!
//! So the sum of what all members are given in any window of real time is at most B, with any datagrams lost, doubled or
//! late, in any partition, and with any restarts.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::api::{Config, MemberId, Millis, SlowStartLease};
use crate::rendezvous;
use crate::wire::{Outbox, PartKind};

/// How many loans a member asks for in a period at most.
const ASKS: usize = 2;

/// Something of which all members together may use so much.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedLimit {
    /// Which one: a server's key.
    pub resource: u64,
    /// Whole requests in each window.
    pub total: u32,
    /// The window, in milliseconds of real time.
    pub window: Millis,
}

/// A word between borrower and lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Lend me of this what you can spare.
    Request {
        /// What of.
        resource: u64,
        /// Of this borrower's process, never used before.
        nonce: u32,
        /// For so many milliseconds from now, by the borrower's clock.
        span: Millis,
    },
    /// What was asked for, or part of it.
    Loan {
        /// The ask that this answers.
        nonce: u32,
        /// So many requests.
        requests: u32,
    },
}

#[derive(Debug, Default)]
struct Thing {
    /// What the whole is now, or nothing where it is not shared at present.
    bound: Option<SharedLimit>,
    right: u32,
    /// Those with any right, where not all have.
    holders: Option<BTreeSet<MemberId>>,
    /// What of the right was handed out or lent, and until when that counts, inclusive.
    charges: Vec<(Millis, u32)>,
    /// What was borrowed, and until when it may be used.
    borrowed: Vec<(Millis, u32)>,
    /// Somebody asked in vain.
    owed: bool,
    /// What was spare last was lent, so that the next is this member's own.
    mine_next: bool,
}

impl Thing {
    fn spare(&mut self, now: Millis) -> u32 {
        self.charges.retain(|(until, _)| *until >= now);
        let charged = self.charges.iter().fold(0_u32, |sum, (_, amount)| sum.saturating_add(*amount));
        self.right.saturating_sub(charged)
    }
}

/// What this member may use, has lent and has borrowed.
#[derive(Debug)]
pub struct LeaseTable {
    me: MemberId,
    members: Vec<MemberId>,
    started: Millis,
    /// The longest loan, and the time of one asked for.
    longest: Millis,
    span: Millis,
    period: Millis,
    drift: f64,
    things: BTreeMap<u64, Thing>,
    nonce: u32,
    /// Own asks that may still be answered: of what, and until when a loan would last.
    asked: BTreeMap<u32, (u64, Millis)>,
    /// What was lent by whom it was asked and by which ask, and until when it is charged.
    lent: BTreeMap<(MemberId, u64, u32), (Millis, u32)>,
    rng: Pcg64Mcg,
}

impl LeaseTable {
    /// The ledger of a process that started now with this incarnation.
    pub fn new(config: &Config, now: Millis, incarnation: u64, seed: u64) -> LeaseTable {
        let timing = &config.timing;
        LeaseTable {
            me: config.me,
            members: (0..config.members.len()).filter_map(|m| u16::try_from(m).ok()).map(MemberId).collect(),
            started: now,
            longest: timing.lease,
            span: timing.period.saturating_mul(3).min(timing.lease),
            period: timing.period.max(1),
            drift: timing.drift,
            things: BTreeMap::new(),
            nonce: first_nonce(incarnation),
            asked: BTreeMap::new(),
            lent: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// How much of a total a member may use by right: over all configured members these add up to the total.
    pub fn quota(&self, thing: u64, total: u32, member: MemberId) -> u32 {
        let shares = rendezvous::split(u64::from(total), thing, &self.members);
        let share = self.members.binary_search(&member).ok().and_then(|place| shares.get(place));
        share.and_then(|share| u32::try_from(*share).ok()).unwrap_or(0)
    }

    /// Takes in all that is shared now. What is not there any more is remembered while it is charged.
    pub fn set_limits(&mut self, now: Millis, bounds: impl IntoIterator<Item = SharedLimit>) {
        let mut fresh: BTreeMap<u64, SharedLimit> =
            bounds.into_iter().map(|bound| (bound.resource, bound)).collect();
        for (key, thing) in &mut self.things {
            let bound = fresh.remove(key);
            if bound.map(|bound| bound.total) == thing.bound.map(|bound| bound.total) {
                thing.bound = bound;
            } else if let Some(bound) = bound {
                fresh.insert(*key, bound);
            } else {
                thing.bound = None;
            }
        }
        for (key, bound) in fresh {
            let right = self.quota(key, bound.total, self.me);
            let some = (bound.total as usize) < self.members.len();
            let holders = some
                .then(|| rendezvous::owners(key, &self.members, bound.total as usize).into_iter().collect());
            let thing = self.things.entry(key).or_default();
            (thing.bound, thing.right, thing.holders) = (Some(bound), right, holders);
        }
        self.things.retain(|_, thing| {
            thing.charges.retain(|(until, _)| *until >= now);
            thing.bound.is_some() || !thing.charges.is_empty()
        });
    }

    /// Hands out what this member may use from now until so many milliseconds later at most: it counts as used.
    pub fn grant(&mut self, now: Millis, thing: u64, span: Millis) -> Option<SlowStartLease> {
        let span = span.min(self.longest);
        let own = self.may_use(now, thing);
        let drift = self.drift;
        let period = self.period;
        let thing = self.things.get_mut(&thing)?;
        let bound = thing.bound?;
        let mut until = now.saturating_add(span);
        let window = stretched(bound.window, 1.0 + drift);
        let mut requests = 0;
        if own {
            // In equal parts over the time that a grant is charged, and one for whom had to wait.
            let parts = u32::try_from(window.saturating_add(span) / period).unwrap_or(u32::MAX).max(1);
            let kept = u32::from(thing.owed && !thing.mine_next);
            requests = thing.spare(now).saturating_sub(kept).min(thing.right.div_ceil(parts));
            if requests > 0 {
                thing.charges.push((until.saturating_add(window), requests));
                thing.mine_next = false;
            }
        }
        for (end, amount) in std::mem::take(&mut thing.borrowed) {
            if end > now {
                until = until.min(end);
                requests = requests.saturating_add(amount);
            }
        }
        Some(SlowStartLease { requests, until })
    }

    /// Asks for loans where this member has nothing left, once a period.
    pub fn on_period(&mut self, now: Millis, living: &[MemberId], out: &mut Outbox) {
        self.asked.retain(|_, (_, end)| *end > now);
        self.lent.retain(|_, (until, _)| *until >= now);
        let mut short: Vec<u64> = Vec::new();
        for (&key, thing) in &mut self.things {
            if thing.bound.is_some_and(|bound| bound.total > 0)
                && thing.borrowed.is_empty()
                && thing.spare(now) == 0
            {
                short.push(key);
            }
        }
        for _ in 0..ASKS.min(short.len()) {
            let thing = short.swap_remove(self.rng.random_range(0..short.len()));
            let Some(to) = self.lender(thing, living) else { continue };
            self.nonce = self.nonce.wrapping_add(1);
            self.asked.insert(self.nonce, (thing, now.saturating_add(self.span)));
            send(to, Message::Request { resource: thing, nonce: self.nonce, span: self.span }, out);
        }
    }

    /// Takes in a word of another member's process. False: it is malformed or absurd.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        body: &[u8],
        out: &mut Outbox,
    ) -> bool {
        match postcard::from_bytes(body) {
            Ok(Message::Request { resource: thing, nonce, span })
                if span <= self.longest && from != self.me =>
            {
                if let Some(requests) = self.lend(now, (from, incarnation, nonce), thing, span) {
                    send(from, Message::Loan { nonce, requests }, out);
                }
                true
            }
            Ok(Message::Loan { nonce, requests }) => {
                if let Some((thing, end)) = self.asked.remove(&nonce)
                    && end > now
                    && let Some(thing) = self.things.get_mut(&thing)
                {
                    thing.borrowed.push((end, requests));
                }
                true
            }
            _ => false,
        }
    }

    /// What is lent for an ask, if anything.
    fn lend(&mut self, now: Millis, ask: (MemberId, u64, u32), thing: u64, span: Millis) -> Option<u32> {
        if let Some((until, requests)) = self.lent.get(&ask)
            && *until >= now
        {
            return Some(*requests);
        }
        if !self.may_use(now, thing) {
            return None;
        }
        let (drift, mine) = (self.drift, self.right_kept(thing));
        let thing = self.things.get_mut(&thing)?;
        let bound = thing.bound?;
        let spare = thing.spare(now).saturating_sub(mine);
        if spare == 0 {
            thing.owed = true;
            return None;
        }
        let requests = spare.div_ceil(2);
        let until = now.saturating_add(outlasting(span.saturating_add(bound.window), drift));
        thing.charges.push((until, requests));
        (thing.owed, thing.mine_next) = (false, true);
        self.lent.insert(ask, (until, requests));
        Some(requests)
    }

    /// What a member that lent last keeps for itself.
    fn right_kept(&self, thing: u64) -> u32 {
        self.things.get(&thing).map_or(0, |thing| u32::from(thing.mine_next))
    }

    /// Whether what a former self of this process handed out or lent is over by now.
    fn may_use(&self, now: Millis, thing: u64) -> bool {
        let window = self.things.get(&thing).and_then(|thing| thing.bound).map_or(0, |bound| bound.window);
        let over = outlasting(self.longest.saturating_add(window), self.drift);
        now > self.started.saturating_add(over)
    }

    /// One of the living who has a right to it, at random.
    fn lender(&mut self, thing: u64, living: &[MemberId]) -> Option<MemberId> {
        let holders = self.things.get(&thing)?.holders.as_ref();
        let able: Vec<MemberId> = match holders {
            Some(holders) => {
                holders.iter().copied().filter(|m| *m != self.me && living.binary_search(m).is_ok()).collect()
            }
            None => living.iter().copied().filter(|m| *m != self.me).collect(),
        };
        if able.is_empty() {
            return None;
        }
        able.get(self.rng.random_range(0..able.len())).copied()
    }
}

/// Where a process begins to number its asks: a loan to a former one, which comes late, must not answer one of this. By
/// Knuth's multiplicative hashing processes whose incarnations are near each other begin far apart.
fn first_nonce(incarnation: u64) -> u32 {
    (incarnation as u32).wrapping_mul(0x9e37_79b1)
}

fn send(to: MemberId, message: Message, out: &mut Outbox) {
    if let Ok(body) = postcard::to_allocvec(&message) {
        out.push(to, PartKind::LEASE, &body);
    }
}

/// A time of a clock that may be slow, by one that may be fast, in whole milliseconds and one for good measure.
fn outlasting(time: Millis, drift: f64) -> Millis {
    stretched(time, (1.0 + drift) / (1.0 - drift))
}

fn stretched(time: Millis, by: f64) -> Millis {
    (time as f64 * by).ceil() as Millis + 1
}
