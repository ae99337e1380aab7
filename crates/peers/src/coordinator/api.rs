//! What goes into a member's part and what comes out of it.

use super::term::Message;
use crate::api::{Asking, Because, Entry, Fact, MemberId, Millis, Reach, ServerKey, Standing};

/// What a member is in its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It hears no coordinator: all is as without peers.
    Unattached,
    /// It hears one.
    Follower,
    /// It has called for votes.
    Candidate,
    /// It is the one.
    Coordinator,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A member's message, by the datagram's head from this run of it.
    Message {
        /// From whom.
        from: MemberId,
        /// Which run.
        incarnation: u64,
        /// What.
        message: Message,
    },
    /// A timer is due.
    Woke,
    /// How a member sees discovery, this one included; whenever that changes. Members of other regions may be told
    /// too.
    DiscoveryReach {
        /// Who.
        member: MemberId,
        /// How.
        reach: Reach,
    },
    /// Whether a member lives, whenever that changes; all do until told otherwise.
    Liveness {
        /// Who.
        member: MemberId,
        /// Whether.
        alive: bool,
    },
    /// This member's own discovery told a list or what changed in it: that it answers goes with it.
    ListUpdate {
        /// Its version.
        version: u64,
        /// Whether who is missing is gone.
        complete: bool,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// What a member, this one included, saw of a server, whenever that changes; nothing: it says so no more (the
    /// fact was taken back or expired).
    Evidence {
        /// Who saw it.
        reporter: MemberId,
        /// Which server.
        server: ServerKey,
        /// How it stands.
        standing: Option<Standing>,
    },
    /// A fact of the kind `LIST` of another member, whenever it changes; empty: gone.
    ListFact {
        /// Whose.
        member: MemberId,
        /// The fact's body.
        body: Vec<u8>,
    },
}

/// What should be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send this to a member.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// Hand back [`Input::Woke`] at this time or soon after; an earlier one stays good.
    WakeAt(Millis),
    /// How to ask discovery from now on.
    SetPolling(Asking),
    /// A server stands differently than this member was told.
    ServerChanged {
        /// The entry, with where it now stands.
        entry: Entry,
        /// Who says so.
        why: Because,
    },
    /// Spread a fact of this member's own.
    Publish(Fact),
    /// A line for the operators.
    Log(String),
}
