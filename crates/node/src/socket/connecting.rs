//! Opens outgoing TCP connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use socket2::{Domain, SockAddr, Socket};

use super::registered::uninterrupted;
use super::{ConnectError, Stream, SystemCalls};

/// Progress of a connect(2) that did not fail.
enum ConnectProgress {
    Connected,
    InProgress,
}

/// Connects to `address`. This function has no timeout of its own: the caller must set one.
pub async fn connect(calls: &Arc<dyn SystemCalls>, address: SocketAddr) -> Result<Stream, ConnectError> {
    let socket =
        uninterrupted(|| calls.open(Domain::for_address(address))).map_err(ConnectError::from_system_call)?;
    let progress =
        start_connect(calls.as_ref(), &socket, &address.into()).map_err(ConnectError::from_system_call)?;
    // The socket is registered with the runtime only now, because the kernel reports a socket that is not
    // connecting yet as ready. From here on, an error other than the socket's own pending error means that
    // this machine lacks a resource.
    let stream = Stream::new(calls.clone(), socket).map_err(ConnectError::Local)?;
    if matches!(progress, ConnectProgress::InProgress) {
        stream.writable().await.map_err(ConnectError::Local)?;
        if let Some(error) = stream.take_error().map_err(ConnectError::Local)? {
            return Err(ConnectError::from_system_call(error));
        }
    }
    Ok(stream)
}

/// Starts to connect. A connect(2) that a signal interrupts may continue in the background. It is therefore
/// called again: the repeated call reports the progress of the connection, or starts it if the interrupted
/// call did not.
fn start_connect(
    calls: &dyn SystemCalls,
    socket: &Socket,
    address: &SockAddr,
) -> io::Result<ConnectProgress> {
    match uninterrupted(|| calls.connect(socket, address)) {
        Ok(()) => Ok(ConnectProgress::Connected),
        Err(error) => match error.raw_os_error() {
            Some(libc::EISCONN) => Ok(ConnectProgress::Connected),
            Some(libc::EINPROGRESS | libc::EALREADY) => Ok(ConnectProgress::InProgress),
            _ => Err(error),
        },
    }
}
