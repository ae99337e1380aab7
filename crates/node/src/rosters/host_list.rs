//! A list of servers in discovery's form. Entries are decoded one by one: one that cannot be read does not take the
//! others with it. What an entry holds beside its known fields is passed over without being kept, so that a list costs
//! memory by the servers that it names alone.

use std::fmt::{self, Formatter};
use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::{Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::engine::{Entry, List};
use crate::log;

/// The longest list, in entries. One that is longer is refused whole.
pub const MAX_ENTRIES: usize = 8_192;

/// A list, or what changed in it, in discovery's form.
#[derive(Debug, Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// Whether it is complete.
    #[serde(default)]
    pub whole: bool,
    /// Its entries, as far as they could be read.
    #[serde(deserialize_with = "deserialize_bounded_entries")]
    hosts: Vec<Result<Host, InvalidEntry>>,
}

/// A server as discovery tells it.
#[derive(Debug, Clone)]
struct Host {
    /// Its name, the same at every sidecar.
    host: String,
    /// Where it listens.
    dial: SocketAddr,
    /// Its zone.
    site: String,
    /// Its kind of machine.
    class: String,
    /// Its cell.
    block: u64,
    /// Whether it takes new work.
    health: Health,
    /// Its size compared with others.
    share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    born_ms: f64,
}

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// An entry that cannot be read, and what can be made out of it.
#[derive(Debug, Default)]
struct InvalidEntry {
    /// The server's name.
    host: Option<String>,
    /// Whether the server takes new work.
    health: Option<Health>,
    /// The field at fault; empty where the entry is no object.
    field: &'static str,
}

impl HostList {
    /// The list in the engine's terms. Entries that cannot be read are logged, in one line, and left out.
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

    /// Whether changes that come after it can build on it: all of it was read, and there is something in it.
    fn is_valid_base(&self) -> bool {
        self.hosts.iter().all(Result::is_ok) && !(self.whole && self.hosts.is_empty())
    }

    fn log_invalid_entries(&self) {
        let mut invalid = self.hosts.iter().filter_map(|entry| entry.as_ref().err());
        let Some(InvalidEntry { host, field, .. }) = invalid.next() else { return };
        let (name, others) = (host.as_deref().unwrap_or("an entry without a name"), invalid.count());
        let reason = if field.is_empty() { "it is no object" } else { field };
        log::line(format!("discovery: {name} cannot be read ({reason}), nor {others} other entries"));
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

/// Reads the entries, and refuses more than [`MAX_ENTRIES`].
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

/// The known fields of an entry, whatever they hold.
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
    /// The place of a field; none for one that is not known.
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
    fn from_name(name: &str) -> Option<Health> {
        Some(match name {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            _ => return None,
        })
    }
}

/// What a field holds.
enum RawField {
    Text(String),
    Integer(u64),
    Number(f64),
    /// Something that no known field may hold.
    Other,
}

impl RawField {
    fn text(&self) -> Option<&str> {
        match self {
            RawField::Text(text) => Some(text),
            _ => None,
        }
    }

    fn integer(&self) -> Option<u64> {
        match self {
            RawField::Integer(number) => Some(*number),
            _ => None,
        }
    }

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

/// Lets a visitor take values that it has no use for.
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

/// Reads an entry, whatever it is.
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

/// Reads a field, whatever it holds.
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
