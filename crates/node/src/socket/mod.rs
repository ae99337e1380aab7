//! TCP sockets for client connections, connections to upstreams and the connection to discovery.
//!
//! A system call may fail temporarily, be interrupted, or transfer fewer bytes than requested, although
//! nothing is wrong. This module retries such calls, so that the other modules need not handle these cases:
//!
//! - An interrupted call is repeated.
//! - A short read or write does not mean that the socket is drained or full. A socket counts as ready until a
//!   call on it would block.
//! - A connection that breaks before it is accepted does not delay the other connections.

mod connecting;
mod error;
mod failures;
mod listener;
mod memory;
mod registered;
mod stream;
mod system_calls;
#[cfg(test)]
mod tests;

pub use connecting::connect;
pub use error::ConnectError;
pub use listener::Listener;
pub use memory::{MEMORY_RETRY, lacks_memory};
pub use registered::Registered;
pub use stream::{Readiness, Stream};
pub use system_calls::{Kernel, SystemCalls};
