//! The stream beneath an HTTP connection. It counts the bytes written, which tells whether a request can have
//! reached its upstream, and asks before each write whether it may still be made.
//!
//! hyper writes from a task of its own, some time after it was handed a request. Asking at the write itself leaves
//! no gap between the decision and the first byte.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::socket::Stream;

/// Why a write was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteDenied {
    /// The upstream had closed or reset the connection before anything was written.
    ConnectionClosed,
    /// The upstream had sent bytes that no request of this exchange can have caused.
    UnexpectedBytes,
    /// No exchange is under way.
    NoExchange,
    /// Nobody waits for the answer any more.
    AnswerNotWanted,
    /// The attempt's time was up.
    DeadlineExceeded,
    /// The upstream drains, is gone or was restarted.
    NotServing,
    /// Rules of residency forbid it.
    OutsideAllowedRegions,
    /// Upstreams might not discard the request as a repeat any more.
    IdempotencyWindowClosed,
}

/// Decides on the writes of one exchange.
pub trait WritePolicy: Send {
    /// Whether its first byte may be written now.
    fn check_first_write(&self) -> Result<(), WriteDenied>;
    /// Whether a further byte may be written now.
    fn check_next_write(&self) -> Result<(), WriteDenied>;
}

/// An exchange that is under way on a stream.
struct Exchange {
    policy: Box<dyn WritePolicy>,
    started: bool,
}

/// What a stream shares with the owner of its connection; hyper owns the stream itself.
#[derive(Default)]
pub struct StreamState {
    written: AtomicU64,
    exchange: Mutex<Option<Exchange>>,
    first_denial: Mutex<Option<WriteDenied>>,
}

impl StreamState {
    /// Bytes that the kernel has taken so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Why the first write that was not made was not.
    pub fn first_denial(&self) -> Option<WriteDenied> {
        *lock(&self.first_denial)
    }

    /// Begins an exchange, which ends when the returned value is dropped. Nothing is written outside of one.
    pub fn begin_exchange(self: &Arc<Self>, policy: Box<dyn WritePolicy>) -> ExchangeGuard {
        *lock(&self.exchange) = Some(Exchange { policy, started: false });
        ExchangeGuard(self.clone())
    }

    /// Decides on a write that is about to be made to this socket.
    fn authorize_write(&self, socket: &Stream) -> io::Result<()> {
        self.check_write(socket).map_err(|reason| {
            lock(&self.first_denial).get_or_insert(reason);
            io::Error::new(ErrorKind::ConnectionAborted, "the write was withheld")
        })
    }

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

/// Keeps an exchange open.
pub struct ExchangeGuard(Arc<StreamState>);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        *lock(&self.0.exchange) = None;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that neither bytes nor an end wait in the socket.
///
/// It reads past the runtime. A byte that it takes is missed by nobody: a connection with such a byte is closed.
fn check_no_pending_input(socket: &Stream) -> Result<(), WriteDenied> {
    match socket.receive_now(&mut [0]) {
        Ok(0) => Err(WriteDenied::ConnectionClosed),
        Ok(_) => Err(WriteDenied::UnexpectedBytes),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(_) => Err(WriteDenied::ConnectionClosed),
    }
}

/// A stream that counts its writes and asks before each.
pub struct GuardedStream {
    socket: Stream,
    state: Arc<StreamState>,
}

impl GuardedStream {
    /// Guards a socket that nothing was written to yet.
    pub fn new(socket: Stream) -> (GuardedStream, Arc<StreamState>) {
        let state = Arc::new(StreamState::default());
        (GuardedStream { socket, state: state.clone() }, state)
    }

    /// Makes a write if it may be made, and counts it.
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
