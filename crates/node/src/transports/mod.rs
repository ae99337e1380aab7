//! Transports, which send attempts and probes to upstreams. Each protocol has a module that implements
//! [`crate::engine::Transport`].

pub mod http1;
