//! Opening a connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use socket2::{Domain, SockAddr, Socket};

use super::registered::uninterrupted;
use super::{ConnectError, Stream, SystemCalls};

/// How a call of connect(2) left the socket.
enum ConnectProgress {
    Connected,
    InProgress,
}

/// Connects. Whoever calls this bounds how long it may take.
pub async fn connect(calls: &Arc<dyn SystemCalls>, address: SocketAddr) -> Result<Stream, ConnectError> {
    let socket =
        uninterrupted(|| calls.open(Domain::for_address(address))).map_err(ConnectError::from_system_call)?;
    let progress =
        start_connect(calls.as_ref(), &socket, &address.into()).map_err(ConnectError::from_system_call)?;
    // A socket that is not connecting yet passes for one that is ready: the runtime is told of it only now. What fails
    // from here on without the socket's own error is for want of something here.
    let stream = Stream::new(calls.clone(), socket).map_err(ConnectError::Local)?;
    if matches!(progress, ConnectProgress::InProgress) {
        stream.writable().await.map_err(ConnectError::Local)?;
        if let Some(error) = stream.take_error().map_err(ConnectError::Local)? {
            return Err(ConnectError::from_system_call(error));
        }
    }
    Ok(stream)
}

/// Begins to connect. Interrupted, a connect goes on in the background; the next call tells how far it has come, and
/// begins anew where it has not begun.
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
