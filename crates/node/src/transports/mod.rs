//! How upstreams are asked. Each protocol implements [`crate::engine::Transport`].

pub mod http1;
