//! A connection to an upstream, from its opening until its socket is closed.

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
use crate::socket::{ConnectError, SystemCalls, connect};

/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// How long a connection may take to become ready for the next request once an answer was read.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// An open connection. Dropped, it is closed by its task soon after; [`Connection::close`] waits until it is.
///
/// The task owns the socket and the permit for it, and lets go of the permit after the socket: there are never more
/// sockets than permits.
pub struct Connection {
    /// For the next exchange.
    pub sender: SendRequest<Full<Bytes>>,
    /// The state of its stream.
    pub stream: Arc<StreamState>,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Since when it has carried nothing: since its last answer was read whole, or since it was opened.
    pub idle_since: Instant,
    /// Dropped or used to close it.
    close: oneshot::Sender<()>,
    task: JoinHandle<OwnedSemaphorePermit>,
}

impl Connection {
    /// Connects by `until`.
    pub async fn open(
        system_calls: &Arc<dyn SystemCalls>,
        dial: SocketAddr,
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
            // How an exchange failed shows at the exchange. Once it is to be closed, nothing more is written.
            tokio::select! {
                biased;
                _ = closed => {}
                _ = connection => {}
            }
            permit
        });
        Ok(Connection { sender, stream, used: false, idle_since: Instant::now(), close, task })
    }

    /// Whether it can take a request now, as far as this side has heard.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Closes it. When this returns the socket is closed, and its permit is free for another.
    pub async fn close(self) -> Option<OwnedSemaphorePermit> {
        drop(self.close);
        self.task.await.ok()
    }

    /// When it may carry the next request: one that carried none yet at once, any other once it has rested.
    pub fn reusable_at(&self) -> Instant {
        if self.used { self.idle_since + MIN_IDLE_BEFORE_REUSE } else { self.idle_since }
    }

    /// Waits until the next request can be sent. `None` if the upstream closes it.
    pub async fn wait_until_ready(mut self) -> Option<Connection> {
        timeout(READY_TIMEOUT, self.sender.ready()).await.ok()?.ok()?;
        Some(self)
    }
}
