//! Discovery's list, from whoever of the members has the newest.

use serde::{Deserialize, Serialize};

/// How new a list is: the higher one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Rank {
    /// Counts how often discovery's versions began anew.
    pub epoch: u32,
    /// Discovery's version; 0: none.
    pub version: u64,
}

/// What members tell each other about lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Send what changed.
    Pull {
        /// What is held.
        rank: Rank,
    },
}

/// The list that a member holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Lists {
    rank: Rank,
}

impl Lists {
    /// How new it is.
    pub fn rank(&self) -> Rank {
        self.rank
    }
}
