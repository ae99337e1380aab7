//! Where the list of upstreams comes from. Each source implements [`crate::engine::Roster`].

pub mod discovery;
pub mod host_list;
mod source_clock;
mod values;
