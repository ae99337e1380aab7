//! What the transport knows of upstreams, and where connections to them come from.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast::api::{Outcome, UpstreamId};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::warn;

use super::connection::Connection;
use super::pool::Pool;
use super::settings::Settings;
use crate::engine::{Attempt, AttemptEnd, ConnectionCounts, Transport, TransportEvents, UpstreamInfo};
use crate::socket::{ConnectError, SystemCalls};

/// The transport.
pub struct Http1 {
    pub(super) shared: Arc<Shared>,
}

/// What the transport shares with the tasks of its attempts and probes.
pub(super) struct Shared {
    pub(super) settings: Settings,
    system_calls: Arc<dyn SystemCalls>,
    pub(super) permits: Arc<Semaphore>,
    pub(super) reports: TransportEvents,
    state: Mutex<State>,
}

#[derive(Default)]
pub(super) struct State {
    upstreams: HashMap<UpstreamId, Upstream>,
    pub(super) counts: ConnectionCounts,
}

/// An upstream and the idle connections to it.
struct Upstream {
    peer: UpstreamInfo,
    pool: Pool,
}

/// Where an attempt or a probe gets its connection.
pub(super) enum Source {
    /// One that is open.
    Pooled(Box<Connection>),
    /// A new one.
    Dial(OwnedSemaphorePermit),
    /// A new one, once this idle one is closed for it.
    Replace(Box<Connection>),
}

impl Source {
    /// Whether it may have been closed by its upstream since it was last used.
    pub(super) fn is_pooled(&self) -> bool {
        matches!(self, Source::Pooled(_))
    }
}

/// Why a source led to no connection.
#[derive(Debug, Error)]
pub(super) enum NoConnection {
    /// None came up.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The idle connection that was closed for it did not hand on its permit.
    #[error("a connection that was closed kept its permit")]
    PermitKept,
}

impl NoConnection {
    /// Whether it is this machine's doing and says nothing about the upstream.
    pub(super) fn is_local(&self) -> bool {
        match self {
            NoConnection::Connect(error) => error.is_local(),
            NoConnection::PermitKept => true,
        }
    }
}

impl Http1 {
    /// A transport that knows no upstream yet.
    pub fn new(settings: Settings, system_calls: Arc<dyn SystemCalls>, reports: TransportEvents) -> Http1 {
        let permits = Arc::new(Semaphore::new(settings.connections));
        let state = Mutex::default();
        Http1 { shared: Arc::new(Shared { settings, system_calls, permits, reports, state }) }
    }
}

impl Transport for Http1 {
    fn update_upstream(&self, upstream: UpstreamId, peer: UpstreamInfo) {
        let mut state = self.shared.state();
        let known = state
            .upstreams
            .entry(upstream)
            .or_insert_with(|| Upstream { peer: peer.clone(), pool: Pool::default() });
        // Connections to another address or another life lead nowhere, or to the wrong process.
        if known.peer.incarnation != peer.incarnation || !peer.serving {
            known.pool.clear();
        }
        known.peer = peer;
    }

    fn remove_upstream(&self, upstream: UpstreamId) {
        self.shared.state().upstreams.remove(&upstream);
    }

    fn attempt(&self, mut attempt: Attempt) {
        let info = attempt.info;
        if let Some(rest) = attempt.reuse_limit.max_idle_time() {
            self.shared.drop_rested(info.upstream, rest);
        }
        let source = if attempt.is_wanted() { self.shared.source(info.upstream, info.until) } else { None };
        // An idle connection is taken now, in the order in which the module has sent.
        match source {
            Some((source, peer)) => {
                tokio::spawn(self.shared.clone().run_attempt(attempt, source, peer));
            }
            None => self.shared.reports.attempt_ended(info, AttemptEnd::Outcome(Outcome::NotSent, None)),
        }
    }

    fn probe(&self, upstream: UpstreamId, until: Instant) {
        tokio::spawn(self.shared.clone().run_probe(upstream, until));
    }

    fn sweep(&self) {
        let limit = self.shared.settings.idle_limit;
        self.shared.state().upstreams.values_mut().for_each(|upstream| upstream.pool.sweep(limit));
    }

    fn take_counts(&self) -> ConnectionCounts {
        std::mem::take(&mut self.shared.state().counts)
    }

    fn idle_connections(&self) -> usize {
        self.shared.state().upstreams.values().map(|upstream| upstream.pool.count()).sum()
    }
}

impl Shared {
    /// Held for moments only, never over a wait.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or the right to a new one, for what has to end by `until`. `None` for an upstream that is
    /// not known, and out of sockets of our own: neither is a fault of the upstream's.
    pub(super) fn source(&self, id: UpstreamId, until: Instant) -> Option<(Source, UpstreamInfo)> {
        let mut state = self.state();
        let State { upstreams, counts } = &mut *state;
        let upstream = upstreams.get_mut(&id)?;
        let peer = upstream.peer.clone();
        if let Some(connection) = upstream.pool.take(self.settings.idle_limit, until) {
            counts.reused += 1;
            return Some((Source::Pooled(Box::new(connection)), peer));
        }
        let source = self.dial_source(upstreams);
        match source {
            Some(_) => counts.opened += 1,
            None => counts.no_descriptor += 1,
        }
        source.map(|source| (source, peer))
    }

    /// Whether there is an idle connection to an upstream other than this one.
    pub(super) fn is_another_reachable(&self, id: UpstreamId) -> bool {
        let state = self.state();
        let mut others = state.upstreams.iter().filter(|(other, _)| **other != id);
        others.any(|(_, upstream)| upstream.peer.serving && upstream.pool.count() > 0)
    }

    /// Drops the idle connections to an upstream that have rested for so long.
    fn drop_rested(&self, id: UpstreamId, rest: Duration) {
        if let Some(upstream) = self.state().upstreams.get_mut(&id) {
            upstream.pool.sweep(rest);
        }
    }

    /// The right to one more connection; the one that is longest idle is closed for it if need be.
    fn dial_source(&self, upstreams: &mut HashMap<UpstreamId, Upstream>) -> Option<Source> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(Source::Dial(permit));
        }
        let pools = upstreams.values_mut().map(|upstream| &mut upstream.pool);
        let oldest =
            pools.filter(|pool| pool.oldest().is_some()).min_by_key(|pool| pool.oldest())?.take_oldest()?;
        Some(Source::Replace(Box::new(oldest)))
    }

    /// The connection of a source, opened by `until` if it is not open.
    pub(super) async fn connect(
        &self,
        source: Source,
        peer: &UpstreamInfo,
        until: Instant,
    ) -> Result<Connection, NoConnection> {
        let permit = match source {
            Source::Pooled(connection) => return Ok(*connection),
            Source::Dial(permit) => permit,
            Source::Replace(connection) => connection.close().await.ok_or(NoConnection::PermitKept)?,
        };
        let until = until.min(Instant::now() + self.settings.connect_timeout);
        let opened = Connection::open(&self.system_calls, peer.dial, until, permit).await;
        Ok(opened.inspect_err(|error| warn!("upstream {}: {error}", peer.host))?)
    }

    /// What is known of an upstream now.
    pub(super) fn peer(&self, id: UpstreamId) -> Option<UpstreamInfo> {
        self.state().upstreams.get(&id).map(|upstream| upstream.peer.clone())
    }

    /// Keeps a connection for the next, once it can take one. Bytes that the upstream sends before that close it;
    /// what it sends later is seen before the next request's first byte.
    pub(super) async fn keep(&self, id: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(connection) = connection.settle().await else { return };
        let mut state = self.state();
        let Some(upstream) = state.upstreams.get_mut(&id) else { return };
        if upstream.peer.incarnation == incarnation && upstream.peer.serving && connection.is_usable() {
            upstream.pool.put(connection);
        }
    }
}
