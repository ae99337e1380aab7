//! One who speaks for a region while discovery is out of reach for it.

mod term;

use std::sync::Arc;

pub use term::{Message, Term, Word};

use crate::api::{Asking, Because, Config, Entry, Fact, MemberId, Millis, Reach, ServerKey, Standing};

/// What a member is in its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It hears no coordinator: all is as without peers.
    Alone,
    /// It hears one.
    Follows,
    /// It has called for votes.
    Stands,
    /// It is the one.
    Coordinates,
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
    /// How a member sees discovery, this one included; whenever that changes. Members of other regions may be told too.
    Reach {
        /// Who.
        member: MemberId,
        /// How.
        reach: Reach,
    },
    /// Whether a member lives, whenever that changes; all do until told otherwise.
    Alive {
        /// Who.
        member: MemberId,
        /// Whether.
        alive: bool,
    },
    /// This member's own discovery told a list or what changed in it: that it answers goes with it.
    Listed {
        /// Its version.
        version: u64,
        /// Whether who is missing is gone.
        whole: bool,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// What a member, this one included, saw of a server, whenever that changes; nothing: it says so no more (the fact
    /// was taken back or expired).
    Evidence {
        /// Who saw it.
        by: MemberId,
        /// Which server.
        server: ServerKey,
        /// How it stands.
        standing: Option<Standing>,
    },
    /// A fact of the kind `LIST` of another member, whenever it changes; empty: gone.
    List {
        /// Whose.
        by: MemberId,
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
    Ask(Asking),
    /// A server stands differently than this member was told.
    Server {
        /// The entry, with where it now stands.
        entry: Entry,
        /// Who says so.
        why: Because,
    },
    /// Spread a fact of this member's own.
    Publish(Fact),
    /// A line for the operators.
    Note(String),
}

/// A member's part in its region's coordination. The same inputs give the same outputs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    role: Role,
    known: Term,
    refused: u64,
}

impl Coordinator {
    /// A member's part, from the start of its process.
    pub fn new(_config: Arc<Config>, _now: Millis, _incarnation: u64, _seed: u64) -> Coordinator {
        Coordinator { role: Role::Alone, known: Term::NONE, refused: 0 }
    }

    /// Takes in what happened at `now`, by this member's clock, and appends what should be done.
    pub fn handle(&mut self, _now: Millis, _input: Input, _out: &mut Vec<Output>) {}

    /// What this member is, as of the last call.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The highest term it knows of.
    pub fn term(&self) -> Term {
        self.known
    }

    /// How many words and renewals of older terms it refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
