//! Discovery sources: they fetch the list of upstreams and pass it to the engine. Each one implements
//! [`crate::engine::DiscoverySource`].

pub mod discovery;
pub mod host_list;
mod json_stream;
mod source_clock;
