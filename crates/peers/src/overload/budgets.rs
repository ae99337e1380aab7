//! The budgets of the cluster for retries and hedged requests, and the times when rejected clients may come
//! back.
//!
//! For retries and for hedged requests there is a limit each. In any interval, the cluster sends at most a
//! fraction of its first attempts of that interval, plus [`cluster_burst`]. This holds whichever members
//! receive gossip from each other, because every member enforces its own part: the same fraction of its own
//! first attempts, and a fixed integer share of the burst. The shares of all configured members add up to
//! the burst.
//!
//! Members do not lend each other the budget that they do not use. A fraction of first attempts is a rate.
//! The lender would have to lower its own fraction before the borrower may raise its own. The borrowed
//! fraction would apply to the borrower's first attempts of the next period, whose number is not known yet
//! at the time of the loan. So the limit would hold on average but not in every second. The gain would be
//! small: a server fails for all members that use it, and a member whose fault is its own, such as a cut
//! link, does not receive the gossip either.

use crate::api::{Allowance, Budgets, MemberId};
use crate::rendezvous;

use super::rates::Rates;

/// The part of the cluster's burst that does not depend on the number of members. In addition, every
/// configured member counts for one send, because a member without any burst could never retry.
const BASE_BURST: u64 = 64;

/// The shedding level at which hedging stops. While the cluster sheds, capacity is short, and a hedge takes
/// capacity from a first attempt.
const NO_HEDGES_LEVEL: f64 = 0.25;

/// The maximum number of slices into which the Retry-After interval is divided. The members take turns with
/// the slices.
const SLICES: usize = 16;

/// Returns the burst of all configured members together: how many retries, or how many hedges, they may
/// have saved up.
pub fn cluster_burst(members: usize) -> u64 {
    BASE_BURST + members as u64
}

/// A member's shares of the cluster's bursts.
#[derive(Debug, Clone, Copy)]
pub struct BurstShares {
    retries: u32,
    hedges: u32,
}

impl BurstShares {
    /// Returns the shares of `me`, which is one of the configured members.
    pub fn new(me: MemberId, members: &[MemberId]) -> BurstShares {
        let share_of = |key: u64| {
            let shares = rendezvous::split(cluster_burst(members.len()), key, members);
            let own = members.iter().zip(shares).find(|(member, _)| **member == me);
            own.map_or(0, |(_, share)| u32::try_from(share).unwrap_or(u32::MAX))
        };
        BurstShares {
            retries: share_of(u64::from_be_bytes(*b"retries_")),
            hedges: share_of(u64::from_be_bytes(*b"copies__")),
        }
    }

    /// Returns the retries and the hedged requests that this member may send, by its own rates and the
    /// shedding level.
    pub fn allowances(&self, budgets: &Budgets, own: &[Rates], level: f64) -> [Allowance; 2] {
        let first_attempts: f64 = own.iter().map(|rates| rates.first_attempts).sum();
        let allowance = |share: f64, burst_share: u32| {
            let share = if share.is_finite() { share.max(0.0) } else { 0.0 };
            // The burst is limited to what one second of first attempts adds to the budget, so that a
            // member with little traffic cannot save up over a long time and spend it all at once. The cast
            // saturates.
            let per_second = (share * first_attempts).ceil().max(1.0) as u32;
            Allowance { share, burst: if share > 0.0 { burst_share.min(per_second) } else { 0 } }
        };
        let hedges = budgets.hedges * (1.0 - level / NO_HEDGES_LEVEL).max(0.0);
        [allowance(budgets.retries, self.retries), allowance(hedges, self.hedges)]
    }
}

/// Returns the slice of the Retry-After interval that this member uses in its period number `turn`, as
/// start and end fractions. The slice depends on the member's rank among the alive members. It advances by
/// one in each period, so that it is not always the clients of the same member that wait longest.
pub fn retry_after_range(me: MemberId, alive: &[MemberId], turn: u64) -> [f64; 2] {
    let slices = alive.len().clamp(1, SLICES);
    let rank = alive.iter().filter(|&&member| member < me).count();
    let slice = ((rank as u64 + turn) % slices as u64) as f64;
    [slice / slices as f64, (slice + 1.0) / slices as f64]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bursts_add_up_to_the_limit_and_every_member_has_a_share() {
        let rates = [Rates { first_attempts: 1e6, ..Rates::default() }];
        for count in [1_u16, 7, 300, 1_000] {
            let members: Vec<MemberId> = (0..count).map(MemberId).collect();
            let budgets = Budgets { retries: 0.1, hedges: 0.05 };
            let allowances: Vec<[Allowance; 2]> = members
                .iter()
                .map(|&me| BurstShares::new(me, &members).allowances(&budgets, &rates, 0.0))
                .collect();
            for kind in 0..2 {
                let sum: u64 = allowances.iter().map(|allowances| u64::from(allowances[kind].burst)).sum();
                assert_eq!(sum, cluster_burst(members.len()));
                assert!(allowances.iter().all(|allowances| allowances[kind].burst > 0));
            }
            let slow = [Rates { first_attempts: 20.0, ..Rates::default() }];
            let [retries, hedges] = BurstShares::new(members[0], &members).allowances(&budgets, &slow, 0.5);
            assert!(retries.burst <= 2 && retries.share == 0.1);
            assert_eq!(hedges, Allowance { share: 0.0, burst: 0 });
        }
    }

    #[test]
    fn slices_are_spread_evenly_over_members_and_turns() {
        let alive: Vec<MemberId> = (0..160).map(|n| MemberId(n * 3)).collect();
        let mut starts = [0; SLICES];
        for me in &alive {
            let [from, to] = retry_after_range(*me, &alive, 5);
            assert!(from >= 0.0 && to <= 1.0 && (to - from - 1.0 / 16.0).abs() < 1e-9);
            starts[(from * 16.0).round() as usize] += 1;
        }
        assert_eq!(starts, [10; SLICES]);
        assert_ne!(retry_after_range(alive[3], &alive, 5), retry_after_range(alive[3], &alive, 6));
        assert_eq!(retry_after_range(MemberId(4), &[MemberId(4)], 9), [0.0, 1.0]);
    }
}
