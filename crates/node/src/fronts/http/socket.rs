//! The socket of a client connection, shared between the HTTP server that reads and writes it and the task that watches
//! how it ends.
//!
//! The HTTP server reads only when it needs bytes. While a request is being answered it therefore learns that its client
//! has closed only if nothing was received behind that request. [`ClientSocket::closed_by_peer`] closes this gap: it
//! reads ahead into a bounded buffer, which the server is given first once it reads again.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::engine::Presence;
use crate::socket::{Kernel, SystemCalls};

/// So much is read ahead while a request is being answered. Behind more than this a close shows only by the event that
/// the kernel sends for it.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// One read ahead takes in so much.
const READ_AHEAD_STEP: usize = 4 << 10;

/// A handle to the socket of a client. The socket is closed with its last handle.
#[derive(Clone)]
pub struct ClientSocket {
    shared: Arc<Shared>,
}

struct Shared {
    stream: TcpStream,
    /// What was read ahead and not asked for yet.
    ahead: Mutex<BytesMut>,
}

impl ClientSocket {
    /// Takes over an accepted stream.
    pub fn new(stream: TcpStream) -> ClientSocket {
        // Small answers must not wait in the kernel: a reset would take them along.
        let _ = stream.set_nodelay(true);
        ClientSocket { shared: Arc::new(Shared { stream, ahead: Mutex::default() }) }
    }

    /// Comes back once the peer has closed its sending side or the connection broke, whatever lies unread before that;
    /// with `false` if something happened on the socket and `watched` no longer holds.
    pub async fn closed_by_peer(&self, watched: impl Fn() -> bool) -> bool {
        loop {
            let room = READ_AHEAD_BYTES.saturating_sub(self.ahead().len());
            // With no room left only the close itself is waited for: it is reported with any interest.
            let interest = if room > 0 { Interest::READABLE } else { Interest::PRIORITY };
            let ready = self.shared.stream.ready(interest).await;
            if !watched() {
                return false;
            }
            match ready {
                Ok(ready) if !ready.is_read_closed() => {}
                Ok(_) | Err(_) => return true,
            }
            if room > 0 && self.read_ahead(room).is_err() {
                return true;
            }
        }
    }

    /// Reads what is there, up to `room`. An error is the end of the connection.
    fn read_ahead(&self, room: usize) -> io::Result<()> {
        let mut chunk = [0; READ_AHEAD_STEP];
        let step = room.min(READ_AHEAD_STEP);
        match self.shared.stream.try_read(&mut chunk[..step]) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => {
                self.ahead().extend_from_slice(&chunk[..read]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads what is there, up to `room`, past the runtime. Whether there was anything; an error is the end of the
    /// connection.
    fn read_ahead_now(&self, room: usize) -> io::Result<bool> {
        let mut chunk = [0; READ_AHEAD_STEP];
        let step = room.min(READ_AHEAD_STEP);
        match Kernel.receive(&SockRef::from(&self.shared.stream), &mut chunk[..step]) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => {
                self.ahead().extend_from_slice(&chunk[..read]);
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Whether bytes wait that the server has not been given. Asks the kernel itself, whose events may not have been
    /// taken in yet.
    pub fn has_unread(&self) -> bool {
        if !self.ahead().is_empty() {
            return true;
        }
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.shared.stream).peek(&mut byte).is_ok_and(|read| read > 0)
    }

    /// Ends the sending side and waits for the peer to close its own, but no longer than `limit`.
    ///
    /// To close a socket over unread bytes resets the connection, and the reset discards the answer that the peer has
    /// not read. What arrives meanwhile stays unread: it was sent to a connection that had already been closed, and its
    /// sender may safely send it again.
    pub async fn close(self, limit: Duration) {
        if SockRef::from(&self.shared.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let closed = async {
            loop {
                match self.shared.stream.ready(Interest::PRIORITY).await {
                    Ok(ready) if !ready.is_read_closed() => {}
                    Ok(_) | Err(_) => return,
                }
            }
        };
        let _ = timeout(limit, closed).await;
    }

    /// Held for moments only, never over a wait.
    fn ahead(&self) -> MutexGuard<'_, BytesMut> {
        self.shared.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Presence for ClientSocket {
    fn has_left(&self) -> bool {
        loop {
            let room = READ_AHEAD_BYTES.saturating_sub(self.ahead().len());
            if room == 0 {
                return false;
            }
            match self.read_ahead_now(room) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(_) => return true,
            }
        }
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        {
            let mut ahead = self.ahead();
            if !ahead.is_empty() {
                let taken = ahead.len().min(buffer.remaining());
                buffer.put_slice(&ahead[..taken]);
                ahead.advance(taken);
                return Poll::Ready(Ok(()));
            }
        }
        loop {
            ready!(self.shared.stream.poll_read_ready(context))?;
            match self.shared.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.shared.stream.poll_write_ready(context))?;
            match self.shared.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&self.shared.stream).shutdown(std::net::Shutdown::Write) {
            // The peer was faster.
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
