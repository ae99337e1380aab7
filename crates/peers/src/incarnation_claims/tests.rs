use super::*;

const START: u64 = 1_800_000_000_000;

/// Returns the incarnation that a member among five has to exceed after these claims of others, in order.
fn claimed(claims: &[(u16, u64)]) -> Option<u64> {
    let mut state = IncarnationClaims::new(START, 4);
    claims.iter().fold(None, |accepted, (by, claim)| state.claimed(MemberId(*by), *claim, START).or(accepted))
}

#[test]
fn a_single_claim_is_accepted_up_to_one_day_ahead() {
    assert_eq!(claimed(&[(1, START + 3_600_000)]), Some(START + 3_600_000));
    assert_eq!(claimed(&[(1, START + MAX_SINGLE_CLAIM + 1)]), None);
}

#[test]
fn a_claim_far_ahead_needs_two_members() {
    let (far, false_claim) = (START * 2, MAX_INCARNATION - 1);
    assert_eq!(claimed(&[(1, far), (1, far)]), None, "one member claims it twice");
    assert_eq!(claimed(&[(1, far), (2, far)]), Some(far));
    assert_eq!(claimed(&[(1, false_claim), (2, far)]), Some(far), "only as far as both members claim");
    assert_eq!(
        IncarnationClaims::new(START, 1).claimed(MemberId(1), far, START),
        Some(far),
        "there is no second member"
    );
}

#[test]
fn claims_that_are_not_higher_or_above_the_maximum_are_ignored() {
    for claim in [0, START - 1, START, MAX_INCARNATION, u64::MAX] {
        assert_eq!(claimed(&[(1, claim), (2, claim)]), None, "{claim}");
    }
}
