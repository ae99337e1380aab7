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
pub enum Withheld {
    /// The upstream had closed or reset the connection before anything was written.
    Closed,
    /// The upstream had sent bytes that no request of this exchange can have caused.
    UnexpectedBytes,
    /// No exchange is under way.
    NoExchange,
    /// Nobody waits for the answer any more.
    NotWanted,
    /// The attempt's time was up.
    TimeIsUp,
    /// The upstream drains, is gone or was restarted.
    NotServing,
    /// Rules of residency forbid it.
    OutsideRegions,
    /// Upstreams might not discard the request as a repeat any more.
    KeyWindowClosed,
}

/// Decides on the writes of one exchange.
pub trait WriteRules: Send {
    /// Whether its first byte may be written now.
    fn begin(&self) -> Result<(), Withheld>;
    /// Whether a further byte may be written now.
    fn proceed(&self) -> Result<(), Withheld>;
}

/// An exchange that is under way on a stream.
struct Exchange {
    rules: Box<dyn WriteRules>,
    begun: bool,
}

/// What a stream shares with the owner of its connection; hyper owns the stream itself.
#[derive(Default)]
pub struct StreamState {
    written: AtomicU64,
    exchange: Mutex<Option<Exchange>>,
    withheld: Mutex<Option<Withheld>>,
}

impl StreamState {
    /// Bytes that the kernel has taken so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Why the first write that was not made was not.
    pub fn withheld(&self) -> Option<Withheld> {
        *lock(&self.withheld)
    }

    /// Begins an exchange, which ends when the returned value is dropped. Nothing is written outside of one.
    pub fn begin_exchange(self: &Arc<Self>, rules: Box<dyn WriteRules>) -> ExchangeGuard {
        *lock(&self.exchange) = Some(Exchange { rules, begun: false });
        ExchangeGuard(self.clone())
    }

    /// Decides on a write that is about to be made to this socket.
    fn check(&self, socket: &Stream) -> io::Result<()> {
        self.decide(socket).map_err(|reason| {
            lock(&self.withheld).get_or_insert(reason);
            io::Error::new(ErrorKind::ConnectionAborted, "the write was withheld")
        })
    }

    fn decide(&self, socket: &Stream) -> Result<(), Withheld> {
        let mut exchange = lock(&self.exchange);
        let Some(Exchange { rules, begun }) = exchange.as_mut() else { return Err(Withheld::NoExchange) };
        if *begun {
            return rules.proceed();
        }
        check_quiet(socket)?;
        rules.begin()?;
        *begun = true;
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
fn check_quiet(socket: &Stream) -> Result<(), Withheld> {
    match socket.receive_now(&mut [0]) {
        Ok(0) => Err(Withheld::Closed),
        Ok(_) => Err(Withheld::UnexpectedBytes),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(_) => Err(Withheld::Closed),
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
        if let Err(error) = self.state.check(&self.socket) {
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
