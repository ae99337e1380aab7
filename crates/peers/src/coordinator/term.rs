//! Terms, directives, and the messages that the members of a region exchange about them.

use serde::{Deserialize, Serialize};

use crate::api::{MemberId, ServerKey, ServerState};
use crate::lists::{self, Rank};

/// Identifies a candidacy and the leadership that follows from it. Members follow the highest term that they
/// know. A term belongs to one run of one candidate, and a run never uses a number twice. No two processes
/// can therefore hold the same term, not even after all members restarted and numbers began at one again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Increases with each candidacy. Zero means that no term is known.
    pub number: u64,
    /// The member that asked for votes in this term.
    pub candidate: MemberId,
    /// The incarnation of the candidate's process.
    pub incarnation: u64,
}

impl Term {
    /// The absence of a term. It is lower than every other term.
    pub const NONE: Term = Term { number: 0, candidate: MemberId(0), incarnation: 0 };

    /// Whether both terms belong to the same run of the same process. A promise made to a run is valid for
    /// all of its terms.
    pub fn same_run(&self, other: &Term) -> bool {
        self.candidate == other.candidate && self.incarnation == other.incarnation
    }
}

/// The state that a coordinator declares for one server. Directives are numbered from one in each term. The
/// last directive about a server replaces all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Directive {
    /// The number of the directive within its term.
    pub number: u32,
    /// The server that the directive is about.
    pub server: ServerKey,
    /// The declared state. [`ServerState::Serving`] restores a server that was withdrawn.
    pub standing: ServerState,
}

/// The maximum number of directives in one message. 8 directives of at most 16 bytes and up to 50 bytes for
/// the other fields stay under 200 bytes.
pub const MAX_DIRECTIVES: usize = 8;

/// The maximum number of withdrawals of earlier terms that a member reports in one acknowledgement.
pub const MAX_INHERITED: usize = 8;

/// A message between members, at most 200 bytes when encoded with `postcard`. Losing, delaying or duplicating
/// any message is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks the recipient for its vote: a promise not to follow another candidate for some time.
    RequestVote {
        /// The term that the candidate asks votes for.
        term: Term,
        /// When the request was sent, by the candidate's clock. The candidate counts its lease from this
        /// time.
        sent_at: u64,
        /// How long the promise is valid, by the voter's clock.
        duration: u32,
    },
    /// A voter grants the requested promise.
    GrantVote {
        /// The term of the request.
        term: Term,
        /// The time of the request, copied from it.
        sent_at: u64,
    },
    /// The recipient rejects a message because it knows a higher term, or because it has promised its vote to
    /// another candidate.
    Reject {
        /// The term of the rejected message.
        term: Term,
        /// The highest term that the sender of this message knows.
        highest_term: Term,
    },
    /// The coordinator renews its lease: it asks for the promise again.
    Renew {
        /// The coordinator's term.
        term: Term,
        /// The incarnation of the recipient, or 0 if the coordinator does not know it yet.
        to_incarnation: u64,
        /// When the renewal was sent, by the coordinator's clock.
        sent_at: u64,
        /// How long the promise is valid, by the recipient's clock.
        duration: u32,
        /// The number of the coordinator's last directive.
        last_directive: u32,
        /// The rank of the server list that the coordinator holds.
        list: Rank,
    },
    /// A member acknowledges a renewal or directives.
    Ack {
        /// The coordinator's term.
        term: Term,
        /// The time of the renewal, copied from it. Absent if this acknowledgement includes no promise.
        sent_at: Option<u64>,
        /// The member has applied all directives up to this number.
        through: u32,
        /// Withdrawals of earlier terms that no directive of this term has replaced, at most
        /// [`MAX_INHERITED`].
        inherited: Vec<(ServerKey, ServerState)>,
    },
    /// The coordinator sends directives. `directives` holds, in the order of their numbers, all directives
    /// with numbers above `after` and up to `up_to` that later ones have not replaced.
    Directives {
        /// The coordinator's term.
        term: Term,
        /// The incarnation of the recipient. Directives to an earlier run are not valid for a later one.
        to_incarnation: u64,
        /// The number that the directives follow.
        after: u32,
        /// The number up to which `directives` is complete.
        up_to: u32,
        /// The directives in the order of their numbers.
        directives: Vec<Directive>,
    },
    /// The term has ended because its candidate gave it up, whether it had been elected or not. Voters are
    /// released from their promises.
    TermEnded {
        /// The term that ended.
        term: Term,
        /// Whether the candidate was the coordinator and discovery is back, so that all withdrawals end.
        discovery_back: bool,
    },
    /// A member acknowledges the end of a coordinator's term.
    TermEndedAck {
        /// The term that ended.
        term: Term,
    },
    /// A message for exchanging discovery's server list.
    List(lists::Message),
}
