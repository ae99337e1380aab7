//! The protocol between the sidecars ("members") of one cluster. It keeps working while parts of the cluster
//! fail.
//!
//! A [`Peer`] is one member. It has no sockets, no clock and no random source of its own. Datagrams, the
//! current time and the observations of its process go in as [`Input`]. Datagrams, timer requests and
//! instructions for its process come out as [`Output`]. The same inputs always give the same outputs, so a
//! test can run a thousand members in one thread and lose, delay or duplicate any datagram.
//!
//! The protocol provides membership, gossip of small facts, leases, a coordinator for a region that cannot
//! reach discovery, and load shedding that is the same at all members. It has three limits: it carries
//! nothing from requests (no body, key or id), it talks to configured members only, and it never adds a
//! server that no server list named.

pub mod api;
mod config;
pub mod coordinator;
pub mod facts;
mod incarnation_claims;
pub mod leases;
pub mod lists;
pub mod membership;
pub mod overload;
mod peer;
pub mod rendezvous;
mod stats;
pub mod wire;

pub use api::{Input, Output};
pub use config::ConfigError;
pub use peer::Peer;
pub use stats::Stats;
