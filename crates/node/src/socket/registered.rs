//! A socket whose events the runtime reports.

use std::io;
use std::ops::Deref;
use std::task::{Context, Poll, ready};

use socket2::{SockRef, Socket};
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;

/// A socket whose events the runtime reports. It is closed when it is dropped.
///
/// Events come once per change. So a call is made until it would block, and only then the next event is waited for: a
/// call that did less than it was asked to is no sign that nothing more can be done. The runtime's own reads and writes
/// take it for one, which costs an event where the kernel was interrupted.
///
/// The runtime's type for connections serves for listening sockets too, since that for listeners reports no events.
#[derive(Debug)]
pub struct Registered {
    stream: TcpStream,
}

impl Registered {
    /// Has the events of a socket reported, which must not block.
    pub fn new(socket: Socket) -> io::Result<Registered> {
        Ok(Registered { stream: TcpStream::from_std(socket.into())? })
    }

    /// The socket, for calls that wait for nothing.
    pub fn socket(&self) -> impl Deref<Target = Socket> + '_ {
        SockRef::from(&self.stream)
    }

    /// Comes back once one of these events holds, or the connection is closed.
    pub async fn ready(&self, interest: Interest) -> io::Result<Ready> {
        self.stream.ready(interest).await
    }

    /// Makes a call if the socket is ready for it as far as the runtime knows. Else, and where it would block,
    /// `WouldBlock`.
    pub fn try_call<T>(
        &self,
        interest: Interest,
        mut call: impl FnMut(&Socket) -> io::Result<T>,
    ) -> io::Result<T> {
        let socket = self.socket();
        self.stream.try_io(interest, || uninterrupted(|| call(&socket)))
    }

    /// Makes a call that reads, and waits while it would block.
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

    /// Makes a call that writes, and waits while it would block.
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

/// Makes a call again as long as it is interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
