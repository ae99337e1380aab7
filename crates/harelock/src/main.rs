//! The program `harelock`: the library, on the system calls of the kernel.

use std::process::ExitCode;
use std::sync::Arc;

use node::socket::Kernel;

fn main() -> ExitCode {
    harelock::run(Arc::new(Kernel))
}
