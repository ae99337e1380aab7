//! HTTP/1.1 to upstreams: one exchange at a time on a connection, and idle ones kept for the next.

mod attempt;
mod connection;
mod exchange;
mod local_failure;
mod pool;
mod probe;
mod rules;
mod settings;
mod stream;
mod transport;

#[cfg(test)]
mod tests;

pub use settings::Settings;
pub use transport::Http1;
