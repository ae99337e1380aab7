//! What the processes of one fleet tell each other while parts of it fail, and what each makes of it.
//!
//! A [`Peer`] is one member. It has no sockets, no clock and no randomness of its own: datagrams, times and what its
//! process sees go in as [`Input`], and datagrams, timers and what its process should do come out as [`Output`]. The
//! same inputs give the same outputs, so that a thousand members can be played in one thread, with every datagram
//! lost, held back or doubled at will.
//!
//! What it is for: membership, small facts that spread, leases, a coordinator where discovery is out of reach, and
//! overload met by all alike. What it refuses: it carries no content of requests (no body, key or id), it talks to
//! configured members only, and it never adds a server that no list named.

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
