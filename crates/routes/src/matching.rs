//! Which requests a route is for: conditions on class, method, path and headers, and how two routes' requests lie
//! to each other.
//!
//! On the platform a path's first segment names the class, and the class says which method its requests have. So
//! everything is looked at class by class, and what is left to compare is paths and headers.

use std::collections::{BTreeMap, BTreeSet};

use crate::policy::{ClassIndex, Effect, PlatformClass};
use crate::words::{Entangled, Item, holds, together};

/// A path's pattern, by segments.
pub type PathPattern = Vec<Item<String>>;

/// A condition on one header's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeaderIs {
    /// It is there, whatever it says.
    Present,
    /// It is not there.
    Absent,
    /// It is there and fits this pattern, by characters.
    Like(Vec<Item<char>>),
}

/// The requests that a route is for: those for which all of this holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Match {
    /// The class; any if there is none.
    pub class: Option<ClassIndex>,
    /// The method; any if there is none.
    pub method: Option<String>,
    /// The path; any if there is none.
    pub path: Option<PathPattern>,
    /// Headers by their names, in lower case.
    pub headers: BTreeMap<String, HeaderIs>,
}

/// The segments of a path, as the platform reads it: slashes at its beginning count as one.
pub fn segments(path: &str) -> impl Iterator<Item = &str> + Clone {
    path.trim_start_matches('/').split('/')
}

/// Reads a path's pattern: segments as they are, `{name}` for any one, and `**` at the end for any number.
pub fn path_pattern(text: &str) -> Result<PathPattern, String> {
    let Some(path) = text.strip_prefix('/') else { return Err(format!("{text:?} does not begin with /")) };
    if path.starts_with('/') {
        return Err(format!("{text:?} begins with more than one /"));
    }
    if text.contains(['?', '#']) || text.chars().any(|c| c.is_control() || c == ' ') {
        return Err(format!("{text:?} is more than a path"));
    }
    let mut pattern = PathPattern::new();
    for segment in path.split('/') {
        if pattern.last() == Some(&Item::Rest) {
            return Err(format!("in {text:?} something follows **"));
        }
        pattern.push(match segment {
            "**" => Item::Rest,
            name if name.starts_with('{') && name.ends_with('}') && name.len() > 2 => Item::Any,
            plain if plain.contains(['{', '}', '*']) => {
                return Err(format!("{plain:?} is neither a segment nor {{name}} nor **"));
            }
            plain => Item::One(plain.to_owned()),
        });
    }
    bounded(pattern, text)
}

/// A pattern for every path that begins with these segments.
pub fn path_prefix(text: &str) -> Result<PathPattern, String> {
    if text.contains(['{', '}', '*']) {
        return Err(format!("{text:?} is a pattern; a prefix is taken as it is"));
    }
    let mut pattern = path_pattern(text)?;
    // `/a/` and `/a` begin the same paths.
    if pattern.last() == Some(&Item::One(String::new())) {
        pattern.pop();
    }
    pattern.push(Item::Rest);
    bounded(pattern, text)
}

/// Reads a header's pattern: characters as they are, and `*` for any number.
pub fn header_pattern(text: &str) -> Result<Vec<Item<char>>, String> {
    if text.chars().any(char::is_control) || text.trim() != text {
        return Err(format!("{text:?} cannot be the value of a header"));
    }
    bounded(text.chars().map(|c| if c == '*' { Item::Rest } else { Item::One(c) }).collect(), text)
}

fn bounded<S>(pattern: Vec<Item<S>>, text: &str) -> Result<Vec<Item<S>>, String> {
    let most = crate::words::ITEMS;
    if pattern.len() > most { Err(format!("{text:?} has more than {most} parts")) } else { Ok(pattern) }
}

impl HeaderIs {
    /// Whether it holds for the value that a request has, if it has one.
    pub fn holds(&self, value: Option<&str>) -> bool {
        match (self, value) {
            (HeaderIs::Present, value) => value.is_some(),
            (HeaderIs::Absent, value) => value.is_none(),
            (HeaderIs::Like(pattern), Some(value)) => holds(pattern, value.chars()),
            (HeaderIs::Like(_), None) => false,
        }
    }
}

impl Match {
    /// Whether requests of a class can come here as far as class and method tell.
    pub fn takes(&self, index: ClassIndex, class: &PlatformClass) -> bool {
        self.class.is_none_or(|own| own == index)
            && self.method.as_deref().is_none_or(|method| method == class.effect.method())
    }
}

/// A request that shows something, as far as routes can tell requests apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Headers that it has.
    pub headers: BTreeMap<String, String>,
    /// Headers that it must not have.
    pub without: BTreeSet<String>,
}

impl std::fmt::Display for Request {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.method, self.path)?;
        for (name, value) in &self.headers {
            write!(f, " with {name}: {value}")?;
        }
        for name in &self.without {
            write!(f, " without {name}")?;
        }
        Ok(())
    }
}

/// How the requests of two routes lie to each other, within one class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Relation {
    /// No request is for both.
    Apart,
    /// All requests for the first are for the second, and not the other way round.
    Inside,
    /// The other way round.
    Around,
    /// Both are for the same requests, such as this one.
    Same(Request),
    /// Some requests are for both, such as this one, and each has some of its own.
    Crossing(Request),
}

/// What one dimension of a request (its path, or one header) can be, as some matches see it.
#[derive(Debug, Clone)]
struct Choice {
    /// Which matches it satisfies.
    holds: Vec<bool>,
    /// What it is.
    part: Part,
}

#[derive(Debug, Clone)]
enum Part {
    Path(String),
    Header(String, Option<String>),
}

/// Any path of a class.
fn class_paths(class: &PlatformClass) -> PathPattern {
    vec![Item::One(class.name.clone()), Item::Rest]
}

/// What paths can be, for some matches.
fn paths(class: &PlatformClass, matches: &[&Match]) -> Result<Vec<Choice>, Entangled> {
    let (all, any) = (class_paths(class), vec![Item::Rest]);
    let patterns: Vec<&[Item<String>]> = std::iter::once(&all[..])
        .chain(matches.iter().map(|each| each.path.as_deref().unwrap_or(&any)))
        .collect();
    let named: BTreeSet<&String> = patterns
        .iter()
        .flat_map(|pattern| pattern.iter())
        .filter_map(|item| if let Item::One(segment) = item { Some(segment) } else { None })
        .collect();
    let other = unnamed(|text| named.contains(&text.to_owned()));
    let options = together(&patterns)?.into_iter().map(|witness| {
        let path: Vec<String> =
            witness.word.into_iter().map(|segment| segment.unwrap_or_else(|| other.clone())).collect();
        Choice { holds: witness.holds[1..].to_vec(), part: Part::Path(format!("/{}", path.join("/"))) }
    });
    Ok(options.collect())
}

/// A text that nothing names.
fn unnamed(is_named: impl Fn(&str) -> bool) -> String {
    let mut text = "x".to_owned();
    while is_named(&text) {
        text.push('x');
    }
    text
}

/// What one header can be, for some matches.
fn header(name: &str, class: &PlatformClass, matches: &[&Match]) -> Result<Vec<Choice>, Entangled> {
    let any = vec![Item::Rest];
    let conditions: Vec<Option<&HeaderIs>> = matches.iter().map(|each| each.headers.get(name)).collect();
    let mut options = Vec::new();
    // A key is what tells a keyed request from others: the platform says who has one.
    let (may_have, may_lack) = match (name, class.effect) {
        ("idempotency-key", Effect::ByKey { .. }) => (true, false),
        ("idempotency-key", _) => (false, true),
        ("host" | "x-request-id" | "x-timeout-ms" | "x-priority-class", _) => (true, false),
        _ => (true, true),
    };
    if may_lack {
        let holds = conditions.iter().map(|is| is.is_none_or(|is| is.holds(None))).collect();
        options.push(Choice { holds, part: Part::Header(name.to_owned(), None) });
    }
    if may_have {
        // The class name stands in one header too.
        let fixed: Vec<Item<char>> = class.name.chars().map(Item::One).collect();
        let all = if name == "x-priority-class" { &fixed } else { &any };
        let patterns: Vec<&[Item<char>]> = std::iter::once(&all[..])
            .chain(conditions.iter().map(|is| match is {
                Some(HeaderIs::Like(pattern)) => &pattern[..],
                _ => &any[..],
            }))
            .collect();
        let named: BTreeSet<char> = patterns
            .iter()
            .flat_map(|pattern| pattern.iter())
            .filter_map(|item| if let Item::One(c) = item { Some(*c) } else { None })
            .collect();
        let other =
            ('a'..='z').chain('!'..='~').find(|c| !named.contains(c) && *c != '*').unwrap_or('\u{e9}');
        for witness in together(&patterns)? {
            let value: String = witness.word.iter().map(|c| c.unwrap_or(other)).collect();
            let absent_too = conditions.iter().map(|is| matches!(is, Some(HeaderIs::Absent)));
            let holds = witness.holds[1..].iter().zip(absent_too).map(|(holds, absent)| *holds && !absent);
            options.push(Choice { holds: holds.collect(), part: Part::Header(name.to_owned(), Some(value)) });
        }
    }
    Ok(options)
}

/// Every dimension in which some matches can differ, with all that it can be.
fn dimensions(class: &PlatformClass, matches: &[&Match]) -> Result<Vec<Vec<Choice>>, Entangled> {
    let mut dimensions = vec![paths(class, matches)?];
    let names: BTreeSet<&String> = matches.iter().flat_map(|each| each.headers.keys()).collect();
    for name in names {
        dimensions.push(header(name, class, matches)?);
    }
    Ok(dimensions)
}

fn request(class: &PlatformClass, parts: impl IntoIterator<Item = Part>) -> Request {
    let mut request = Request {
        method: class.effect.method().to_owned(),
        path: String::new(),
        headers: BTreeMap::new(),
        without: BTreeSet::new(),
    };
    for part in parts {
        match part {
            Part::Path(path) => request.path = path,
            Part::Header(name, Some(value)) => drop(request.headers.insert(name, value)),
            Part::Header(name, None) => drop(request.without.insert(name)),
        }
    }
    request
}

/// How two matches lie to each other among the requests of a class that both take.
pub fn relation(class: &PlatformClass, first: &Match, second: &Match) -> Result<Relation, Entangled> {
    if are_apart(first, second) {
        return Ok(Relation::Apart);
    }
    let dimensions = dimensions(class, &[first, second])?;
    let both: Vec<Option<&Choice>> =
        dimensions.iter().map(|options| options.iter().find(|option| option.holds == [true, true])).collect();
    let Some(both) = both.into_iter().collect::<Option<Vec<&Choice>>>() else {
        return Ok(Relation::Apart);
    };
    let can_be = |holds: [bool; 2]| {
        dimensions.iter().any(|options| options.iter().any(|option| option.holds == holds))
    };
    let witness = || request(class, both.iter().map(|option| option.part.clone()));
    Ok(match (can_be([true, false]), can_be([false, true])) {
        (false, true) => Relation::Inside,
        (true, false) => Relation::Around,
        (false, false) => Relation::Same(witness()),
        (true, true) => Relation::Crossing(witness()),
    })
}

/// Whether two matches are told apart at a glance: by a segment that both name. Most pairs are.
fn are_apart(first: &Match, second: &Match) -> bool {
    let (Some(first), Some(second)) = (&first.path, &second.path) else { return false };
    for pair in first.iter().zip(second) {
        match pair {
            (Item::Rest, _) | (_, Item::Rest) => return false,
            (Item::One(a), Item::One(b)) if a != b => return true,
            _ => {}
        }
    }
    false
}

/// So many combinations are tried before a search for a request is given up.
const TRIES: usize = 200_000;

/// A request of a class that a match takes and none of some narrower ones does. `Ok(None)` if there is none.
pub fn left_over(
    class: &PlatformClass,
    wide: &Match,
    narrower: &[&Match],
) -> Result<Option<Request>, Entangled> {
    let mut matches = vec![wide];
    matches.extend(narrower);
    let mut dimensions = dimensions(class, &matches)?;
    for options in &mut dimensions {
        options.retain(|option| option.holds[0]);
        // What satisfies the fewest others is the likeliest to be left over.
        options.sort_by_key(|option| option.holds.iter().filter(|holds| **holds).count());
    }
    let alive: Vec<usize> = (1..matches.len()).collect();
    let mut tries = 0;
    let mut chosen = Vec::new();
    let found = search(&dimensions, &alive, &mut chosen, &mut tries)?;
    Ok(found.then(|| request(class, chosen.into_iter().map(|option: &Choice| option.part.clone()))))
}

/// Chooses one option a dimension so that none of those alive holds in all of them.
fn search<'o>(
    dimensions: &'o [Vec<Choice>],
    alive: &[usize],
    chosen: &mut Vec<&'o Choice>,
    tries: &mut usize,
) -> Result<bool, Entangled> {
    let Some((options, more)) = dimensions.split_first() else { return Ok(alive.is_empty()) };
    for option in options {
        *tries += 1;
        if *tries > TRIES {
            return Err(Entangled);
        }
        let still: Vec<usize> = alive.iter().copied().filter(|other| option.holds[*other]).collect();
        chosen.push(option);
        if search(more, &still, chosen, tries)? {
            return Ok(true);
        }
        chosen.pop();
    }
    Ok(false)
}

#[cfg(test)]
mod tests;
