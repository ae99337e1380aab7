//! Patterns over sequences of symbols, compared exactly: which sets of them can hold for one and the same word,
//! and a shortest word for each such set. Paths are words of segments, header values words of characters.
//!
//! Every pattern is run as a nondeterministic automaton, all of them side by side, and the sets of places that
//! they can be in together are searched breadth first. Symbols that no pattern names are alike to all of them, so
//! that one stand-in for them is enough.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// One place of a pattern.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Item<S> {
    /// This symbol.
    One(S),
    /// Any one symbol.
    Any,
    /// Any number of symbols, also none.
    Rest,
}

/// A pattern has at most this many items: the places that it can be in are bits of a word.
pub const ITEMS: usize = 63;
/// So many sets of places are looked at before a comparison is given up.
const STATES: usize = 20_000;

/// The patterns are too entangled to be compared within bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entangled;

/// The places a pattern can be in: bit `i` for before item `i`.
type Places = u64;

/// How each state was come to first: from which one, by which symbol. The start was come to from nowhere.
type Came<S> = HashMap<Vec<Places>, Option<(Vec<Places>, Option<S>)>>;

/// Adds the places that are reached by letting a [`Item::Rest`] stand for nothing.
fn settle<S>(pattern: &[Item<S>], mut places: Places) -> Places {
    for (place, item) in pattern.iter().enumerate() {
        if places & (1 << place) != 0 && matches!(item, Item::Rest) {
            places |= 1 << (place + 1);
        }
    }
    places
}

/// Where a pattern can be after one more symbol; `None` stands for one that no pattern names.
fn step<S: PartialEq>(pattern: &[Item<S>], places: Places, symbol: Option<&S>) -> Places {
    let mut next = 0;
    for (place, item) in pattern.iter().enumerate().filter(|(place, _)| places & (1 << place) != 0) {
        match item {
            Item::One(one) if symbol == Some(one) => next |= 1 << (place + 1),
            Item::One(_) => {}
            Item::Any => next |= 1 << (place + 1),
            Item::Rest => next |= 1 << place,
        }
    }
    settle(pattern, next)
}

/// Whether a pattern holds for a word.
pub fn holds<S: PartialEq>(pattern: &[Item<S>], word: impl IntoIterator<Item = S>) -> bool {
    let start = settle(pattern, 1);
    let end = word.into_iter().fold(start, |places, symbol| step(pattern, places, Some(&symbol)));
    end & (1 << pattern.len()) != 0
}

/// A word that shows which of some patterns can hold together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Witness<S> {
    /// Which patterns hold for it, in their order.
    pub holds: Vec<bool>,
    /// The word; `None` stands for any symbol that no pattern names.
    pub word: Vec<Option<S>>,
}

/// Each set of patterns that can hold together, with a shortest word for it. The first pattern must hold: it says
/// which words there are.
pub fn together<S: Clone + Eq + Hash>(patterns: &[&[Item<S>]]) -> Result<Vec<Witness<S>>, Entangled> {
    let mut found = Vec::new();
    let mut told = HashSet::new();
    let start: Vec<Places> = patterns.iter().map(|pattern| settle(pattern, 1)).collect();
    let mut came: Came<S> = HashMap::new();
    came.insert(start.clone(), None);
    let mut waiting = VecDeque::from([start]);
    while let Some(state) = waiting.pop_front() {
        let holds: Vec<bool> =
            patterns.iter().zip(&state).map(|(pattern, places)| places & (1 << pattern.len()) != 0).collect();
        if holds.first() == Some(&true) && told.insert(holds.clone()) {
            found.push(Witness { holds, word: word(&came, &state) });
        }
        for symbol in symbols(patterns, &state) {
            let next: Vec<Places> = patterns
                .iter()
                .zip(&state)
                .map(|(pattern, places)| step(pattern, *places, symbol.as_ref()))
                .collect();
            // Words for which the first cannot hold any more are of no interest.
            if next.first().is_none_or(|places| *places == 0) || came.contains_key(&next) {
                continue;
            }
            if came.len() >= STATES {
                return Err(Entangled);
            }
            came.insert(next.clone(), Some((state.clone(), symbol)));
            waiting.push_back(next);
        }
    }
    Ok(found)
}

/// The symbols that make a difference from here, and the stand-in for all others.
fn symbols<S: Clone + Eq + Hash>(patterns: &[&[Item<S>]], state: &[Places]) -> Vec<Option<S>> {
    let mut seen = HashSet::new();
    let mut symbols = vec![None];
    for (pattern, places) in patterns.iter().zip(state) {
        for (place, item) in pattern.iter().enumerate() {
            if let Item::One(symbol) = item
                && places & (1 << place) != 0
                && seen.insert(symbol)
            {
                symbols.push(Some(symbol.clone()));
            }
        }
    }
    symbols
}

fn word<S: Clone + Eq + Hash>(came: &Came<S>, end: &[Places]) -> Vec<Option<S>> {
    let mut word = Vec::new();
    let mut at = end.to_vec();
    while let Some(Some((before, symbol))) = came.get(&at) {
        word.push(symbol.clone());
        at = before.clone();
    }
    word.reverse();
    word
}

#[cfg(test)]
mod tests;
