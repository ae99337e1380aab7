use super::*;

const START: u64 = 1_800_000_000_000;

/// What a member among five has to overtake, by claims of others in their order.
fn claimed(claims: &[(u16, u64)]) -> Option<u64> {
    let mut later = IncarnationClaims::new(START, 4);
    claims.iter().fold(None, |known, (by, start)| later.claimed(MemberId(*by), *start, START).or(known))
}

#[test]
fn one_claim_is_enough_for_what_a_step_explains() {
    assert_eq!(claimed(&[(1, START + 3_600_000)]), Some(START + 3_600_000));
    assert_eq!(claimed(&[(1, START + NEAR + 1)]), None);
}

#[test]
fn a_start_far_ahead_is_what_two_others_know() {
    let (far, bogus) = (START * 2, MAX_INCARNATION - 1);
    assert_eq!(claimed(&[(1, far), (1, far)]), None, "one says it twice");
    assert_eq!(claimed(&[(1, far), (2, far)]), Some(far));
    assert_eq!(claimed(&[(1, bogus), (2, far)]), Some(far), "the second alone knows less");
    assert_eq!(
        IncarnationClaims::new(START, 1).claimed(MemberId(1), far, START),
        Some(far),
        "there is no second"
    );
}

#[test]
fn what_is_no_later_or_absurd_is_no_claim() {
    for start in [0, START - 1, START, MAX_INCARNATION, u64::MAX] {
        assert_eq!(claimed(&[(1, start), (2, start)]), None, "{start}");
    }
}
