//! An HTTP/1.1 connection to an upstream, from its opening until its socket is closed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::pool::MIN_IDLE_BEFORE_REUSE;
use super::stream::{GuardedStream, StreamState};
use crate::message_memory::MemoryPool;
use crate::socket::{ConnectError, SystemCalls, connect};

/// The size limit of hyper's buffer. It bounds the head of an answer; hyper also reads bodies through this
/// buffer.
const BUFFER_BYTES: usize = 32 << 10;
/// How long a connection may take to become ready for the next request after an answer has been read.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// An open connection. When it is dropped, its task closes the socket soon after; [`Connection::close`] waits
/// for that.
///
/// The task owns the socket and its permit, and releases the permit only after the socket is closed. So there
/// are never more open sockets than permits.
pub struct Connection {
    /// Sends the request of the next exchange.
    pub sender: SendRequest<Full<Bytes>>,
    /// Counts the bytes written to the stream and controls its writes.
    pub stream: Arc<StreamState>,
    /// Whether the connection has carried a request and begun to receive its answer.
    pub used: bool,
    /// The memory for the answers that it carries.
    pub answer_memory: MemoryPool,
    /// When the connection became idle: when its last answer was completely read, or when it was opened.
    pub idle_since: Instant,
    /// Tells the task to close the connection when it is dropped or sent to.
    close: oneshot::Sender<()>,
    /// Drives the connection and returns the permit after closing the socket.
    task: JoinHandle<OwnedSemaphorePermit>,
}

impl Connection {
    /// Opens a connection by `until`. The permit is held until the socket is closed.
    pub async fn open(
        system_calls: &Arc<dyn SystemCalls>,
        dial: SocketAddr,
        answer_memory: MemoryPool,
        until: Instant,
        permit: OwnedSemaphorePermit,
    ) -> Result<Connection, ConnectError> {
        let connected = timeout_at(until, connect(system_calls, dial)).await;
        let socket = connected.map_err(|_| ConnectError::TimedOut)??;
        let (guarded, stream) = GuardedStream::new(socket);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(guarded))
            .await
            .map_err(|error| ConnectError::Remote(io::Error::other(error)))?;
        let (close, closed) = oneshot::channel();
        let task = tokio::spawn(async move {
            // `biased` with `closed` first: once a close is requested, nothing more is written. The error of
            // the connection is dropped here, since the exchange reports it.
            tokio::select! {
                biased;
                _ = closed => {}
                _ = connection => {}
            }
            permit
        });
        let idle_since = Instant::now();
        Ok(Connection { sender, stream, used: false, answer_memory, idle_since, close, task })
    }

    /// Whether the connection can take a request now, as far as hyper has processed what the upstream sent.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes the connection and returns its permit, which can be used for another. The socket is closed when
    /// this returns. Returns `None` if the connection's task panicked.
    pub async fn close(self) -> Option<OwnedSemaphorePermit> {
        drop(self.close);
        self.task.await.ok()
    }

    /// When the connection may carry its next request: at once if it has carried none yet, otherwise after it
    /// has been idle for [`MIN_IDLE_BEFORE_REUSE`].
    pub fn reusable_at(&self) -> Instant {
        if self.used { self.idle_since + MIN_IDLE_BEFORE_REUSE } else { self.idle_since }
    }

    /// Waits until the next request can be sent. Returns `None` if the connection closes or does not become
    /// ready in time.
    pub async fn wait_until_ready(mut self) -> Option<Connection> {
        timeout(READY_TIMEOUT, self.sender.ready()).await.ok()?.ok()?;
        Some(self)
    }
}
