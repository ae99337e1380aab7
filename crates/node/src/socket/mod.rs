//! TCP sockets of all sides: the system calls that they make, and why one does not come up.

mod error;
mod system_calls;

pub use error::ConnectError;
pub use system_calls::{Kernel, SystemCalls};
