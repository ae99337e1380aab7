//! A listening socket.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, SockAddr};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::failures::CallFailures;
use super::registered::{Registered, uninterrupted};
use super::{Stream, SystemCalls};

/// Clients that connect while the sidecar starts or is busy wait here.
const BACKLOG: i32 = 4096;
/// The wait after an accept for which something was missing here: short, because all new connections wait with it, and
/// long enough to cost next to nothing while descriptors are lacking for longer.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// A socket that accepts connections.
#[derive(Debug)]
pub struct Listener {
    socket: Registered,
    calls: Arc<dyn SystemCalls>,
    failures: CallFailures,
}

impl Listener {
    /// Listens. The address may be in use by connections of a predecessor that was killed.
    pub fn bind(calls: Arc<dyn SystemCalls>, address: SocketAddr) -> io::Result<Listener> {
        let socket = uninterrupted(|| calls.open(Domain::for_address(address)))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let socket = Registered::new(socket)?;
        Ok(Listener { socket, calls, failures: CallFailures::default() })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let address = self.socket.socket().local_addr()?;
        address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
    }

    /// The next connection. It goes on through all errors, of which it logs some; dropped, it loses no connection.
    pub async fn accept(&self) -> (Stream, SocketAddr) {
        loop {
            match self.accept_one().await {
                Ok(accepted) => return accepted,
                Err(error) => {
                    self.failures.record("accept", &error);
                    if is_connection_error(&error) {
                        yield_now().await
                    } else {
                        sleep(ACCEPT_RETRY_DELAY).await
                    }
                }
            }
        }
    }

    /// Waits for a connection and accepts it.
    async fn accept_one(&self) -> io::Result<(Stream, SocketAddr)> {
        let (socket, address) =
            poll_fn(|context| self.socket.poll_read_call(context, |socket| self.calls.accept(socket)))
                .await?;
        let address = peer_address(&address)?;
        Ok((Stream::new(self.calls.clone(), socket)?, address))
    }
}

/// The address of a peer.
fn peer_address(address: &SockAddr) -> io::Result<SocketAddr> {
    address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
}

/// Whether an error of accept(2) is that of one connection, which died while it waited and is gone now. Linux passes
/// on the network errors of the new connection; they say nothing about the next.
fn is_connection_error(error: &io::Error) -> bool {
    const CONNECTION_ERRORS: [i32; 12] = [
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::ECONNRESET,
        libc::ETIMEDOUT,
    ];
    error.raw_os_error().is_some_and(|code| CONNECTION_ERRORS.contains(&code))
}
