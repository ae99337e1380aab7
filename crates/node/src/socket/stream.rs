//! An established TCP connection.

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

/// Largest number of buffers per write, because sendmsg(2) fails with more. The next write sends the rest.
const MAX_IO_SLICES: usize = 1024;

/// What a readiness event says about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The stream may have bytes to read.
    Readable,
    /// The peer has closed its sending side, or the connection broke. Bytes that arrived earlier may still be
    /// unread.
    Closed,
}

/// An open connection. It is closed when it is dropped.
#[derive(Debug)]
pub struct Stream {
    socket: Registered,
    calls: Arc<dyn SystemCalls>,
}

impl Stream {
    /// Wraps a non-blocking socket that is connected or connecting.
    pub(super) fn new(calls: Arc<dyn SystemCalls>, socket: Socket) -> io::Result<Stream> {
        // Small messages must not wait in the kernel's send buffer, because a reset would discard them. If
        // the option cannot be set, the connection is broken and its first read or write returns the error.
        let _ = socket.set_tcp_nodelay(true);
        Ok(Stream { socket: Registered::new(socket)?, calls })
    }

    /// Waits until the socket is writable. For a socket that is still connecting, this is when the connect
    /// has succeeded or failed.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.socket.ready(Interest::WRITABLE).await?;
        Ok(())
    }

    /// Returns the pending error of the socket (`SO_ERROR`) and clears it.
    pub(super) fn take_error(&self) -> io::Result<Option<io::Error>> {
        uninterrupted(|| self.calls.take_error(&self.socket.socket()))
    }

    /// Waits until there may be something to read, which includes the end of the stream.
    pub async fn readable(&self) -> Readiness {
        match self.socket.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => Readiness::Readable,
            // An error means that the runtime is shutting down, after which no more events arrive.
            Ok(_) | Err(_) => Readiness::Closed,
        }
    }

    /// Waits until the peer has closed its sending side or the connection broke, even if earlier bytes are
    /// still unread.
    pub async fn closed(&self) {
        // The runtime reports a close for every interest. `PRIORITY` (urgent data) is used because no other
        // event satisfies it: the socket is not registered with the kernel for urgent data.
        let _ = self.socket.ready(Interest::PRIORITY).await;
    }

    /// Reads the bytes that have arrived. Returns `WouldBlock` if there are none, or if the runtime has not
    /// yet seen the event that reports them.
    pub fn try_receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.try_call(Interest::READABLE, |socket| self.calls.receive(socket, buffer))
    }

    /// Reads the bytes that have arrived by calling the kernel directly. The readiness that the runtime keeps
    /// may be out of date: it shows a drained socket as empty until the runtime polls for events again.
    pub fn receive_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.calls.receive(&self.socket.socket(), buffer))
    }

    /// Whether unread bytes have arrived. Queries the kernel directly, because the runtime may not have
    /// processed the latest events yet.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        uninterrupted(|| self.calls.peek(&self.socket.socket(), &mut byte)).is_ok_and(|read| read > 0)
    }

    /// Whether the peer has closed its sending side or the connection broke, even if earlier bytes are still
    /// unread. Queries the kernel directly, like [`has_unread`](Stream::has_unread). An end that the kernel
    /// has not received, because its buffer is full, does not show.
    pub fn is_closed_now(&self) -> bool {
        uninterrupted(|| self.calls.is_hung_up(&self.socket.socket())).unwrap_or(false)
    }

    /// Closes the sending side. The peer still receives everything written before.
    pub fn end_sending(&self) -> io::Result<()> {
        match uninterrupted(|| self.calls.shutdown(&self.socket.socket(), Shutdown::Write)) {
            // The peer has already closed or reset the connection.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        }
    }

    /// Polls a read into `buffer`. Is pending until there is something to read, and while the kernel lacks
    /// memory for the read.
    pub fn poll_receive(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = self.socket.poll_read_call(context, |socket| self.calls.receive(socket, buffer));
        wake_later_if_out_of_memory(context, read)
    }

    /// Polls a write and returns how many bytes the kernel accepted. Is pending until the kernel accepts at
    /// least one byte, and while it lacks memory for the write.
    pub fn poll_send(&self, context: &mut Context<'_>, slices: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let slices = slices.chunks(MAX_IO_SLICES).next().unwrap_or_default();
        let written = self.socket.poll_write_call(context, |socket| self.calls.send(socket, slices));
        wake_later_if_out_of_memory(context, written)
    }

    /// Polls a read into the unfilled part of a buffer, and marks the bytes read as filled.
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
