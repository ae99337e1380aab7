//! Rendezvous hashing (Thaler and Ravishankar 1998): assigns keys to members without communication. Each
//! member has a weight for each key, and the members with the highest weights are chosen. Callers that know
//! the same members choose the same ones. If a member leaves, only its keys move to others.

use crate::api::MemberId;

/// Returns the weight of a member for a key. The finaliser of SplitMix64 (Steele, Lea and Flood 2014) makes
/// each of the 64 bits depend on all bits of the key and the member.
pub fn weight(key: u64, member: MemberId) -> u64 {
    mix(mix(key).wrapping_add(u64::from(member.0).wrapping_mul(0x9E37_79B9_7F4A_7C15)))
}

/// Returns up to `k` of the members, those with the highest weights for the key, in descending order. Members
/// with equal weights, which are next to impossible, are ordered by their ids, so that the order of `members`
/// never matters. The function is meant for a small `k`: it visits every member, and each insertion into the
/// result takes up to `k` steps.
pub fn owners(key: u64, members: &[MemberId], k: usize) -> Vec<MemberId> {
    let mut best: Vec<(u64, MemberId)> = Vec::with_capacity(k.min(members.len()) + 1);
    for &member in members {
        let candidate = (weight(key, member), member);
        if best.len() == k && best.last().is_none_or(|last| *last >= candidate) {
            continue;
        }
        let index = best.partition_point(|other| *other > candidate);
        if best.get(index) != Some(&candidate) {
            best.insert(index, candidate);
            best.truncate(k);
        }
    }
    best.into_iter().map(|(_, member)| member).collect()
}

/// Divides a limit into integer quotas that add up to exactly the limit, one per member in the given order.
/// Every member gets an equal quota, and the members with the highest weights for the key get one more until
/// the remainder is used up. Returns an empty vector if there are no members.
pub fn split(limit: u64, key: u64, members: &[MemberId]) -> Vec<u64> {
    let count = members.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let (each, remainder) = (limit / count, limit % count);
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_unstable_by_key(|&index| members.get(index).map(|&m| std::cmp::Reverse((weight(key, m), m))));
    let mut quotas = vec![each; members.len()];
    for index in order.into_iter().take(remainder as usize) {
        if let Some(quota) = quotas.get_mut(index) {
            *quota += 1;
        }
    }
    quotas
}

/// The SplitMix64 step and finaliser.
fn mix(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(count: u16) -> Vec<MemberId> {
        (0..count).map(MemberId).collect()
    }

    #[test]
    fn quotas_add_up_and_differ_by_one_at_most() {
        for (limit, count) in [(0, 3), (1, 7), (5, 100), (1_000, 300), (u64::MAX, 7)] {
            let quotas = split(limit, 42, &members(count));
            assert_eq!(quotas.iter().map(|&quota| u128::from(quota)).sum::<u128>(), u128::from(limit));
            let spread = quotas.iter().max().zip(quotas.iter().min()).map(|(most, least)| most - least);
            assert!(spread <= Some(1), "{limit} over {count}");
        }
        assert_eq!(split(9, 1, &[]), Vec::<u64>::new());
    }

    #[test]
    fn only_the_keys_of_a_member_move_when_it_leaves() {
        let all = members(100);
        let rest: Vec<MemberId> = all.iter().copied().filter(|member| member.0 != 17).rev().collect();
        let mut owned = [0; 100];
        for key in 0..2_000 {
            let (before, after) = (owners(key, &all, 2), owners(key, &rest, 2));
            let unmoved = before.iter().filter(|member| after.contains(member)).count();
            assert_eq!(unmoved, if before.contains(&MemberId(17)) { 1 } else { 2 });
            before.iter().for_each(|member| owned[usize::from(member.0)] += 1);
        }
        // The mean is 40 keys per member. The bounds are five standard deviations of a Poisson distribution
        // away.
        assert!(owned.iter().all(|count| (8..=72).contains(count)), "{owned:?}");
    }
}
