//! A fleet of sidecars in memory: real decision modules with servers, discovery, clients and links, in one thread, without
//! I/O, the same for the same seed.
//!
//! A [`World`] is made from a [`Spec`] and let run; [`Fault`]s change it at chosen times. [`checks::Checks`] watch every run for
//! what must never happen, by what the world sees and not by what sidecars say; [`Figures`] tell how well it went.
//!
//! What it is for: how many sidecars behave together while parts fail, 10 to 1,000 of them, many thousand runs. What it
//! cannot show: sockets, memory and processors of real processes, which `crates/harelock/tests` play.

pub mod chaos;
pub mod checks;
mod clients;
mod company;
mod dice;
pub mod discovery;
mod faults;
pub mod figures;
pub mod links;
pub mod member;
mod queue;
mod roster;
pub mod rules;
mod sabotage;
pub mod scenarios;
mod sends;
pub mod server;
pub mod spec;
pub mod tally;
pub mod time;
mod world;

pub use discovery::Way;
pub use faults::Fault;
pub use figures::Figures;
pub use links::Fate;
pub use sabotage::Sabotage;
pub use server::Life;
pub use spec::{Mode, Spec};
pub use world::{Sent, World};
