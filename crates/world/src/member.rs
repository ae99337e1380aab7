//! One sidecar: its module, the member that it is of its fleet, and what its engine would keep.

use std::collections::{BTreeMap, BTreeSet};

use concert::Company;
use peers::api::Reachability;
use sagemast::Balancer;
use sagemast::api::*;

use crate::discovery::Listed;
use crate::rules::File;
use crate::server::SendKey;
use crate::time::{Clock, Micros};

/// What a sidecar's process is told.
#[derive(Debug, Clone)]
pub enum Told {
    /// A request came in.
    Arrived(u64),
    /// Its client left.
    Left(u64),
    /// The engine ends what the module has not ended.
    Backstop(u64),
    /// A send ended.
    Ended {
        /// Which.
        key: SendKey,
        /// How.
        outcome: Outcome,
        /// The report that came with it.
        report: Option<LoadReport>,
    },
    /// A send's time is up.
    TimeUp(SendKey),
    /// A probe ended.
    Probed {
        /// Who was asked.
        server: usize,
        /// What it said.
        report: Option<LoadReport>,
    },
    /// A timer of the module.
    Woke(u64),
    /// A timer of the clock of its list.
    ListDue,
    /// Discovery's answer to a call, or what its watch brings.
    List {
        /// Whether a watch opens with it.
        opening: bool,
    },
    /// A call to discovery failed, or its watch broke.
    ListEnded,
    /// Its operators' file has other rules of residency.
    Reread,
    /// A timer of its member of the fleet.
    PeerDue,
    /// A datagram from another sidecar.
    Datagram {
        /// Whose.
        from: usize,
        /// What it holds.
        bytes: Vec<u8>,
    },
}

/// Whether a sidecar's process runs.
#[derive(Debug)]
pub enum Life {
    /// It does.
    Runs,
    /// It is stopped; what it is told waits.
    Stopped(Vec<Told>),
    /// There is none.
    Gone,
}

/// A request that a sidecar holds.
#[derive(Debug, Clone, Copy)]
pub struct Open {
    /// What the client asks for.
    pub ask: usize,
    /// Its class.
    pub class: usize,
    /// When the engine's own deadline for it is.
    pub deadline: Micros,
    /// Sends so far.
    pub sends: u32,
}

/// A sidecar.
#[derive(Debug)]
pub struct Member {
    /// The number of its zone.
    pub zone: usize,
    /// The number of its region.
    pub region: usize,
    /// Its process's clock.
    pub clock: Clock,
    /// How often its process has started.
    pub incarnation: u64,
    /// Its module.
    pub balancer: Balancer,
    /// Its member of the fleet, where sidecars act together.
    pub company: Option<Company>,
    /// Times at which its company is to be woken.
    pub wakes: BTreeSet<Micros>,
    /// The rules of residency in its operators' file.
    pub file: Option<File>,
    /// Whether its process runs.
    pub life: Life,
    /// When it last went on after it was stopped.
    pub woke: Micros,
    /// Requests without their answer.
    pub open: BTreeMap<u64, Open>,
    /// The list as it holds it: what a process that starts anew reads from its file.
    pub list: BTreeMap<usize, Listed>,
    /// The version of discovery's list that it holds.
    pub version: u64,
    /// When it asks discovery.
    pub list_clock: listclock::PollSchedule,
    /// When the timer set last for that rings.
    pub ringing: Option<Micros>,
    /// How discovery looks from here, as was told last.
    pub reach: Option<Reachability>,
    /// Whether discovery has its watch.
    pub watches: bool,
}

impl Member {
    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        matches!(self.life, Life::Runs)
    }
}
