//! A listening TCP socket that keeps accepting after errors.

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

/// Length of the queue in which new connections wait until they are accepted, while the sidecar starts or is
/// busy.
const BACKLOG: i32 = 4096;
/// Delay before the next accept after one that failed because this machine lacked a resource. It is short
/// because all new connections wait during the delay. It is long enough that the retries cost almost no CPU
/// time while descriptors are exhausted for longer.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// A listening socket. It is closed when it is dropped.
#[derive(Debug)]
pub struct Listener {
    socket: Registered,
    calls: Arc<dyn SystemCalls>,
    failures: CallFailures,
}

impl Listener {
    /// Opens a socket that listens on `address`. Connections that remain from a previous process that was
    /// killed do not prevent this (`SO_REUSEADDR`).
    pub fn bind(calls: Arc<dyn SystemCalls>, address: SocketAddr) -> io::Result<Listener> {
        let socket = uninterrupted(|| calls.open(Domain::for_address(address)))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let socket = Registered::new(socket)?;
        Ok(Listener { socket, calls, failures: CallFailures::default() })
    }

    /// Returns the address on which the socket listens, with the port that the kernel chose if port 0 was
    /// requested.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        let address = self.socket.socket().local_addr()?;
        address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
    }

    /// Returns the next connection and its peer address. Retries after every error and logs some of the
    /// errors. Dropping the returned future loses no connection.
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

/// Converts the peer address of an accepted connection; fails if it is not an IP address.
fn peer_address(address: &SockAddr) -> io::Result<SocketAddr> {
    address.as_socket().ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
}

/// Whether an error of accept(2) concerns only one connection, which broke while it waited in the queue and
/// has now been removed from it. Linux returns pending network errors of the new connection from accept(2);
/// they say nothing about the next connection.
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
