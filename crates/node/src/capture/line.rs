//! The form of a captured line: what operators read first, then what a replay needs.

use std::borrow::Cow;

use base64::display::Base64Display;
use base64::engine::{Engine, general_purpose::STANDARD};
use sagemast::Balancer;
use sagemast::api::*;
use serde::{Deserialize, Serialize};

/// One event. Unknown fields are ignored, so that captures of later versions can be read.
#[derive(Serialize, Deserialize)]
pub struct Line<'a> {
    /// Unix time in milliseconds.
    pub t: u64,
    /// The client's id of the request that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<Cow<'a, str>>,
    /// Its class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Cow<'a, str>>,
    /// How long its client waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Where the decision leads, or else the upstream that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Cow<'a, str>>,
    /// What was decided about the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decision: Option<Cow<'a, str>>,
    /// Why the module was told so, where that is not plain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Cow<'a, str>>,
    /// Its place: lines of one run have numbers that follow each other, and no two runs share any.
    pub n: u64,
    /// What it records.
    pub what: What<'a>,
    /// All that the module answered, log lines apart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub did: Vec<Action>,
    /// Names of upstreams that discovery told, or, at a checkpoint, of all that are known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<Named<'a>>,
}

/// What a line records.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What<'a> {
    /// A module that knew nothing yet.
    Start {
        /// For its random numbers.
        seed: u64,
        /// Names of the classes, by id.
        classes: Cow<'a, [String]>,
    },
    /// All that the module held then: from here a replay can go on without the lines before.
    Checkpoint {
        /// Names of the classes, by id.
        classes: Cow<'a, [String]>,
        /// The module without its settings.
        module: Module<'a>,
    },
    /// A line of that number which had no room: it would be larger than a segment may be.
    LeftOut {
        /// Whether it was a checkpoint, which a replay that comes from the lines before can do without.
        checkpoint: bool,
        /// Its size.
        bytes: usize,
        /// The most that a line may have.
        most: usize,
    },
    /// What the module was told.
    Told {
        /// When, on its own clock.
        at: Millis,
        /// What.
        event: Event,
    },
}

/// A module to be written, or one that was read.
pub enum Module<'a> {
    /// Written.
    Live(&'a Balancer),
    /// Read.
    Read(Box<Balancer>),
}

/// In postcard's bytes, as base64: a fifth of what names and digits take, and every float to the bit. No one reads it by
/// eye.
impl Serialize for Module<'_> {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let bytes = match self {
            Module::Live(module) => postcard::to_stdvec(module),
            Module::Read(module) => postcard::to_stdvec(module),
        };
        to.collect_str(&Base64Display::new(&bytes.map_err(serde::ser::Error::custom)?, &STANDARD))
    }
}

impl<'de> Deserialize<'de> for Module<'_> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        let module = postcard::from_bytes(&bytes).map_err(serde::de::Error::custom)?;
        Ok(Module::Read(Box::new(module)))
    }
}

/// An upstream by its name.
#[derive(Serialize, Deserialize)]
pub struct Named<'a> {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its name.
    pub host: Cow<'a, str>,
    /// Where it listens.
    pub dial: Cow<'a, str>,
}

/// The decision about a request among some actions, and where it leads.
pub fn decision(did: &[Action]) -> Option<(&'static str, Option<UpstreamId>)> {
    did.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(("send", Some(*upstream))),
        Action::Refuse { .. } => Some(("refuse", None)),
        Action::Fail(_) => Some(("fail", None)),
        Action::Cancel { .. } => Some(("cancel", None)),
        Action::PollLoad(_) | Action::WakeAt { .. } | Action::Log { .. } => None,
    })
}
