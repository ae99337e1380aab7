//! Reads the routes of an operator's file, as they stand there: keys, kinds and units. What they mean together is
//! checked in [`crate::table`].

use std::collections::BTreeMap;

use jsonc_parser::ast::Value;

use crate::document::{Fields, Place, Reader, Rule};
use crate::matching::{HeaderIs, Match, header_pattern, path_pattern, path_prefix};
use crate::policy::{Backoff, Budget, CopyAfter, Failure, Platform, Policy, SecondCopy};
use crate::units::{Share, Span};

/// A file has at most this many routes: each is compared with each.
const ROUTES: usize = 2_000;
/// Pauses grow at most so fast.
const FACTOR: f64 = 10.0;

/// A route as it stands in the file, with the places of its keys for what may be said of them.
pub struct RawRoute {
    /// Where it stands.
    pub place: Place,
    /// Where its keys stand, as far as they are given.
    pub keys: BTreeMap<&'static str, Place>,
    /// Its name.
    pub name: String,
    /// Which requests it is for.
    pub matching: Match,
    /// What it sets.
    pub policy: Policy,
}

impl RawRoute {
    /// Where a key stands, or else the route.
    pub fn at(&self, key: &str) -> &Place {
        self.keys.get(key).unwrap_or(&self.place)
    }
}

/// The section as it stands in the file.
#[derive(Default)]
pub struct Raw {
    /// How many retries there may be over all routes.
    pub retry_budget: Option<Budget>,
    /// How many second copies.
    pub copy_budget: Option<Budget>,
    /// The routes, in the order of the file.
    pub routes: Vec<RawRoute>,
}

/// Reads the section. What is wrong goes to the reader, and what can be read is read on.
pub fn section<'t>(reader: &mut Reader<'t>, value: &Value<'t>, path: &str, platform: &Platform) -> Raw {
    let mut raw = Raw::default();
    let Some(mut fields) = reader.fields(value, path) else { return raw };
    raw.retry_budget = budget(reader, fields.take("retry_budget"));
    raw.copy_budget = budget(reader, fields.take("copy_budget"));
    if let Some((table, place)) = fields.need(reader, "table") {
        let routes = reader.list(table, &place);
        if routes.len() > ROUTES {
            reader.refuse(&place, Rule::Value, format!("there are more than {ROUTES} routes"));
        }
        for (value, place) in routes.into_iter().take(ROUTES) {
            raw.routes.extend(route(reader, value, place, platform));
        }
    }
    fields.end(reader);
    raw
}

type Given<'t, 'v> = Option<(&'v Value<'t>, Place)>;

fn route<'t, 'v>(
    reader: &mut Reader<'t>,
    value: &'v Value<'t>,
    place: Place,
    platform: &Platform,
) -> Option<RawRoute> {
    let mut fields = reader.fields(value, place.path())?;
    let mut keys = BTreeMap::new();
    let mut take = |fields: &mut Fields<'t, 'v>, key: &'static str| -> Given<'t, 'v> {
        let found = fields.take(key);
        keys.extend(found.as_ref().map(|(_, place)| (key, place.clone())));
        found
    };
    let name = take(&mut fields, "name");
    let matching = take(&mut fields, "match");
    let attempt_timeout = take(&mut fields, "attempt_timeout");
    let overall = take(&mut fields, "overall");
    let attempts = take(&mut fields, "attempts");
    let resends = take(&mut fields, "resends");
    let retry_on = take(&mut fields, "retry_on");
    let backoff = take(&mut fields, "backoff");
    let retry_budget = take(&mut fields, "retry_budget");
    let second_copy = take(&mut fields, "second_copy");
    let worth = take(&mut fields, "worth");
    for (key, found) in [("name", name.is_some()), ("match", matching.is_some())] {
        if !found {
            reader.refuse(&place, Rule::Key, format!("{key:?} is lacking"));
        }
    }
    let whole = |reader: &mut Reader<'t>, given: Given<'t, '_>, least, most| {
        given.and_then(|(value, place)| reader.whole(value, &place, least, most))
    };
    let policy = Policy {
        attempt_timeout: span(reader, attempt_timeout, true),
        overall: span(reader, overall, true),
        attempts: whole(reader, attempts, 1, 100),
        resends: whole(reader, resends, 0, 100),
        retry_on: retry_on.map(|(value, place)| failures(reader, value, &place)),
        backoff: backoff.and_then(|(value, place)| self::backoff(reader, value, &place)),
        retry_budget: budget(reader, retry_budget),
        second_copy: second_copy.and_then(|(value, place)| copy(reader, value, &place)),
        worth: worth.and_then(|(value, place)| {
            let number = reader.number(value, &place)?;
            if number > 0.0 && number <= 1e6 {
                return Some(number);
            }
            reader.refuse(&place, Rule::Value, format!("{number} is not above 0 and up to 1000000"));
            None
        }),
    };
    let name = name.and_then(|(value, place)| self::name(reader, value, &place)).unwrap_or_default();
    let matching = matching.map(|(value, place)| self::matching(reader, value, &place, platform));
    fields.end(reader);
    Some(RawRoute { place, keys, name, matching: matching.unwrap_or_default(), policy })
}

/// A route's name: it stands in figures and log lines.
fn name<'t>(reader: &mut Reader<'t>, value: &Value<'t>, place: &Place) -> Option<String> {
    let text = reader.text(value, place)?;
    let sound = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > 64 || !text.chars().all(sound) {
        let reason = format!("{text:?} is no name: 1 to 64 of a to z, 0 to 9 and -");
        reader.refuse(place, Rule::Value, reason);
        return None;
    }
    Some(text.to_owned())
}

fn matching<'t>(reader: &mut Reader<'t>, value: &Value<'t>, place: &Place, platform: &Platform) -> Match {
    let mut matching = Match::default();
    let Some(mut fields) = reader.fields(value, place.path()) else { return matching };
    if let Some((value, place)) = fields.take("class")
        && let Some(name) = reader.text(value, &place)
    {
        matching.class = platform.classes.iter().position(|class| class.name == name);
        if matching.class.is_none() {
            let known: Vec<&str> = platform.classes.iter().map(|class| class.name.as_str()).collect();
            let reason = format!("the platform has no class {name:?}; it has {}", known.join(", "));
            reader.refuse(&place, Rule::Class, reason);
        }
    }
    if let Some((value, place)) = fields.take("method")
        && let Some(method) = reader.text(value, &place)
    {
        if !["GET", "POST"].contains(&method) {
            reader.refuse(&place, Rule::Value, format!("{method:?} is neither GET nor POST"));
        }
        matching.method = Some(method.to_owned());
    }
    let path = fields.take("path");
    let prefix = fields.take("path_prefix");
    if let (Some(_), Some((_, place))) = (&path, &prefix) {
        reader.refuse(place, Rule::Key, "\"path\" and \"path_prefix\" are given both");
    }
    for (found, parse) in [(path, path_pattern as fn(&str) -> _), (prefix, path_prefix)] {
        if let Some((value, place)) = found
            && let Some(text) = reader.text(value, &place)
        {
            match parse(text) {
                Ok(pattern) => matching.path = Some(pattern),
                Err(reason) => reader.refuse(&place, Rule::Value, reason),
            }
        }
    }
    if let Some((value, place)) = fields.take("headers")
        && let Some(headers) = reader.fields(value, place.path())
    {
        for (name, value, place) in headers.all() {
            header(reader, &mut matching, name, value, &place);
        }
    }
    fields.end(reader);
    matching
}

/// Headers that are about one connection: they do not tell requests apart.
const OF_CONNECTION: [&str; 7] =
    ["connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "keep-alive"];

fn header<'t>(reader: &mut Reader<'t>, matching: &mut Match, name: &str, value: &Value<'t>, place: &Place) {
    let lower = name.to_ascii_lowercase();
    let sound = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    if name.is_empty() || !name.chars().all(sound) {
        return reader.refuse(place, Rule::Value, format!("{name:?} is no header's name"));
    }
    if OF_CONNECTION.contains(&lower.as_str()) {
        return reader.refuse(place, Rule::Value, format!("{name} is about a connection, not a request"));
    }
    let is = match value {
        Value::BooleanLit(there) => Some(if there.value { HeaderIs::Present } else { HeaderIs::Absent }),
        Value::StringLit(text) => match header_pattern(&text.value) {
            Ok(pattern) => Some(HeaderIs::Like(pattern)),
            Err(reason) => {
                reader.refuse(place, Rule::Value, reason);
                None
            }
        },
        _ => {
            reader.refuse(place, Rule::Value, "a header is a pattern, true (there) or false (not there)");
            None
        }
    };
    if let Some(is) = is
        && matching.headers.insert(lower, is).is_some()
    {
        reader.refuse(place, Rule::Key, format!("{name} is given twice; headers' names know no case"));
    }
}

/// Reads a text with a unit.
fn unit<'t, T: std::str::FromStr<Err = String>>(reader: &mut Reader<'t>, given: Given<'t, '_>) -> Option<T> {
    let (value, place) = given?;
    if let Value::NumberLit(number) = value {
        let reason = format!("{} has no unit; write a text such as \"250ms\" or \"20%\"", number.value);
        reader.refuse(&place, Rule::Unit, reason);
        return None;
    }
    let text = reader.text(value, &place)?;
    text.parse().map_err(|reason: String| reader.refuse(&place, Rule::Unit, reason)).ok()
}

fn span<'t>(reader: &mut Reader<'t>, given: Given<'t, '_>, positive: bool) -> Option<Span> {
    let place = given.as_ref().map(|(_, place)| place.clone())?;
    let span: Span = unit(reader, given)?;
    if positive && span.0 < 1.0 {
        reader.refuse(&place, Rule::Value, format!("{span} is less than 1ms"));
        return None;
    }
    Some(span)
}

fn budget<'t>(reader: &mut Reader<'t>, given: Given<'t, '_>) -> Option<Budget> {
    let (value, place) = given?;
    let mut fields = reader.fields(value, place.path())?;
    let share: Option<Share> = fields.need(reader, "share").and_then(|given| unit(reader, Some(given)));
    let burst = fields.take("burst");
    let burst = match burst {
        Some((value, place)) => reader.whole(value, &place, 0, 1_000_000)?,
        None => 1,
    };
    fields.end(reader);
    Some(Budget { share: share?, burst })
}

fn failures<'t>(reader: &mut Reader<'t>, value: &Value<'t>, place: &Place) -> Vec<Failure> {
    let mut failures = Vec::new();
    for (value, place) in reader.list(value, place) {
        let Some(text) = reader.text(value, &place) else { continue };
        match Failure::ALL.iter().find(|(_, name)| *name == text) {
            Some((failure, _)) if failures.contains(failure) => {
                reader.refuse(&place, Rule::Value, format!("{text:?} is named twice"));
            }
            Some((failure, _)) => failures.push(*failure),
            None => {
                let known: Vec<&str> = Failure::ALL.iter().map(|(_, name)| *name).collect();
                reader.refuse(&place, Rule::Value, format!("{text:?} is none of {}", known.join(", ")));
            }
        }
    }
    failures
}

fn backoff<'t>(reader: &mut Reader<'t>, value: &Value<'t>, place: &Place) -> Option<Backoff> {
    let mut fields = reader.fields(value, place.path())?;
    let first = fields.need(reader, "first");
    let first = span(reader, first, false);
    let most = fields.take("most");
    let most_place = most.as_ref().map(|(_, place)| place.clone());
    let most = span(reader, most, false);
    let factor = fields.take("factor");
    let factor_place = factor.as_ref().map(|(_, place)| place.clone());
    let factor = factor.and_then(|(value, place)| reader.number(value, &place)).unwrap_or(2.0);
    let jitter = fields.take("jitter");
    let jitter: Share = unit(reader, jitter).unwrap_or(Share(0.5));
    fields.end(reader);
    if !(1.0..=FACTOR).contains(&factor) {
        let place = factor_place.as_ref().unwrap_or(place);
        reader.refuse(place, Rule::Value, format!("{factor} is not from 1 to {FACTOR}"));
        return None;
    }
    let first = first?;
    let most = most.unwrap_or(Span(first.0 * FACTOR));
    if most < first {
        let place = most_place.as_ref().unwrap_or(place);
        reader.refuse(
            place,
            Rule::Value,
            format!("the longest pause, {most}, is shorter than the first, {first}"),
        );
        return None;
    }
    Some(Backoff { first, factor, most, jitter })
}

fn copy<'t>(reader: &mut Reader<'t>, value: &Value<'t>, place: &Place) -> Option<SecondCopy> {
    let mut fields = reader.fields(value, place.path())?;
    let after = fields.take("after");
    let percentile = fields.take("percentile");
    let budget = fields.need(reader, "budget");
    let budget = budget.and_then(|given| self::budget(reader, Some(given)));
    let after = match (after, percentile) {
        (Some(_), Some((_, place))) => {
            reader.refuse(&place, Rule::Key, "\"after\" and \"percentile\" are given both");
            None
        }
        (Some(given), None) => span(reader, Some(given), true).map(CopyAfter::Fixed),
        (None, Some((value, place))) => {
            let number = reader.number(value, &place)?;
            if (50.0..100.0).contains(&number) {
                Some(CopyAfter::Percentile(number))
            } else {
                reader.refuse(&place, Rule::Value, format!("{number} is not from 50 and below 100"));
                None
            }
        }
        (None, None) => {
            reader.refuse(place, Rule::Key, "neither \"after\" nor \"percentile\" says when");
            None
        }
    };
    fields.end(reader);
    Some(SecondCopy { after: after?, budget: budget? })
}
