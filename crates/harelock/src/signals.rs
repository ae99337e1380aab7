//! The signals that the program heeds, read from a descriptor.
//!
//! They are blocked, so that each waits in the kernel until it is read here, whatever fails meanwhile and however early
//! it comes. A handler that writes to a pipe, as the runtime has it, loses a signal where that write fails, and the
//! runtime panics where its own read of the pipe is interrupted.

use std::future::poll_fn;
use std::io;
use std::mem::size_of;
use std::os::fd::OwnedFd;
use std::time::Duration;

use nix::libc::signalfd_siginfo;
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};
use nix::unistd;
use node::socket::Registered;
use tokio::time::sleep;

/// The signals that are heeded.
const HEEDED: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];
/// The wait after a read that failed for no reason that the kernel documents.
const PAUSE: Duration = Duration::from_millis(10);

/// The heeded signals, held back from now on. Threads that are started later hold them back as well.
#[derive(Debug)]
pub struct BlockedSignals {
    descriptor: OwnedFd,
}

impl BlockedSignals {
    /// Holds them back. To be called before any other thread is started.
    pub fn new() -> io::Result<BlockedSignals> {
        let signals: SigSet = HEEDED.into_iter().collect();
        signals.thread_block()?;
        let descriptor = SignalFd::with_flags(&signals, SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC)?;
        Ok(BlockedSignals { descriptor: descriptor.into() })
    }
}

/// The heeded signals as they come. Several of one kind that were not read yet are one, as the kernel has it.
#[derive(Debug)]
pub struct Signals {
    descriptor: Registered,
}

impl Signals {
    /// Waits for them on the runtime that this is called in.
    pub fn new(blocked: BlockedSignals) -> io::Result<Signals> {
        Ok(Signals { descriptor: Registered::new(blocked.descriptor.into())? })
    }

    /// The next signal. It goes on through all errors.
    pub async fn next(&self) -> Signal {
        loop {
            match self.read().await {
                Ok(information) => {
                    if let Some(signal) = signal(&information) {
                        return signal;
                    }
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    /// What the kernel tells of the next signal.
    async fn read(&self) -> io::Result<[u8; size_of::<signalfd_siginfo>()]> {
        let mut information = [0; size_of::<signalfd_siginfo>()];
        poll_fn(|context| {
            self.descriptor
                .poll_read_call(context, |descriptor| Ok(unistd::read(descriptor, &mut information)?))
        })
        .await?;
        Ok(information)
    }
}

/// The signal that the kernel tells of. Its number stands first.
fn signal(information: &[u8]) -> Option<Signal> {
    let number = information.first_chunk().copied().map(u32::from_ne_bytes)?;
    HEEDED.into_iter().find(|signal| *signal as u32 == number)
}
