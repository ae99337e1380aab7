//! The sidecar on real sockets. One thread; the engine alone owns the module, and everything else tells it what
//! happened through a channel.
//!
//! [`engine`] names the seams: an [`engine::Intake`] for those who ask, a [`engine::Transport`] to those who are
//! asked and a [`engine::DiscoverySource`] for the list of them. What lies behind them does not know of each other.

mod body;
pub mod capture;
pub mod config;
pub mod engine;
pub mod figures;
pub mod fronts;
mod header_list;
mod hop_by_hop;
mod json;
mod line_file;
pub mod log;
pub mod message_memory;
pub mod module_settings;
pub mod operator;
pub mod output;
pub mod peers;
mod read_limit;
pub mod replay;
pub mod rosters;
pub mod routing;
pub mod socket;
mod transfer_coding;
pub mod transports;
