//! Inputs, outputs and roles of the coordinator's state machine.

use super::term::Message;
use crate::api::{
    ChangeReason, Fact, MemberId, Millis, PollingRate, Reachability, ServerEntry, ServerKey, ServerState,
};

/// The role of a member in its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// The member follows no coordinator and works as it would without peers.
    Unattached,
    /// The member follows a coordinator.
    Follower,
    /// The member has requested votes, and the election is not decided.
    Candidate,
    /// The member is the coordinator of its region.
    Coordinator,
}

/// An event that the state machine processes.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message from another member. The datagram's header names the sender and the incarnation of its
    /// process.
    Message {
        /// The sender.
        from: MemberId,
        /// The incarnation of the sender's process.
        incarnation: u64,
        /// The message itself.
        message: Message,
    },
    /// A requested timer has expired.
    Woke,
    /// A member, possibly this one, began or ceased to reach discovery. Given on each change. Members of
    /// other regions may be included.
    DiscoveryReach {
        /// The member whose view of discovery changed.
        member: MemberId,
        /// Whether the member reaches discovery.
        reach: Reachability,
    },
    /// A member was found to be alive or dead. Given on each change. All members count as alive until an
    /// event reports otherwise.
    Liveness {
        /// The member whose state changed.
        member: MemberId,
        /// Whether the member is alive.
        alive: bool,
    },
    /// This member received a list, or changes to its list, from discovery itself. This implies that it
    /// reaches discovery.
    ListUpdate {
        /// The version of the list.
        version: u64,
        /// Whether this is the complete list, so that servers without an entry are gone.
        complete: bool,
        /// The entries of the list, or the changed entries.
        entries: Vec<ServerEntry>,
    },
    /// The state of a server as observed by a member, possibly this one. Given on each change. Without a
    /// state, the member reports nothing about the server any more, because its fact was withdrawn or has
    /// expired.
    Evidence {
        /// The member that observed the server.
        reporter: MemberId,
        /// The observed server.
        server: ServerKey,
        /// The observed state.
        standing: Option<ServerState>,
    },
    /// A fact of the kind `LIST` of another member. Given on each change. An empty body means that the fact
    /// is gone.
    ListFact {
        /// The owner of the fact.
        member: MemberId,
        /// The encoded body of the fact.
        body: Vec<u8>,
    },
}

/// An action that the member's process must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to another member.
    Send {
        /// The recipient.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Provide [`Input::Woke`] at this time or soon after. Earlier requests remain valid.
    WakeAt(Millis),
    /// Poll discovery in this way from now on.
    SetPolling(PollingRate),
    /// A server's state differs from the one that this member's process was last told.
    ServerChanged {
        /// The server's list entry, with its current state.
        entry: ServerEntry,
        /// The reason for the change.
        why: ChangeReason,
    },
    /// Publish a fact of this member to the others.
    Publish(Fact),
    /// Log a line for the operators.
    Log(String),
}
