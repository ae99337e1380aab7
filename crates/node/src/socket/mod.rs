//! TCP sockets of all sides: client connections, connections to upstreams, and discovery's.
//!
//! System calls may fail for a moment, be interrupted or do less than they were asked to, without a fault of anybody's.
//! Here such a call is made again, so that no other part has to know of it:
//!
//! - A call that was interrupted is made again.
//! - What was read or written short says nothing about what more there is. A socket counts as ready until a call on it
//!   would block.
//! - A connection that died before it was accepted costs the others nothing.

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
