//! What goes into a member and what comes out of it.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Milliseconds on the member's own clock, which only moves forward. Clocks of two members have nothing to do with
/// each other but their speed, which differs by [`Timing::drift`] at most.
pub type Millis = u64;

/// A configured member: its place in the list of members, in the order of their names. The same at every member
/// that has the same list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A region: its place in [`Config::regions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionId(pub u16);

/// A server by its name, the same at every member: names are long and datagrams small. 64 bits of FNV-1a; among
/// 10,000 servers two share a key once in 10^11.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The key of a server's name.
    pub fn of(name: &str) -> ServerKey {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(name.as_bytes());
        ServerKey(hasher.finish())
    }
}

/// A member as the operators configure it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name, unlike all others.
    pub name: String,
    /// Where its datagrams come from and go to, as seen from here: not the same at every member where links stand
    /// between them, and so no part of what the members' lists are compared by.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// The name of its zone.
    pub zone: String,
}

/// What a member is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Which of the members this one is.
    pub me: MemberId,
    /// All configured members, in the order of their names, this one included. At most 1,024 are usual, 65,535 work.
    pub members: Vec<Member>,
    /// The names of the regions.
    pub regions: Vec<String>,
    /// What a request of each class earns, by its place in the settings; for the order in which classes are shed.
    pub classes: Vec<ClassPriority>,
    /// The share of a class that is let in however much is shed, so that none is shut out.
    pub class_floor: f64,
    /// The further sends that the fleet may make, as shares of its first tries.
    pub budgets: Budgets,
    /// Times.
    pub timing: Timing,
}

/// What a class's requests are worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassPriority {
    /// Worth of a request, or of a unit of work where the platform counts so.
    pub priority_weight: f64,
    /// Whether it is a unit of work that the worth is for.
    pub per_work_unit: bool,
}

/// Shares of the fleet's first tries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budgets {
    /// Retries.
    pub retries: f64,
    /// Second copies.
    pub hedges: f64,
}

/// Times of the protocol, all in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Timing {
    /// How often a member tells some others of its facts and checks one of them.
    pub period: Millis,
    /// How long a member that does not answer is suspected before it counts as gone.
    pub suspect: Millis,
    /// How long a lease lasts by the clock of its holder.
    pub lease: Millis,
    /// By what share two clocks may differ in speed.
    pub drift: f64,
    /// Discovery must have been out of reach for this long before members elect.
    pub outage: Millis,
    /// A call for votes comes between this and twice this long after the need for one is seen.
    pub election: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { period: 200, suspect: 1_000, lease: 2_000, drift: 0.01, outage: 1_500, election: 150 }
    }
}

/// A small record that spreads to all members: who said it is told beside it, the newest of its owner, kind and key
/// wins, and it expires unless its owner says it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What sort it is; sorts that a build does not know are passed on unread.
    pub kind: FactKind,
    /// What it is about: a class, a server, a service.
    pub key: u64,
    /// [`MAX_FACT_BYTES`] at most, encoded by `postcard` from the type that its kind stands for.
    pub body: Vec<u8>,
}

/// The sort of a fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKind(pub u8);

impl FactKind {
    /// How a member sees discovery: key 0.
    pub const REACHABILITY: FactKind = FactKind(1);
    /// Load by class at a member: key is the number of the piece, where classes need more than one.
    pub const LOAD: FactKind = FactKind(2);
    /// What a member saw or was told of a server: key is the server's.
    pub const SERVER_STATE: FactKind = FactKind(3);
    /// A server's report of its load, by a member whose duty it is to ask: key is the server's.
    pub const LOAD_REPORT: FactKind = FactKind(4);
    /// The level of shedding at a member: key 0.
    pub const SHEDDING_LEVEL: FactKind = FactKind(5);
    /// Rules of residency: the generation and what a service may use. Encoded by the package `residency`.
    pub const RESIDENCY_RULES: FactKind = FactKind(6);
    /// The newest version of discovery's list that a member holds: key 0.
    pub const LIST_VERSION: FactKind = FactKind(7);
    /// How a trial of an ejected server ended: key is the server's.
    pub const EJECTION_PROBE: FactKind = FactKind(8);
}

/// The longest body of a fact, so that a datagram holds one with its stamp and head.
pub const MAX_FACT_BYTES: usize = 160;

/// The longest datagram, the platform's bound for messages between peers.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// How a member sees discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// It answers, or its watch is alive.
    Up,
    /// It does not.
    Down,
}

/// What a list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// A server as a list names it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// What the list says of it.
    pub state: ServerState,
    /// Its size compared with others.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub started_ms: f64,
}

/// What a member did since it was last asked, by class.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ClassCounts {
    /// First tries that came in.
    pub first_attempts: u32,
    /// Tries that clients marked as repeats.
    pub client_retries: u32,
    /// Requests served.
    pub served: u32,
    /// Requests refused.
    pub rejected: u32,
    /// Requests that failed or were too late.
    pub failed: u32,
    /// Second and later sends.
    pub retries: u32,
    /// Second copies.
    pub hedges: u32,
    /// Requests held without their answer.
    pub in_flight: u32,
    /// Milliseconds that a mean server works on one, as the module knows it; 0 where nothing is known.
    pub service_ms: f64,
}

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f32>,
    /// How busy its cores are, 0 to 1.
    pub utilisation: Option<f32>,
    /// Requests served a second.
    pub served_per_s: Option<f32>,
}

/// A server that the module may be given duties or leases for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownServer {
    /// Which one.
    pub server: ServerKey,
    /// When it was started, on this member's clock, where that is less than the time of warming up ago: it is cold.
    pub started: Option<Millis>,
    /// How many requests all members together may send it in each window while it is cold.
    pub slow_start_requests: f64,
    /// The window, in milliseconds.
    pub slow_start_window: Millis,
    /// Whether this member has it ejected for failures.
    pub ejected: bool,
}

/// Something that happened at a member's process.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram {
        /// Where from.
        from: SocketAddr,
        /// What it holds: anything at all.
        bytes: &'a [u8],
    },
    /// A timer that was asked for with [`Output::WakeAt`] is due.
    Woke,
    /// How discovery looks from here, whenever that changes.
    Discovery(Reachability),
    /// Discovery told a list, or what changed in it.
    ListUpdate {
        /// Its version.
        version: u64,
        /// Whether who is missing is gone.
        complete: bool,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// The module's sends told that a server drains (it turned requests away as draining) or is gone (it refuses
    /// connections), whatever the list says.
    ServerObserved {
        /// The server.
        server: ServerKey,
        /// [`ServerState::Draining`] or [`Standing::Gone`].
        state: ServerState,
    },
    /// What was done since the last time, by class; once a [`Timing::period`].
    Counts(Vec<ClassCounts>),
    /// All servers that the module may use, once a period.
    Servers(Vec<KnownServer>),
    /// A server told its load to this member.
    LoadReported {
        /// The server.
        server: ServerKey,
        /// Its report.
        report: LoadReport,
    },
    /// A trial of an ejected server ended well or not.
    EjectionProbeEnded {
        /// The server.
        server: ServerKey,
        /// Whether it answered.
        succeeded: bool,
    },
    /// A fact of this member's own to spread, such as a rule of residency; it replaces the one of the same kind and key
    /// and is said again until the member ends. One with an empty body takes it back.
    Publish(Fact),
}

/// How a member's process should ask discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollingRate {
    /// As a sidecar by itself does.
    Normal,
    /// Often, for all others of the region: it is the coordinator's duty.
    Frequent,
    /// Seldom: another asks for it.
    Infrequent,
}

/// What a member's process should do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Up to [`MAX_DATAGRAM_BYTES`].
        bytes: Vec<u8>,
    },
    /// Hand back [`Input::Woke`] at this time or soon after; an earlier one stays good.
    WakeAt(Millis),
    /// How to ask discovery from now on.
    SetPolling(PollingRate),
    /// A server that a list named stands differently than this member was told: a drain or an end that a peer was told
    /// of, a newer entry, or a withdrawal by the coordinator. Counts as told.
    ServerChanged {
        /// The entry, with where it now stands.
        entry: ServerEntry,
        /// Who says so.
        why: ChangeReason,
    },
    /// What the fleet agreed on, for the module.
    Guidance(Guidance),
    /// A server told a peer its load, so many milliseconds ago by this member's clock.
    LoadReport {
        /// The server.
        server: ServerKey,
        /// Its report.
        report: LoadReport,
        /// How old it is.
        age: Millis,
    },
    /// Another member's trial of an ejected server ended.
    EjectionProbeEnded {
        /// The server.
        server: ServerKey,
        /// Whether it answered.
        succeeded: bool,
    },
    /// A fact of a kind that others read, such as [`FactKind::RESIDENCY_RULES`], is new or changed, or was withdrawn or expired (an
    /// empty body).
    FactReceived {
        /// Whose.
        owner: MemberId,
        /// The fact.
        fact: Fact,
    },
    /// A line for the operators: rare by itself.
    Log(String),
}

/// Why a server stands differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// A member has a newer list from discovery.
    NewerList,
    /// The coordinator withdrew it, by the evidence of more than one member.
    Withdrawn,
    /// The coordinator gave back what it had withdrawn itself.
    Restored,
}

/// What the fleet agreed on. What is absent leaves the module to itself.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Guidance {
    /// By class, the chance that an arrival may be sent at all, 0 to 1; empty: all may.
    pub admit: Vec<f64>,
    /// The level that this comes from, 0 to 1, for the operators.
    pub level: f64,
    /// Retries and second copies that this member may make: a share of its own first tries, and so many saved up.
    pub retries: Option<Allowance>,
    /// The same for second copies.
    pub hedges: Option<Allowance>,
    /// Servers whose load this member asks for; absent: as it sees fit.
    pub load_polls: Option<Vec<ServerKey>>,
    /// Ejected servers that this member tries; absent: as it sees fit.
    pub ejection_probes: Option<Vec<ServerKey>>,
    /// Requests that this member may send to cold servers within their present windows; absent: by chance.
    pub slow_start: Option<BTreeMap<ServerKey, SlowStartLease>>,
    /// Where in the span that refused clients are asked to stay away theirs lie, so that those whom all members
    /// refused do not come back in step: from and to, as shares of the span.
    pub retry_after_range: Option<[f64; 2]>,
}

/// Further sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// As a share of first tries.
    pub share: f64,
    /// So many saved up.
    pub burst: u32,
}

/// What one member may send a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartLease {
    /// So many requests of mean work.
    pub requests: u32,
    /// Until then, by this member's clock.
    pub until: Millis,
}
