//! Where the list of upstreams comes from. Each source implements [`crate::engine::DiscoverySource`].

pub mod discovery;
pub mod host_list;
mod json_stream;
mod source_clock;
