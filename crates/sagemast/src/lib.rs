#![doc = include_str!("../../../README.md")]

pub mod api;
pub mod brain;
mod checkpoint;
mod endpoints;
mod exact;
mod explain;
mod groups;
mod guided;
mod reroute;
pub mod settings;
mod slow_start;
mod state;
pub mod view;

pub use brain::Balancer;
