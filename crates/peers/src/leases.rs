//! Leases on limits that all members share: how many requests they may together send to a server that is
//! warming up in each window.
//!
//! **Quotas.** A limit of B requests per window W is divided among the *configured* members by rendezvous
//! hashing. Member m has a fixed quota R(m), and the quotas add up to exactly B. Quotas are never dealt out,
//! voted on or lost, whichever members are alive. They depend only on the server's key and on B, not on when
//! a server started: each member has its own view of that, and the quotas of two different divisions could
//! add up to more than B. If members know different values of B, their quotas add up to at most the highest
//! of these, because R(m) only grows with B.
//!
//! **Grants.** A member grants requests to its module at time t, for use until time u. They count as used as
//! soon as they are granted, and are charged against R(m) until u + W by the member's own clock. Only grants
//! with t <= x + W and u >= x can be used in a window from x to x + W. Let s be the latest t among them. Each
//! of these grants was made by s and is charged until u + W >= x + W >= s, so all of them are charged
//! together at time s. No more than R(m) is charged at any time.
//!
//! **Loans.** A borrower requests a loan at time a. It may use what it gets until a + L by its own clock,
//! once. The lender receives the request at a later time r. It charges the loan against its own quota from r
//! until its own clock has advanced by (L + W) (1 + d) / (1 - d), where d is the largest fraction by which a
//! clock is fast or slow. The lender's clock runs at 1 + d at most, so at least (L + W) / (1 - d) of real
//! time passes. That covers the longest real time that the borrower's L can take, and one more window. A loan
//! is therefore one more grant in the sum above, made by the lender. A duplicated request gets the same loan
//! again, and a duplicated loan counts once. A lost loan returns to the lender when its charge ends.
//!
//! **Clocks.** W is real time. Grants are charged for W (1 + d) by the member's own clock, which is at least
//! W of real time.
//!
//! **Restarts.** A new process does not know what the previous one granted or lent. It uses none of its quota
//! until (L + W) (1 + d) / (1 - d) after its start, with the longest possible L. By then, all earlier grants
//! and loans are over. It may borrow in the meantime.
//!
//! As a result, the sum of what all members may use in any window of real time is at most B, whichever
//! datagrams are lost, duplicated or delayed, under any partition, and with any restarts.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::api::{Config, MemberId, Millis, SlowStartLease};
use crate::rendezvous;
use crate::wire::{Outbox, PartKind};

/// The maximum number of loans that a member requests per period.
const MAX_REQUESTS_PER_PERIOD: usize = 2;

/// A limit that all members share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedLimit {
    /// The resource that is limited, as the server's key.
    pub resource: u64,
    /// The number of requests per window.
    pub total: u32,
    /// The window, in milliseconds of real time.
    pub window: Millis,
}

/// A message between a borrower and a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a loan of the part of the lender's quota that it can spare.
    Request {
        /// The resource.
        resource: u64,
        /// Identifies the request among those of the borrower's process.
        nonce: u32,
        /// How long the loan lasts, in milliseconds from the request, by the borrower's clock.
        span: Millis,
    },
    /// Grants a loan.
    Loan {
        /// The nonce of the request that this answers.
        nonce: u32,
        /// The number of requests that the borrower may send.
        requests: u32,
    },
}

/// The state of one shared resource at this member.
#[derive(Debug, Default)]
struct ResourceState {
    /// The current limit. `None` if the resource is not limited at present.
    limit: Option<SharedLimit>,
    /// This member's quota of the limit.
    quota: u32,
    /// The members with a quota above zero. `None` if all members have one.
    quota_holders: Option<BTreeSet<MemberId>>,
    /// The parts of the quota that were granted or lent, each with the last time at which it is charged.
    charges: Vec<(Millis, u32)>,
    /// The loans that this member received, each with the time until which it may be used.
    borrowed: Vec<(Millis, u32)>,
    /// Whether a loan request was refused since the last loan was made.
    request_refused: bool,
    /// Whether the quota was last used for a loan, so that this member keeps the next part for itself.
    keep_next: bool,
}

impl ResourceState {
    /// Returns the part of the quota that is not charged now, and forgets charges that are over.
    fn uncharged(&mut self, now: Millis) -> u32 {
        self.charges.retain(|(until, _)| *until >= now);
        let charged = self.charges.iter().fold(0_u32, |sum, (_, amount)| sum.saturating_add(*amount));
        self.quota.saturating_sub(charged)
    }
}

/// The quotas, grants and loans of this member.
#[derive(Debug)]
pub struct LeaseTable {
    me: MemberId,
    members: Vec<MemberId>,
    started: Millis,
    /// The longest span of a grant or a loan.
    max_span: Millis,
    /// The span of the loans that this member requests.
    request_span: Millis,
    period: Millis,
    drift: f64,
    resources: BTreeMap<u64, ResourceState>,
    /// The nonce of this member's last request.
    nonce: u32,
    /// This member's requests that may still be answered, by nonce: the resource, and when the loan would
    /// end.
    pending_requests: BTreeMap<u32, (u64, Millis)>,
    /// The loans that this member made, with the end of their charge, by the borrower, its incarnation and
    /// the request's nonce.
    loans_given: BTreeMap<(MemberId, u64, u32), (Millis, u32)>,
    rng: Pcg64Mcg,
}

impl LeaseTable {
    /// Creates the table of a process that starts now with this incarnation.
    pub fn new(config: &Config, now: Millis, incarnation: u64, seed: u64) -> LeaseTable {
        let timing = &config.timing;
        LeaseTable {
            me: config.me,
            members: (0..config.members.len()).filter_map(|m| u16::try_from(m).ok()).map(MemberId).collect(),
            started: now,
            max_span: timing.lease,
            request_span: timing.period.saturating_mul(3).min(timing.lease),
            period: timing.period.max(1),
            drift: timing.drift,
            resources: BTreeMap::new(),
            nonce: initial_nonce(incarnation),
            pending_requests: BTreeMap::new(),
            loans_given: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns a member's quota of a total. The quotas of all configured members add up to the total.
    pub fn quota(&self, resource: u64, total: u32, member: MemberId) -> u32 {
        let shares = rendezvous::split(u64::from(total), resource, &self.members);
        let share = self.members.binary_search(&member).ok().and_then(|index| shares.get(index));
        share.and_then(|share| u32::try_from(*share).ok()).unwrap_or(0)
    }

    /// Replaces the limits. The state of a resource that is no longer limited is kept while something is
    /// charged to it.
    pub fn set_limits(&mut self, now: Millis, limits: impl IntoIterator<Item = SharedLimit>) {
        let mut fresh: BTreeMap<u64, SharedLimit> =
            limits.into_iter().map(|limit| (limit.resource, limit)).collect();
        for (key, state) in &mut self.resources {
            let limit = fresh.remove(key);
            if limit.map(|limit| limit.total) == state.limit.map(|limit| limit.total) {
                state.limit = limit;
            } else if let Some(limit) = limit {
                fresh.insert(*key, limit);
            } else {
                state.limit = None;
            }
        }
        for (key, limit) in fresh {
            let quota = self.quota(key, limit.total, self.me);
            let partial = (limit.total as usize) < self.members.len();
            let quota_holders = partial
                .then(|| rendezvous::owners(key, &self.members, limit.total as usize).into_iter().collect());
            let state = self.resources.entry(key).or_default();
            (state.limit, state.quota, state.quota_holders) = (Some(limit), quota, quota_holders);
        }
        self.resources.retain(|_, state| {
            state.charges.retain(|(until, _)| *until >= now);
            state.limit.is_some() || !state.charges.is_empty()
        });
    }

    /// Grants what this member may use from now on, for at most `span` milliseconds. The grant counts as used
    /// at once. Returns `None` if the resource is not limited.
    pub fn grant(&mut self, now: Millis, resource: u64, span: Millis) -> Option<SlowStartLease> {
        let span = span.min(self.max_span);
        let may_use_quota = self.quota_usable(now, resource);
        let drift = self.drift;
        let period = self.period;
        let state = self.resources.get_mut(&resource)?;
        let limit = state.limit?;
        let mut until = now.saturating_add(span);
        let window = scaled(limit.window, 1.0 + drift);
        let mut requests = 0;
        if may_use_quota {
            // The quota is granted in equal parts over the time that a grant is charged. One request is left
            // over for a borrower whose request was refused.
            let parts = u32::try_from(window.saturating_add(span) / period).unwrap_or(u32::MAX).max(1);
            let reserved = u32::from(state.request_refused && !state.keep_next);
            requests = state.uncharged(now).saturating_sub(reserved).min(state.quota.div_ceil(parts));
            if requests > 0 {
                state.charges.push((until.saturating_add(window), requests));
                state.keep_next = false;
            }
        }
        for (end, amount) in std::mem::take(&mut state.borrowed) {
            if end > now {
                until = until.min(end);
                requests = requests.saturating_add(amount);
            }
        }
        Some(SlowStartLease { requests, until })
    }

    /// Does the periodic work: requests loans for resources of which this member has nothing left.
    pub fn on_period(&mut self, now: Millis, living: &[MemberId], outbox: &mut Outbox) {
        self.pending_requests.retain(|_, (_, end)| *end > now);
        self.loans_given.retain(|_, (until, _)| *until >= now);
        let mut exhausted: Vec<u64> = Vec::new();
        for (&key, state) in &mut self.resources {
            if state.limit.is_some_and(|limit| limit.total > 0)
                && state.borrowed.is_empty()
                && state.uncharged(now) == 0
            {
                exhausted.push(key);
            }
        }
        for _ in 0..MAX_REQUESTS_PER_PERIOD.min(exhausted.len()) {
            let resource = exhausted.swap_remove(self.rng.random_range(0..exhausted.len()));
            let Some(to) = self.pick_lender(resource, living) else { continue };
            self.nonce = self.nonce.wrapping_add(1);
            self.pending_requests.insert(self.nonce, (resource, now.saturating_add(self.request_span)));
            send(to, Message::Request { resource, nonce: self.nonce, span: self.request_span }, outbox);
        }
    }

    /// Handles a message of another member's process. Returns false if it is malformed or invalid.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        body: &[u8],
        outbox: &mut Outbox,
    ) -> bool {
        match postcard::from_bytes(body) {
            Ok(Message::Request { resource, nonce, span }) if span <= self.max_span && from != self.me => {
                if let Some(requests) = self.lend(now, (from, incarnation, nonce), resource, span) {
                    send(from, Message::Loan { nonce, requests }, outbox);
                }
                true
            }
            Ok(Message::Loan { nonce, requests }) => {
                if let Some((resource, end)) = self.pending_requests.remove(&nonce)
                    && end > now
                    && let Some(state) = self.resources.get_mut(&resource)
                {
                    state.borrowed.push((end, requests));
                }
                true
            }
            _ => false,
        }
    }

    /// Makes a loan for a request. Returns the number of requests lent, or `None` if the request is refused.
    /// A repeated request gets the same loan again.
    fn lend(
        &mut self,
        now: Millis,
        request: (MemberId, u64, u32),
        resource: u64,
        span: Millis,
    ) -> Option<u32> {
        if let Some((until, requests)) = self.loans_given.get(&request)
            && *until >= now
        {
            return Some(*requests);
        }
        if !self.quota_usable(now, resource) {
            return None;
        }
        let (drift, reserved) = (self.drift, self.reserved_for_self(resource));
        let state = self.resources.get_mut(&resource)?;
        let limit = state.limit?;
        let spare = state.uncharged(now).saturating_sub(reserved);
        if spare == 0 {
            state.request_refused = true;
            return None;
        }
        let requests = spare.div_ceil(2);
        let until = now.saturating_add(charge_duration(span.saturating_add(limit.window), drift));
        state.charges.push((until, requests));
        (state.request_refused, state.keep_next) = (false, true);
        self.loans_given.insert(request, (until, requests));
        Some(requests)
    }

    /// Returns the part of the quota that this member does not lend, because it lent the previous part.
    fn reserved_for_self(&self, resource: u64) -> u32 {
        self.resources.get(&resource).map_or(0, |state| u32::from(state.keep_next))
    }

    /// Returns whether this process may use its quota: whether all grants and loans of the previous process
    /// are over.
    fn quota_usable(&self, now: Millis, resource: u64) -> bool {
        let window =
            self.resources.get(&resource).and_then(|state| state.limit).map_or(0, |limit| limit.window);
        let wait = charge_duration(self.max_span.saturating_add(window), self.drift);
        now > self.started.saturating_add(wait)
    }

    /// Returns a random living member with a quota of the resource.
    fn pick_lender(&mut self, resource: u64, living: &[MemberId]) -> Option<MemberId> {
        let quota_holders = self.resources.get(&resource)?.quota_holders.as_ref();
        let candidates: Vec<MemberId> = match quota_holders {
            Some(quota_holders) => quota_holders
                .iter()
                .copied()
                .filter(|m| *m != self.me && living.binary_search(m).is_ok())
                .collect(),
            None => living.iter().copied().filter(|m| *m != self.me).collect(),
        };
        if candidates.is_empty() {
            return None;
        }
        candidates.get(self.rng.random_range(0..candidates.len())).copied()
    }
}

/// Returns the nonce that a process counts up from. Processes start at different nonces, so that a late loan
/// to an earlier process does not answer a request of this one. Knuth's multiplicative hashing places
/// processes with nearby incarnations far apart.
fn initial_nonce(incarnation: u64) -> u32 {
    (incarnation as u32).wrapping_mul(0x9e37_79b1)
}

/// Queues a lease message for a member.
fn send(to: MemberId, message: Message, outbox: &mut Outbox) {
    if let Ok(body) = postcard::to_allocvec(&message) {
        outbox.push(to, PartKind::LEASE, &body);
    }
}

/// Returns how long a clock that may be fast must run to cover a duration on a clock that may be slow,
/// rounded up, plus one millisecond.
fn charge_duration(time: Millis, drift: f64) -> Millis {
    scaled(time, (1.0 + drift) / (1.0 - drift))
}

/// Multiplies a duration, rounding up, and adds one millisecond.
fn scaled(time: Millis, factor: f64) -> Millis {
    (time as f64 * factor).ceil() as Millis + 1
}
