//! A TCP connection.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::Socket;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

use super::SystemCalls;
use super::memory::wake_later_if_out_of_memory;
use super::registered::{Registered, uninterrupted};

/// More buffers than this are an error to sendmsg(2); the rest is for the next write.
const MAX_IO_SLICES: usize = 1024;

/// What has happened on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It may have bytes to read.
    Readable,
    /// The peer has closed its sending side, or the connection broke. Bytes may still lie before that.
    Closed,
}

/// An open connection. It is closed when it is dropped.
#[derive(Debug)]
pub struct Stream {
    socket: Registered,
    calls: Arc<dyn SystemCalls>,
}

impl Stream {
    /// Takes over a socket that does not block, and that is connected or connecting.
    pub(super) fn new(calls: Arc<dyn SystemCalls>, socket: Socket) -> io::Result<Stream> {
        // Small messages must not wait in the kernel: a reset would take them along. Where it cannot be set the
        // connection is broken, which its first read or write tells.
        let _ = socket.set_tcp_nodelay(true);
        Ok(Stream { socket: Registered::new(socket)?, calls })
    }

    /// Comes back once it can be written to. For a connection that is being made, that is when this has ended.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.socket.ready(Interest::WRITABLE).await?;
        Ok(())
    }

    /// Takes the error of the socket.
    pub(super) fn take_error(&self) -> io::Result<Option<io::Error>> {
        uninterrupted(|| self.calls.take_error(&self.socket.socket()))
    }

    /// Comes back once there may be something to read, an end included.
    pub async fn readable(&self) -> Readiness {
        match self.socket.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => Readiness::Readable,
            // Without the runtime nothing more comes.
            Ok(_) | Err(_) => Readiness::Closed,
        }
    }

    /// Comes back once the peer has closed its sending side or the connection broke, whatever lies unread before that.
    pub async fn closed(&self) {
        // A close is reported with any interest. That in urgent bytes is met by nothing else: the kernel is not asked
        // for them.
        let _ = self.socket.ready(Interest::PRIORITY).await;
    }

    /// Reads what is there. `WouldBlock` where nothing is, as far as the runtime has heard.
    pub fn try_receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.try_call(Interest::READABLE, |socket| self.calls.receive(socket, buffer))
    }

    /// Reads what is there, past the runtime: it believes that a socket is empty until its next turn says otherwise.
    pub fn receive_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.calls.receive(&self.socket.socket(), buffer))
    }

    /// Whether bytes wait to be read. Asks the kernel itself, whose events may not have been taken in yet.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        uninterrupted(|| self.calls.peek(&self.socket.socket(), &mut byte)).is_ok_and(|read| read > 0)
    }

    /// Ends the sending side, after what was written.
    pub fn end_sending(&self) -> io::Result<()> {
        match uninterrupted(|| self.calls.shutdown(&self.socket.socket(), Shutdown::Write)) {
            // The peer was faster.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }

    /// Reads, and waits until there is something to read.
    pub fn poll_receive(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = self.socket.poll_read_call(context, |socket| self.calls.receive(socket, buffer));
        wake_later_if_out_of_memory(context, read)
    }

    /// Writes as much as the kernel takes, and waits until it takes something.
    pub fn poll_send(&self, context: &mut Context<'_>, slices: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let slices = slices.chunks(MAX_IO_SLICES).next().unwrap_or_default();
        let written = self.socket.poll_write_call(context, |socket| self.calls.send(socket, slices));
        wake_later_if_out_of_memory(context, written)
    }

    /// Reads into what is left of a buffer.
    pub fn poll_receive_into(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(self.poll_receive(context, buffer.initialize_unfilled()))?;
        buffer.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_receive_into(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_sending())
    }
}
