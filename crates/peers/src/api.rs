//! The inputs and outputs of a member, its configuration, and the types that they share.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Milliseconds on the member's own monotonic clock. The clocks of two members have no common origin, but
/// their speeds differ by at most [`Timing::drift`].
pub type Millis = u64;

/// A configured member, as its index in the list of members, which is sorted by name. Members with the same
/// list use the same ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A region, as its index in [`Config::regions`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionId(pub u16);

/// The hash of a server's name, which is the same at every member. Datagrams carry it instead of the name,
/// because names are long and datagrams are small. The hash is 64-bit FNV-1a: among 10,000 servers, the
/// probability that any two share a key is about 1 in 10^11.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Returns the key for a server's name.
    pub fn of(name: &str) -> ServerKey {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(name.as_bytes());
        ServerKey(hasher.finish())
    }
}

/// A member as the operators configure it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The unique name of the member.
    pub name: String,
    /// The address that this process sends the member's datagrams to and receives them from. Other members
    /// may use another address for the same member, for example behind address translation. For this reason,
    /// addresses are left out of the digest that members compare their configurations by.
    pub address: SocketAddr,
    /// The region of the member.
    pub region: RegionId,
    /// The name of the member's zone.
    pub zone: String,
}

/// The configuration that a member starts with.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The id of this member.
    pub me: MemberId,
    /// All configured members, sorted by name and including this one. Up to 1,024 are usual; up to 65,535
    /// work.
    pub members: Vec<Member>,
    /// The names of the regions.
    pub regions: Vec<String>,
    /// The priority weight of each class, in the order of the settings. It determines the order in which
    /// classes are shed.
    pub classes: Vec<ClassPriority>,
    /// The fraction of each class's requests that is admitted at any shedding level, so that no class is shut
    /// out.
    pub class_floor: f64,
    /// Limits on the cluster's retries and hedged requests, as fractions of its first attempts.
    pub budgets: Budgets,
    /// Intervals and timeouts of the protocol.
    pub timing: Timing,
}

/// The priority weight of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassPriority {
    /// The weight of one request, or of one unit of work if the platform weights work.
    pub priority_weight: f64,
    /// Whether the weight applies to a unit of work instead of a request.
    pub per_work_unit: bool,
}

/// Limits on the cluster's additional sends, as fractions of its first attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budgets {
    /// The limit on retries.
    pub retries: f64,
    /// The limit on hedged requests.
    pub hedges: f64,
}

/// Intervals and timeouts of the protocol, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Timing {
    /// The gossip interval: once per period, a member sends facts to a few others. It probes one other member
    /// in every second period.
    pub period: Millis,
    /// How long a member that does not answer is suspected before it is considered gone.
    pub suspect: Millis,
    /// How long a lease lasts by the clock of its holder.
    pub lease: Millis,
    /// The fraction by which the speeds of two clocks may differ.
    pub drift: f64,
    /// How long discovery must be unreachable before members elect a coordinator.
    pub outage: Millis,
    /// The minimum election timeout: a member calls for votes between one and two times this long after it
    /// sees that a coordinator is needed.
    pub election: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { period: 200, suspect: 1_000, lease: 2_000, drift: 0.01, outage: 1_500, election: 150 }
    }
}

/// A small record that spreads to all members by gossip. Its owner travels beside it. For each owner, kind
/// and key, the newest fact wins. A fact expires unless its owner publishes it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The kind of the fact. A build forwards kinds that it does not know without decoding them.
    pub kind: FactKind,
    /// What the fact is about, such as a class, a server or a service.
    pub key: u64,
    /// The value of the type that belongs to the kind, encoded by `postcard`. At most [`MAX_FACT_BYTES`]
    /// long.
    pub body: Vec<u8>,
}

/// The kind of a fact, which determines the meaning of its key and the type of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FactKind(pub u8);

impl FactKind {
    /// Whether the owner can reach discovery. The key is 0.
    pub const REACHABILITY: FactKind = FactKind(1);
    /// The owner's load by class. The key is the number of the chunk, as the classes may need several facts.
    pub const LOAD: FactKind = FactKind(2);
    /// A server's state as the owner observed it. The key is the server's.
    pub const SERVER_STATE: FactKind = FactKind(3);
    /// A server's load report, published by the member that is assigned to poll the server. The key is the
    /// server's.
    pub const LOAD_REPORT: FactKind = FactKind(4);
    /// The shedding level at the owner. The key is 0.
    pub const SHEDDING_LEVEL: FactKind = FactKind(5);
    /// Residency rules: their generation and what a service may use. The package `residency` encodes them.
    pub const RESIDENCY_RULES: FactKind = FactKind(6);
    /// The newest version of discovery's server list that the owner holds. The key is 0.
    pub const LIST_VERSION: FactKind = FactKind(7);
    /// The result of the owner's probe of an ejected server. The key is the server's.
    pub const EJECTION_PROBE: FactKind = FactKind(8);
}

/// The maximum length of a fact's body. A datagram can hold one such fact with its stamp and the datagram
/// header.
pub const MAX_FACT_BYTES: usize = 160;

/// The maximum length of a datagram, which the platform sets for messages between peers.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Whether a member can reach discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reachability {
    /// Discovery answers, or the watch on it is alive.
    Up,
    /// Discovery does not answer, and the watch on it is not alive.
    Down,
}

/// The lifecycle state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerState {
    /// The server takes new requests.
    Serving,
    /// The server finishes the requests that it has, but takes no new ones.
    Draining,
    /// The server no longer exists.
    Gone,
}

/// A server as a server list describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The name of the server.
    pub host: String,
    /// The address that the server listens on.
    pub dial: SocketAddr,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the server's kind of machine.
    pub kind: String,
    /// The number of the server's cell.
    pub cell: u64,
    /// The state of the server according to the list.
    pub state: ServerState,
    /// The size of the server relative to the others.
    pub weight: f64,
    /// The time at which the server last started, in Unix milliseconds. 0 means long ago.
    pub started_ms: f64,
}

/// What a member did for one class since it last reported its counts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ClassCounts {
    /// Requests that arrived and were not marked as retries by the client.
    pub first_attempts: u32,
    /// Requests that arrived and were marked as retries by the client.
    pub client_retries: u32,
    /// Requests served.
    pub served: u32,
    /// Requests rejected.
    pub rejected: u32,
    /// Requests that failed or were answered too late.
    pub failed: u32,
    /// Attempts after the first for the same request.
    pub retries: u32,
    /// Hedged requests sent.
    pub hedges: u32,
    /// Requests that are in flight, without an answer yet.
    pub in_flight: u32,
    /// How long an average server works on one request, in milliseconds, as the module estimates it. 0 means
    /// unknown.
    pub service_ms: f64,
}

/// A server's report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests in flight at the server.
    pub in_flight: Option<f32>,
    /// The utilisation of the server's cores, from 0 to 1.
    pub utilisation: Option<f32>,
    /// Requests served per second.
    pub served_per_s: Option<f32>,
}

/// A server that the module may use. The cluster may assign duties and slow-start leases for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownServer {
    /// The key of the server.
    pub server: ServerKey,
    /// When the server started, on this member's clock, while the server is still warming up; otherwise
    /// `None`.
    pub started: Option<Millis>,
    /// How many requests all members together may send the server per window while it is warming up.
    pub slow_start_requests: f64,
    /// The length of that window, in milliseconds.
    pub slow_start_window: Millis,
    /// Whether this member has ejected the server for failures.
    pub ejected: bool,
}

/// An event at a member's process, handed to the member.
#[derive(Debug, Clone, PartialEq)]
pub enum Input<'a> {
    /// A datagram arrived.
    Datagram {
        /// The source address.
        from: SocketAddr,
        /// The contents, which may be anything.
        bytes: &'a [u8],
    },
    /// A timer that was requested with [`Output::WakeAt`] is due.
    Woke,
    /// Discovery became reachable or unreachable from this process.
    Discovery(Reachability),
    /// Discovery sent a server list or changes to it.
    ListUpdate {
        /// The version of the list.
        version: u64,
        /// Whether the list is complete, so that servers missing from it are gone.
        complete: bool,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// The module observed the state of a server while sending to it, whatever the server list says: the
    /// server rejected requests because it is draining, refused connections because it is gone, or served.
    ServerObserved {
        /// The server.
        server: ServerKey,
        /// The observed state. [`ServerState::Serving`] takes back an earlier observation.
        state: ServerState,
    },
    /// The counts by class since the last such input. Expected once per [`Timing::period`].
    Counts(Vec<ClassCounts>),
    /// All servers that the module may use. Expected once per period.
    Servers(Vec<KnownServer>),
    /// A server reported its load to this member.
    LoadReported {
        /// The server.
        server: ServerKey,
        /// The report.
        report: LoadReport,
    },
    /// A probe of an ejected server ended.
    EjectionProbeEnded {
        /// The server.
        server: ServerKey,
        /// Whether the server answered.
        succeeded: bool,
    },
    /// A fact of this member to spread, such as a residency rule. It replaces the member's fact of the same
    /// kind and key, and the member keeps publishing it while it runs. An empty body withdraws the fact.
    Publish(Fact),
}

/// How often a member's process should poll discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PollingRate {
    /// As often as a sidecar without peers does.
    Normal,
    /// Often, because the coordinator polls on behalf of its whole region.
    Frequent,
    /// Rarely, because another member polls for this one.
    Infrequent,
}

/// An action that a member's process should carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination address.
        to: SocketAddr,
        /// At most [`MAX_DATAGRAM_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Provide [`Input::Woke`] at this time or soon after. Earlier requests remain valid.
    WakeAt(Millis),
    /// Poll discovery at this rate from now on.
    SetPolling(PollingRate),
    /// The state of a listed server differs from what discovery told this member: a peer's list says that the
    /// server is draining or gone, a peer has a newer entry, or the coordinator withdrew the server. The
    /// process treats this like a notification from discovery.
    ServerChanged {
        /// The entry, with the server's current state.
        entry: ServerEntry,
        /// Where the change comes from.
        why: ChangeReason,
    },
    /// Cluster guidance for the module.
    Guidance(Guidance),
    /// A server reported its load to a peer.
    LoadReport {
        /// The server.
        server: ServerKey,
        /// The report.
        report: LoadReport,
        /// The age of the report, by this member's clock.
        age: Millis,
    },
    /// Another member's probe of an ejected server ended.
    EjectionProbeEnded {
        /// The server.
        server: ServerKey,
        /// Whether the server answered.
        succeeded: bool,
    },
    /// A fact that this crate does not interpret, such as [`FactKind::RESIDENCY_RULES`], is new or changed.
    /// An empty body means that it was withdrawn or has expired.
    FactReceived {
        /// The member that published the fact.
        owner: MemberId,
        /// The fact.
        fact: Fact,
    },
    /// A log line for the operators. The events behind these lines are rare, so they need no rate limit.
    Log(String),
}

/// Why the state of a server changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// A member has a newer list from discovery.
    NewerList,
    /// The coordinator withdrew the server, on evidence from more than one member.
    Withdrawn,
    /// The coordinator restored a server that it had withdrawn.
    Restored,
}

/// Cluster guidance for the module. Where a field is absent or empty, the module decides on its own.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Guidance {
    /// The admission probability of each class, from 0 to 1. If empty, every request is admitted.
    pub admit: Vec<f64>,
    /// The shedding level behind the admission probabilities, from 0 to 1, for the operators.
    pub level: f64,
    /// The retries that this member may send.
    pub retries: Option<Allowance>,
    /// The hedged requests that this member may send.
    pub hedges: Option<Allowance>,
    /// The servers that this member polls for their load.
    pub load_polls: Option<Vec<ServerKey>>,
    /// The ejected servers that this member probes.
    pub ejection_probes: Option<Vec<ServerKey>>,
    /// How many requests this member may send to each server that is warming up, within its current window.
    /// If absent, the module decides at random.
    pub slow_start: Option<BTreeMap<ServerKey, SlowStartLease>>,
    /// The part of the Retry-After interval that this member draws from for the clients it rejects, as start
    /// and end fractions of the interval. Members use different parts, so that clients that all members
    /// reject do not retry at the same time.
    pub retry_after_range: Option<[f64; 2]>,
}

/// A budget of additional sends: a fraction of the member's own first attempts, and a saved-up burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The fraction of this member's first attempts.
    pub share: f64,
    /// The maximum number of unused sends that can accumulate.
    pub burst: u32,
}

/// What this member may send to a server that is warming up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartLease {
    /// The number of requests, each of average work.
    pub requests: u32,
    /// The end of the lease, by this member's clock.
    pub until: Millis,
}
