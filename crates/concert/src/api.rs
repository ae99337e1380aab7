//! What goes into a sidecar's company and what comes out of it.

use std::fmt;
use std::net::SocketAddr;

use peers::api::{ChangeReason, PollingRate, Reachability, ServerEntry};
use residency::Rules;
use sagemast::api::{ClassId, Event, Millis, Settings, UpstreamId};

/// A class of the module by its names: routes make further ones of the platform's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassNames {
    /// The platform's class that it is or was made of, by its place in the settings.
    pub base: ClassId,
    /// The name of that class.
    pub class: String,
    /// The route that its requests come by, where that sets or rules something of its own.
    pub route: Option<String>,
}

/// What a company is told at its start.
#[derive(Debug, Clone)]
pub struct Setup<'a> {
    /// The member of a fleet that this sidecar is, if it is one.
    pub peers: Option<peers::api::Config>,
    /// When this process started, in Unix milliseconds: higher than that of all processes before it.
    pub incarnation: u64,
    /// Where requests may go, if the operators' file says so.
    pub residency: Option<Rules>,
    /// For all that is drawn at random.
    pub seed: u64,
    /// The module's settings.
    pub settings: &'a Settings,
    /// The module's classes, by [`ClassId`].
    pub classes: Vec<ClassNames>,
    /// Its tenants, by their ids.
    pub tenants: Vec<String>,
    /// The zones that the settings name, by their ids; strangers are numbered as
    /// [`sagemast::settings::number_of_name`] does.
    pub zones: Vec<String>,
}

/// Why a company cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SetupError(pub String);

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SetupError {}

/// Something that happened around a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram {
        /// Where from.
        from: SocketAddr,
        /// What it holds: anything at all.
        bytes: &'a [u8],
    },
    /// A time that was asked for with [`Output::WakeAt`] has come.
    Woke,
    /// How discovery looks from here, whenever that changes.
    Reach(Reachability),
    /// The sidecar's own discovery told a list, or what changed in it; each name with the id that the module knows it by.
    /// To be handed over before the module is told, so that its sends are understood.
    Listed {
        /// The list's version.
        version: u64,
        /// Whether who is missing is gone.
        whole: bool,
        /// Its entries.
        entries: Vec<(UpstreamId, ServerEntry)>,
    },
    /// Entries that came by [`Output::Entry`] have these ids.
    Applied(Vec<(UpstreamId, ServerEntry)>),
    /// The operators' file was read again: its rules of residency, if it has any.
    Reread(Option<Rules>),
    /// The module's classes from now on. To be handed over, and what comes of it to the module, before the module
    /// gets requests of new ones.
    Classes(Vec<ClassNames>),
}

/// Something to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Hand this to the module now, and show this company what it does.
    Event(Event),
    /// A server that a list named stands differently: apply this like a changed list and answer with [`Input::Applied`].
    Entry {
        /// The entry, with where it now stands.
        entry: ServerEntry,
        /// Who says so.
        why: ChangeReason,
    },
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Hand back [`Input::Woke`] then or soon after; an earlier one stays good.
    WakeAt(Millis),
    /// How to ask discovery from now on.
    Ask(PollingRate),
    /// A line for the operators.
    Note(String),
}

/// Figures for operators.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct View {
    /// Of the member, where there is one.
    pub peers: Option<peers::Stats>,
    /// The generation of the rules of residency that it holds, if it holds any.
    pub generation: Option<u64>,
    /// The generation that it waits for, if it does.
    pub awaited: Option<u64>,
    /// Entries of peers that were not applied, since this sidecar's own discovery says otherwise.
    pub entries_refused: u64,
    /// Sends that the last look before a byte is written held back.
    pub writes_refused: u64,
}
