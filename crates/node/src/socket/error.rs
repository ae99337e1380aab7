//! Why a connection did not come up: the peer's doing, or this machine's.

use std::io;

use thiserror::Error;

/// Why a connection did not come up.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine could not open one. It says nothing about the peer, and another attempt may do better at once.
    #[error("this machine cannot open a connection: {0}")]
    Local(#[source] io::Error),
    /// The peer refused it, or could not be reached.
    #[error("cannot connect: {0}")]
    Remote(#[source] io::Error),
    /// It did not come up in time.
    #[error("connecting took too long")]
    TimedOut,
}

impl ConnectError {
    /// Sorts an error of socket(2) or connect(2) by whose it is.
    pub fn from_system_call(error: io::Error) -> ConnectError {
        if is_local(&error) { ConnectError::Local(error) } else { ConnectError::Remote(error) }
    }

    /// Whether nothing is said about the peer.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Local(_))
    }
}

/// The errors of socket(2) and connect(2) that are this machine's: out of descriptors, memory, buffers or ports, or
/// without a route. An unreachable host, a refusal and a reset are the peer's.
const LOCAL_ERRORS: [i32; 12] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EADDRNOTAVAIL,
    libc::EADDRINUSE,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EAGAIN,
    libc::EINTR,
    libc::EPERM,
    libc::EACCES,
];

fn is_local(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}
