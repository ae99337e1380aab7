//! A non-blocking socket that is registered with the Tokio runtime for readiness events.

use std::io;
use std::ops::Deref;
use std::task::{Context, Poll, ready};

use socket2::{SockRef, Socket};
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// A socket that is registered with the runtime for readiness events. It is closed when it is dropped.
///
/// Events are edge-triggered: the runtime reports each change once. The methods therefore treat the socket as
/// ready until a call would block, and only then wait for the next event. A short read or write does not
/// clear the readiness, because more may be possible. The runtime's own reads and writes do clear it after a
/// short call, which loses an event if the call was short because the kernel was interrupted.
///
/// Listening sockets are wrapped in `TcpStream` too, because `TcpListener` does not expose readiness events.
#[derive(Debug)]
pub struct Registered {
    stream: TcpStream,
}

impl Registered {
    /// Registers a socket with the runtime. The socket must be non-blocking.
    pub fn new(socket: Socket) -> io::Result<Registered> {
        Ok(Registered { stream: TcpStream::from_std(socket.into())? })
    }

    /// Returns the socket for calls that need no readiness event.
    pub fn socket(&self) -> impl Deref<Target = Socket> + '_ {
        SockRef::from(&self.stream)
    }

    /// Waits until the socket is ready for one of the operations in `interest`, or the connection is closed.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Makes a call if the runtime has the socket marked as ready for it. Returns `WouldBlock` if the socket
    /// is not marked as ready, or if the call would block.
    pub fn try_call<T>(
        &self,
        interest: Interest,
        mut call: impl FnMut(&Socket) -> io::Result<T>,
    ) -> io::Result<T> {
        let socket = self.socket();
        self.stream.try_io(interest, || uninterrupted(|| call(&socket)))
    }

    /// Polls a call that reads: waits for readiness and repeats the call as long as it would block.
    pub fn poll_read_call<T>(
        &self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&Socket) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.try_call(Interest::READABLE, &mut call) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Polls a call that writes: waits for readiness and repeats the call as long as it would block.
    pub fn poll_write_call<T>(
        &self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&Socket) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.try_call(Interest::WRITABLE, &mut call) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Makes a call and repeats it as long as a signal interrupts it (`EINTR`).
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
