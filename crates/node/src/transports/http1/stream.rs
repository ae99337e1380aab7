//! The stream beneath an HTTP connection.
//!
//! It counts the bytes written, which shows whether a request can have reached its upstream. Before each
//! write it checks the write policy of the current exchange.
//!
//! hyper writes from a task of its own, some time after a request is handed to it. A check at the write
//! itself leaves no gap between the decision and the first byte.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::read_limit::{LimitedStream, MessageBytes};
use crate::socket::Stream;

/// Why a write was denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteDenied {
    /// The upstream had closed or reset the connection before anything was written.
    ConnectionClosed,
    /// The upstream had sent bytes before the request was written, so they cannot answer it.
    UnexpectedBytes,
    /// No exchange is in progress on the connection.
    NoExchange,
    /// The answer is no longer needed: the client has left, the request has been answered, or the attempt was
    /// cancelled.
    AnswerNotWanted,
    /// The attempt's deadline has passed.
    DeadlineExceeded,
    /// The upstream is draining, was removed or has restarted.
    NotServing,
    /// Data residency rules forbid the upstream's zone.
    OutsideAllowedRegions,
    /// The idempotency window has closed: upstreams might no longer discard the request as a repeat.
    IdempotencyWindowClosed,
}

/// Decides whether the bytes of one exchange may be written.
pub trait WritePolicy: Send {
    /// Checks whether the first byte of the request may be written now.
    fn check_first_write(&self) -> Result<(), WriteDenied>;
    /// Checks whether further bytes of the request may be written now.
    fn check_next_write(&self) -> Result<(), WriteDenied>;
}

/// An exchange that is in progress on a stream.
struct Exchange {
    policy: Box<dyn WritePolicy>,
    /// Whether the first write of the exchange has been allowed.
    started: bool,
}

/// The state that a stream shares with the owner of its connection. hyper owns the stream itself.
#[derive(Default)]
pub struct StreamState {
    written: AtomicU64,
    /// The bytes read since the current exchange began.
    answer: Arc<MessageBytes>,
    exchange: Mutex<Option<Exchange>>,
    first_denial: Mutex<Option<WriteDenied>>,
}

impl StreamState {
    /// The number of bytes that the kernel has accepted so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// The reason for the first denied write, if a write was denied.
    pub fn first_denial(&self) -> Option<WriteDenied> {
        *lock(&self.first_denial)
    }

    /// Begins an exchange, which ends when the returned guard is dropped. Outside an exchange every write is
    /// denied.
    pub fn begin_exchange(self: &Arc<Self>, policy: Box<dyn WritePolicy>) -> ExchangeGuard {
        self.answer.begin_message();
        *lock(&self.exchange) = Some(Exchange { policy, started: false });
        ExchangeGuard(self.clone())
    }

    /// Checks a write that is about to be made to `socket`, and records the reason if it is the first denied
    /// one.
    fn authorize_write(&self, socket: &Stream) -> io::Result<()> {
        self.check_write(socket).map_err(|reason| {
            lock(&self.first_denial).get_or_insert(reason);
            io::Error::new(ErrorKind::ConnectionAborted, "the write policy denied the write")
        })
    }

    /// Checks a write against the policy of the current exchange. The first write also requires a socket
    /// without pending input.
    fn check_write(&self, socket: &Stream) -> Result<(), WriteDenied> {
        let mut exchange = lock(&self.exchange);
        let Some(Exchange { policy, started }) = exchange.as_mut() else {
            return Err(WriteDenied::NoExchange);
        };
        if *started {
            return policy.check_next_write();
        }
        check_no_pending_input(socket)?;
        policy.check_first_write()?;
        *started = true;
        Ok(())
    }
}

/// Ends its exchange when dropped.
pub struct ExchangeGuard(Arc<StreamState>);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        *lock(&self.0.exchange) = None;
    }
}

/// Locks a mutex, and ignores that a thread may have panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that neither bytes nor an end of stream are pending in the socket.
///
/// This reads from the socket directly, without waiting for the runtime to report it readable. The byte that
/// it may consume is not missed, since a connection with pending bytes is closed.
fn check_no_pending_input(socket: &Stream) -> Result<(), WriteDenied> {
    match socket.receive_now(&mut [0]) {
        Ok(0) => Err(WriteDenied::ConnectionClosed),
        Ok(_) => Err(WriteDenied::UnexpectedBytes),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(_) => Err(WriteDenied::ConnectionClosed),
    }
}

/// A stream that counts the bytes written and checks each write against the policy of the current exchange.
pub struct GuardedStream {
    socket: Stream,
    state: Arc<StreamState>,
}

impl GuardedStream {
    /// Wraps a socket to which nothing has been written yet. Returns the stream, whose answers are bounded in length,
    /// and its shared state.
    pub fn new(socket: Stream) -> (LimitedStream<GuardedStream>, Arc<StreamState>) {
        let state = Arc::new(StreamState::default());
        let guarded = GuardedStream { socket, state: state.clone() };
        (LimitedStream::new(guarded, state.answer.clone()), state)
    }

    /// Performs a write if it is allowed, and counts the bytes written.
    fn write(
        &mut self,
        write: impl FnOnce(Pin<&mut Stream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Err(error) = self.state.authorize_write(&self.socket) {
            return Poll::Ready(Err(error));
        }
        let result = write(Pin::new(&mut self.socket));
        if let Poll::Ready(Ok(count)) = result {
            self.state.written.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(|socket| socket.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}
