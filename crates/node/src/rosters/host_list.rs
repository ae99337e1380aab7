//! Decodes a list of servers from the JSON format of the platform's discovery.
//!
//! Entries are decoded one by one, so that an invalid entry does not make the others unusable. Unknown fields
//! are skipped without being stored, so that the memory of a list depends only on the number of servers in
//! it.

use std::fmt::{self, Formatter};
use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::{Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::engine::{Entry, List};
use crate::log;

/// The maximum number of entries in a list. A longer list is rejected as a whole.
pub const MAX_ENTRIES: usize = 8_192;

/// A list, or a set of changes to one, in discovery's format.
#[derive(Debug, Deserialize)]
pub struct HostList {
    /// The version of the list; for changes, the version that they lead to.
    pub seq: u64,
    /// Whether this is the complete list rather than a set of changes.
    #[serde(default)]
    pub whole: bool,
    /// The entries, each decoded or marked as invalid.
    #[serde(deserialize_with = "deserialize_bounded_entries")]
    hosts: Vec<Result<Host, InvalidEntry>>,
}

/// A server in discovery's format.
#[derive(Debug, Clone)]
struct Host {
    /// The name of the server, the same at every sidecar.
    host: String,
    /// The address on which it listens.
    dial: SocketAddr,
    /// The name of its zone.
    site: String,
    /// The name of its kind of machine.
    class: String,
    /// The number of its cell.
    block: u64,
    /// Whether it accepts new requests.
    health: Health,
    /// Its capacity relative to other servers.
    share: f64,
    /// When it last started, in Unix milliseconds. 0 stands for long ago.
    born_ms: f64,
}

/// The state of a server in its lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests in flight and accepts no new ones.
    Draining,
    /// It no longer exists.
    Gone,
}

/// What could be decoded of an invalid entry.
#[derive(Debug, Default)]
struct InvalidEntry {
    /// The name of the server, if it is valid.
    host: Option<String>,
    /// The state of the server, if it is valid.
    health: Option<Health>,
    /// The first invalid or missing field. Empty if the entry is not an object.
    field: &'static str,
}

impl HostList {
    /// Converts the list to the engine's type. Invalid entries are left out of its entries and logged in a
    /// single line. The names of their servers, where known, go into its `draining` or `unparsed`.
    pub fn to_list(&self) -> List {
        let mut list = List { version: self.seq, complete: self.whole, ..List::default() };
        for entry in &self.hosts {
            match entry {
                Ok(host) => list.entries.push(host.clone().into()),
                Err(InvalidEntry {
                    host: Some(name), health: Some(Health::Draining | Health::Gone), ..
                }) => {
                    list.draining.push(name.clone());
                }
                Err(InvalidEntry { host: Some(name), .. }) => list.unparsed.push(name.clone()),
                Err(_) => {}
            }
        }
        self.log_invalid_entries();
        list.resume_from = if self.is_valid_base() { self.seq } else { 0 };
        list
    }

    /// Whether later changes can apply to this list: every entry is valid, and it is not a complete list
    /// without entries.
    fn is_valid_base(&self) -> bool {
        self.hosts.iter().all(Result::is_ok) && !(self.whole && self.hosts.is_empty())
    }

    /// Logs the first invalid entry and the number of the others.
    fn log_invalid_entries(&self) {
        let mut invalid = self.hosts.iter().filter_map(|entry| entry.as_ref().err());
        let Some(InvalidEntry { host, field, .. }) = invalid.next() else { return };
        let (name, others) = (host.as_deref().unwrap_or("an entry without a name"), invalid.count());
        let reason = if field.is_empty() { "it is not an object" } else { field };
        log::line(format!("discovery: {name} cannot be parsed ({reason}), nor can {others} other entries"));
    }
}

impl From<Host> for Entry {
    fn from(host: Host) -> Entry {
        Entry {
            host: host.host,
            dial: host.dial,
            zone: host.site,
            kind: host.class,
            cell: host.block,
            serving: host.health == Health::Ready,
            weight: host.share,
            started_ms: host.born_ms,
        }
    }
}

/// Decodes the entries, and fails if there are more than [`MAX_ENTRIES`].
fn deserialize_bounded_entries<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Result<Host, InvalidEntry>>, D::Error> {
    struct EntriesVisitor;

    impl<'de> Visitor<'de> for EntriesVisitor {
        type Value = Vec<Result<Host, InvalidEntry>>;

        fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
            f.write_str("an array of servers")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
            let mut parsed = Vec::new();
            while let Some(entry) = entries.next_element::<RawEntry>()? {
                if parsed.len() == MAX_ENTRIES {
                    return Err(A::Error::custom(format!("more than {MAX_ENTRIES} entries")));
                }
                parsed.push(entry.into_host());
            }
            Ok(parsed)
        }
    }

    deserializer.deserialize_seq(EntriesVisitor)
}

/// The known fields of an entry as they were read, with values of any type.
#[derive(Default)]
struct RawEntry {
    /// Whether the entry is an object.
    is_object: bool,
    host: Option<RawField>,
    dial: Option<RawField>,
    site: Option<RawField>,
    class: Option<RawField>,
    block: Option<RawField>,
    health: Option<RawField>,
    share: Option<RawField>,
    born_ms: Option<RawField>,
}

impl RawEntry {
    /// The slot that stores a field. `None` if the field is unknown.
    fn slot(&mut self, name: &str) -> Option<&mut Option<RawField>> {
        Some(match name {
            "host" => &mut self.host,
            "dial" => &mut self.dial,
            "site" => &mut self.site,
            "class" => &mut self.class,
            "block" => &mut self.block,
            "health" => &mut self.health,
            "share" => &mut self.share,
            "born_ms" => &mut self.born_ms,
            _ => return None,
        })
    }

    /// Validates the fields and applies the defaults of those that are absent.
    fn into_host(self) -> Result<Host, InvalidEntry> {
        if !self.is_object {
            return Err(InvalidEntry::default());
        }
        let health = self.health.as_ref().and_then(RawField::text).and_then(Health::from_name);
        let name = self.host.as_ref().and_then(RawField::text).map(str::to_owned);
        let invalid_entry = |field| InvalidEntry { host: name.clone(), health, field };
        let text = |field: &Option<RawField>| match field {
            None => Some(String::new()),
            Some(field) => field.text().map(str::to_owned),
        };
        let number = |field: &Option<RawField>, default| match field {
            None => Some(default),
            Some(field) => field.number().filter(|number| number.is_finite()),
        };
        let dial = self.dial.as_ref().and_then(RawField::text).and_then(|dial| dial.parse().ok());
        Ok(Host {
            host: name.clone().ok_or_else(|| invalid_entry("host"))?,
            dial: dial.ok_or_else(|| invalid_entry("dial"))?,
            site: text(&self.site).ok_or_else(|| invalid_entry("site"))?,
            class: text(&self.class).ok_or_else(|| invalid_entry("class"))?,
            block: self
                .block
                .as_ref()
                .map_or(Some(0), RawField::integer)
                .ok_or_else(|| invalid_entry("block"))?,
            health: health.ok_or_else(|| invalid_entry("health"))?,
            share: number(&self.share, 1.0).ok_or_else(|| invalid_entry("share"))?,
            born_ms: number(&self.born_ms, 0.0).ok_or_else(|| invalid_entry("born_ms"))?,
        })
    }
}

impl<'de> Deserialize<'de> for RawEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawEntry, D::Error> {
        deserializer.deserialize_any(EntryVisitor)
    }
}

impl Health {
    /// Parses the name that discovery gives to a state. `None` if it is unknown.
    fn from_name(name: &str) -> Option<Health> {
        Some(match name {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            _ => return None,
        })
    }
}

/// The value of a field.
enum RawField {
    Text(String),
    Integer(u64),
    Number(f64),
    /// A value of a type that is valid for no known field.
    Other,
}

impl RawField {
    /// The value as a string, if it is one.
    fn text(&self) -> Option<&str> {
        match self {
            RawField::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The value as an unsigned integer, if it is one.
    fn integer(&self) -> Option<u64> {
        match self {
            RawField::Integer(number) => Some(*number),
            _ => None,
        }
    }

    /// The value as a floating-point number, if it is a number.
    fn number(&self) -> Option<f64> {
        match self {
            RawField::Integer(number) => Some(*number as f64),
            RawField::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for RawField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawField, D::Error> {
        deserializer.deserialize_any(FieldVisitor)
    }
}

/// Implements the visitor methods for values that carry no usable data: they consume the value and return
/// `$other`.
macro_rules! ignore_values {
    ($other:expr; $($visit:ident($value:ty)),*) => {
        $(fn $visit<E: Error>(self, _: $value) -> Result<Self::Value, E> {
            Ok($other)
        })*

        fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
            Ok($other)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
            while items.next_element::<IgnoredAny>()?.is_some() {}
            Ok($other)
        }
    };
}

/// Reads an entry of any JSON type. One that is not an object has no fields.
struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = RawEntry;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a server")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawEntry, A::Error> {
        let mut entry = RawEntry { is_object: true, ..RawEntry::default() };
        while let Some(name) = map.next_key::<String>()? {
            match entry.slot(&name) {
                Some(field) => *field = Some(map.next_value()?),
                None => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(entry)
    }

    ignore_values!(RawEntry::default(); visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64), visit_str(&str));
}

/// Reads the value of a field, of any JSON type.
struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = RawField;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a field of a server")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<RawField, E> {
        Ok(RawField::Integer(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<RawField, E> {
        Ok(RawField::Number(number as f64))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<RawField, E> {
        Ok(RawField::Number(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<RawField, E> {
        Ok(RawField::Text(text.to_owned()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawField, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(RawField::Other)
    }

    ignore_values!(RawField::Other; visit_bool(bool));
}

#[cfg(test)]
mod tests;
