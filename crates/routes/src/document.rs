//! A JSON document whose every place is known, so that all that is wrong with it can be told at once: the file's
//! line and column, the path of keys, the reason and the rule.

use std::fmt::{Display, Formatter};

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use strsim::levenshtein;

/// Which rule a file breaks. The name stands in every message, and the operators' page explains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// The text is not JSON.
    Json,
    /// A key that there is not, or one that is given twice or lacking.
    Key,
    /// A value of the wrong kind or out of its range.
    Value,
    /// A figure without its unit, or with one that there is not.
    Unit,
    /// A class that the platform does not have.
    Class,
    /// What must never run twice would.
    Once,
    /// A repeat could come after servers have forgotten its key.
    Window,
    /// Sends could go on after the client has left.
    ClientLimit,
    /// More than the platform allows.
    Platform,
    /// A budget that contradicts what it is for.
    Budget,
    /// Two routes could both take one request.
    Overlap,
    /// No request can come to a route.
    Unreachable,
}

impl Rule {
    /// Its name in messages.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Json => "json",
            Rule::Key => "key",
            Rule::Value => "value",
            Rule::Unit => "unit",
            Rule::Class => "class",
            Rule::Once => "once",
            Rule::Window => "window",
            Rule::ClientLimit => "client-limit",
            Rule::Platform => "platform",
            Rule::Budget => "budget",
            Rule::Overlap => "overlap",
            Rule::Unreachable => "unreachable",
        }
    }
}

/// One thing that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Where, from 1 on.
    pub line: usize,
    /// Likewise, in characters.
    pub column: usize,
    /// The keys that lead there, as in `routes.table[2].attempts`; empty for the whole.
    pub path: String,
    /// Which rule it breaks.
    pub rule: Rule,
    /// What is wrong, for a person.
    pub reason: String,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Refusal { line, column, path, rule, reason } = self;
        write!(f, "{line}:{column}: ")?;
        if !path.is_empty() {
            write!(f, "{path}: ")?;
        }
        write!(f, "{reason} [{}]", rule.name())
    }
}

/// A place in a document: where it stands and what leads there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    offset: usize,
    path: String,
}

impl Place {
    /// The keys that lead there.
    pub fn path(&self) -> &str {
        &self.path
    }
}

/// Reads a document and gathers what is wrong with it.
pub struct Reader<'t> {
    text: &'t str,
    refusals: Vec<Refusal>,
}

/// An object of a document, whose keys are taken one after the other. What is left over in the end is unknown.
pub struct Fields<'t, 'v> {
    object: &'v Object<'t>,
    place: Place,
    taken: Vec<&'static str>,
}

/// Parses a text strictly by the JSON standard; jsonc-parser's extensions are off.
pub fn parse(text: &str) -> Result<Value<'_>, Refusal> {
    let collect = CollectOptions { comments: CommentCollectionStrategy::Off, tokens: false };
    let strict = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let refused = |offset, reason: String| {
        let (line, column) = position(text, offset);
        Refusal { line, column, path: String::new(), rule: Rule::Json, reason }
    };
    match parse_to_ast(text, &collect, &strict) {
        Ok(parsed) => parsed.value.ok_or_else(|| refused(0, "the file is empty".to_owned())),
        Err(error) => Err(refused(error.range().start, error.kind().to_string())),
    }
}

/// Line and column of an offset, from 1 on.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

/// What a value is, for messages.
fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

impl<'t> Reader<'t> {
    /// A reader of a text that [`parse`] has taken.
    pub fn new(text: &'t str) -> Reader<'t> {
        Reader { text, refusals: Vec::new() }
    }

    /// What was wrong, in the order of the file.
    pub fn finish(mut self) -> Vec<Refusal> {
        self.refusals.sort_by_key(|refusal| (refusal.line, refusal.column));
        self.refusals
    }

    /// Whether nothing was wrong so far.
    pub fn is_content(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Notes that something is wrong at a place.
    pub fn refuse(&mut self, place: &Place, rule: Rule, reason: impl Into<String>) {
        let (line, column) = position(self.text, place.offset);
        self.refusals.push(Refusal { line, column, path: place.path.clone(), rule, reason: reason.into() });
    }

    /// An object's fields, if the value is one. Keys given twice are refused here.
    pub fn fields<'v>(&mut self, value: &'v Value<'t>, path: impl Into<String>) -> Option<Fields<'t, 'v>> {
        let place = Place { offset: value.start(), path: path.into() };
        let Value::Object(object) = value else {
            self.refuse(&place, Rule::Value, format!("this is {}, not an object", kind(value)));
            return None;
        };
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            if object.properties[..index].iter().any(|earlier| earlier.name.as_str() == name) {
                let place = Place { offset: property.start(), path: join(&place.path, name) };
                self.refuse(&place, Rule::Key, "the key is given twice");
            }
        }
        Some(Fields { object, place, taken: Vec::new() })
    }

    /// A list's values with their places, if the value is one.
    pub fn list<'v>(&mut self, value: &'v Value<'t>, place: &Place) -> Vec<(&'v Value<'t>, Place)> {
        let Value::Array(array) = value else {
            self.refuse(place, Rule::Value, format!("this is {}, not a list", kind(value)));
            return Vec::new();
        };
        let at = |(index, value): (usize, &'v Value<'t>)| {
            (value, Place { offset: value.start(), path: format!("{}[{index}]", place.path) })
        };
        array.elements.iter().enumerate().map(at).collect()
    }

    /// A text, if the value is one.
    pub fn text<'v>(&mut self, value: &'v Value<'t>, place: &Place) -> Option<&'v str> {
        match value {
            Value::StringLit(text) => Some(&text.value),
            other => {
                self.refuse(place, Rule::Value, format!("this is {}, not a text", kind(other)));
                None
            }
        }
    }

    /// A number, if the value is one.
    pub fn number(&mut self, value: &Value<'t>, place: &Place) -> Option<f64> {
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<f64>().ok().filter(|number| number.is_finite()),
            _ => None,
        };
        if number.is_none() {
            self.refuse(
                place,
                Rule::Value,
                format!("this is {}, not a number that can be kept", kind(value)),
            );
        }
        number
    }

    /// A whole number between two bounds.
    pub fn whole(&mut self, value: &Value<'t>, place: &Place, least: u32, most: u32) -> Option<u32> {
        let number = self.number(value, place)?;
        if number.fract() == 0.0 && (f64::from(least)..=f64::from(most)).contains(&number) {
            return Some(number as u32);
        }
        self.refuse(place, Rule::Value, format!("{number} is not a whole number from {least} to {most}"));
        None
    }
}

impl<'t, 'v> Fields<'t, 'v> {
    /// Where the object stands.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Every key with its value and place: for objects whose keys are names.
    pub fn all(&self) -> Vec<(&'v str, &'v Value<'t>, Place)> {
        let at = |property: &'v jsonc_parser::ast::ObjectProp<'t>| {
            let name = property.name.as_str();
            (name, &property.value, Place { offset: property.start(), path: join(&self.place.path, name) })
        };
        self.object.properties.iter().map(at).collect()
    }

    /// The value of a key, if it is given.
    pub fn take(&mut self, key: &'static str) -> Option<(&'v Value<'t>, Place)> {
        self.taken.push(key);
        let property = self.object.properties.iter().find(|property| property.name.as_str() == key)?;
        Some((&property.value, Place { offset: property.value.start(), path: join(&self.place.path, key) }))
    }

    /// The value of a key that must be given.
    pub fn need(&mut self, reader: &mut Reader<'t>, key: &'static str) -> Option<(&'v Value<'t>, Place)> {
        let found = self.take(key);
        if found.is_none() {
            reader.refuse(&self.place, Rule::Key, format!("{key:?} is lacking"));
        }
        found
    }

    /// Refuses the keys that were not asked for.
    pub fn end(self, reader: &mut Reader<'t>) {
        for (name, _, place) in self.all() {
            if !self.taken.contains(&name) {
                let near = self.taken.iter().min_by_key(|known| levenshtein(known, name));
                let hint = near.filter(|known| levenshtein(known, name) <= 2);
                let hint = hint.map(|known| format!("; {known:?} is meant?")).unwrap_or_default();
                reader.refuse(&place, Rule::Key, format!("there is no such key{hint}"));
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
