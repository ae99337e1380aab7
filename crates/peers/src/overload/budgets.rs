//! Retries and second copies within one budget of the fleet's first tries, and when refused clients may come back.
//!
//! In any time the fleet makes at most its share of its first tries in that time, and [`fleet_burst`] more. This holds
//! whoever hears whom, since it is made of parts that each member keeps by itself: a share of its own first tries, and
//! whole numbers by right that add up over the configured members.
//!
//! What a member does not use is not lent to others. Shares of first tries are rates: a lender would have to lower its
//! own before the borrower may raise its, and the borrower's first tries of the next period, by which its share counts, are
//! not known when it is lent, so that the sum would hold on the mean but not in a second. What would be won is small: servers
//! fail for all members that use them, and a member alone with its trouble (a cut link) is alone with the facts too.

use crate::api::{Allowance, Budgets, MemberId};
use crate::rendezvous;

use super::rates::Rates;

/// What a fleet may have saved up whatever its size, beside one further send for each member: a member that had none
/// could never retry.
const FLEET_SAVES: u64 = 64;

/// Second copies end at this level: what is short then is room, and a copy takes that of a first send.
const NO_COPIES_AT: f64 = 0.25;

/// Members take turns over so many slices of the time that refused clients stay away.
const SLICES: usize = 16;

/// Further sends that all configured members together may have saved up, of a kind.
pub fn fleet_burst(members: usize) -> u64 {
    FLEET_SAVES + members as u64
}

/// What a member may have saved up by right.
#[derive(Debug, Clone, Copy)]
pub struct Rights {
    retries: u32,
    copies: u32,
}

impl Rights {
    /// Those of one of the configured members.
    pub fn new(me: MemberId, members: &[MemberId]) -> Rights {
        let right = |key: u64| {
            let shares = rendezvous::split(fleet_burst(members.len()), key, members);
            let mine = members.iter().zip(shares).find(|(member, _)| **member == me);
            mine.map_or(0, |(_, share)| u32::try_from(share).unwrap_or(u32::MAX))
        };
        Rights {
            retries: right(u64::from_be_bytes(*b"retries_")),
            copies: right(u64::from_be_bytes(*b"copies__")),
        }
    }

    /// Retries and second copies that this member may make, by its own rates and the level.
    pub fn allowed(&self, budgets: &Budgets, own: &[Rates], level: f64) -> [Allowance; 2] {
        let first_tries: f64 = own.iter().map(|rates| rates.first_attempts).sum();
        let allowance = |share: f64, right: u32| {
            let share = if share.is_finite() { share.max(0.0) } else { 0.0 };
            // No more than a second's earnings are saved up, so that few first tries do not save for a bad hour. The cast
            // saturates.
            let second = (share * first_tries).ceil().max(1.0) as u32;
            Allowance { share, burst: if share > 0.0 { right.min(second) } else { 0 } }
        };
        let copies = budgets.hedges * (1.0 - level / NO_COPIES_AT).max(0.0);
        [allowance(budgets.retries, self.retries), allowance(copies, self.copies)]
    }
}

/// The slice of the time that refused clients stay away which is this member's at its `turn`: by its rank among the
/// living, and one further each turn, so that no member's clients always wait longest.
pub fn come_back(me: MemberId, living: &[MemberId], turn: u64) -> [f64; 2] {
    let slices = living.len().clamp(1, SLICES);
    let rank = living.iter().filter(|&&member| member < me).count();
    let slice = ((rank as u64 + turn) % slices as u64) as f64;
    [slice / slices as f64, (slice + 1.0) / slices as f64]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_all_may_save_up_adds_up_to_the_bound_and_nobody_is_without() {
        let rates = [Rates { first_attempts: 1e6, ..Rates::default() }];
        for count in [1_u16, 7, 300, 1_000] {
            let members: Vec<MemberId> = (0..count).map(MemberId).collect();
            let budgets = Budgets { retries: 0.1, hedges: 0.05 };
            let allowed: Vec<[Allowance; 2]> =
                members.iter().map(|&me| Rights::new(me, &members).allowed(&budgets, &rates, 0.0)).collect();
            for kind in 0..2 {
                let sum: u64 = allowed.iter().map(|allowed| u64::from(allowed[kind].burst)).sum();
                assert_eq!(sum, fleet_burst(members.len()));
                assert!(allowed.iter().all(|allowed| allowed[kind].burst > 0));
            }
            let slow = [Rates { first_attempts: 20.0, ..Rates::default() }];
            let [retries, copies] = Rights::new(members[0], &members).allowed(&budgets, &slow, 0.5);
            assert!(retries.burst <= 2 && retries.share == 0.1);
            assert_eq!(copies, Allowance { share: 0.0, burst: 0 });
        }
    }

    #[test]
    fn slices_are_spread_evenly_over_members_and_turns() {
        let living: Vec<MemberId> = (0..160).map(|n| MemberId(n * 3)).collect();
        let mut starts = [0; SLICES];
        for me in &living {
            let [from, to] = come_back(*me, &living, 5);
            assert!(from >= 0.0 && to <= 1.0 && (to - from - 1.0 / 16.0).abs() < 1e-9);
            starts[(from * 16.0).round() as usize] += 1;
        }
        assert_eq!(starts, [10; SLICES]);
        assert_ne!(come_back(living[3], &living, 5), come_back(living[3], &living, 6));
        assert_eq!(come_back(MemberId(4), &[MemberId(4)], 9), [0.0, 1.0]);
    }
}
