//! Terms, and what the members of a region tell each other about them.

use serde::{Deserialize, Serialize};

use crate::api::{MemberId, ServerKey, Standing};
use crate::lists::{self, Rank};

/// Whose word counts: the highest term that a member knows of. A term is of one run of one candidate, and a run
/// never takes the same number twice, so that no two processes ever hold one term, not even after a fleet was
/// restarted whole and counts from one again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    /// Counts up with each call for votes. 0: no term is known.
    pub number: u64,
    /// Who stands or stood.
    pub candidate: MemberId,
    /// Which run of its process.
    pub incarnation: u64,
}

impl Term {
    /// No term: below all others.
    pub const NONE: Term = Term { number: 0, candidate: MemberId(0), incarnation: 0 };

    /// Whether both are of one run of one process: a promise made to it holds for all of its terms.
    pub fn same_run(&self, other: &Term) -> bool {
        self.candidate == other.candidate && self.incarnation == other.incarnation
    }
}

/// What a coordinator says of one server. In each term the numbers count up from one; of the words about one server
/// the last one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Directive {
    /// Its number in its term.
    pub number: u32,
    /// Which server.
    pub server: ServerKey,
    /// How it stands: [`Standing::Serving`] gives back what was withdrawn.
    pub standing: Standing,
}

/// Words in one datagram at most: 8 of at most 16 bytes, and up to 50 for the rest, stay under 200.
pub const MAX_DIRECTIVES: usize = 8;

/// Withdrawals of former terms that a member tells with one acknowledgement at most.
pub const MAX_INHERITED: usize = 8;

/// What members tell each other; 200 bytes of `postcard` at most. Each is harmless when lost, late or doubled.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Promise to follow nobody else for a while: a candidate's call for votes.
    RequestVote {
        /// What it stands for.
        term: Term,
        /// When this was sent, by the candidate's clock: its lease counts from then.
        sent_at: u64,
        /// How long the promise lasts by the voter's clock.
        duration: u32,
    },
    /// The promise.
    GrantVote {
        /// The term of the call.
        term: Term,
        /// The time of the call.
        sent_at: u64,
    },
    /// No: a higher term is known, or another has the promise.
    Reject {
        /// What was refused.
        term: Term,
        /// The highest known.
        highest_term: Term,
    },
    /// The coordinator says that it goes on, and asks for the promise once more.
    Renew {
        /// Its term.
        term: Term,
        /// The incarnation of whom it is sent to, 0 where that is not known yet.
        to_incarnation: u64,
        /// When this was sent, by the coordinator's clock.
        sent_at: u64,
        /// How long the promise lasts by the member's clock.
        duration: u32,
        /// The number of its last word.
        last_directive: u32,
        /// Which list it holds.
        list: Rank,
    },
    /// The answer to a renewal, and to words.
    Ack {
        /// The term.
        term: Term,
        /// The time of the renewal, or nothing where no promise goes with this.
        sent_at: Option<u64>,
        /// All words up to this number were heard.
        through: u32,
        /// Withdrawals of former terms that this term has said nothing of, up to [`CARRIED`].
        inherited: Vec<(ServerKey, Standing)>,
    },
    /// Words.
    Directives {
        /// Whose.
        term: Term,
        /// The incarnation of whom it is sent to: a word to a former run is none for this one.
        to_incarnation: u64,
        /// All that still count after this number...
        after: u32,
        /// ...up to this one...
        up_to: u32,
        /// ...are these, in the order of their numbers.
        directives: Vec<Directive>,
    },
    /// The term is over: its candidate has given it up, whether or not it was elected. No promise is needed any
    /// more.
    TermEnded {
        /// Which.
        term: Term,
        /// It was the coordinator's, and discovery is back: all withdrawals end.
        discovery_back: bool,
    },
    /// The answer to that.
    TermEndedAck {
        /// Which.
        term: Term,
    },
    /// About discovery's list.
    List(lists::Message),
}
