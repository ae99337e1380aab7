//! The errors of connecting. They distinguish failures of the peer from failures of this machine.

use std::io;

use thiserror::Error;

/// Why a connection could not be established.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine could not open the connection. The error says nothing about the peer, and another attempt
    /// may succeed at once.
    #[error("this machine cannot open a connection: {0}")]
    Local(#[source] io::Error),
    /// The peer refused the connection or could not be reached.
    #[error("cannot connect: {0}")]
    Remote(#[source] io::Error),
    /// The connection was not established within the time limit.
    #[error("timed out while connecting")]
    TimedOut,
}

impl ConnectError {
    /// Classifies an error of socket(2) or connect(2) as `Local` or `Remote`.
    pub fn from_system_call(error: io::Error) -> ConnectError {
        if is_local(&error) { ConnectError::Local(error) } else { ConnectError::Remote(error) }
    }

    /// Whether the failure is that of this machine and says nothing about the peer.
    pub fn is_local(&self) -> bool {
        matches!(self, ConnectError::Local(_))
    }
}

/// The errors of socket(2) and connect(2) that this machine causes, such as a lack of descriptors, memory,
/// buffers, ports or a route. An unreachable host, a refused connection and a reset count as failures of the
/// peer.
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
