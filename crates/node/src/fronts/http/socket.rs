//! The socket of a client connection, shared between the HTTP server that reads and writes it and the task that watches
//! how it ends.
//!
//! The HTTP server reads only when it needs bytes. While a request is being answered it therefore learns that its client
//! has closed only if nothing was received behind that request. [`ClientSocket::closed_by_peer`] closes this gap: it
//! reads ahead into a bounded buffer, which the server is given first once it reads again.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::engine::ClientConnection;
use crate::message_memory::{MemoryPool, Reservation};
use crate::socket::{MEMORY_RETRY, Readiness, Stream, lacks_memory};

/// The memory that bytes read ahead while a request is being answered may take. Behind more than this a close shows only
/// by what the kernel says of the connection.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// So long after a client was last known to be there, nothing more is sent for it where its close cannot be seen. An
/// attempt may begin 100 ms after the close; the rest is for the write.
const MOST_OUT_OF_SIGHT: Duration = Duration::from_millis(80);
/// One read ahead takes in so much.
const READ_AHEAD_STEP: usize = 4 << 10;
/// A peer that takes less of its output than this has stopped reading.
const MIN_PROGRESS_BYTES: usize = 16 << 10;
/// The memory that a piece takes beside its bytes: its entry, of which a queue that grows may hold twice as many as it
/// needs, and its allocation.
const PIECE_OVERHEAD_BYTES: usize = 2 * size_of::<Piece>() + 32;

/// A handle to the socket of a client. The socket is closed with its last handle.
#[derive(Clone)]
pub struct ClientSocket {
    shared: Arc<Shared>,
}

struct Shared {
    stream: Stream,
    ahead: Mutex<Ahead>,
    blocked: Mutex<Option<Blocked>>,
    /// Wakes whoever waits for writes to stall.
    began_to_block: Notify,
}

/// Output that the peer does not read.
#[derive(Clone, Copy)]
struct Blocked {
    since: Instant,
    /// How much of it was taken since.
    written: usize,
}

/// The bytes of one read ahead that were not asked for yet.
struct Piece {
    bytes: Bytes,
    /// When they came.
    came: Instant,
}

/// What was read ahead and not asked for yet.
struct Ahead {
    pieces: VecDeque<Piece>,
    /// When what the server was given last had come.
    given: Instant,
    /// From when on the connection may have waited to be accepted, until all that came meanwhile is read.
    queued_since: Option<Instant>,
    /// Whether the server was given anything.
    has_given: bool,
    /// When the client was last known to be there: nothing lay unread and it had not closed, or output was written that
    /// it would have reset.
    seen: Instant,
    /// Where the memory for all but the first step of the pieces comes from.
    pool: MemoryPool,
    /// Reservations of a step each.
    reserved: Vec<Reservation>,
}

impl Ahead {
    /// The memory that the pieces take. A sender decides how many there are, so that their bytes alone do not tell.
    fn memory(&self) -> usize {
        self.pieces.iter().map(|piece| piece.bytes.len() + PIECE_OVERHEAD_BYTES).sum()
    }

    /// How many more bytes may be read ahead. Where there is no room it reserves a further step, as far as there is memory.
    fn room(&mut self) -> usize {
        let next_piece = self.memory() + PIECE_OVERHEAD_BYTES;
        if self.allowed() <= next_piece && self.allowed() < READ_AHEAD_BYTES {
            self.reserved.extend(self.pool.try_reserve(READ_AHEAD_STEP));
        }
        self.allowed().saturating_sub(next_piece)
    }

    /// The memory that the pieces may take now: a step, and what is reserved.
    fn allowed(&self) -> usize {
        READ_AHEAD_STEP * (1 + self.reserved.len())
    }

    /// The steps that have to be reserved for so much memory.
    fn steps_for(memory: usize) -> usize {
        memory.div_ceil(READ_AHEAD_STEP).saturating_sub(1)
    }

    fn push(&mut self, bytes: &[u8]) {
        let came = self.came();
        self.pieces.push_back(Piece { bytes: Bytes::copy_from_slice(bytes), came });
    }

    /// When something had come that is read now.
    fn came(&self) -> Instant {
        self.queued_since.unwrap_or_else(Instant::now)
    }

    /// Gives as much of the first piece as there is room for. Whether there was one.
    fn give(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let Some(piece) = self.pieces.front_mut() else { return false };
        let taken = piece.bytes.len().min(buffer.remaining());
        buffer.put_slice(&piece.bytes[..taken]);
        piece.bytes.advance(taken);
        self.given = piece.came;
        if piece.bytes.is_empty() {
            self.pieces.pop_front();
            self.reserved.truncate(Ahead::steps_for(self.memory()));
        }
        true
    }
}

impl ClientSocket {
    /// Takes over a stream that was just accepted and may have waited for that since a moment, if it had to wait. What is
    /// read ahead on it shares the memory of `pool` with others.
    pub fn new(stream: Stream, queued_since: Option<Instant>, pool: MemoryPool) -> ClientSocket {
        let ahead = Ahead {
            pieces: VecDeque::new(),
            given: Instant::now(),
            queued_since: queued_since.filter(|_| stream.has_unread()),
            has_given: false,
            seen: Instant::now(),
            pool,
            reserved: Vec::new(),
        };
        let shared = Shared {
            stream,
            ahead: Mutex::new(ahead),
            blocked: Mutex::default(),
            began_to_block: Notify::new(),
        };
        ClientSocket { shared: Arc::new(shared) }
    }

    /// Comes back once the peer has closed its sending side or the connection broke, whatever lies unread before that;
    /// with `false` if something happened on the socket and `watched` no longer holds.
    pub async fn closed_by_peer(&self, watched: impl Fn() -> bool) -> bool {
        loop {
            let room = self.ahead().room();
            let readiness = if room > 0 {
                self.shared.stream.readable().await
            } else {
                // Only the close itself is waited for.
                self.shared.stream.closed().await;
                Readiness::Closed
            };
            if !watched() {
                return false;
            }
            if readiness == Readiness::Closed {
                return true;
            }
            match self.read_ahead(room, Stream::try_receive) {
                Ok(_) => {}
                Err(error) if lacks_memory(&error) => sleep(MEMORY_RETRY).await,
                Err(_) => return true,
            }
        }
    }

    /// Comes back once the peer has sent something or has closed.
    pub async fn readable(&self) {
        self.shared.stream.readable().await;
    }

    /// Reads what is there, up to `room`. Whether there was anything; an error is the end of the connection, unless memory
    /// is lacking.
    fn read_ahead(
        &self,
        room: usize,
        receive: impl FnOnce(&Stream, &mut [u8]) -> io::Result<usize>,
    ) -> io::Result<bool> {
        let mut chunk = [0; READ_AHEAD_STEP];
        let step = room.min(READ_AHEAD_STEP);
        match receive(&self.shared.stream, &mut chunk[..step]) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => {
                self.ahead().push(&chunk[..read]);
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.ahead().seen = Instant::now();
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether bytes wait that the server has not been given. Asks the kernel itself, whose events may not have been
    /// taken in yet.
    pub fn has_unread(&self) -> bool {
        !self.ahead().pieces.is_empty() || self.shared.stream.has_unread()
    }

    /// Comes back once there has been output for `limit` of which the peer has not taken [`MIN_PROGRESS_BYTES`].
    pub async fn output_stalled(&self, limit: Duration) {
        loop {
            let blocked_since = self.blocked().map(|blocked| blocked.since);
            match blocked_since {
                None => self.shared.began_to_block.notified().await,
                Some(since) if since + limit <= Instant::now() => return,
                Some(since) => sleep_until(since + limit).await,
            }
        }
    }

    /// Takes in that of so many bytes so many were written, if any.
    fn wrote(&self, length: usize, written: Option<usize>) {
        let now = Instant::now();
        let mut blocked = self.blocked();
        match (written, &mut *blocked) {
            (Some(written), _) if written == length => *blocked = None,
            (Some(written), Some(output)) => {
                output.written += written;
                if output.written >= MIN_PROGRESS_BYTES {
                    *output = Blocked { since: now, written: 0 };
                }
            }
            (None, None) => {
                *blocked = Some(Blocked { since: now, written: 0 });
                self.shared.began_to_block.notify_one();
            }
            (Some(_), None) | (None, Some(_)) => {}
        }
    }

    /// Held for moments only, never over a wait.
    fn blocked(&self) -> MutexGuard<'_, Option<Blocked>> {
        self.shared.blocked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When what the server was given last had come.
    pub fn came_at(&self) -> Instant {
        self.ahead().given
    }

    /// Ends the sending side and waits for the peer to close its own, but no longer than `limit`.
    ///
    /// To close a socket over unread bytes resets the connection, and the reset discards the answer that the peer has
    /// not read. What arrives meanwhile stays unread: it was sent to a connection that had already been closed, and its
    /// sender may safely send it again.
    pub async fn close(self, limit: Duration) {
        if self.shared.stream.end_sending().is_ok() {
            let _ = timeout(limit, self.shared.stream.closed()).await;
        }
    }

    /// Held for moments only, never over a wait.
    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.shared.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClientConnection for ClientSocket {
    fn has_disconnected(&self) -> bool {
        loop {
            let room = self.ahead().room();
            if room == 0 {
                // The end may be there behind more than is read ahead, or not even that where the kernel's buffer is
                // full: then nobody can tell whether the client is there.
                let is_out_of_sight = self.ahead().seen.elapsed() > MOST_OUT_OF_SIGHT;
                return is_out_of_sight || self.shared.stream.is_closed_now();
            }
            match self.read_ahead(room, Stream::receive_now) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(error) if lacks_memory(&error) => return false,
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
        if self.ahead().give(buffer) {
            return Poll::Ready(Ok(()));
        }
        let read = self.shared.stream.poll_receive_into(context, buffer);
        let mut ahead = self.ahead();
        if read.is_pending() {
            ahead.seen = Instant::now();
        }
        if read.is_ready() {
            ahead.given = ahead.came();
            ahead.has_given = true;
        } else if ahead.has_given {
            // All that had come before the accept is read. Before the first read the runtime may not know of it yet.
            ahead.queued_since = None;
        }
        read
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
        let length = slices.iter().map(|slice| slice.len()).sum();
        let sent = self.shared.stream.poll_send(context, slices);
        match &sent {
            Poll::Ready(Ok(written)) => {
                self.ahead().seen = Instant::now();
                self.wrote(length, Some(*written));
            }
            Poll::Pending => self.wrote(length, None),
            Poll::Ready(Err(_)) => {}
        }
        sent
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shared.stream.end_sending())
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
