//! The HTTP/1.1 transport to upstreams.
//!
//! A connection carries one exchange (a request and its answer) at a time. Idle connections are pooled per
//! upstream and reused for later exchanges.

mod attempt;
mod connect_retries;
mod connection;
mod exchange;
mod pool;
mod probe;
mod settings;
mod stream;
mod transport;
mod write_policy;

#[cfg(test)]
mod tests;

pub use settings::Settings;
pub use transport::Http1;
