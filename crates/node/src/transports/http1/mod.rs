//! HTTP/1.1 to upstreams: one exchange at a time on a connection, and idle ones kept for the next.

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
