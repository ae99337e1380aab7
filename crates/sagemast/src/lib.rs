#![doc = include_str!("../../../README.md")]

pub mod api;
pub mod balancer;
mod checkpoint;
mod cluster_guidance;
mod endpoints;
mod explain;
mod groups;
mod route_updates;
mod serde_helpers;
pub mod settings;
mod slow_start;
mod state;
pub mod view;

pub use balancer::Balancer;
