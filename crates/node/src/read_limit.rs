//! Bounds on what a sender can make this process read.
//!
//! The content and the head of a message are bounded, but not the rest of it: chunk sizes with leading zeros, spaces behind
//! them and interim answers may go on without end. Such a message costs time and yields nothing. So the bytes of each
//! message are counted as they are read, and a connection that always has more to read lets other tasks run in between.

use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::yield_now;

use crate::engine::MAX_BODY_BYTES;

/// The most bytes that one message may take on the wire. The longest body in chunks of a byte each takes six times its
/// length; the rest is for the heads and the trailers.
const MAX_MESSAGE_BYTES: usize = 8 * MAX_BODY_BYTES;
/// The most bytes that a connection reads before other tasks run.
const MAX_TURN_BYTES: usize = 32 << 10;

/// A message takes more than [`MAX_MESSAGE_BYTES`].
#[derive(Debug, thiserror::Error)]
#[error("the message takes more than {MAX_MESSAGE_BYTES} bytes")]
struct MessageTooLong;

/// Counts the bytes of a connection that were read since its current message began.
#[derive(Debug, Default)]
pub struct MessageBytes {
    read: AtomicUsize,
}

impl MessageBytes {
    /// The next message begins.
    pub fn begin_message(&self) {
        self.read.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if the message takes too many.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let before = self.read.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_MESSAGE_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, MessageTooLong));
        }
        Ok(())
    }
}

/// A stream whose reads are bounded by message and by turn. Writes pass through.
pub struct LimitedStream<S> {
    stream: S,
    message: Arc<MessageBytes>,
    /// How many bytes were read since other tasks could run.
    turn_bytes: usize,
}

impl<S> LimitedStream<S> {
    /// Bounds the reads of a stream. The owner of `message` says where messages begin.
    pub fn new(stream: S, message: Arc<MessageBytes>) -> LimitedStream<S> {
        LimitedStream { stream, message, turn_bytes: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            // Unlike a task that wakes itself, one that yields also lets the runtime look for events of other sockets.
            let _ = pin!(yield_now()).poll(context);
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        let bytes = buffer.filled().len() - filled;
        self.turn_bytes += bytes;
        Poll::Ready(self.message.count(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
