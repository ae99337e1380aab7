use super::*;
use crate::units::Share;

#[test]
fn other_budgets_leave_what_was_saved() {
    let budget = |burst| Some(Budget { share: Share(0.1), burst });
    let mut purse = Purse::full([budget(4), None]);
    (0..3).for_each(|_| purse.take(Further::Retry, [budget(4), None]));
    let other = [budget(9), budget(2)];
    let after = purse.within([budget(4), None], other);
    assert_eq!(after, Purse([1.0, 2.0]), "one retry is left, and copies begin full");
    assert_eq!(after.within(other, [budget(9), None]), Purse([1.0, 0.0]));
}

#[test]
fn a_purse_fills_up_to_its_burst_and_no_further() {
    let budgets = [Some(Budget { share: Share(0.25), burst: 2 }), None];
    let mut purse = Purse::full(budgets);
    let spend = |purse: &mut Purse, kind| spend(kind, [(purse, budgets)]);
    assert_eq!([0; 3].map(|_| spend(&mut purse, Further::Retry)), [true, true, false]);
    assert!([0; 9].iter().all(|_| spend(&mut purse, Further::Copy)), "these are not counted");
    let earned = (0..4).map(|_| purse.earn(budgets)).count();
    assert_eq!(
        (earned, spend(&mut purse, Further::Retry), spend(&mut purse, Further::Retry)),
        (4, true, false)
    );
    (0..100).for_each(|_| purse.earn(budgets));
    assert_eq!([0; 3].map(|_| spend(&mut purse, Further::Retry)), [true, true, false]);
}
