use proptest::prelude::*;

use super::*;

fn item() -> impl Strategy<Value = Item<char>> {
    prop_oneof![
        3 => prop::sample::select(vec!['a', 'b']).prop_map(Item::One),
        1 => Just(Item::Any),
        1 => Just(Item::Rest),
    ]
}

/// Whether a pattern holds, by trying every way to read it: the plain meaning of one.
fn plainly(pattern: &[Item<char>], word: &[char]) -> bool {
    match (pattern, word) {
        ([], word) => word.is_empty(),
        ([Item::Rest, more @ ..], word) => (0..=word.len()).any(|n| plainly(more, &word[n..])),
        ([Item::Any, more @ ..], [_, word @ ..]) => plainly(more, word),
        ([Item::One(one), more @ ..], [first, word @ ..]) => one == first && plainly(more, word),
        (_, []) => false,
    }
}

/// Every word of up to five of three characters.
fn words() -> Vec<Vec<char>> {
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..5 {
        last = last.iter().flat_map(|word| ['a', 'b', 'c'].map(|c| [&word[..], &[c]].concat())).collect();
        all.extend(last.clone());
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sets_that_hold_together_are_those_of_a_plain_search(
        patterns in prop::collection::vec(prop::collection::vec(item(), 0..4), 1..4),
    ) {
        let all: Vec<&[Item<char>]> = patterns.iter().map(|pattern| &pattern[..]).collect();
        let found = together(&all).expect("small patterns are soon compared");
        let signature =
            |word: &[char]| -> Vec<bool> { all.iter().map(|pattern| plainly(pattern, word)).collect() };
        for witness in &found {
            let word: Vec<char> = witness.word.iter().map(|symbol| symbol.unwrap_or('c')).collect();
            prop_assert_eq!(&signature(&word), &witness.holds, "{:?}", word);
            prop_assert!(witness.holds[0]);
        }
        let told: HashSet<&Vec<bool>> = found.iter().map(|witness| &witness.holds).collect();
        for word in words() {
            let holds = signature(&word);
            let found: Vec<bool> = all.iter().map(|pattern| super::holds(pattern, word.iter().copied())).collect();
            prop_assert_eq!(&found, &holds);
            prop_assert!(!holds[0] || told.contains(&holds), "{:?} shows {:?}", word, holds);
        }
    }
}

#[test]
fn entangled_patterns_end_in_an_error() {
    // Each star opens places of its own: together they can be in more sets of places than are looked at.
    let pattern = |c: char, n: usize| {
        let mut items = vec![Item::Rest, Item::One(c)];
        items.extend(std::iter::repeat_n(Item::Any, n));
        items
    };
    let patterns = [pattern('a', 17), pattern('b', 17)];
    let all: Vec<&[Item<char>]> = patterns.iter().map(|pattern| &pattern[..]).collect();
    assert_eq!(together(&all), Err(Entangled));
}
