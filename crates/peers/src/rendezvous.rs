//! Who among some members has to do with a thing, without a word between them: rendezvous hashing (Thaler and
//! Ravishankar 1998). Each member has a weight for each key, and the heaviest are chosen. Who knows the same members
//! chooses the same ones, and where one leaves only what it had goes to others.

use crate::api::MemberId;

/// The weight of a member for a key: all 64 bits depend on all bits of both, by the finaliser of SplitMix64 (Steele,
/// Lea and Flood 2014).
pub fn weight(key: u64, member: MemberId) -> u64 {
    mix(mix(key).wrapping_add(u64::from(member.0).wrapping_mul(0x9E37_79B9_7F4A_7C15)))
}

/// Up to `k` of the members, the heaviest for the key first. Members of the same weight, which is next to impossible,
/// go by their place in the list of members, so that the order of `members` never matters. Made for few of many: the
/// work grows with the members, and by `k` for those that come in.
pub fn owners(key: u64, members: &[MemberId], k: usize) -> Vec<MemberId> {
    let mut best: Vec<(u64, MemberId)> = Vec::with_capacity(k.min(members.len()) + 1);
    for &member in members {
        let weighed = (weight(key, member), member);
        if best.len() == k && best.last().is_none_or(|last| *last >= weighed) {
            continue;
        }
        let place = best.partition_point(|other| *other > weighed);
        if best.get(place) != Some(&weighed) {
            best.insert(place, weighed);
            best.truncate(k);
        }
    }
    best.into_iter().map(|(_, member)| member).collect()
}

/// Whole shares of a bound, one for each member in the order given, that add up to the bound exactly: an equal part for
/// each, and one more for the heaviest for the key. No member, no shares.
pub fn split(bound: u64, key: u64, members: &[MemberId]) -> Vec<u64> {
    let count = members.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let (each, rest) = (bound / count, bound % count);
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_unstable_by_key(|&place| members.get(place).map(|&m| std::cmp::Reverse((weight(key, m), m))));
    let mut shares = vec![each; members.len()];
    for place in order.into_iter().take(rest as usize) {
        if let Some(share) = shares.get_mut(place) {
            *share += 1;
        }
    }
    shares
}

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
    fn shares_add_up_and_differ_by_one_at_most() {
        for (bound, count) in [(0, 3), (1, 7), (5, 100), (1_000, 300), (u64::MAX, 7)] {
            let shares = split(bound, 42, &members(count));
            assert_eq!(shares.iter().map(|&share| u128::from(share)).sum::<u128>(), u128::from(bound));
            let spread = shares.iter().max().zip(shares.iter().min()).map(|(most, least)| most - least);
            assert!(spread <= Some(1), "{bound} over {count}");
        }
        assert_eq!(split(9, 1, &[]), Vec::<u64>::new());
    }

    #[test]
    fn only_what_a_member_had_moves_when_it_leaves() {
        let all = members(100);
        let rest: Vec<MemberId> = all.iter().copied().filter(|member| member.0 != 17).rev().collect();
        let mut had = [0; 100];
        for key in 0..2_000 {
            let (before, after) = (owners(key, &all, 2), owners(key, &rest, 2));
            let kept = before.iter().filter(|member| after.contains(member)).count();
            assert_eq!(kept, if before.contains(&MemberId(17)) { 1 } else { 2 });
            before.iter().for_each(|member| had[usize::from(member.0)] += 1);
        }
        // 40 each on the mean; five times the deviation of a Poisson count.
        assert!(had.iter().all(|count| (8..=72).contains(count)), "{had:?}");
    }
}
