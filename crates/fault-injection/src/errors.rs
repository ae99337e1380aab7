//! The errors that a plan can ask for.

use std::io;

use serde::Deserialize;

/// An error of a system call, by the name that Linux gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum SystemError {
    /// The connection was aborted before it was accepted.
    #[serde(rename = "ECONNABORTED")]
    ConnectionAborted,
    /// The peer has reset the connection.
    #[serde(rename = "ECONNRESET")]
    ConnectionReset,
    /// The process has no free descriptor.
    #[serde(rename = "EMFILE")]
    ProcessDescriptors,
    /// The system has no free descriptor.
    #[serde(rename = "ENFILE")]
    SystemDescriptors,
    /// There is no buffer.
    #[serde(rename = "ENOBUFS")]
    NoBuffers,
    /// There is no memory.
    #[serde(rename = "ENOMEM")]
    NoMemory,
    /// A signal came in between.
    #[serde(rename = "EINTR")]
    Interrupted,
    /// The protocol was violated.
    #[serde(rename = "EPROTO")]
    Protocol,
    /// No local port is free.
    #[serde(rename = "EADDRNOTAVAIL")]
    AddressNotAvailable,
    /// There is no route.
    #[serde(rename = "ENETUNREACH")]
    NetworkUnreachable,
    /// The host cannot be reached.
    #[serde(rename = "EHOSTUNREACH")]
    HostUnreachable,
    /// A resource is short at the moment.
    #[serde(rename = "EAGAIN")]
    TryAgain,
    /// The peer has not acknowledged in time.
    #[serde(rename = "ETIMEDOUT")]
    TimedOut,
}

impl SystemError {
    /// The kernel's number.
    pub fn code(self) -> i32 {
        match self {
            SystemError::ConnectionAborted => libc::ECONNABORTED,
            SystemError::ConnectionReset => libc::ECONNRESET,
            SystemError::ProcessDescriptors => libc::EMFILE,
            SystemError::SystemDescriptors => libc::ENFILE,
            SystemError::NoBuffers => libc::ENOBUFS,
            SystemError::NoMemory => libc::ENOMEM,
            SystemError::Interrupted => libc::EINTR,
            SystemError::Protocol => libc::EPROTO,
            SystemError::AddressNotAvailable => libc::EADDRNOTAVAIL,
            SystemError::NetworkUnreachable => libc::ENETUNREACH,
            SystemError::HostUnreachable => libc::EHOSTUNREACH,
            SystemError::TryAgain => libc::EAGAIN,
            SystemError::TimedOut => libc::ETIMEDOUT,
        }
    }
}

impl From<SystemError> for io::Error {
    fn from(error: SystemError) -> io::Error {
        io::Error::from_raw_os_error(error.code())
    }
}
