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
    #[serde(deserialize_with = "bounded_entries")]
    hosts: Vec<Result<Host, Unreadable>>,
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
struct Unreadable {
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
                Err(Unreadable {
                    host: Some(name), health: Some(Health::Draining | Health::Gone), ..
                }) => {
                    list.draining.push(name.clone());
                }
                Err(Unreadable { host: Some(name), .. }) => list.unparsed.push(name.clone()),
                Err(_) => {}
            }
        }
        self.log_unreadable();
        list.resume_from = if self.is_sound() { self.seq } else { 0 };
        list
    }

    /// Whether changes that come after it can build on it: all of it was read, and there is something in it.
    fn is_sound(&self) -> bool {
        self.hosts.iter().all(Result::is_ok) && !(self.whole && self.hosts.is_empty())
    }

    fn log_unreadable(&self) {
        let mut unreadable = self.hosts.iter().filter_map(|entry| entry.as_ref().err());
        let Some(Unreadable { host, field, .. }) = unreadable.next() else { return };
        let (name, more) = (host.as_deref().unwrap_or("an entry without a name"), unreadable.count());
        let at_fault = if field.is_empty() { "it is no object" } else { field };
        log::line(format!("discovery: {name} cannot be read ({at_fault}), nor {more} other entries"));
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
fn bounded_entries<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Result<Host, Unreadable>>, D::Error> {
    struct Entries;

    impl<'de> Visitor<'de> for Entries {
        type Value = Vec<Result<Host, Unreadable>>;

        fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
            f.write_str("an array of servers")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
            let mut read = Vec::new();
            while let Some(fields) = entries.next_element::<Fields>()? {
                if read.len() == MAX_ENTRIES {
                    return Err(A::Error::custom(format!("more than {MAX_ENTRIES} entries")));
                }
                read.push(fields.host());
            }
            Ok(read)
        }
    }

    deserializer.deserialize_seq(Entries)
}

/// The known fields of an entry, whatever they hold.
#[derive(Default)]
struct Fields {
    /// Whether the entry is an object.
    is_object: bool,
    host: Option<Field>,
    dial: Option<Field>,
    site: Option<Field>,
    class: Option<Field>,
    block: Option<Field>,
    health: Option<Field>,
    share: Option<Field>,
    born_ms: Option<Field>,
}

impl Fields {
    /// The place of a field; none for one that is not known.
    fn named(&mut self, name: &str) -> Option<&mut Option<Field>> {
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

    fn host(self) -> Result<Host, Unreadable> {
        if !self.is_object {
            return Err(Unreadable::default());
        }
        let health = self.health.as_ref().and_then(Field::text).and_then(Health::named);
        let name = self.host.as_ref().and_then(Field::text).map(str::to_owned);
        let fault = |field| Unreadable { host: name.clone(), health, field };
        let text = |field: &Option<Field>| match field {
            None => Some(String::new()),
            Some(field) => field.text().map(str::to_owned),
        };
        let number = |field: &Option<Field>, absent| match field {
            None => Some(absent),
            Some(field) => field.number().filter(|number| number.is_finite()),
        };
        let dial = self.dial.as_ref().and_then(Field::text).and_then(|dial| dial.parse().ok());
        Ok(Host {
            host: name.clone().ok_or_else(|| fault("host"))?,
            dial: dial.ok_or_else(|| fault("dial"))?,
            site: text(&self.site).ok_or_else(|| fault("site"))?,
            class: text(&self.class).ok_or_else(|| fault("class"))?,
            block: self.block.as_ref().map_or(Some(0), Field::whole).ok_or_else(|| fault("block"))?,
            health: health.ok_or_else(|| fault("health"))?,
            share: number(&self.share, 1.0).ok_or_else(|| fault("share"))?,
            born_ms: number(&self.born_ms, 0.0).ok_or_else(|| fault("born_ms"))?,
        })
    }
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Fields, D::Error> {
        deserializer.deserialize_any(AnyEntry)
    }
}

impl Health {
    fn named(name: &str) -> Option<Health> {
        Some(match name {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            _ => return None,
        })
    }
}

/// What a field holds.
enum Field {
    Text(String),
    Whole(u64),
    Number(f64),
    /// Something that no known field may hold.
    Other,
}

impl Field {
    fn text(&self) -> Option<&str> {
        match self {
            Field::Text(text) => Some(text),
            _ => None,
        }
    }

    fn whole(&self) -> Option<u64> {
        match self {
            Field::Whole(number) => Some(*number),
            _ => None,
        }
    }

    fn number(&self) -> Option<f64> {
        match self {
            Field::Whole(number) => Some(*number as f64),
            Field::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for Field {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Field, D::Error> {
        deserializer.deserialize_any(AnyField)
    }
}

/// Lets a visitor take values that it has no use for.
macro_rules! pass_over {
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
struct AnyEntry;

impl<'de> Visitor<'de> for AnyEntry {
    type Value = Fields;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a server")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
        let mut fields = Fields { is_object: true, ..Fields::default() };
        while let Some(name) = map.next_key::<String>()? {
            match fields.named(&name) {
                Some(field) => *field = Some(map.next_value()?),
                None => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(fields)
    }

    pass_over!(Fields::default(); visit_bool(bool), visit_i64(i64), visit_u64(u64), visit_f64(f64), visit_str(&str));
}

/// Reads a field, whatever it holds.
struct AnyField;

impl<'de> Visitor<'de> for AnyField {
    type Value = Field;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a field of a server")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Field, E> {
        Ok(Field::Whole(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Field, E> {
        Ok(Field::Number(number as f64))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Field, E> {
        Ok(Field::Number(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Field, E> {
        Ok(Field::Text(text.to_owned()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Field, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Field::Other)
    }

    pass_over!(Field::Other; visit_bool(bool));
}

#[cfg(test)]
mod tests;
